//! Lease durations, and the messages for granting leases.
//!
//! For its holder a lease starts when the holder sent the request, by the holder's clock.
//! For its grantor it starts when the grantor sent the answer, by the grantor's clock, and
//! lasts longer by a margin. So clocks need not be synchronised; over one lease they only
//! have to drift apart by less than the margin.

use std::time::Duration;

use filberthead_types::{Epoch, FailureDomain, Incarnation, NodeName, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// How long a lease lasts for its holder, from when the request was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// How much longer it lasts for its grantor, from when the answer was sent.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which leases are renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// The entries that share the endpoints of a failure domain.
///
/// Each endpoint has one owner among the members, by rendezvous hashing, so between two
/// rosters that differ by one member only that member's endpoints change their owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// Increases with each change of the members.
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

/// A failure domain's roster as control stores it for its next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRoster {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// The roster.
    pub roster: Roster,
    /// A member that was removed and hasn't acknowledged the removal yet.
    pub leaving: Option<NodeName>,
}

impl StoredRoster {
    /// Removes an entry that is gone for good.
    pub fn forget(&mut self, name: &NodeName) {
        self.leaving.take_if(|leaving| leaving == name);
        self.roster.forget(name);
    }
}

impl Roster {
    /// Removes a member that is gone for good.
    pub(crate) fn forget(&mut self, name: &NodeName) {
        if self.has(name) {
            self.members.retain(|member| member != name);
            self.epoch = self.epoch.next();
        }
    }
}

/// Smallest majority of a roster with this many members.
pub(crate) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// An entry's part of a limit, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Most requests in progress while the lease is valid.
    pub share: u32,
    /// Most requests in progress without a valid lease; at most the share.
    pub floor: u32,
}

/// An entry's parts of the limits in the row of a service and the entry's region.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceParts {
    /// The service.
    pub service: ServiceName,
    /// Part of the row's limit.
    pub limit: Part,
    /// Part of the row's shift cap.
    pub shift: Part,
}

/// An entry's load and slots for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Slots that the entry owns.
    pub slots: u32,
    /// Requests in progress at its endpoints, those of a previous owner included.
    pub running: u32,
    /// Requests that wait at the entry for a slot.
    pub waiting: u32,
    /// Shifted requests among those in progress.
    pub shifted: u32,
    /// Shifted requests among those that wait.
    pub shifted_waiting: u32,
}

/// An entry's request to control to renew its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// Identifies this start of the entry.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Term of the newest grant that is in force at the entry.
    pub term: Epoch,
    /// Number of this renewal, which the grant returns.
    pub serial: u64,
    /// Serial of the newest grant that is in force at the entry; 0 for none.
    pub accepted: u64,
    /// The roster that the entry follows; `None` after a start.
    pub roster: Option<Roster>,
    /// The member to which it gives no more promises.
    pub refusing: Option<NodeName>,
    /// Members that may still hold a promise of this entry.
    pub promised: Vec<NodeName>,
    /// Whether it is on a planned stop.
    pub leaving: bool,
    /// How long no endpoint of the failure domain has answered it; `None` if it knows of none.
    pub silence: Option<Duration>,
    /// The parts that it holds.
    pub parts: Vec<ServiceParts>,
    /// Its load and slots for each service.
    pub demand: Vec<ServiceDemand>,
}

/// Control's answer to a [`Renew`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Term of the leader that grants. An entry that has a grant of a higher term ignores
    /// this one.
    pub term: Epoch,
    /// Serial of the renewal that this answers; 0 if that was outdated.
    pub serial: u64,
    /// The roster that the entry must follow; `None` while it may not follow any.
    pub roster: Option<Roster>,
    /// Whether this grant leases the entry's membership.
    pub leased: bool,
    /// The member to which the entry must give no more promises.
    pub refuse: Option<NodeName>,
    /// The entry's parts for every service with a row in its region.
    pub parts: Vec<ServiceParts>,
}
