//! How the capacity of services is divided, as a replica tells gateways.

use std::time::Duration;

use filberthead_allot::{DividedService, ServiceShares, ServiceWork, SharePool};
use filberthead_types::Moment;

/// How long a division is cached: half of a gateway's report period. Each takes a pass over the
/// reports of all gateways.
const DIVISION_TTL: Duration = Duration::from_millis(250);

/// Least time between two divisions if a gateway's report tells of a shortage.
const MIN_DIVISION_AGE: Duration = Duration::from_millis(25);

/// The division that follows from the gateways' reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct Division {
    pool: SharePool,
    shares: Vec<ServiceShares>,
    /// When `shares` expires.
    expires: Moment,
}

impl Division {
    /// Makes the next call of [`Self::shares`] divide anew, unless that was done just now.
    pub(crate) fn expire(&mut self, now: Moment) {
        let soon = self.expires.saturating_sub(DIVISION_TTL) + MIN_DIVISION_AGE;
        if now >= soon {
            self.expires = now;
        }
    }

    /// The shares by the last reports of live gateways.
    pub(crate) fn shares<'a>(
        &mut self,
        now: Moment,
        workspaces: usize,
        work: impl IntoIterator<Item = &'a ServiceWork>,
    ) -> Vec<ServiceShares> {
        if now >= self.expires {
            self.expires = now + DIVISION_TTL;
            self.shares = self.pool.update(now, workspaces, work);
        }
        self.shares.clone()
    }

    /// The services whose capacity is divided.
    pub(crate) fn services(&self) -> &[DividedService] {
        self.pool.divided()
    }
}
