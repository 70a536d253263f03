//! In which regions requests run, and how fast that may change.
//!
//! The load it answers: a surge fills a region, and all of its gateways would send the rest
//! to the next region at the same moment, which meets it as a step of cold load. Instead
//! the part of requests that each region gets changes by a bounded step from one window to
//! the next, up as well as down.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, Region};

/// The window over which parts are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// Parts that a window is counted in.
const PARTS: u64 = 8;
/// Part of the allowed step that is used besides the plan: windows of an observer don't begin with ours,
/// and gateways of one region don't all step at once.
const USED: f64 = 0.2;
#[derive(Clone, Debug, Default)]
struct Part {
    number: u64,
    counts: HashMap<Region, u32>,
}

/// Counts where requests went.
#[derive(Clone, Debug)]
pub(crate) struct Mix {
    step: f64,
    parts: Vec<Part>,
}

/// What another request for a region would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    /// It stays within the step.
    Allowed,
    /// The region's part would rise too fast.
    TooMany,
}

impl Mix {
    /// `max_shift` is the part of requests that may change regions between windows.
    pub(crate) fn new(max_shift: f64) -> Self {
        Self {
            step: USED * max_shift,
            parts: vec![Part::default(); 2 * PARTS as usize],
        }
    }

    pub(crate) fn note(&mut self, now: Moment, region: &Region) {
        let number = number(now);
        let places = self.parts.len() as u64;
        let part = &mut self.parts[(number % places) as usize];
        if part.number != number {
            part.number = number;
            part.counts.clear();
        }
        *part.counts.entry(region.clone()).or_default() += 1;
    }

    /// Whether one more request may run in `region`.
    pub(crate) fn leave(&self, now: Moment, region: &Region) -> Leave {
        let ((here, all), before) = self.windows(now, region);
        let would = (here + 1.0) / (all + 1.0);
        // One request is always possible: parts of a few requests can't be finer.
        if here < 1.0 || would <= before + self.step {
            Leave::Allowed
        } else {
            Leave::TooMany
        }
    }

    /// This window's count of the region and of all, and the region's part in the window
    /// before.
    fn windows(&self, now: Moment, region: &Region) -> ((f64, f64), f64) {
        let number = number(now);
        let (mut here, mut all, mut here_before, mut all_before) = (0, 0, 0, 0);
        for part in &self.parts {
            let age = number.wrapping_sub(part.number);
            let mine = part.counts.get(region).copied().unwrap_or(0);
            let sum: u32 = part.counts.values().sum();
            if age < PARTS {
                here += mine;
                all += sum;
            } else if age < 2 * PARTS {
                here_before += mine;
                all_before += sum;
            }
        }
        let before = if all_before == 0 {
            0.0
        } else {
            f64::from(here_before) / f64::from(all_before)
        };
        ((f64::from(here), f64::from(all)), before)
    }
}

fn number(now: Moment) -> u64 {
    // The first part has number 1, so that an unused place is never taken for it.
    (now.as_millis() / (WINDOW.as_millis() / u128::from(PARTS))) as u64 + 1
}
