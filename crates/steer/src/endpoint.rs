//! One endpoint of the own failure domain, with all that this entry counts about it.

use std::sync::Arc;
use std::time::Duration;

use filberthead_types::Moment;

use crate::estimate::Mean;
use crate::health::{Health, Usability};
use crate::{EndpointInfo, FinishKind, Reading};

/// Answers after which an endpoint in slow start gets one more slot.
const ANSWERS_A_SLOT: u32 = 4;
/// Part of the concurrency that is left after a refusal by the endpoint.
const SHED_FACTOR: f64 = 0.7;
/// Concurrency regained with each answer.
const REGAIN: f64 = 0.1;
/// Latency against the service's mean from which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 3.0;
/// How often a slow endpoint gets one request, so that its recovery shows.
const SLOW_TRIAL_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: Arc<EndpointInfo>,
    pub(crate) health: Health,
    pub(crate) running: u32,
    pub(crate) latency: Mean,
    /// Slots that this entry may fill, from ownership.
    granted: u32,
    /// No longer on the list; kept until what runs there has ended.
    pub(crate) gone: bool,
    pub(crate) next_probe: Moment,
    /// Requests of an earlier owner that may still run here: so many slots stay empty.
    foreign: u32,
    foreign_since: Moment,
    foreign_until: Moment,
    warm_answers: Option<u32>,
    concurrency: f64,
    connections_open: u32,
    connections_idle: u32,
    last_placed: Moment,
}

impl Endpoint {
    pub(crate) fn new(info: Arc<EndpointInfo>, guess: Duration, slow_start: bool) -> Self {
        let concurrency = f64::from(info.slots);
        Self {
            info,
            health: Health::new(),
            running: 0,
            latency: Mean::new(guess),
            granted: 0,
            gone: false,
            next_probe: Moment::ZERO,
            foreign: 0,
            foreign_since: Moment::ZERO,
            foreign_until: Moment::ZERO,
            warm_answers: slow_start.then_some(0),
            concurrency,
            connections_open: 0,
            connections_idle: 0,
            last_placed: Moment::ZERO,
        }
    }

    /// Whether the endpoint's own fresh word is that it is ready and has a free slot.
    pub(crate) fn shows_room(&self, now: Moment, reading_ttl: Duration) -> bool {
        let slots = f64::from(self.info.slots.max(1));
        let reading = self.health.fresh_reading(now, reading_ttl);
        reading.is_some_and(|reading| reading.ready && reading.load * slots <= slots - 1.0)
    }

    /// Slots that may be filled now, whoever fills them.
    pub(crate) fn capacity(&self, now: Moment) -> u32 {
        let foreign = self.foreign(now);
        let warm = self
            .warm_answers
            .map_or(u32::MAX, |answers| 1 + answers / ANSWERS_A_SLOT);
        self.granted
            .saturating_sub(foreign)
            .min(warm)
            .min((self.concurrency as u32).max(1))
    }

    /// Requests of an earlier owner that may still run.
    pub(crate) fn foreign(&self, now: Moment) -> u32 {
        if now < self.foreign_until {
            self.foreign
        } else {
            0
        }
    }

    pub(crate) fn free(&self, now: Moment) -> u32 {
        self.capacity(now).saturating_sub(self.running)
    }

    /// Whether one more request stays within the connection budget.
    pub(crate) fn connectable(&self) -> bool {
        self.connections_idle > 0 || self.connections_open < self.info.connections
    }

    /// An endpoint far slower than its like is passed over, but for one request now
    /// and then: least-loaded choice would otherwise favour it whenever the quick ones
    /// are busy for a moment.
    pub(crate) fn slow(&self, now: Moment, service_seconds: f64) -> bool {
        self.latency.settled()
            && self.latency.seconds() > SLOW_FACTOR * service_seconds
            && now < self.last_placed + SLOW_TRIAL_EVERY
    }

    pub(crate) fn start(&mut self, now: Moment) {
        self.running += 1;
        self.last_placed = now;
        if self.connections_idle > 0 {
            self.connections_idle -= 1;
        } else {
            self.connections_open += 1;
        }
    }

    pub(crate) fn finish(&mut self, now: Moment, kind: FinishKind, first_byte: Duration) {
        self.running = self.running.saturating_sub(1);
        self.health.finished(now, kind);
        match kind {
            FinishKind::Answered => {
                self.connections_idle += 1;
                self.latency.add(first_byte);
                let most = f64::from(self.info.slots);
                self.concurrency = (self.concurrency + REGAIN).min(most);
                self.warm_answers = self.warm_answers.map(|answers| answers + 1);
            }
            FinishKind::Shed => {
                self.connections_idle += 1;
                self.concurrency = (self.concurrency * SHED_FACTOR).max(1.0);
            }
            FinishKind::Broken => {
                self.connections_open = self.connections_open.saturating_sub(1);
                self.next_probe = now;
            }
            FinishKind::ConnectFailed | FinishKind::Cancelled => {
                self.connections_open = self.connections_open.saturating_sub(1);
            }
        }
        if self.warm_answers > Some(ANSWERS_A_SLOT * self.info.slots) {
            self.warm_answers = None;
        }
    }

    pub(crate) fn read(&mut self, reading: Reading, slow_start: bool) {
        let restarted = self.health.read(reading);
        if restarted {
            self.warm_answers = slow_start.then_some(0);
            self.concurrency = f64::from(self.info.slots);
        }
        self.shrink_foreign(reading);
    }

    /// The endpoint's own word on how full it is shows how many requests of an earlier
    /// owner are left; a word from before the take-over shows nothing.
    fn shrink_foreign(&mut self, reading: Reading) {
        if reading.asked >= self.foreign_since {
            let used = (reading.load * f64::from(self.info.slots)).ceil() as u32;
            self.foreign = self.foreign.min(used);
        }
    }

    pub(crate) fn granted(&self) -> u32 {
        self.granted
    }

    /// Sets the slots that this entry may fill.
    ///
    /// Whoever admitted here until now may have died with requests running, and these
    /// run on at the endpoint. Their slots stay empty until a reading shows fewer, or
    /// until no deadline can be left; otherwise the new owner, which counts from zero,
    /// would fill them twice.
    pub(crate) fn grant(&mut self, now: Moment, slots: u32, max_request_duration: Duration) {
        if slots > self.granted {
            self.foreign = self.info.slots;
            self.foreign_since = now;
            self.foreign_until = now + max_request_duration;
            self.next_probe = now;
        }
        self.granted = slots;
    }

    pub(crate) fn set_connections(&mut self, open: u32, idle: u32) {
        self.connections_open = open;
        self.connections_idle = idle;
    }

    pub(crate) fn usability(&self, now: Moment, reading_ttl: Duration) -> Usability {
        if self.gone {
            return Usability::Unusable;
        }
        self.health.usability(now, reading_ttl)
    }
}
