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
const AVERAGING: Duration = Duration::from_secs(1);

/// Requests that stand for what isn't known yet: of a gateway that sends a few in a second,
/// one more or less says little about the part that runs elsewhere.
const PRIOR_REQUESTS: f64 = 5.0;

/// Requests of one service that run in each region, and how few may run there next.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionShares {
    /// Requests that ran lately, older ones counting for less.
    total: f64,
    regions: BTreeMap<Region, RegionShare>,
    updated_at: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionShare {
    /// Requests that ran there lately, on the scale of `Shift::all`.
    recent: f64,
    /// The least part of all requests that is to run there.
    min_share: f64,
}

impl RegionShares {
    /// Notes a request that is sent to a region. `per_window` is the part of requests that
    /// may move from one window to the next.
    pub(crate) fn record_sent(&mut self, now: Moment, to: &Region, max_change: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let decay = (-elapsed / AVERAGING.as_secs_f64()).exp();
        let decrease = max_change * elapsed / WINDOW.as_secs_f64();
        if !self.regions.contains_key(to) {
            self.regions.insert(to.clone(), RegionShare::default());
        }
        self.total = self.total * decay + 1.0;
        for (region, share) in &mut self.regions {
            share.recent = share.recent * decay + f64::from(u8::from(region == to));
            share.min_share =
                (share.min_share - decrease).max(share.recent / (self.total + PRIOR_REQUESTS));
        }
    }

    /// Whether requests that the plan sends to a region may run elsewhere, or not at all.
    pub(crate) fn may_decrease(&self, region: &Region) -> bool {
        let Some(share) = self.regions.get(region) else {
            return true;
        };
        share.recent > share.min_share * self.total
    }
}
