//! What a gateway knows of an endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::cold::ColdGate;

/// Identity of one start of an endpoint.
pub type EndpointId = Arc<str>;

/// First pause after a failure to reach an endpoint, doubled with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(300);
/// Longest pause: the platform's list shows a lost endpoint by then.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// How long an endpoint that said it was full counts as full.
const FULL_FOR: Duration = Duration::from_millis(120);
/// Time after which half of what was reported of others' requests is believed still:
/// about the time that a request runs.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);
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
    /// The endpoint refused it for want of room.
    Full,
    /// Another start of the endpoint, or another endpoint, has the address.
    Gone,
    /// It couldn't be reached, or broke off.
    Broken,
    /// The caller left, or the time was up.
    Abandoned,
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) id: EndpointId,
    pub(crate) service: ServiceName,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: FailureDomain,
    pub(crate) region: Option<Region>,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    pub(crate) cold: ColdGate,
    /// Requests of this gateway that are there.
    pub(crate) own: u32,
    /// Requests of others, as last reported, and when.
    others: f64,
    others_at: Moment,
    full_until: Moment,
    paused_until: Moment,
    pause: Duration,
    gone: bool,
    /// How much longer than expected its answers take; 1 is as expected.
    pub(crate) slowness: f64,
    /// Part of its requests that end badly.
    pub(crate) failing: f64,
    objects: HashMap<u64, Moment>,
}

impl State {
    pub(crate) fn new(now: Moment, listed: Endpoint, region: Option<Region>) -> Self {
        let mut state = Self {
            id: listed.id.as_str().into(),
            service: listed.service.clone(),
            addr: listed.addr,
            domain: listed.domain.clone(),
            region,
            slots: 1,
            draining: false,
            cold: ColdGate::default(),
            own: 0,
            others: 0.0,
            others_at: now,
            full_until: Moment::ZERO,
            paused_until: Moment::ZERO,
            pause: PAUSE_MIN,
            gone: false,
            slowness: 1.0,
            failing: 0.0,
            objects: HashMap::new(),
        };
        state.listed(now, &listed);
        state
    }

    /// Takes in what the platform's list says by now.
    pub(crate) fn listed(&mut self, now: Moment, listed: &Endpoint) {
        self.slots = listed.slots.max(1);
        self.draining = listed.state == EndpointState::Draining;
        if listed.cold_left > Duration::ZERO {
            self.cold.set(now + listed.cold_left);
        }
    }

    /// Whether requests may go there at all.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        !self.gone && !self.draining && now >= self.paused_until
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

    pub(crate) fn reported(&mut self, now: Moment, load: Load) {
        let all = f64::from(load.running + load.waiting);
        // The answer's own request may or may not be counted any more.
        self.others = (all - f64::from(self.own)).max(0.0);
        self.others_at = now;
    }

    pub(crate) fn knows(&self, now: Moment, object: u64) -> bool {
        let sent = self.objects.get(&object);
        sent.is_some_and(|at| now < *at + OBJECT_KEPT)
    }

    pub(crate) fn sent(&mut self, now: Moment, object: Option<u64>) {
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

    /// Notes how a request ended; `expected` is how long it should have taken.
    pub(crate) fn ended(&mut self, now: Moment, outcome: Outcome, expected: Duration) {
        self.own = self.own.saturating_sub(1);
        match outcome {
            Outcome::Served(took) => {
                self.pause = PAUSE_MIN;
                self.failing *= 1.0 - NEW;
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                // One answer that took extremely long must not outweigh many.
                self.slowness += NEW * (ratio.clamp(0.2, 10.0) - self.slowness);
            }
            Outcome::Failed => self.failing += NEW * (1.0 - self.failing),
            Outcome::Full => {
                self.failing += NEW * (1.0 - self.failing);
                // One that refuses with slots free, as its own count says, isn't full: it
                // refuses some requests for reasons of its own, and may take the next.
                let has_room = self.others_at == now && self.load(now) < f64::from(self.slots);
                if !has_room {
                    self.full_until = now + FULL_FOR;
                }
            }
            Outcome::Gone => self.gone = true,
            Outcome::Broken => {
                self.failing += NEW * (1.0 - self.failing);
                self.paused_until = now + self.pause;
                self.pause = (self.pause * 2).min(PAUSE_MAX);
            }
            Outcome::Abandoned => {}
        }
    }
}
