//! Waiting of a repeatable request until another entry has taken over the endpoints of a
//! lost one.
//!
//! Failure: an entry crashes while it forwards a repeatable request to an endpoint to which
//! it alone admits. Until its lease expires no other entry may admit requests there, so a
//! further attempt may find no target at all, although the endpoint is healthy. Without the
//! wait, the caller would get "may have run", although the request could be run again.
//!
//! The wait is bounded: it begins only if another entry of the failure domain can take over
//! and the caller's deadline leaves time for that, and it ends when a takeover must be
//! complete. So no caller is delayed for nothing when it could ask elsewhere.

use std::time::Duration;

use filberthead_steer::{LEASE_DURATION, LEASE_MARGIN, RENEW_INTERVAL};
use filberthead_types::{FailureDomain, NodeName};
use tokio::time::Instant;

use crate::entry::cluster::Cluster;

/// Pause between two attempts to place the request.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time from the loss to a takeover: the lost entry may have last renewed its lease
/// one renewal interval before the loss was detected.
const MIN_TAKEOVER_TIME: Duration = LEASE_DURATION.saturating_sub(RENEW_INTERVAL);
/// Renewal intervals allowed after the lease has expired: for the change of the roster and
/// the next owner's share of the limit, and as many again until its slots are known here.
const TAKEOVER_RENEWALS: u32 = 4;

/// The loss of an entry that had the request, from which the time of the takeover follows.
#[derive(Clone, Debug)]
pub(crate) struct Takeover {
    entry: NodeName,
    domain: FailureDomain,
    lost_at: Instant,
}

impl Takeover {
    /// Records the loss of a request at `node` now; `None` if `node` is not an entry.
    pub(super) fn after_loss(node: &NodeName, cluster: &Cluster) -> Option<Self> {
        let mut entries = cluster.entries.iter();
        let member = entries.find(|member| member.name == *node)?;
        Some(Self {
            entry: member.name.clone(),
            domain: member.failure_domain.clone(),
            lost_at: Instant::now(),
        })
    }

    /// Whether a takeover may still serve a request with this deadline.
    pub(super) fn is_possible(&self, deadline: Instant, cluster: &Cluster) -> bool {
        let taken_over_by =
            self.lost_at + LEASE_DURATION + LEASE_MARGIN + RENEW_INTERVAL * TAKEOVER_RENEWALS;
        let in_time = Instant::now() + RETRY_PAUSE < taken_over_by.min(deadline);
        let mut entries = cluster.entries.iter();
        in_time
            && self.lost_at + MIN_TAKEOVER_TIME < deadline
            && entries.any(|member| {
                member.failure_domain == self.domain && member.name != self.entry && !member.leaving
            })
    }
}
