//! Counts of how requests ended for their callers.

use std::collections::BTreeMap;

use filberthead_types::Region;

/// Credit for an answer later than the route's objective; an answer in time has 1.
const LATE_CREDIT: f64 = 0.2;

/// Requests and how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All requests.
    pub requests: u32,
    /// Answered within the route's objective.
    pub in_time: u32,
    /// Answered after the objective.
    pub late: u32,
    /// Refused for good: the caller's only retry was refused too, or its deadline allowed none.
    pub refused: u32,
}

impl Count {
    /// Mean credit of a request, from 0 to 1: 1 for an answer in time, a fifth for a late
    /// one, none otherwise.
    pub fn credit(&self) -> f64 {
        let earned = f64::from(self.in_time) + LATE_CREDIT * f64::from(self.late);
        earned / f64::from(self.requests.max(1))
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    InTime,
    Late,
    Refused,
    /// Timed out, or lost when its gateway restarted.
    Lost,
}

/// Figures of one simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// All requests.
    pub all: Count,
    /// By the callers' region.
    pub regions: BTreeMap<Region, Count>,
    /// By kind of request.
    pub kinds: BTreeMap<&'static str, Count>,
    /// By the second in which they arrived.
    pub seconds: Vec<Count>,
}

impl Figures {
    pub(super) fn record(
        &mut self,
        region: &Region,
        kind: &'static str,
        second: usize,
        end: RequestEnd,
    ) {
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Count::default());
        }
        let region = self.regions.entry(region.clone()).or_default();
        let kind = self.kinds.entry(kind).or_default();
        for count in [&mut self.all, region, kind, &mut self.seconds[second]] {
            count.requests += 1;
            match end {
                RequestEnd::InTime => count.in_time += 1,
                RequestEnd::Late => count.late += 1,
                RequestEnd::Refused => count.refused += 1,
                RequestEnd::Lost => {}
            }
        }
    }

    /// Lowest credit of a region.
    pub fn worst_region(&self) -> f64 {
        let credits = self.regions.values().map(Count::credit);
        credits.fold(1.0, f64::min)
    }

    /// Lowest credit of a kind of request.
    pub fn worst_kind(&self) -> f64 {
        let credits = self.kinds.values().map(Count::credit);
        credits.fold(1.0, f64::min)
    }

    /// Credit of the requests that arrived from second `from` up to but not including `to`.
    pub fn credit_between(&self, from: usize, to: usize) -> f64 {
        let mut sum = Count::default();
        for count in self.seconds.iter().take(to).skip(from) {
            sum.requests += count.requests;
            sum.in_time += count.in_time;
            sum.late += count.late;
        }
        sum.credit()
    }
}
