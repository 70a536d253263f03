//! The wait of a reading for the next owner of endpoints whose entry was lost.
//!
//! Failure: an entry dies with a reading at it that it had passed to an endpoint which it
//! alone admits to. For the time of its lease nobody else may admit there, so that a
//! further attempt may find no node at all, although the endpoint is well. The caller
//! would be told that the reading may have run, which is of no use to it, while the
//! reading could simply run again.
//!
//! The wait ends as soon as it is of no use: it begins only if another entry is there to
//! take over and the caller's deadline leaves time for that, and it lasts no longer than
//! taking over takes. So no caller is kept from asking elsewhere for nothing.

use std::time::Duration;

use filberthead_steer::{LEASE_DURATION, LEASE_MARGIN, RENEW_INTERVAL};
use filberthead_types::{FailureDomain, NodeName};
use tokio::time::Instant;

use crate::entry::cluster::Cluster;

/// Pause between two looks for a node.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Nobody takes over sooner than this: the lost entry may have asked for its last lease
/// one period before the loss was seen.
const MIN_TAKEOVER_TIME: Duration = LEASE_DURATION.saturating_sub(RENEW_INTERVAL);
/// Renewals that the roster's change and the next owner's share of the limit take, and as
/// many again until the word of its slots is here.
const TAKEOVER_RENEWALS: u32 = 4;

/// Where a reading was lost, and until when its next owner may come.
#[derive(Clone, Debug)]
pub(crate) struct Takeover {
    entry: NodeName,
    domain: FailureDomain,
    lost_at: Instant,
}

impl Takeover {
    /// The loss, just now, of a request at this node, if that is an entry.
    pub(super) fn after_loss(node: &NodeName, cluster: &Cluster) -> Option<Self> {
        let mut entries = cluster.entries.iter();
        let member = entries.find(|member| member.name == *node)?;
        Some(Self {
            entry: member.name.clone(),
            domain: member.failure_domain.clone(),
            lost_at: Instant::now(),
        })
    }

    /// Whether a request with this deadline may still be served by the next owner.
    pub(super) fn is_possible(&self, deadline: Instant, cluster: &Cluster) -> bool {
        let taken_over_by = self.lost_at + LEASE_DURATION + LEASE_MARGIN + RENEW_INTERVAL * TAKEOVER_RENEWALS;
        let in_time = Instant::now() + RETRY_PAUSE < taken_over_by.min(deadline);
        let mut entries = cluster.entries.iter();
        in_time
            && self.lost_at + MIN_TAKEOVER_TIME < deadline
            && entries.any(|member| {
                member.failure_domain == self.domain && member.name != self.entry && !member.leaving
            })
    }
}
