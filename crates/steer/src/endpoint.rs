//! One endpoint of the own failure domain, with this entry's counts and estimates for it.

use std::sync::Arc;
use std::time::Duration;

use filberthead_types::Moment;

use crate::estimate::Mean;
use crate::health::{Health, Obstacle, Usability};
use crate::{EndpointInfo, FinishKind, Reading};

/// Answers after which an endpoint in slow start gets one more slot.
const ANSWERS_PER_SLOT: u32 = 4;
/// Factor by which a refusal by the endpoint reduces its concurrency.
const SHED_FACTOR: f64 = 0.7;
/// Concurrency regained with each answer.
const CONCURRENCY_RECOVERY: f64 = 0.1;
/// Multiple of the service's mean latency above which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Interval at which a slow endpoint gets one request, so that its recovery is noticed.
const SLOW_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: Arc<EndpointInfo>,
    pub(crate) health: Health,
    /// Requests that this entry runs there.
    pub(crate) running: u32,
    /// Mean time to the first byte of an answer.
    pub(crate) latency: Mean,
    /// Slots that this entry may fill, from ownership.
    owned_slots: u32,
    /// No longer on the list; kept until its running requests have ended.
    pub(crate) delisted: bool,
    pub(crate) next_probe: Moment,
    /// Requests of a previous owner that may still run there; as many slots stay reserved.
    inherited: u32,
    /// When this entry took over the slots. Older readings don't lower `inherited`.
    inherited_since: Moment,
    /// When `inherited` expires.
    inherited_until: Moment,
    /// Answers since the start of slow start; `None` once it is over.
    slow_start_answers: Option<u32>,
    /// Requests that the endpoint runs without refusing, at most its slots. Refusals lower
    /// it, answers raise it.
    concurrency: f64,
    open_connections: u32,
    idle_connections: u32,
    last_started: Moment,
}

impl Endpoint {
    pub(crate) fn new(
        info: Arc<EndpointInfo>,
        initial_latency: Duration,
        slow_start: bool,
    ) -> Self {
        let concurrency = f64::from(info.slots);
        Self {
            info,
            health: Health::new(),
            running: 0,
            latency: Mean::new(initial_latency),
            owned_slots: 0,
            delisted: false,
            next_probe: Moment::ZERO,
            inherited: 0,
            inherited_since: Moment::ZERO,
            inherited_until: Moment::ZERO,
            slow_start_answers: slow_start.then_some(0),
            concurrency,
            open_connections: 0,
            idle_connections: 0,
            last_started: Moment::ZERO,
        }
    }

    /// Whether a fresh reading of the endpoint shows it to be ready with a free slot.
    pub(crate) fn reports_free_slot(&self, now: Moment, reading_ttl: Duration) -> bool {
        let slots = f64::from(self.info.slots.max(1));
        let reading = self.health.fresh_reading(now, reading_ttl);
        reading.is_some_and(|reading| reading.ready && reading.load * slots <= slots - 1.0)
    }

    /// Slots that this entry may fill now, those of its running requests included.
    pub(crate) fn capacity(&self, now: Moment) -> u32 {
        let inherited = self.inherited(now);
        let slow_start_limit = self
            .slow_start_answers
            .map_or(u32::MAX, |answers| 1 + answers / ANSWERS_PER_SLOT);
        self.owned_slots
            .saturating_sub(inherited)
            .min(slow_start_limit)
            .min((self.concurrency as u32).max(1))
    }

    /// Requests of a previous owner that may still run there.
    pub(crate) fn inherited(&self, now: Moment) -> u32 {
        if now < self.inherited_until {
            self.inherited
        } else {
            0
        }
    }

    pub(crate) fn free_slots(&self, now: Moment) -> u32 {
        self.capacity(now).saturating_sub(self.running)
    }

    /// Whether one more request stays within the connection budget.
    pub(crate) fn connection_available(&self) -> bool {
        self.idle_connections > 0 || self.open_connections < self.info.connections
    }

    /// Whether the endpoint is far slower than the service's mean and isn't due for a trial
    /// request. It is skipped then: least-loaded selection would otherwise prefer it whenever
    /// the fast ones are briefly busy.
    pub(crate) fn is_slow(&self, now: Moment, service_seconds: f64) -> bool {
        self.latency.settled()
            && self.latency.seconds() > SLOW_FACTOR * service_seconds
            && now < self.last_started + SLOW_TRIAL_INTERVAL
    }

    pub(crate) fn start(&mut self, now: Moment) {
        self.running += 1;
        self.last_started = now;
        if self.idle_connections > 0 {
            self.idle_connections -= 1;
        } else {
            self.open_connections += 1;
        }
    }

    pub(crate) fn finish(&mut self, now: Moment, kind: FinishKind, first_byte: Duration) {
        self.running = self.running.saturating_sub(1);
        self.health.record_outcome(now, kind);
        match kind {
            FinishKind::Answered => {
                self.idle_connections += 1;
                self.latency.add(first_byte);
                let max = f64::from(self.info.slots);
                self.concurrency = (self.concurrency + CONCURRENCY_RECOVERY).min(max);
                self.slow_start_answers = self.slow_start_answers.map(|answers| answers + 1);
            }
            FinishKind::Shed => {
                self.idle_connections += 1;
                self.concurrency = (self.concurrency * SHED_FACTOR).max(1.0);
            }
            FinishKind::Broken => {
                self.open_connections = self.open_connections.saturating_sub(1);
                self.next_probe = now;
            }
            FinishKind::ConnectFailed | FinishKind::Cancelled => {
                self.open_connections = self.open_connections.saturating_sub(1);
            }
        }
        if self.slow_start_answers > Some(ANSWERS_PER_SLOT * self.info.slots) {
            self.slow_start_answers = None;
        }
    }

    pub(crate) fn record_reading(&mut self, reading: Reading, slow_start: bool) {
        let restarted = self.health.record_reading(reading);
        if restarted {
            self.slow_start_answers = slow_start.then_some(0);
            self.concurrency = f64::from(self.info.slots);
        }
        self.lower_inherited(reading);
    }

    /// Lowers the number of inherited requests to the load that the endpoint reports. A
    /// reading from before the takeover is ignored.
    fn lower_inherited(&mut self, reading: Reading) {
        if reading.asked >= self.inherited_since {
            let busy = (reading.load * f64::from(self.info.slots)).ceil() as u32;
            self.inherited = self.inherited.min(busy);
        }
    }

    pub(crate) fn owned_slots(&self) -> u32 {
        self.owned_slots
    }

    /// Sets the slots that this entry may fill.
    ///
    /// The previous owner may have crashed while its requests go on running at the endpoint.
    /// Their slots stay reserved until a reading shows fewer requests or all their deadlines
    /// must have passed; otherwise the new owner, which counts from zero, would fill them
    /// twice.
    pub(crate) fn set_owned_slots(
        &mut self,
        now: Moment,
        slots: u32,
        max_request_duration: Duration,
    ) {
        if slots > self.owned_slots {
            self.inherited = self.info.slots;
            self.inherited_since = now;
            self.inherited_until = now + max_request_duration;
            self.next_probe = now;
        }
        self.owned_slots = slots;
    }

    pub(crate) fn set_connections(&mut self, open: u32, idle: u32) {
        self.open_connections = open;
        self.idle_connections = idle;
    }

    pub(crate) fn usability(&self, now: Moment, reading_ttl: Duration) -> Usability {
        if self.delisted {
            return Usability::Unusable;
        }
        self.health.usability(now, reading_ttl)
    }

    /// Why the endpoint may get no requests now; `None` if it may.
    pub(crate) fn obstacle(&self, now: Moment, reading_ttl: Duration) -> Option<Obstacle> {
        if self.delisted {
            return Some(Obstacle::Leaving);
        }
        self.health.obstacle(now, reading_ttl)
    }
}
