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
const BACKOFF_MIN: Duration = Duration::from_millis(300);
/// Longest pause: the platform's list shows a lost endpoint by then.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Silence with a request there after which an endpoint counts as stalled: so many times
/// what an answer takes, and no less than this, which a lost packet may cost.
const STALL_FACTOR: u32 = 5;
const STALL_MIN: Duration = Duration::from_millis(400);
/// How long an endpoint counts as full that refused a request and didn't tell its load.
const FULL_DURATION: Duration = Duration::from_millis(120);
/// Time after which half of what was reported of others' requests is believed still:
/// about the time that a request runs.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);
/// Time after which half of what was learned about slowness and failures is forgotten:
/// an endpoint that is avoided for them shows nothing new, and must be tried again.
const SCORE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Answers that take less than so many times what is expected are as quick as others: kinds
/// of requests of one service differ by as much, and objects that leave an endpoint for it
/// have to be learned elsewhere.
const SLOWNESS_THRESHOLD: f64 = 1.5;
/// Weight of a new observation in running means: about the last ten count.
const EWMA_WEIGHT: f64 = 0.1;
/// Objects remembered for each endpoint, the oldest forgotten first.
const MAX_OBJECTS: usize = 64;
/// How long an object that was sent to an endpoint counts as known there.
const OBJECT_TTL: Duration = Duration::from_secs(30);

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
pub(crate) struct TrackedEndpoint {
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
    pub(crate) own_in_flight: u32,
    /// Requests of others, as last reported, and when.
    others_in_flight: f64,
    load_reported_at: Moment,
    full_until: Moment,
    backoff_until: Moment,
    next_backoff: Duration,
    gone: bool,
    /// When a request was sent to it while it had none, or it last answered.
    progress_at: Moment,
    /// Silence from then on that counts as a stall.
    stall_timeout: Duration,
    /// Whether requests waited there when it last reported.
    has_queue: bool,
    /// How much longer than expected its answers take; 1 is as expected.
    slowness: f64,
    /// Part of its requests that end badly.
    failure_rate: f64,
    /// When either was last learned.
    scored_at: Moment,
    objects: HashMap<u64, Moment>,
}

impl TrackedEndpoint {
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
            own_in_flight: 0,
            others_in_flight: 0.0,
            load_reported_at: now,
            full_until: Moment::ZERO,
            backoff_until: Moment::ZERO,
            next_backoff: BACKOFF_MIN,
            gone: false,
            progress_at: now,
            stall_timeout: STALL_MIN,
            has_queue: false,
            slowness: 1.0,
            failure_rate: 0.0,
            scored_at: now,
            objects: HashMap::new(),
        };
        state.update(now, &listed);
        state
    }

    /// Whether an entry of the list is about this start. An endpoint that starts again under
    /// its identity holds and knows nothing of before. One that is at another place or runs
    /// another service has started anew, also where the platform doesn't tell starts.
    pub(crate) fn is_same_start(&self, listed: &Endpoint) -> bool {
        self.incarnation == listed.incarnation
            && self.addr == listed.addr
            && self.service == listed.service
            && self.domain == listed.domain
    }

    /// Whether a request was sent to this start.
    pub(crate) fn is_target(&self, target: &Target) -> bool {
        self.id == target.id && self.incarnation == target.incarnation && self.addr == target.addr
    }

    /// Takes in what the platform's list says by now.
    pub(crate) fn update(&mut self, now: Moment, listed: &Endpoint) {
        self.slots = listed.slots.max(1);
        self.draining = listed.state == EndpointState::Draining;
        if listed.cold_left > Duration::ZERO {
            self.cold.set_cold_until(now, now + listed.cold_left);
        }
    }

    /// Whether requests may go there at all.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        !self.gone && !self.draining && now >= self.backoff_until && !self.is_stalled(now)
    }

    /// Whether it has requests and has said nothing for too long. A VM without power, or
    /// behind a cut, resets no connection: kept ones take requests and stay silent, and
    /// each request would find that out only at its deadline.
    fn is_stalled(&self, now: Moment) -> bool {
        self.own_in_flight > 0 && now >= self.progress_at + self.stall_timeout
    }

    /// Requests there, by the best guess.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.load_reported_at);
        let half_lives = age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let others = self.others_in_flight * 0.5_f64.powf(half_lives);
        let min_load = if now < self.full_until {
            f64::from(2 * self.slots)
        } else {
            0.0
        };
        (f64::from(self.own_in_flight) + others).max(min_load)
    }

    /// How much longer than others' its answers take, as far as that is still believed.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        let slowness = self.decayed_slowness(now);
        if slowness < SLOWNESS_THRESHOLD {
            1.0
        } else {
            slowness
        }
    }

    fn decayed_slowness(&self, now: Moment) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Part of its requests that end badly, as far as that is still believed.
    pub(crate) fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate * self.decay(now)
    }

    fn decay(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.scored_at);
        0.5_f64.powf(age.as_secs_f64() / SCORE_HALF_LIFE.as_secs_f64())
    }

    pub(crate) fn record_load(&mut self, now: Moment, load: Load) {
        let total = f64::from(load.running + load.waiting);
        // The answer's own request may or may not be counted any more.
        self.others_in_flight = (total - f64::from(self.own_in_flight)).max(0.0);
        self.load_reported_at = now;
        self.has_queue = load.waiting > 0;
    }

    pub(crate) fn was_recently_sent(&self, now: Moment, object: u64) -> bool {
        let sent = self.objects.get(&object);
        sent.is_some_and(|at| now < *at + OBJECT_TTL)
    }

    pub(crate) fn record_sent(&mut self, now: Moment, object: Option<u64>, expected: Duration) {
        if self.own_in_flight == 0 {
            self.progress_at = now;
            self.stall_timeout = (expected * STALL_FACTOR).max(STALL_MIN);
        }
        self.own_in_flight += 1;
        let Some(object) = object else {
            return;
        };
        self.objects.insert(object, now);
        if self.objects.len() > MAX_OBJECTS {
            let oldest = self.objects.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(object, _)| *object) {
                self.objects.remove(&oldest);
            }
        }
    }

    /// Leaves it alone for a while, for longer with each time.
    fn back_off(&mut self, now: Moment) {
        if now < self.backoff_until {
            return;
        }
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(BACKOFF_MAX);
    }

    /// Notes how a request ended; `expected` is how long it should have taken.
    pub(crate) fn record_outcome(&mut self, now: Moment, outcome: Outcome, expected: Duration) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.slowness = self.decayed_slowness(now);
        self.failure_rate = self.failure_rate(now);
        self.scored_at = now;
        if !matches!(outcome, Outcome::Abandoned(_) | Outcome::Broken) {
            self.progress_at = now;
        }
        match outcome {
            Outcome::Served(took) => {
                self.next_backoff = BACKOFF_MIN;
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                // What waited in a queue says nothing about the endpoint's own speed, and
                // one answer that took extremely long must not outweigh many.
                if !self.has_queue {
                    self.slowness += EWMA_WEIGHT * (ratio.clamp(0.5, 10.0) - self.slowness);
                }
            }
            Outcome::Failed => self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate),
            Outcome::Full => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                // One that has told its load with the refusal is as full as that: with slots
                // free it refuses some requests for reasons of its own, and may take the next.
                let load_reported = self.load_reported_at == now;
                if !load_reported {
                    self.full_until = now + FULL_DURATION;
                }
            }
            Outcome::Gone => self.gone = true,
            Outcome::Broken => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                self.back_off(now);
            }
            Outcome::Abandoned(waited) => {
                // It would have taken longer still.
                let ratio = waited.as_secs_f64() / expected.as_secs_f64().max(0.001);
                if ratio > self.slowness && !self.has_queue {
                    self.slowness += EWMA_WEIGHT * (ratio.min(10.0) - self.slowness);
                }
                let stalled = now >= self.progress_at + self.stall_timeout;
                if stalled && waited >= self.stall_timeout {
                    self.back_off(now);
                }
            }
        }
    }
}
