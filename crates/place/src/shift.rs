//! How fast requests may stop running in another region.
//!
//! The load it answers: an overload of all regions. Endpoints elsewhere queue for longer
//! than objectives allow, so every request that the plan sends there would do better at
//! home, all at the same moment; home is the region that is short of slots. The plan moves
//! slowly, but what runs would not follow it. So the part that really runs elsewhere is
//! measured, and may fall only as fast as the plan itself moves.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, Region};

use crate::plan::WINDOW;

/// Time over which the part that runs in a region is averaged: half a window, so that the
/// mean follows within the window over which change is bounded.
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Requests that stand for what isn't known yet: of a gateway that sends a few in a second,
/// one more or less says little about the part that runs elsewhere.
const UNKNOWN: f64 = 5.0;

/// Requests of one service that run in each region, and how few may run there next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shift {
    /// Requests that ran lately, older ones counting for less.
    all: f64,
    regions: BTreeMap<Region, Part>,
    at: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// Requests that ran there lately, on the scale of `Shift::all`.
    ran: f64,
    /// The least part of all requests that is to run there.
    floor: f64,
}

impl Shift {
    /// Notes a request that is sent to a region. `per_window` is the part of requests that
    /// may move from one window to the next.
    pub(crate) fn sent(&mut self, now: Moment, to: &Region, per_window: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let kept = (-passed / AVERAGED_OVER.as_secs_f64()).exp();
        let fallen = per_window * passed / WINDOW.as_secs_f64();
        if !self.regions.contains_key(to) {
            self.regions.insert(to.clone(), Part::default());
        }
        self.all = self.all * kept + 1.0;
        for (region, part) in &mut self.regions {
            part.ran = part.ran * kept + f64::from(u8::from(region == to));
            part.floor = (part.floor - fallen).max(part.ran / (self.all + UNKNOWN));
        }
    }

    /// Whether requests that the plan sends to a region may run elsewhere, or not at all.
    pub(crate) fn may_fall(&self, region: &Region) -> bool {
        let Some(part) = self.regions.get(region) else {
            return true;
        };
        part.ran > part.floor * self.all
    }
}
