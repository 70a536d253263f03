//! Limits how fast requests stop running in another region.
//!
//! During an overload of all regions, endpoints elsewhere queue for longer than objectives
//! allow, so every request that the plan sends there would be faster in its own region, all at
//! the same moment; and that region is the one that is short of slots. The plan moves slowly,
//! but the requests wouldn't follow it. So the share that actually runs in another region is
//! measured, and may decrease only as fast as the plan itself moves.
//!
//! It may also grow although the plan stands still: while a region rejects most of what its plan keeps at
//! home, what is planned elsewhere runs. So the share that runs elsewhere stays within a margin above the
//! share that the plan has there.

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

/// Share of the permitted change between windows by which requests that run elsewhere may exceed their
/// planned share. The rest is left to the plan's own steps and to averaging.
const EXCESS_FRACTION: f64 = 0.5;

/// Where the requests of one service run, and the shares that each region may have next.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionShares {
    /// Recent requests, weighted by an exponential decay.
    total: f64,
    regions: BTreeMap<Region, RegionShare>,
    /// Recent requests that were to be placed, and those of them that the plan has in another region,
    /// weighted as `total`. Some were rejected.
    planned: f64,
    planned_elsewhere: f64,
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
    /// Records a request that is to be placed, and whether the plan has it in another region.
    pub(crate) fn record_planned(&mut self, now: Moment, is_elsewhere: bool, max_change: f64) {
        self.advance(now, max_change);
        self.planned += 1.0;
        self.planned_elsewhere += f64::from(u8::from(is_elsewhere));
    }

    /// Records a request that is sent to a region. `max_change` is the share of requests that
    /// may move between two consecutive windows.
    pub(crate) fn record_sent(&mut self, now: Moment, to: &Region, max_change: f64) {
        self.advance(now, max_change);
        if !self.regions.contains_key(to) {
            self.regions.insert(to.clone(), RegionShare::default());
        }
        self.total += 1.0;
        for (region, share) in &mut self.regions {
            share.recent += f64::from(u8::from(region == to));
            share.min_share = share
                .min_share
                .max(share.recent / (self.total + PRIOR_REQUESTS));
        }
    }

    /// Forgets older requests, and lets the lower bounds decrease.
    fn advance(&mut self, now: Moment, max_change: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let decay = (-elapsed / AVERAGING.as_secs_f64()).exp();
        let decrease = max_change * elapsed / WINDOW.as_secs_f64();
        for weight in [
            &mut self.total,
            &mut self.planned,
            &mut self.planned_elsewhere,
        ] {
            *weight *= decay;
        }
        for share in self.regions.values_mut() {
            share.recent *= decay;
            share.min_share -= decrease;
        }
    }

    /// Whether one more request may run outside `own`, the region that it comes from. `max_shift` is the
    /// share of requests that may move between two consecutive windows.
    pub(crate) fn may_grow_elsewhere(&self, own: &Region, max_shift: f64) -> bool {
        let at_home = self.regions.get(own).map_or(0.0, |share| share.recent);
        let elsewhere = self.total - at_home;
        let planned = self.planned_elsewhere / self.planned.max(1.0);
        let max_share = planned + EXCESS_FRACTION * max_shift;
        elsewhere <= max_share * (self.total + PRIOR_REQUESTS)
    }

    /// Whether requests that the plan sends to a region may run elsewhere or be rejected.
    pub(crate) fn may_decrease(&self, region: &Region) -> bool {
        let Some(share) = self.regions.get(region) else {
            return true;
        };
        share.recent > share.min_share * self.total
    }
}
