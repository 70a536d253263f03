//! What a gateway knows of an endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_types::{FailureDomain, Incarnation, Moment, Region, ServiceName};

use crate::Target;
use crate::cold::ColdLimiter;

/// Identity of an endpoint; several starts may have it.
pub type EndpointId = Arc<str>;

/// First pause after a failure to reach an endpoint, doubled with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(300);
/// Longest pause: the platform's list shows a lost endpoint by then.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Silence with a request there after which an endpoint counts as stalled: so many times
/// what an answer takes, and no less than this, which a lost packet may cost.
const STALLED_TIMES: u32 = 5;
const STALLED_MIN: Duration = Duration::from_millis(400);
/// How long an endpoint counts as full that refused a request and didn't tell its load.
const FULL_FOR: Duration = Duration::from_millis(120);
/// Time after which half of what was reported of others' requests is believed still:
/// about the time that a request runs.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);
/// Time after which half of what was learned about slowness and failures is forgotten:
/// an endpoint that is avoided for them shows nothing new, and must be tried again.
const OPINION_HALF_LIFE: Duration = Duration::from_secs(3);
/// Answers that take less than so many times what is expected are as quick as others: kinds
/// of requests of one service differ by as much, and objects that leave an endpoint for it
/// have to be learned elsewhere.
const SLOW: f64 = 1.5;
/// Weight of a new observation in running means: about the last ten count.
const NEW: f64 = 0.1;
/// Objects remembered for each endpoint, the oldest forgotten first.
const OBJECTS: usize = 64;
/// How long an object that was sent to an endpoint counts as known there.
const OBJECT_KEPT: Duration = Duration::from_secs(30);

/// What an endpoint says about its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// How a request to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to a good end, in this time.
    Served(Duration),
    /// It ran to a bad end.
    Failed,
    /// The endpoint refused it.
    Full,
    /// Another start of the endpoint, or another endpoint, has the address.
    Gone,
    /// It couldn't be reached, or broke off.
    Broken,
    /// The caller left, or the time was up, after this time without an answer.
    Abandoned(Duration),
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) id: EndpointId,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) service: ServiceName,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: FailureDomain,
    pub(crate) region: Option<Region>,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    pub(crate) cold: ColdLimiter,
    /// Requests of this gateway that are there.
    pub(crate) own: u32,
    /// Requests of others, as last reported, and when.
    others: f64,
    others_at: Moment,
    full_until: Moment,
    paused_until: Moment,
    pause: Duration,
    gone: bool,
    /// When a request was sent to it while it had none, or it last answered.
    progress_at: Moment,
    /// Silence from then on that counts as a stall.
    patience: Duration,
    /// Whether requests waited there when it last reported.
    queues: bool,
    /// How much longer than expected its answers take; 1 is as expected.
    slowness: f64,
    /// Part of its requests that end badly.
    failing: f64,
    /// When either was last learned.
    opinion_at: Moment,
    objects: HashMap<u64, Moment>,
}

impl State {
    pub(crate) fn new(now: Moment, listed: Endpoint, region: Option<Region>) -> Self {
        let mut state = Self {
            id: listed.id.as_str().into(),
            incarnation: listed.incarnation,
            service: listed.service.clone(),
            addr: listed.addr,
            domain: listed.domain.clone(),
            region,
            slots: 1,
            draining: false,
            cold: ColdLimiter::default(),
            own: 0,
            others: 0.0,
            others_at: now,
            full_until: Moment::ZERO,
            paused_until: Moment::ZERO,
            pause: PAUSE_MIN,
            gone: false,
            progress_at: now,
            patience: STALLED_MIN,
            queues: false,
            slowness: 1.0,
            failing: 0.0,
            opinion_at: now,
            objects: HashMap::new(),
        };
        state.listed(now, &listed);
        state
    }

    /// Whether an entry of the list is about this start. An endpoint that starts again under
    /// its identity holds and knows nothing of before. One that is at another place or runs
    /// another service has started anew, also where the platform doesn't tell starts.
    pub(crate) fn is_start(&self, listed: &Endpoint) -> bool {
        self.incarnation == listed.incarnation
            && self.addr == listed.addr
            && self.service == listed.service
            && self.domain == listed.domain
    }

    /// Whether a request was sent to this start.
    pub(crate) fn is_at(&self, target: &Target) -> bool {
        self.id == target.id && self.incarnation == target.incarnation && self.addr == target.addr
    }

    /// Takes in what the platform's list says by now.
    pub(crate) fn listed(&mut self, now: Moment, listed: &Endpoint) {
        self.slots = listed.slots.max(1);
        self.draining = listed.state == EndpointState::Draining;
        if listed.cold_left > Duration::ZERO {
            self.cold.set_cold_until(now, now + listed.cold_left);
        }
    }

    /// Whether requests may go there at all.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        !self.gone && !self.draining && now >= self.paused_until && !self.is_stalled(now)
    }

    /// Whether it has requests and has said nothing for too long. A VM without power, or
    /// behind a cut, resets no connection: kept ones take requests and stay silent, and
    /// each request would find that out only at its deadline.
    fn is_stalled(&self, now: Moment) -> bool {
        self.own > 0 && now >= self.progress_at + self.patience
    }

    /// Requests there, by the best guess.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.others_at);
        let halvings = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let others = self.others * 0.5_f64.powf(halvings);
        let floor = if now < self.full_until {
            f64::from(2 * self.slots)
        } else {
            0.0
        };
        (f64::from(self.own) + others).max(floor)
    }

    /// How much longer than others' its answers take, as far as that is still believed.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        let believed = self.believed_slowness(now);
        if believed < SLOW { 1.0 } else { believed }
    }

    fn believed_slowness(&self, now: Moment) -> f64 {
        1.0 + (self.slowness - 1.0) * self.belief(now)
    }

    /// Part of its requests that end badly, as far as that is still believed.
    pub(crate) fn failing(&self, now: Moment) -> f64 {
        self.failing * self.belief(now)
    }

    fn belief(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.opinion_at);
        0.5_f64.powf(age.as_secs_f64() / OPINION_HALF_LIFE.as_secs_f64())
    }

    pub(crate) fn reported(&mut self, now: Moment, load: Load) {
        let all = f64::from(load.running + load.waiting);
        // The answer's own request may or may not be counted any more.
        self.others = (all - f64::from(self.own)).max(0.0);
        self.others_at = now;
        self.queues = load.waiting > 0;
    }

    pub(crate) fn knows(&self, now: Moment, object: u64) -> bool {
        let sent = self.objects.get(&object);
        sent.is_some_and(|at| now < *at + OBJECT_KEPT)
    }

    pub(crate) fn sent(&mut self, now: Moment, object: Option<u64>, expected: Duration) {
        if self.own == 0 {
            self.progress_at = now;
            self.patience = (expected * STALLED_TIMES).max(STALLED_MIN);
        }
        self.own += 1;
        let Some(object) = object else {
            return;
        };
        self.objects.insert(object, now);
        if self.objects.len() > OBJECTS {
            let oldest = self.objects.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(object, _)| *object) {
                self.objects.remove(&oldest);
            }
        }
    }

    /// Leaves it alone for a while, for longer with each time.
    fn pause(&mut self, now: Moment) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
    }

    /// Notes how a request ended; `expected` is how long it should have taken.
    pub(crate) fn ended(&mut self, now: Moment, outcome: Outcome, expected: Duration) {
        self.own = self.own.saturating_sub(1);
        self.slowness = self.believed_slowness(now);
        self.failing = self.failing(now);
        self.opinion_at = now;
        if !matches!(outcome, Outcome::Abandoned(_) | Outcome::Broken) {
            self.progress_at = now;
        }
        match outcome {
            Outcome::Served(took) => {
                self.pause = PAUSE_MIN;
                self.failing *= 1.0 - NEW;
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                // What waited in a queue says nothing about the endpoint's own speed, and
                // one answer that took extremely long must not outweigh many.
                if !self.queues {
                    self.slowness += NEW * (ratio.clamp(0.5, 10.0) - self.slowness);
                }
            }
            Outcome::Failed => self.failing += NEW * (1.0 - self.failing),
            Outcome::Full => {
                self.failing += NEW * (1.0 - self.failing);
                // One that has told its load with the refusal is as full as that: with slots
                // free it refuses some requests for reasons of its own, and may take the next.
                let load_told = self.others_at == now;
                if !load_told {
                    self.full_until = now + FULL_FOR;
                }
            }
            Outcome::Gone => self.gone = true,
            Outcome::Broken => {
                self.failing += NEW * (1.0 - self.failing);
                self.pause(now);
            }
            Outcome::Abandoned(waited) => {
                // It would have taken longer still.
                let ratio = waited.as_secs_f64() / expected.as_secs_f64().max(0.001);
                if ratio > self.slowness && !self.queues {
                    self.slowness += NEW * (ratio.min(10.0) - self.slowness);
                }
                let silent = now >= self.progress_at + self.patience;
                if silent && waited >= self.patience {
                    self.pause(now);
                }
            }
        }
    }
}
