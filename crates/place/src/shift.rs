//! Limits how fast requests stop running in another region.
//!
//! During an overload of all regions, endpoints elsewhere queue for longer than objectives
//! allow, so every request that the plan sends there would be faster in its own region, all at
//! the same moment; and that region is the one that is short of slots. The plan moves slowly,
//! but the requests wouldn't follow it. So the share that actually runs in another region is
//! measured, and may decrease only as fast as the plan itself moves.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, Region};

use crate::plan::WINDOW;

/// Time over which a region's share is averaged: half a window, so that the average follows
/// within the window over which the change is limited.
const AVERAGING: Duration = Duration::from_secs(1);

/// Weight of the prior, in requests: for a gateway that sends a few per second, one more or
/// less says little about the share that runs elsewhere.
const PRIOR_REQUESTS: f64 = 5.0;

/// Where the requests of one service run, and the lowest share that each region may have next.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionShares {
    /// Recent requests, weighted by an exponential decay.
    total: f64,
    regions: BTreeMap<Region, RegionShare>,
    updated_at: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionShare {
    /// Recent requests that ran there, weighted as `RegionShares::total`.
    recent: f64,
    /// Lower bound of the share of all requests that runs there.
    min_share: f64,
}

impl RegionShares {
    /// Records a request that is sent to a region. `max_change` is the share of requests that
    /// may move between two consecutive windows.
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

    /// Whether requests that the plan sends to a region may run elsewhere or be rejected.
    pub(crate) fn may_decrease(&self, region: &Region) -> bool {
        let Some(share) = self.regions.get(region) else {
            return true;
        };
        share.recent > share.min_share * self.total
    }
}
