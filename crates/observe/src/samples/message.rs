//! Messages that carry samples from entries to control.

use std::collections::VecDeque;

use filberthead_types::{Region, ServiceName};
use serde::{Deserialize, Serialize};

use super::SparseHistogram;

/// Periods in a relay's report: the newest and the one before it.
const PERIODS_PER_REPORT: usize = 2;

/// Counts for a service in a region over some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Time from arrival to the end of the response, in microseconds, of requests that ran.
    pub latency_us: SparseHistogram,
    /// Requests refused because of missing capacity, of an endpoint, or of a connection
    /// that they need. Invalid requests don't count.
    pub refused: u64,
    /// Requests that reached an endpoint and whose complete response never arrived.
    pub lost: u64,
    /// Number of slots, summed over all readings.
    pub slots: u64,
    /// Number of slots in use, summed over the same readings.
    pub busy: u64,
    /// Durations of finished drains, in milliseconds.
    pub drain_ms: SparseHistogram,
}

impl Counts {
    /// Number of requests that ran and were answered.
    pub fn answered(&self) -> u64 {
        self.latency_us.total()
    }

    /// Mean share of free slots, 0 to 1; `None` without a reading.
    pub fn headroom(&self) -> Option<f64> {
        if self.slots == 0 {
            return None;
        }
        let free = self.slots.saturating_sub(self.busy);
        Some(free as f64 / self.slots as f64)
    }

    /// Adds the counts of another source or time.
    pub fn add(&mut self, other: &Self) {
        self.latency_us.add(&other.latency_us);
        self.refused = self.refused.saturating_add(other.refused);
        self.lost = self.lost.saturating_add(other.lost);
        self.slots = self.slots.saturating_add(other.slots);
        self.busy = self.busy.saturating_add(other.busy);
        self.drain_ms.add(&other.drain_ms);
    }
}

/// Counts of one service in one region.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSample {
    /// The service.
    pub service: ServiceName,
    /// The region that served it.
    pub region: Region,
    /// The counts.
    pub counts: Counts,
}

/// Samples of one or more entries for one period.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeriodSamples {
    /// Start of the period, in seconds since the Unix epoch by the entries' clocks.
    pub start: u64,
    /// Number of entries that the samples cover.
    pub entries: u32,
    /// One for each service and region with any counts.
    pub samples: Vec<ServiceSample>,
}

/// The message from an entry to its relay, and from a relay to each control replica, once
/// per period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SampleReport {
    /// The newest periods, oldest first.
    pub periods: Vec<PeriodSamples>,
}

/// Builds a relay's reports.
#[derive(Debug, Default)]
pub struct Reporter {
    periods: VecDeque<PeriodSamples>,
}

impl Reporter {
    /// Returns the report to send: the new period, preceded by the one before it.
    pub fn report(&mut self, period: PeriodSamples) -> SampleReport {
        self.periods.push_back(period);
        while self.periods.len() > PERIODS_PER_REPORT {
            self.periods.pop_front();
        }
        SampleReport {
            periods: self.periods.iter().cloned().collect(),
        }
    }
}
