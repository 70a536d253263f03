//! A gateway's view of one endpoint: load, speed, failures and recent objects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointStart, EndpointState};
use filberthead_types::{FailureDomain, Incarnation, Moment, Region, ServiceName};

use crate::cold::ColdLimiter;
use crate::named_limit::EndpointLimit;
use crate::rest::EndpointRest;
use crate::{ContactProbe, Target};

/// Identity of an endpoint. It may be reused by a later start of the endpoint.
pub type EndpointId = Arc<str>;

/// One start of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointRef<'a> {
    /// Identity of the endpoint.
    pub id: &'a EndpointId,
    /// Its start; `None` if the platform reports no starts.
    pub incarnation: Option<Incarnation>,
    /// Where it listens.
    pub addr: SocketAddr,
}

impl EndpointRef<'_> {
    /// Whether this is the same start, at whatever address. A platform that reports no starts gives each
    /// its own identity.
    pub(crate) fn is_start(&self, other: EndpointRef<'_>) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

impl<'a> From<&'a TrackedEndpoint> for EndpointRef<'a> {
    fn from(endpoint: &'a TrackedEndpoint) -> Self {
        Self {
            id: &endpoint.id,
            incarnation: endpoint.incarnation,
            addr: endpoint.addr,
        }
    }
}

impl<'a> From<&'a Target> for EndpointRef<'a> {
    fn from(target: &'a Target) -> Self {
        Self {
            id: &target.id,
            incarnation: target.incarnation,
            addr: target.addr,
        }
    }
}

impl<'a> From<&'a ContactProbe> for EndpointRef<'a> {
    fn from(probe: &'a ContactProbe) -> Self {
        Self {
            id: &probe.endpoint,
            incarnation: probe.incarnation,
            addr: probe.addr,
        }
    }
}

/// First backoff after an endpoint couldn't be reached; doubled with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(300);
/// Longest backoff: by then the platform's list shows that an endpoint is lost.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// An endpoint with requests counts as stalled after this multiple of the expected response
/// time without a response, but not before `STALL_MIN`, the delay that a lost packet may
/// cause.
const STALL_FACTOR: u32 = 5;
const STALL_MIN: Duration = Duration::from_millis(400);
/// How long an endpoint counts as full after it rejected a request without reporting its load.
const FULL_DURATION: Duration = Duration::from_millis(120);
/// Half-life of the reported number of requests of other gateways: about the time that a
/// request runs.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);
/// Time over which reported loads are averaged: several reports, as a gateway hears from an endpoint only
/// every few seconds.
const LOAD_AVERAGING: Duration = Duration::from_secs(10);
/// Half-life of the reported slowdown of an endpoint's VM: VMs that share a host stay slow for about
/// 0.6 s.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);
/// Smallest and largest slowdown that is believed: a wrong figure must not attract or repel all requests.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 20.0);
/// Differences from the usual speed that are ignored: they would move objects between endpoints that are
/// as good as equal.
const SLOWDOWN_DEAD_BAND: f64 = 0.1;
/// Slowdown from which an endpoint is counted as slowed.
const SLOWED: f64 = 1.5;
/// Largest ratio of the slowdowns before and after a request at which its time is scaled by them.
const STEADY_SLOWDOWN: f64 = 1.2;
/// Half-life of slowness and failure rate. An endpoint that is avoided for them receives no
/// requests that could improve them, so they have to decay for it to be tried again.
const SCORE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Slowness below which an endpoint counts as normal. Kinds of requests of one service differ
/// by as much, and objects that move to another endpoint have to be loaded there.
const SLOWNESS_THRESHOLD: f64 = 1.5;
/// Weight of a new observation in moving averages: about the last ten count.
const EWMA_WEIGHT: f64 = 0.1;
/// Objects recorded for each endpoint; the oldest is dropped first.
const MAX_OBJECTS: usize = 64;
/// How long an object that was sent to an endpoint is expected to be cached there.
const OBJECT_TTL: Duration = Duration::from_secs(30);

/// Load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the endpoint's queue.
    pub waiting: u32,
    /// How long work currently takes on the endpoint's VM, in hundredths of the usual time; `None` if
    /// it isn't reported.
    pub slowdown: Option<u32>,
}

/// The outcome of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded, in this time.
    Served(Duration),
    /// It ran and failed.
    Failed,
    /// The endpoint rejected it.
    Full,
    /// The address belongs to another start of the endpoint, or to another endpoint.
    Gone,
    /// The endpoint couldn't be reached; nothing was sent.
    Unreached,
    /// Nothing was sent, as the endpoint had asked for rest in the meantime.
    Withdrawn,
    /// The connection broke.
    Broken,
    /// The caller disconnected or the deadline passed after this time without a response.
    Abandoned(Duration),
    /// Another attempt of the request was answered first. Attempts run side by side once contact counts as
    /// lost, and then silence tells of the way to an endpoint rather than of the endpoint.
    Superseded,
}

/// What a gateway has learned about one start of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct TrackedEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) incarnation: Option<Incarnation>,
    /// Digest of both.
    pub(crate) start: EndpointStart,
    pub(crate) service: ServiceName,
    pub(crate) addr: SocketAddr,
    pub(crate) domain: FailureDomain,
    pub(crate) region: Option<Region>,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    /// Whether it has said that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) cold: ColdLimiter,
    /// The rate that it names.
    pub(crate) limit: EndpointLimit,
    /// The rest that it asks for.
    pub(crate) rest: EndpointRest,
    /// When the last request was sent that it has answered.
    pub(crate) answered: Moment,
    /// In-flight requests of this gateway.
    pub(crate) own_in_flight: u32,
    /// In-flight requests of other gateways, as last reported, and when that was.
    others_in_flight: f64,
    load_reported_at: Moment,
    /// Until when it counts as full.
    full_until: Moment,
    backoff_until: Moment,
    next_backoff: Duration,
    /// Until when it is backed off because it couldn't be reached.
    unreached_until: Moment,
    /// Whether the address belongs to another start or endpoint.
    gone: bool,
    /// Time of the last response, or of the first request that was sent while none was in
    /// flight.
    progress_at: Moment,
    /// Time after `progress_at` without a response that counts as a stall.
    stall_timeout: Duration,
    /// Whether the last reported load had queued requests.
    has_queue: bool,
    /// Moving average of the reported load for each slot; `None` until the first report.
    mean_load: Option<f64>,
    /// How many times longer work takes on its VM, as last reported, and when that was.
    reported_slowdown: f64,
    slowdown_reported_at: Moment,
    /// Moving average of actual by expected response time; 1 is as expected.
    slowness: f64,
    /// Moving average of the share of requests that fail.
    failure_rate: f64,
    /// When `slowness` and `failure_rate` were last updated.
    scored_at: Moment,
    /// When each object, by its hash, was last sent there.
    objects: HashMap<u64, Moment>,
}

impl TrackedEndpoint {
    pub(crate) fn new(now: Moment, listed: Endpoint, region: Option<Region>) -> Self {
        let mut state = Self {
            id: listed.id.as_str().into(),
            incarnation: listed.incarnation,
            start: EndpointStart::new(&listed.id, listed.incarnation),
            service: listed.service.clone(),
            addr: listed.addr,
            domain: listed.domain.clone(),
            region,
            slots: 1,
            draining: false,
            leaving: false,
            cold: ColdLimiter::default(),
            limit: EndpointLimit::default(),
            rest: EndpointRest::default(),
            answered: Moment::ZERO,
            own_in_flight: 0,
            others_in_flight: 0.0,
            load_reported_at: now,
            full_until: Moment::ZERO,
            backoff_until: Moment::ZERO,
            next_backoff: BACKOFF_MIN,
            unreached_until: Moment::ZERO,
            gone: false,
            progress_at: now,
            stall_timeout: STALL_MIN,
            has_queue: false,
            mean_load: None,
            reported_slowdown: 1.0,
            slowdown_reported_at: now,
            slowness: 1.0,
            failure_rate: 0.0,
            scored_at: now,
            objects: HashMap::new(),
        };
        state.update(now, &listed);
        state
    }

    /// Whether an entry of the list describes this start. An endpoint that starts again under
    /// its identity has no requests and nothing cached. One whose address, service or failure
    /// domain changed has started again, also where the platform doesn't report starts.
    pub(crate) fn is_same_start(&self, listed: &Endpoint) -> bool {
        self.incarnation == listed.incarnation
            && self.addr == listed.addr
            && self.service == listed.service
            && self.domain == listed.domain
    }

    /// Whether a request was sent to this start.
    pub(crate) fn is_target<'a>(&self, target: impl Into<EndpointRef<'a>>) -> bool {
        let EndpointRef {
            id,
            incarnation,
            addr,
        } = target.into();
        self.id == *id && self.incarnation == incarnation && self.addr == addr
    }

    /// Applies an entry of the platform's list.
    pub(crate) fn update(&mut self, now: Moment, listed: &Endpoint) {
        self.slots = listed.slots.max(1);
        self.draining = listed.state == EndpointState::Draining;
        if listed.cold_left > Duration::ZERO {
            self.cold.set_cold_until(now, now + listed.cold_left);
        }
    }

    /// Whether it accepts requests, as far as is known.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.gone && !self.draining && !self.leaving
    }

    /// Whether it is backed off because this gateway couldn't reach it.
    pub(crate) fn is_unreached(&self, now: Moment) -> bool {
        now < self.unreached_until
    }

    /// Whether requests may be sent to the endpoint at all.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        self.accepts_requests() && now >= self.backoff_until && !self.is_stalled(now)
    }

    /// Whether the rest that it asks for doesn't speak against a request.
    pub(crate) fn rest_allows(&self, now: Moment) -> bool {
        self.rest.allows(now, self.own_in_flight)
    }

    /// Whether it has requests in flight and hasn't responded for too long. A VM without
    /// power, or behind a network partition, resets no connection: kept connections accept
    /// requests without a response, and each request would find that out only at its deadline.
    fn is_stalled(&self, now: Moment) -> bool {
        self.own_in_flight > 0 && now >= self.progress_at + self.stall_timeout
    }

    /// Estimated number of requests at the endpoint, running and queued.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let others = match self.others_in_flight > 0.0 {
            true => self.others_in_flight * decay(now, self.load_reported_at, LOAD_HALF_LIFE),
            false => 0.0,
        };
        let min_load = if now < self.full_until {
            f64::from(2 * self.slots)
        } else {
            0.0
        };
        (f64::from(self.own_in_flight) + others).max(min_load)
    }

    /// How much longer than expected its responses take, decayed by age; 1 below the
    /// threshold.
    pub(crate) fn slowness(&self, now: Moment) -> f64 {
        // It only decays, so a value below the threshold stays there.
        if self.slowness < SLOWNESS_THRESHOLD {
            return 1.0;
        }
        let slowness = self.decayed_slowness(now);
        if slowness < SLOWNESS_THRESHOLD {
            1.0
        } else {
            slowness
        }
    }

    fn decayed_slowness(&self, now: Moment) -> f64 {
        1.0 + (self.slowness - 1.0) * decay(now, self.scored_at, SCORE_HALF_LIFE)
    }

    /// Share of its requests that fail, decayed by age.
    pub(crate) fn failure_rate(&self, now: Moment) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        self.failure_rate * decay(now, self.scored_at, SCORE_HALF_LIFE)
    }

    /// Records the load that the endpoint reported with a response.
    pub(crate) fn record_load(&mut self, now: Moment, load: Load) {
        let total = f64::from(load.running + load.waiting);
        // The request that this response belongs to may or may not be included in the load.
        self.others_in_flight = (total - f64::from(self.own_in_flight)).max(0.0);
        let age = now.saturating_sub(self.load_reported_at);
        let weight = 1.0 - (-age.as_secs_f64() / LOAD_AVERAGING.as_secs_f64()).exp();
        let per_slot = total / f64::from(self.slots);
        let before = self.mean_load.unwrap_or(per_slot);
        self.mean_load = Some(before + weight * (per_slot - before));
        self.load_reported_at = now;
        self.has_queue = load.waiting > 0;
        if let Some(hundredths) = load.slowdown.filter(|hundredths| *hundredths > 0) {
            let (min, max) = SLOWDOWN_RANGE;
            self.reported_slowdown = (f64::from(hundredths) / 100.0).clamp(min, max);
            self.slowdown_reported_at = now;
        }
    }

    /// How many times longer than usual work takes on its VM, as far as is known: the reported value,
    /// which approaches 1 with its age.
    pub(crate) fn slowdown(&self, now: Moment) -> f64 {
        let reported = self.reported_slowdown - 1.0;
        if reported.abs() < SLOWDOWN_DEAD_BAND {
            return 1.0;
        }
        let excess = reported * decay(now, self.slowdown_reported_at, SLOWDOWN_HALF_LIFE);
        match excess.abs() < SLOWDOWN_DEAD_BAND {
            true => 1.0,
            false => 1.0 + excess,
        }
    }

    /// Moving average of its load for each slot; `None` until it has reported one.
    pub(crate) fn mean_load(&self) -> Option<f64> {
        self.mean_load
    }

    /// Whether the last reported load had queued requests.
    pub(crate) fn has_queue(&self) -> bool {
        self.has_queue
    }

    /// Whether its VM works clearly slower than usual.
    pub(crate) fn is_slowed(&self, now: Moment) -> bool {
        self.slowdown(now) >= SLOWED
    }

    /// By what the time of a request that ends now has to be divided to get its usual time. `None` if the
    /// VM's speed changed meanwhile, so that the time says little.
    pub(crate) fn slowdown_during(&self, now: Moment, target: &Target) -> Option<f64> {
        let (before, after) = (target.slowdown(), self.slowdown(now));
        let is_steady = before.max(after) <= STEADY_SLOWDOWN * before.min(after);
        is_steady.then_some(after)
    }

    /// The time that a request took as a multiple of the time that was expected, as far as the slowdown of
    /// the VM before or after it doesn't explain the difference.
    fn unexplained(&self, now: Moment, target: &Target, took: Duration) -> f64 {
        let ratio = took.as_secs_f64() / target.usual.as_secs_f64().max(0.001);
        let explained = target.slowdown().max(self.slowdown(now)).max(1.0);
        if ratio > explained {
            ratio / explained
        } else {
            ratio.min(1.0)
        }
    }

    /// Whether this gateway has sent the object there recently.
    pub(crate) fn was_recently_sent(&self, now: Moment, object: u64) -> bool {
        let sent = self.objects.get(&object);
        sent.is_some_and(|at| now < *at + OBJECT_TTL)
    }

    /// Records that the request with this number is sent; `expected` is the time until its response.
    pub(crate) fn record_sent(
        &mut self,
        now: Moment,
        number: u64,
        object: Option<u64>,
        expected: Duration,
    ) {
        if self.own_in_flight == 0 {
            self.progress_at = now;
            self.stall_timeout = (expected * STALL_FACTOR).max(STALL_MIN);
        }
        self.rest.record_placed(now, number, expected);
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

    /// Starts a backoff that is twice as long as the previous one, unless one is in progress.
    fn back_off(&mut self, now: Moment) {
        if now < self.backoff_until {
            return;
        }
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(BACKOFF_MAX);
    }

    /// Records the outcome of a request.
    pub(crate) fn record_outcome(&mut self, now: Moment, outcome: Outcome, target: &Target) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.rest.record_ended(target.number);
        self.slowness = self.decayed_slowness(now);
        self.failure_rate = self.failure_rate(now);
        self.scored_at = now;
        if !matches!(
            outcome,
            Outcome::Abandoned(_)
                | Outcome::Superseded
                | Outcome::Broken
                | Outcome::Unreached
                | Outcome::Withdrawn
        ) {
            self.progress_at = now;
        }
        match outcome {
            Outcome::Served(took) => {
                self.next_backoff = BACKOFF_MIN;
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
                let ratio = self.unexplained(now, target, took);
                // Time spent in a queue says nothing about the endpoint's own speed, and one
                // extremely slow response must not outweigh many others.
                if !self.has_queue {
                    self.slowness += EWMA_WEIGHT * (ratio.clamp(0.5, 10.0) - self.slowness);
                }
            }
            Outcome::Failed => self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate),
            Outcome::Full => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                // An endpoint that reported its load with the rejection is as full as that:
                // with free slots, it rejects some requests for other reasons and may accept
                // the next one.
                let load_reported = self.load_reported_at == now;
                if !load_reported {
                    self.full_until = now + FULL_DURATION;
                }
            }
            Outcome::Gone => self.gone = true,
            Outcome::Withdrawn | Outcome::Superseded => {}
            Outcome::Broken | Outcome::Unreached => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                self.back_off(now);
                if outcome == Outcome::Unreached {
                    self.unreached_until = self.backoff_until;
                }
            }
            Outcome::Abandoned(waited) => {
                // The response would have taken even longer.
                let ratio = self.unexplained(now, target, waited);
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

/// What is left of a value that was last updated at `at`.
fn decay(now: Moment, at: Moment, half_life: Duration) -> f64 {
    let age = now.saturating_sub(at);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
