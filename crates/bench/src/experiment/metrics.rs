//! The figures of a run.

use std::time::Duration;

use filberthead_types::Moment;
use hdrhistogram::Histogram;

use super::deployment::{DOMAINS, Deployment, REGIONS};
use super::scenario::WARM_UP;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// With an answer.
    Answered,
    /// With a refusal.
    Refused,
    /// The caller's timeout expired, or, for one attempt, the entry was down.
    Lost,
    /// The entry has no endpoint for the service; the caller tries its next entry.
    NoEndpoint,
}

/// Figures of one service.
#[derive(Debug)]
pub struct ServiceFigures {
    /// Latencies of answers, in microseconds.
    pub answered: Histogram<u64>,
    /// Latencies of all requests, in microseconds; refused and lost ones count as the
    /// caller's timeout.
    pub charged: Histogram<u64>,
    /// Requests refused.
    pub refused: u64,
    /// Requests lost.
    pub lost: u64,
}

/// Slot time that the first service's requests have used in a failure domain in this
/// window.
#[derive(Clone, Copy, Debug, Default)]
struct SlotUsage {
    /// Requests that run since `since`.
    running: u32,
    since: Moment,
    slot_seconds: f64,
}

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// By service.
    pub services: Vec<ServiceFigures>,
    /// Requests that reached an endpoint when all its slots were filled.
    pub overfilled: u64,
    /// Largest excess over a region's limit.
    pub limit_excess: u32,
    /// Largest excess over a region's shift cap, first service.
    pub shift_excess: u32,
    /// Lowest share of a failure domain's slots that was free, averaged over a window;
    /// first service.
    pub headroom: f64,
    /// Times of the scenario's drain; `None` if it has none.
    pub drain: Option<Drain>,
    usage_by_domain: [SlotUsage; DOMAINS],
}

/// Times of a planned drain.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    started: Moment,
    last_start: Moment,
    last_end: Moment,
}

impl Drain {
    /// Time from the start of the drain to the last request that started on a leaving
    /// endpoint.
    pub fn new_work(&self) -> Duration {
        self.last_start.saturating_sub(self.started)
    }

    /// Time from the start of the drain to the last end of a request on a leaving endpoint.
    pub fn empty(&self) -> Duration {
        self.last_end.saturating_sub(self.started)
    }
}

fn histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(60_000_000, 3)
        .unwrap_or_else(|e| unreachable!("the bounds are valid: {e}"));
    histogram.auto(true);
    histogram
}

impl Figures {
    /// Figures before anything is measured.
    pub fn new(deployment: &Deployment) -> Self {
        let service = |_| ServiceFigures {
            answered: histogram(),
            charged: histogram(),
            refused: 0,
            lost: 0,
        };
        Self {
            services: deployment.services.iter().map(service).collect(),
            overfilled: 0,
            limit_excess: 0,
            shift_excess: 0,
            headroom: 1.0,
            drain: None,
            usage_by_domain: [SlotUsage::default(); DOMAINS],
        }
    }

    /// Records the end of a request that its caller sent at `created`.
    pub(crate) fn record_end(
        &mut self,
        service: usize,
        created: Moment,
        now: Moment,
        end: RequestEnd,
        caller_timeout: Duration,
    ) {
        if created < WARM_UP {
            return;
        }
        let figures = &mut self.services[service];
        let taken = now.saturating_sub(created).as_micros() as u64;
        let charged = match end {
            RequestEnd::Answered => taken,
            RequestEnd::Refused | RequestEnd::Lost | RequestEnd::NoEndpoint => {
                caller_timeout.as_micros() as u64
            }
        };
        figures.charged.saturating_record(charged);
        match end {
            RequestEnd::Answered => figures.answered.saturating_record(taken),
            RequestEnd::Refused | RequestEnd::NoEndpoint => figures.refused += 1,
            RequestEnd::Lost => figures.lost += 1,
        }
    }

    /// Sets the number of the first service's requests that run in a failure domain.
    pub(crate) fn set_running(&mut self, now: Moment, domain: usize, running: u32) {
        let usage = &mut self.usage_by_domain[domain];
        let span = now.saturating_sub(usage.since).as_secs_f64();
        usage.slot_seconds += span * f64::from(usage.running);
        usage.since = now;
        usage.running = running;
    }

    /// Ends a window over which headroom is measured; `slots` are those available in each
    /// failure domain.
    pub(crate) fn sample(&mut self, now: Moment, window: Duration, slots: [u32; DOMAINS]) {
        for (domain, slots) in slots.into_iter().enumerate() {
            let running = self.usage_by_domain[domain].running;
            self.set_running(now, domain, running);
            let used = std::mem::take(&mut self.usage_by_domain[domain].slot_seconds);
            if slots > 0 && now > WARM_UP {
                let free = 1.0 - used / (f64::from(slots) * window.as_secs_f64());
                self.headroom = self.headroom.min(free.max(0.0));
            }
        }
    }

    pub(crate) fn record_drain_start(&mut self, now: Moment) {
        self.drain = Some(Drain {
            started: now,
            last_start: now,
            last_end: now,
        });
    }

    pub(crate) fn record_start_on_leaving(&mut self, now: Moment) {
        if let Some(drain) = &mut self.drain {
            drain.last_start = now;
        }
    }

    pub(crate) fn record_end_on_leaving(&mut self, now: Moment) {
        if let Some(drain) = &mut self.drain {
            drain.last_end = now;
        }
    }

    /// Compares a service's requests in progress in each region with the regions' limits.
    pub(crate) fn record_in_progress(&mut self, by_region: [u32; REGIONS], limits: [u32; REGIONS]) {
        for (running, limit) in by_region.into_iter().zip(limits) {
            self.limit_excess = self.limit_excess.max(running.saturating_sub(limit));
        }
    }

    /// Compares a region's shifted requests with its shift cap.
    pub(crate) fn record_shifted(&mut self, running: u32, cap: u32) {
        self.shift_excess = self.shift_excess.max(running.saturating_sub(cap));
    }
}
