//! What entries tell control about service levels.

use std::collections::VecDeque;

use filberthead_types::{Region, ServiceName};
use serde::{Deserialize, Serialize};

use super::SparseHistogram;

/// Periods in a report: the newest and the one before it.
const PERIODS_PER_REPORT: usize = 2;

/// What was counted of a service in a region during some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Time from arrival to the end of the answer, in microseconds, of requests that ran.
    pub latency_us: SparseHistogram,
    /// Requests refused for want of room, of an endpoint or of a connection to what
    /// they need. Requests that are wrong in themselves don't count.
    pub refused: u64,
    /// Requests that an endpoint had and whose whole answer never came.
    pub lost: u64,
    /// Slots, summed over readings.
    pub slots: u64,
    /// Slots in use, summed over the same readings.
    pub busy: u64,
    /// Time of drains that ended, in milliseconds.
    pub drain_ms: SparseHistogram,
}

impl Counts {
    /// Requests that ran and were answered.
    pub fn answered(&self) -> u64 {
        self.latency_us.total()
    }

    /// Share of slots that were free, 0 to 1; `None` without a reading.
    pub fn headroom(&self) -> Option<f64> {
        if self.slots == 0 {
            return None;
        }
        let free = self.slots.saturating_sub(self.busy);
        Some(free as f64 / self.slots as f64)
    }

    /// Adds what was counted elsewhere, or at another time.
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
    /// What was counted.
    pub counts: Counts,
}

/// What one or more entries counted in one period.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeriodSamples {
    /// Start of the period, in seconds since the Unix epoch by the entries' clocks.
    pub start: u64,
    /// Entries that were counted at.
    pub entries: u32,
    /// One for each service and region with anything to tell.
    pub samples: Vec<ServiceSample>,
}

/// What an entry sends to its relay, and a relay to each control replica, once a period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SampleReport {
    /// The newest periods, oldest first.
    pub periods: Vec<PeriodSamples>,
}

/// Makes a relay's reports.
#[derive(Debug, Default)]
pub struct Reporter {
    periods: VecDeque<PeriodSamples>,
}

impl Reporter {
    /// The report to send with a new period, which repeats the one before it.
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
