//! Adds up reported samples: on a relay those of its entries, on a control replica those
//! of the relays.

use std::collections::BTreeMap;

use filberthead_types::{Incarnation, NodeName, Region, ServiceName};

use super::{Counts, PERIOD_SECONDS, PeriodSamples, SampleReport, ServiceSample};

/// How long after its end a period stays open at a control replica: long enough for relays
/// to forward it, and for the repeat of a report that was lost.
const CONTROL_GRACE_SECONDS: u64 = PERIOD_SECONDS * 3 / 2;
/// How long after its end a period stays open at a relay, for entries whose clock is behind.
const RELAY_GRACE_SECONDS: u64 = 10;
/// A clock that is off by more is treated as wrong: its samples are assigned to the time
/// at which they arrived.
const MAX_SKEW_SECONDS: u64 = 10 * PERIOD_SECONDS;
/// Bound on the senders whose last period is stored.
const MAX_ENTRIES: usize = 4096;
/// Bound on the pairs of service and region in one period.
const MAX_PAIRS: usize = 1024;

/// Adds up reports by period until the period is closed. Does no I/O and reads no clock:
/// `now` is the process's wall clock, in seconds since the Unix epoch.
#[derive(Debug)]
pub struct Collector {
    grace: u64,
    open: BTreeMap<u64, Period>,
    last_periods: BTreeMap<NodeName, LastPeriod>,
}

#[derive(Debug, Default)]
struct Period {
    /// By sender, the number of entries that its report covers.
    entries: BTreeMap<NodeName, u32>,
    counts: BTreeMap<(ServiceName, Region), Counts>,
}

/// The newest period that was added from a sender.
#[derive(Clone, Copy, Debug)]
struct LastPeriod {
    incarnation: Incarnation,
    start: u64,
    last_seen: u64,
}

impl LastPeriod {
    /// Whether a period that starts at `start` counts as newer. One that is far older does
    /// too: the sender's clock was ahead and has been corrected, and otherwise its samples
    /// would be ignored until its clock reached the wrong time again.
    fn comes_before(self, start: u64) -> bool {
        self.start < start || self.start - start > MAX_SKEW_SECONDS
    }
}

impl Collector {
    /// A collector for a control replica.
    pub fn for_control() -> Self {
        Self::new(CONTROL_GRACE_SECONDS)
    }

    /// A collector for a relay.
    pub fn for_relay() -> Self {
        Self::new(RELAY_GRACE_SECONDS)
    }

    fn new(grace: u64) -> Self {
        Self {
            grace,
            open: BTreeMap::new(),
            last_periods: BTreeMap::new(),
        }
    }

    /// Adds a report. Periods that were already in an earlier report of the same process
    /// are ignored.
    pub fn add_report(
        &mut self,
        now: u64,
        from: &NodeName,
        incarnation: Incarnation,
        report: SampleReport,
    ) {
        for period in report.periods {
            if self.is_new(from, incarnation, period.start) {
                self.record_last_period(now, from, incarnation, period.start);
                self.add(now, from, period);
            }
        }
    }

    fn is_new(&self, from: &NodeName, incarnation: Incarnation, start: u64) -> bool {
        self.last_periods
            .get(from)
            .is_none_or(|last| last.incarnation != incarnation || last.comes_before(start))
    }

    fn record_last_period(
        &mut self,
        now: u64,
        from: &NodeName,
        incarnation: Incarnation,
        start: u64,
    ) {
        let last = LastPeriod {
            incarnation,
            start,
            last_seen: now,
        };
        self.last_periods.insert(from.clone(), last);
        if self.last_periods.len() > MAX_ENTRIES {
            let oldest = self
                .last_periods
                .iter()
                .min_by_key(|(_, last)| last.last_seen);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.last_periods.remove(&name);
            }
        }
    }

    fn add(&mut self, now: u64, from: &NodeName, samples: PeriodSamples) {
        let start = if samples.start.abs_diff(now) > MAX_SKEW_SECONDS {
            now
        } else {
            samples.start
        };
        let period = self.open.entry(start - start % PERIOD_SECONDS).or_default();
        let reported = period.entries.entry(from.clone()).or_default();
        *reported = samples.entries.max(*reported);
        for sample in samples.samples {
            period.add(sample);
        }
    }

    /// Closes and returns the periods whose grace time has passed.
    ///
    /// A report that arrives even later opens its period again, so that it is returned a
    /// second time; readers add up both records.
    pub fn close(&mut self, now: u64) -> Vec<PeriodSamples> {
        let end = now.saturating_sub(PERIOD_SECONDS + self.grace);
        let waiting = self.open.split_off(&(end + 1));
        let closed = std::mem::replace(&mut self.open, waiting);
        let sum = |(start, period): (u64, Period)| period.sum(start);
        closed.into_iter().map(sum).collect()
    }
}

impl Period {
    fn add(&mut self, sample: ServiceSample) {
        let pair = (sample.service, sample.region);
        let full = self.counts.len() >= MAX_PAIRS;
        if !full || self.counts.contains_key(&pair) {
            self.counts.entry(pair).or_default().add(&sample.counts);
        }
    }

    fn sum(self, start: u64) -> PeriodSamples {
        let sample = |((service, region), counts)| ServiceSample {
            service,
            region,
            counts,
        };
        PeriodSamples {
            start,
            entries: self.entries.into_values().fold(0, u32::saturating_add),
            samples: self.counts.into_iter().map(sample).collect(),
        }
    }
}
