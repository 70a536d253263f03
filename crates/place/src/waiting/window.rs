//! The congestion window of a service in a region.
//!
//! A report of an endpoint counts as congested if a request that arrives there waits longer than callers can
//! afford. The window is limited once half of the recent reports are congested, and not by a few full
//! endpoints beside idle ones. It decreases in proportion to how much more is at the endpoints than they can
//! handle in time, once per response time, as the effect of a decrease shows only then.

use std::collections::VecDeque;
use std::time::Duration;

use filberthead_types::Moment;

use super::SiteEndpoint;
use crate::Load;

/// Weight of a new report while there is no limit: about the last sixteen count. With 0.125, a gateway that
/// hears of 8 endpoints, one of them full, limited the window of a calm service once in 80 s.
const WEIGHT: f64 = 0.0625;
/// The same while there is one. With 0.0625, the rate of answers in time in an overload was a tenth lower.
const LIMITED_WEIGHT: f64 = 0.125;
/// Share of congested reports from which a service counts as congested.
const CONGESTED: f64 = 0.5;
/// Endpoints whose latest report is kept.
const MAX_RECENT: usize = 16;
/// Share of congested reports that is assumed after a decrease, so that the next one needs new reports.
const AFTER_DECREASE: f64 = 0.25;
/// Share of congested reports up to which a window may become unlimited.
const CALM: f64 = 0.1;
/// Parts of the time that callers can spare, and of their objective, that a request may wait at an endpoint.
/// The first one leaves most of the time for the wait at the gateway, where requests are ordered; the second
/// one applies where the work alone takes as long as the objective.
const QUEUE_SHARE: f64 = 0.25;
const MIN_QUEUE_SHARE: f64 = 0.125;
/// Range of the factor of a decrease.
const FACTORS: (f64, f64) = (0.5, 0.9);
/// Largest increase by one answer. With one request per window of answers, 68 gateways with windows of 2 or 3
/// requests kept the endpoints' queues full, and 0.65 of the calm rate was answered in time, not 0.8.
const MAX_INCREASE: f64 = 0.05;
/// Time without a request that exceeds the window after which it becomes unlimited.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time without reports after which the window grows by itself, and that in which it then doubles.
const SILENCE: Duration = Duration::from_secs(1);
/// Time without reports after which the window is unlimited.
const MAX_SILENCE: Duration = Duration::from_secs(8);
/// Shortest time between two decreases, for services without a known response time.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Weight of a new response time.
const TIME_WEIGHT: f64 = 0.05;
/// Response time in seconds until one is known.
const DEFAULT_RESPONSE: f64 = 0.5;

/// Learns a mean of times. The first one counts fully.
fn learn(mean: &mut f64, seconds: f64) {
    let weight = if *mean == 0.0 { 1.0 } else { TIME_WEIGHT };
    *mean += weight * (seconds - *mean);
}

/// What an endpoint reported last.
#[derive(Clone, Copy, Debug)]
struct Report {
    endpoint: u64,
    is_congested: bool,
}

/// How many requests a gateway may have in flight for a service in a region.
#[derive(Clone, Debug)]
pub struct Window {
    /// `None` if unlimited.
    limit: Option<f64>,
    in_flight: u32,
    /// Share of the recent reports that are congested.
    congested: f64,
    /// The latest report of each of the endpoints that were heard from last.
    recent: VecDeque<Report>,
    /// Requests at an endpoint per slot.
    fill: f64,
    /// Seconds that a request runs at an endpoint, without its wait there, and those of its objective.
    work: f64,
    objective: f64,
    /// Seconds from the start of a request to its end.
    response: f64,
    has_response: bool,
    /// No decrease before this.
    next_decrease: Moment,
    reported_at: Moment,
    /// When the window last grew by itself.
    grown_at: Moment,
    /// When a request last exceeded it.
    exceeded_at: Moment,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            limit: None,
            in_flight: 0,
            congested: 0.0,
            recent: VecDeque::new(),
            fill: 0.0,
            work: 0.0,
            objective: 0.0,
            response: DEFAULT_RESPONSE,
            has_response: false,
            next_decrease: Moment::ZERO,
            reported_at: Moment::ZERO,
            grown_at: Moment::ZERO,
            exceeded_at: Moment::ZERO,
        }
    }
}

impl Window {
    /// The limit; `None` while there is none.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether another request may be started.
    pub fn has_room(&self) -> bool {
        let next = f64::from(self.in_flight + 1);
        self.limit.is_none_or(|limit| next <= limit)
    }

    /// Requests that are started per second while the window is full.
    pub fn starts_per_s(&self) -> f64 {
        let window = self.limit.unwrap_or_else(|| f64::from(self.in_flight));
        window.max(1.0) / self.response.max(0.001)
    }

    /// Counts a request that is started.
    pub fn start(&mut self, objective: Duration) {
        self.in_flight += 1;
        learn(&mut self.objective, objective.as_secs_f64());
    }

    /// Counts a request that has ended, this long after its start.
    pub fn end(&mut self, took: Duration) {
        self.leave();
        let weight = if self.has_response { TIME_WEIGHT } else { 1.0 };
        self.response += weight * (took.as_secs_f64() - self.response);
        self.has_response = true;
    }

    /// Counts a request that goes elsewhere.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes that a request exceeds the window.
    pub fn record_exceeded(&mut self, now: Moment) {
        self.exceeded_at = now;
    }

    /// Seconds that a request may wait at an endpoint.
    fn affordable_wait(&self) -> f64 {
        let spare = (self.objective - self.work).max(0.0);
        (QUEUE_SHARE * spare).max(MIN_QUEUE_SHARE * self.objective)
    }

    /// Records a report of an endpoint. `took` is how long the request took that it came with, if that ran.
    pub fn record_report(
        &mut self,
        now: Moment,
        from: &SiteEndpoint,
        load: Load,
        took: Option<Duration>,
    ) {
        let slots = f64::from(from.slots.max(1));
        let queue = f64::from(load.waiting) / slots;
        if let Some(took) = took {
            // It has waited for about as many rounds as wait there now.
            learn(&mut self.work, took.as_secs_f64() / (1.0 + queue));
        }
        let wait = queue * self.work;
        let fill = f64::from(load.running + load.waiting) / slots;
        let is_congested = load.waiting > 0 && wait > self.affordable_wait();
        self.reported_at = now;
        self.grown_at = now;
        let weight = match self.limit {
            None => WEIGHT,
            Some(_) => LIMITED_WEIGHT,
        };
        self.fill += weight * (fill - self.fill);
        self.congested += weight * (f64::from(u8::from(is_congested)) - self.congested);
        self.recent.retain(|report| report.endpoint != from.key);
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(Report {
            endpoint: from.key,
            is_congested,
        });
        if !is_congested {
            self.increase();
        } else if self.is_congested() && now >= self.next_decrease {
            self.decrease(now);
        }
    }

    /// Whether half of the reports are congested, and half of the endpoints that they are from: a gateway that
    /// sends most of its requests to one full endpoint hears mostly from that one.
    fn is_congested(&self) -> bool {
        let congested = self.recent.iter().filter(|report| report.is_congested);
        self.congested >= CONGESTED && 2 * congested.count() >= self.recent.len()
    }

    /// At most one request more per window of answers, as long as the window is used.
    fn increase(&mut self) {
        if let Some(limit) = &mut self.limit
            && f64::from(2 * self.in_flight) >= *limit
        {
            *limit += (1.0 / *limit).min(MAX_INCREASE);
        }
    }

    fn decrease(&mut self, now: Moment) {
        let in_flight = f64::from(self.in_flight);
        // What isn't used has no effect, so it isn't what is decreased.
        let used = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
        let allowed = 1.0 + self.affordable_wait() / self.work.max(0.001);
        let factor = (allowed / self.fill.max(0.001)).clamp(FACTORS.0, FACTORS.1);
        if self.limit.is_none() {
            self.exceeded_at = now;
        }
        self.limit = Some((used * factor).max(1.0));
        self.congested = AFTER_DECREASE;
        self.next_decrease = now + Duration::from_secs_f64(self.response).max(MIN_PAUSE);
    }

    /// Lets the window grow while there are no reports, and ends its limit once it isn't needed.
    pub fn refresh(&mut self, now: Moment) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        let silent = now.saturating_sub(self.reported_at);
        let is_calm = self.congested <= CALM && now >= self.exceeded_at + CALM_TIME;
        if is_calm || silent >= MAX_SILENCE {
            self.limit = None;
            self.congested = 0.0;
            return;
        }
        if silent > SILENCE {
            let since = now.saturating_sub(self.grown_at.max(self.reported_at + SILENCE));
            *limit *= 2.0_f64.powf(since.as_secs_f64() / SILENCE.as_secs_f64());
            self.grown_at = now;
        }
    }
}
