//! The data of the plots: the longest window, divided into steps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::BUDGET_WINDOW;
use super::measure::rounded;
use crate::samples::{Counts, PERIOD_SECONDS};

/// Maximum number of steps of a plot; enough for its width.
const MAX_STEPS: u64 = 144;

/// One step of a plot. Values without samples are `None`.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Point {
    /// Start of the step, in seconds since the Unix epoch.
    pub start: u64,
    /// 99th percentile of response times, in milliseconds.
    pub latency_p99_ms: Option<f64>,
    /// Smallest share of free slots in any minute of the step, 0 to 1.
    pub headroom: Option<f64>,
    /// Longest drain that ended in the step, in seconds.
    pub drain_seconds: Option<f64>,
    /// Share of requests that were refused or lost, 0 to 1.
    pub refused: Option<f64>,
}

/// Length of a step, in seconds, if the oldest sample starts at `oldest`: a minute, doubled
/// until there are at most `MAX_STEPS`. Because of the doubling, steps of a shorter length
/// can be merged.
pub(super) fn step_seconds(oldest: u64, now: u64) -> u64 {
    let span = now.saturating_sub(oldest).min(BUDGET_WINDOW);
    let mut step = PERIOD_SECONDS;
    while span.div_ceil(step) > MAX_STEPS {
        step *= 2;
    }
    step
}

/// The steps of a scope.
#[derive(Debug, Default)]
pub(super) struct Series(BTreeMap<u64, Step>);

#[derive(Debug, Default)]
struct Step {
    counts: Counts,
    headroom: Option<f64>,
}

impl Series {
    /// Adds the counts of a record.
    pub(super) fn add(&mut self, start: u64, step: u64, counts: &Counts) {
        self.step(start, step).counts.add(counts);
    }

    /// Adds the headroom of a whole minute.
    pub(super) fn add_headroom(&mut self, start: u64, step: u64, headroom: f64) {
        self.step(start, step).lower_headroom(headroom);
    }

    fn step(&mut self, start: u64, step: u64) -> &mut Step {
        self.0.entry(start - start % step).or_default()
    }

    /// Merges steps after their length has been doubled.
    pub(super) fn merge_steps(&mut self, step: u64) {
        for (start, old) in std::mem::take(&mut self.0) {
            let new = self.step(start, step);
            new.counts.add(&old.counts);
            if let Some(headroom) = old.headroom {
                new.lower_headroom(headroom);
            }
        }
    }

    pub(super) fn points(self) -> Vec<Point> {
        let steps = self.0.into_iter();
        steps.map(|(start, step)| step.point(start)).collect()
    }
}

impl Step {
    fn lower_headroom(&mut self, headroom: f64) {
        let least = self.headroom.map_or(headroom, |least| least.min(headroom));
        self.headroom = Some(least);
    }

    fn point(self, start: u64) -> Point {
        let counts = &self.counts;
        let unserved = counts.refused.saturating_add(counts.lost);
        let requests = counts.answered().saturating_add(unserved);
        let p99 = counts.latency_us.quantile(0.99);
        Point {
            start,
            latency_p99_ms: p99.map(|us| f64::from(us) / 1000.0),
            headroom: self.headroom.map(rounded),
            drain_seconds: counts.drain_ms.max().map(|ms| f64::from(ms) / 1000.0),
            refused: (requests > 0).then(|| rounded(unserved as f64 / requests as f64)),
        }
    }
}
