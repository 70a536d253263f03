//! The counters of an entry for the current sample period.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use filberthead_types::{Meaning, Region, ResultCode, ServiceName};
use hdrhistogram::Histogram;

use super::{Counts, ServiceSample, SparseHistogram};

/// Bound on the pairs of service and region; the same as for metrics.
const MAX_PAIRS: usize = 1024;
/// Longest request duration that is distinguished; longer ones are recorded as this.
const MAX_DURATION: Duration = Duration::from_secs(60 * 60);
/// Precision of the histograms: a bucket's width is at most a sixteenth of its value.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Counts requests, slots and drains of one service in one region. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeriodCounter {
    totals: Arc<Mutex<Totals>>,
}

#[derive(Debug, Default)]
struct Totals {
    latency_us: Option<Histogram<u64>>,
    drain_ms: Option<Histogram<u64>>,
    counts: Counts,
}

impl PeriodCounter {
    pub(crate) fn record_request(&self, code: ResultCode, took: Duration) {
        let mut totals = self.lock();
        match outcome(code) {
            Outcome::Answered => record(&mut totals.latency_us, took.as_micros()),
            Outcome::Refused => totals.counts.refused += 1,
            Outcome::Lost => totals.counts.lost += 1,
            Outcome::CallerError => {}
        }
    }

    pub(crate) fn record_drain(&self, took: Duration) {
        record(&mut self.lock().drain_ms, took.as_millis());
    }

    pub(crate) fn add_slots(&self, slots: u32, busy: u32) {
        let mut totals = self.lock();
        totals.counts.slots += u64::from(slots);
        totals.counts.busy += u64::from(busy);
    }

    fn take(&self) -> Counts {
        let totals = std::mem::take(&mut *self.lock());
        Counts {
            latency_us: totals
                .latency_us
                .as_ref()
                .map_or(SparseHistogram::default(), SparseHistogram::from_histogram),
            drain_ms: totals
                .drain_ms
                .as_ref()
                .map_or(SparseHistogram::default(), SparseHistogram::from_histogram),
            ..totals.counts
        }
    }

    fn lock(&self) -> MutexGuard<'_, Totals> {
        // A poisoned lock is fine: a panic can't leave the counts inconsistent.
        self.totals.lock().unwrap_or_else(|err| err.into_inner())
    }
}

/// How a request counts for service levels.
enum Outcome {
    Answered,
    Refused,
    Lost,
    /// Not counted: the cause is the request itself, not the state of the system.
    CallerError,
}

fn outcome(code: ResultCode) -> Outcome {
    match (code.meaning(), code) {
        (Meaning::Ran, _) => Outcome::Answered,
        (Meaning::MayHaveRun, _) => Outcome::Lost,
        (Meaning::NotRun, ResultCode::Quarantined) => Outcome::CallerError,
        (Meaning::NotRun, code) if (1200..1300).contains(&code.number()) => Outcome::Refused,
        (Meaning::NotRun, _) => Outcome::CallerError,
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, value: u128) {
    if histogram.is_none() {
        // The same number also bounds drains, which are in milliseconds: 1000 hours.
        let max_value = MAX_DURATION.as_micros() as u64;
        *histogram = Histogram::new_with_bounds(1, max_value, SIGNIFICANT_DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(u64::try_from(value).unwrap_or(u64::MAX));
    }
}

/// All counters of an entry, by service and region.
#[derive(Debug, Default)]
pub(crate) struct PeriodCounters {
    by_pair: Mutex<BTreeMap<(ServiceName, Region), PeriodCounter>>,
}

impl PeriodCounters {
    /// The counter of a pair. A pair beyond the bound gets one that is never read.
    pub(crate) fn for_pair(&self, service: &ServiceName, region: &Region) -> PeriodCounter {
        let mut counters = self.lock();
        let pair = (service.clone(), region.clone());
        let full = counters.len() >= MAX_PAIRS;
        match counters.get(&pair) {
            Some(counter) => counter.clone(),
            None if full => PeriodCounter::default(),
            None => counters.entry(pair).or_default().clone(),
        }
    }

    /// Ends the period: returns all counts and resets them.
    pub(crate) fn take(&self) -> Vec<ServiceSample> {
        let sample = |((service, region), counter): (&(ServiceName, Region), &PeriodCounter)| {
            let counts = counter.take();
            (counts != Counts::default()).then(|| ServiceSample {
                service: service.clone(),
                region: region.clone(),
                counts,
            })
        };
        self.lock().iter().filter_map(sample).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ServiceName, Region), PeriodCounter>> {
        self.by_pair.lock().unwrap_or_else(|err| err.into_inner())
    }
}
