//! Decides which membership change the leader makes next, in a group with automatic membership.
//!
//! A replica that sends hellos is added as a learner and promoted once it holds everything
//! committed. A voter is removed only when another replica can replace it: one that has its
//! address, which means that the voter's disk was lost, or a learner that has caught up while the
//! voter has been silent. Without a replacement a silent voter stays, because it may return with
//! its disk, and its copy of the log counts until then.
//!
//! Invariant: the group never shrinks below its fault tolerance on purpose. A removal is followed
//! by the promotion of the replacement, and consensus refuses both unless a majority of the
//! resulting members is responding at that moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_consensus::{Members, Proposal};
use filberthead_types::{Moment, ReplicaId};

/// Most voters. A commit waits for the slowest of a majority, and with seven any three may fail;
/// further replicas stay learners.
pub(crate) const MAX_VOTERS: usize = 7;
/// Most learners that catch up at the same time: each is sent the whole state.
const MAX_CATCHING_UP: usize = 2;
/// Silence after which a replica isn't added, promoted or counted as a replacement.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a voter may be replaced by a learner: longer than a restart takes, and
/// short enough that the group is complete again seconds after a loss.
const LOST_TIMEOUT: Duration = Duration::from_millis(2500);

/// A replica as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Contact {
    /// Its address for messages of peers.
    pub(crate) addr: SocketAddr,
    /// When it was last heard from; `None` if never since the leader's process started.
    pub(crate) last_seen: Option<Moment>,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing to do.
    Idle,
    /// Put a replica's address into the log.
    RecordAddress(ReplicaId, SocketAddr),
    /// Change the membership.
    Change(Proposal),
}

/// The state that the decision is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) now: Moment,
    /// Since when this replica has been the leader.
    pub(crate) led_since: Moment,
    pub(crate) own_id: ReplicaId,
    pub(crate) members: &'a Members,
    /// All replicas that have an address, including this one.
    pub(crate) contacts: &'a BTreeMap<ReplicaId, Contact>,
    /// Replica addresses in the log.
    pub(crate) addresses: &'a BTreeMap<ReplicaId, SocketAddr>,
    /// When each learner was first seen among the members, in this leadership.
    pub(crate) learner_since: &'a BTreeMap<ReplicaId, Moment>,
    /// Learners that hold everything committed.
    pub(crate) caught_up: &'a [ReplicaId],
}

/// Decides on the next step.
pub(crate) fn next_step(view: View<'_>) -> Step {
    view.record_address()
        .or_else(|| view.add_learner())
        .or_else(|| view.remove())
        .or_else(|| view.promote())
        .unwrap_or(Step::Idle)
}

impl View<'_> {
    /// Whether a replica has been heard from recently.
    fn is_alive(&self, id: ReplicaId) -> bool {
        let last_seen = self.contacts.get(&id).and_then(|contact| contact.last_seen);
        id == self.own_id || last_seen.is_some_and(|at| self.now < at + ALIVE_TIMEOUT)
    }

    /// Whether a replica has been silent for so long that it counts as lost. A new leader hasn't
    /// heard from anybody yet, so silence counts from the start of its leadership at the
    /// earliest.
    fn is_lost(&self, id: ReplicaId) -> bool {
        let last_seen = self.contacts.get(&id).and_then(|contact| contact.last_seen);
        let since = last_seen.unwrap_or(self.led_since).max(self.led_since);
        id != self.own_id && self.now >= since + LOST_TIMEOUT
    }

    /// A replica whose address in the log is missing or outdated.
    fn record_address(&self) -> Option<Step> {
        let alive = self.contacts.iter().filter(|(id, _)| self.is_alive(**id));
        let mut moved = alive.filter(|(id, contact)| self.addresses.get(id) != Some(&contact.addr));
        moved
            .next()
            .map(|(id, contact)| Step::RecordAddress(*id, contact.addr))
    }

    fn add_learner(&self) -> Option<Step> {
        let catching_up = self.members.learners.len() - self.caught_up.len();
        if catching_up >= MAX_CATCHING_UP {
            return None;
        }
        let is_member =
            |id: &ReplicaId| self.members.voters.contains(id) || self.members.learners.contains(id);
        let mut candidates = self.contacts.keys().filter(|id| !is_member(id));
        let candidate = candidates.find(|id| self.is_alive(**id) && !self.is_superseded(**id))?;
        Some(Step::Change(Proposal::AddLearner(*candidate)))
    }

    /// Whether another replica was heard from later at this one's address: its data folder is lost,
    /// although its last message may be recent.
    fn is_superseded(&self, id: ReplicaId) -> bool {
        let Some(contact) = self.contacts.get(&id) else {
            return false;
        };
        let mut others = self.contacts.iter().filter(|(other, _)| **other != id);
        others.any(|(_, other)| other.addr == contact.addr && other.last_seen > contact.last_seen)
    }

    fn remove(&self) -> Option<Step> {
        let all = self.members.voters.iter().chain(&self.members.learners);
        let mut removable = all.filter(|id| self.may_remove(**id));
        removable
            .next()
            .map(|id| Step::Change(Proposal::Remove(*id)))
    }

    fn may_remove(&self, id: ReplicaId) -> bool {
        if id == self.own_id {
            return false;
        }
        if self.is_replaced(id) {
            return true;
        }
        if self.is_alive(id) {
            return false;
        }
        let has_replacement = self.caught_up.iter().any(|learner| self.is_alive(*learner));
        match self.members.voters.contains(&id) {
            true => has_replacement && self.is_lost(id),
            false => self.is_lost(id),
        }
    }

    /// Whether a caught-up replica with another id now has this one's address: the data folder is
    /// lost, and this id can never return. It must be removed before the new replica is promoted,
    /// however recently it was heard from; else the group would have a voter that never responds.
    fn is_replaced(&self, id: ReplicaId) -> bool {
        let Some(addr) = self.addresses.get(&id) else {
            return false;
        };
        let last_seen =
            |id: &ReplicaId| self.contacts.get(id).and_then(|contact| contact.last_seen);
        let newer = |other: &&ReplicaId| {
            **other != id
                && self.addresses.get(other) == Some(addr)
                && last_seen(other) > last_seen(&id)
        };
        let mut ready = self.caught_up.iter().filter(newer);
        ready.any(|other| self.is_alive(*other))
    }

    /// Whether a learner must wait to be promoted because a voter, not heard from since the
    /// learner was added, may still turn out to be lost. The successor of a VM that is gone for
    /// good arrives within a second; promoted at once, it couldn't replace that VM's voter any
    /// more, and the group would have a voter that never responds.
    fn is_reserved_as_replacement(&self, learner: ReplicaId) -> bool {
        let Some(added_at) = self.learner_since.get(&learner) else {
            return true;
        };
        let last_seen =
            |id: &ReplicaId| self.contacts.get(id).and_then(|contact| contact.last_seen);
        let mut voters = self.members.voters.iter().filter(|id| **id != self.own_id);
        voters.any(|id| last_seen(id).is_none_or(|at| at <= *added_at) && !self.is_lost(*id))
    }

    fn promote(&self) -> Option<Step> {
        if self.members.voters.len() >= MAX_VOTERS {
            return None;
        }
        let is_ready =
            |id: &&ReplicaId| self.is_alive(**id) && !self.is_reserved_as_replacement(**id);
        let mut ready = self.caught_up.iter().filter(is_ready);
        let learner = ready.next()?;
        Some(Step::Change(Proposal::Promote(*learner)))
    }
}
