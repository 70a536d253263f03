//! Lease times, and the messages that leases are made of.
//!
//! A lease runs from the moment at which its holder *asked*, by the holder's clock, and
//! is given up by its grantor a margin after the moment at which it *answered*, by the
//! grantor's clock. So clocks need no common time, only rates that differ by less than
//! the margin over one lease.

use std::time::Duration;

use filberthead_types::{Epoch, FailureDomain, Incarnation, NodeName, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// How long a lease holds from the moment at which it was asked for.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// What a grantor adds to it.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// How often leases are asked for.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// The entries that share the endpoints of a failure domain.
///
/// Each endpoint has one owner among the members, by rendezvous hashing, so two rosters
/// that differ by one member differ only by that member's endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// Higher with each change.
    pub epoch: Epoch,
    /// The members.
    pub members: Vec<NodeName>,
}

impl Roster {
    /// Whether the entry is a member.
    pub fn has(&self, name: &NodeName) -> bool {
        self.members.contains(name)
    }
}

/// A failure domain's roster as control keeps it for its next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRoster {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// The roster.
    pub roster: Roster,
    /// A member that the roster no longer names and that hasn't acknowledged that yet.
    pub leaving: Option<NodeName>,
}

/// Members that any decision about a roster of this size must include.
pub(crate) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// A part of a limit: what its holder may use while its lease holds, and for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Requests in progress while the lease holds.
    pub share: u32,
    /// Requests in progress without a lease; at most the share.
    pub floor: u32,
}

/// An entry's parts of a service's row in its region.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceParts {
    /// The service.
    pub service: ServiceName,
    /// Of the limit.
    pub limit: Part,
    /// Of the shift cap.
    pub shift: Part,
}

/// What an entry does and wants for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Slots that it owns.
    pub slots: u32,
    /// Requests in progress at its endpoints, those of an earlier owner included.
    pub running: u32,
    /// Requests that wait here for a slot.
    pub waiting: u32,
    /// Of those in progress, shifted ones.
    pub shifted: u32,
    /// Of those that wait, shifted ones.
    pub shifted_waiting: u32,
}

/// An entry asks control for its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// The entry's start.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Term of the newest grant that is in force at the entry.
    pub term: Epoch,
    /// Number of this renewal; the grant carries it back.
    pub serial: u64,
    /// Number of the newest grant that is in force at the entry; 0 for none.
    pub accepted: u64,
    /// The roster in force at the entry.
    pub roster: Option<Roster>,
    /// The member to whom it gives no more promises.
    pub refusing: Option<NodeName>,
    /// Members to whom a promise of its may still hold.
    pub promised: Vec<NodeName>,
    /// Whether it is on a planned stop.
    pub leaving: bool,
    /// What it holds.
    pub parts: Vec<ServiceParts>,
    /// What it does and wants.
    pub demand: Vec<ServiceDemand>,
}

/// Control's answer to a [`Renew`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Term of the leader that grants; an entry that has seen a higher one ignores it.
    pub term: Epoch,
    /// Number of the renewal that is answered.
    pub serial: u64,
    /// The roster that the entry is to follow, if it may know one.
    pub roster: Option<Roster>,
    /// Whether the entry's membership is leased with this grant.
    pub leased: bool,
    /// The member to whom the entry is to give no more promises.
    pub refuse: Option<NodeName>,
    /// The entry's parts of every service's row in its region.
    pub parts: Vec<ServiceParts>,
}
