//! What an entry counts in the current period.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use filberthead_types::{Meaning, Region, ResultCode, ServiceName};
use hdrhistogram::Histogram;

use super::{Counts, ServiceSample, Tally};

/// Pairs of service and region that are counted; as many as have metrics of their own.
const MAX_PAIRS: usize = 1024;
/// Longest time that is told apart from longer ones.
const LONGEST: Duration = Duration::from_secs(60 * 60);
/// Buckets are at most a sixteenth of their value wide.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Counts of one service in one region; clones count into the same.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    latency_us: Option<Histogram<u64>>,
    drain_ms: Option<Histogram<u64>>,
    counts: Counts,
}

impl Window {
    pub(crate) fn finished(&self, code: ResultCode, took: Duration) {
        let mut open = self.lock();
        match ending(code) {
            Ending::Answered => record(&mut open.latency_us, took.as_micros()),
            Ending::Refused => open.counts.refused += 1,
            Ending::Lost => open.counts.lost += 1,
            Ending::CallersOwn => {}
        }
    }

    pub(crate) fn drained(&self, took: Duration) {
        record(&mut self.lock().drain_ms, took.as_millis());
    }

    pub(crate) fn slots(&self, slots: u32, busy: u32) {
        let mut open = self.lock();
        open.counts.slots += u64::from(slots);
        open.counts.busy += u64::from(busy);
    }

    fn take(&self) -> Counts {
        let open = std::mem::take(&mut *self.lock());
        Counts {
            latency_us: open.latency_us.as_ref().map_or(Tally::default(), Tally::of),
            drain_ms: open.drain_ms.as_ref().map_or(Tally::default(), Tally::of),
            ..open.counts
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        // Nothing under the lock can leave the counts in a state that would mislead.
        self.open.lock().unwrap_or_else(|err| err.into_inner())
    }
}

/// How a request ended, as far as service levels go.
enum Ending {
    Answered,
    Refused,
    Lost,
    /// The request was wrong in itself, whatever the state of the system.
    CallersOwn,
}

fn ending(code: ResultCode) -> Ending {
    match (code.meaning(), code) {
        (Meaning::Ran, _) => Ending::Answered,
        (Meaning::MayHaveRun, _) => Ending::Lost,
        (Meaning::NotRun, ResultCode::Quarantined) => Ending::CallersOwn,
        (Meaning::NotRun, code) if (1200..1300).contains(&code.number()) => Ending::Refused,
        (Meaning::NotRun, _) => Ending::CallersOwn,
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, value: u128) {
    if histogram.is_none() {
        // In microseconds or milliseconds alike; an hour is the longest of either.
        let longest = LONGEST.as_micros() as u64;
        *histogram = Histogram::new_with_bounds(1, longest, SIGNIFICANT_DIGITS).ok();
    }
    if let Some(histogram) = histogram {
        histogram.saturating_record(u64::try_from(value).unwrap_or(u64::MAX));
    }
}

/// The windows of an entry.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    by_pair: Mutex<BTreeMap<(ServiceName, Region), Window>>,
}

impl Windows {
    /// The window of a pair. A pair beyond the bound gets one that nobody reads.
    pub(crate) fn of(&self, service: &ServiceName, region: &Region) -> Window {
        let mut windows = self.lock();
        let pair = (service.clone(), region.clone());
        let full = windows.len() >= MAX_PAIRS;
        match windows.get(&pair) {
            Some(window) => window.clone(),
            None if full => Window::default(),
            None => windows.entry(pair).or_default().clone(),
        }
    }

    /// Ends the period: takes all counts and starts anew.
    pub(crate) fn take(&self) -> Vec<ServiceSample> {
        let sample = |((service, region), window): (&(ServiceName, Region), &Window)| {
            let counts = window.take();
            (counts != Counts::default()).then(|| ServiceSample {
                service: service.clone(),
                region: region.clone(),
                counts,
            })
        };
        self.lock().iter().filter_map(sample).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ServiceName, Region), Window>> {
        self.by_pair.lock().unwrap_or_else(|err| err.into_inner())
    }
}
