//! Which change of membership a leader makes next, when the group keeps itself.
//!
//! Replicas that make themselves known are taken in as learners and vote once they hold
//! all that is committed. A voter removable only when another replica stands in for it: one
//! that has its address, which means that its disk was lost, or a learner that has caught
//! up while the voter has been silent. Without a stand-in a silent voter stays, because it
//! may come back with its disk, and its copy counts until then.
//!
//! Invariant: the group never shrinks below what it tolerates on purpose; a removal is
//! followed by the promotion of the stand-in, and consensus refuses both unless a
//! majority of the outcome answers at this moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_consensus::{Members, Proposal};
use filberthead_types::{Moment, ReplicaId};

/// Most voters. A change waits for the slowest of a majority, and at seven any three may
/// be lost; further replicas learn and stand by.
pub(crate) const MAX_VOTERS: usize = 7;
/// Learners that catch up at the same time: each is sent the whole state.
const MAX_CATCHING_UP: usize = 2;
/// Silence after which a replica isn't taken in, or counted as a stand-in.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a voter may be replaced by a learner that stands by: longer than a
/// restart takes, and short enough that the group is whole again seconds after a loss.
const LOST_TIMEOUT: Duration = Duration::from_millis(2500);

/// A replica as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Contact {
    /// Where it takes messages.
    pub(crate) addr: SocketAddr,
    /// When it was last heard; `None` if never in this life of the leader's process.
    pub(crate) last_seen: Option<Moment>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing for now.
    Idle,
    /// Put a replica's address into the log.
    RecordAddress(ReplicaId, SocketAddr),
    /// Change the membership.
    Change(Proposal),
}

/// What the decision is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) now: Moment,
    /// Since when this replica has led.
    pub(crate) led_since: Moment,
    pub(crate) own_id: ReplicaId,
    pub(crate) members: &'a Members,
    /// Other replicas that were heard of.
    pub(crate) contacts: &'a BTreeMap<ReplicaId, Contact>,
    pub(crate) addresses: &'a BTreeMap<ReplicaId, SocketAddr>,
    /// When each learner was first seen among the members, in this leadership.
    pub(crate) learner_since: &'a BTreeMap<ReplicaId, Moment>,
    /// Learners that hold all that is committed.
    pub(crate) caught_up: &'a [ReplicaId],
}

/// Decides the next step.
pub(crate) fn next_step(view: View<'_>) -> Step {
    view.record_address()
        .or_else(|| view.add_learner())
        .or_else(|| view.remove())
        .or_else(|| view.promote())
        .unwrap_or(Step::Idle)
}

impl View<'_> {
    fn is_alive(&self, id: ReplicaId) -> bool {
        let last_seen = self.contacts.get(&id).and_then(|contact| contact.last_seen);
        id == self.own_id || last_seen.is_some_and(|at| self.now < at + ALIVE_TIMEOUT)
    }

    /// Silent for so long that it is taken for lost. A new leader hasn't heard anybody
    /// yet, so silence counts from the beginning of its leadership at the earliest.
    fn is_lost(&self, id: ReplicaId) -> bool {
        let last_seen = self.contacts.get(&id).and_then(|contact| contact.last_seen);
        let since = last_seen.unwrap_or(self.led_since).max(self.led_since);
        id != self.own_id && self.now >= since + LOST_TIMEOUT
    }

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
        let candidate = candidates.find(|id| self.is_alive(**id))?;
        Some(Step::Change(Proposal::AddLearner(*candidate)))
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

    /// Whether a caught-up replica with another identity has its address since: its data
    /// folder is lost, and the identity can never come back. It must go before the other
    /// one votes, however lately it was heard, or the group would count a voter more that
    /// never answers.
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

    /// Whether a voter hasn't been heard since this learner was taken in, and doesn't count as
    /// gone yet. The learner waits for either: made a further voter before, as the successor of
    /// a VM that is gone for good comes within a second, it leaves nobody to stand in for that
    /// one, and the group counts a voter more that never answers.
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
