//! Which change of membership a leader makes next, when the group keeps itself.
//!
//! Replicas that make themselves known are taken in as learners and vote once they hold
//! all that is committed. A voter goes only when another replica stands in for it: one
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
const HEARD_WITHIN: Duration = Duration::from_millis(1500);
/// Silence after which a voter may be replaced by a learner that stands by: longer than a
/// restart takes, and short enough that the group is whole again seconds after a loss.
const GONE_AFTER: Duration = Duration::from_millis(2500);

/// A replica as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    /// Where it takes messages.
    pub(crate) addr: SocketAddr,
    /// When it was last heard; `None` if never in this life of the leader's process.
    pub(crate) heard: Option<Moment>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Nothing for now.
    Rest,
    /// Put a replica's address into the log.
    Locate(ReplicaId, SocketAddr),
    /// Change the membership.
    Change(Proposal),
}

/// What the decision is made from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View<'a> {
    pub(crate) now: Moment,
    /// Since when this replica has led.
    pub(crate) led_since: Moment,
    pub(crate) own: ReplicaId,
    pub(crate) members: &'a Members,
    /// Other replicas that were heard of.
    pub(crate) seen: &'a BTreeMap<ReplicaId, Seen>,
    pub(crate) located: &'a BTreeMap<ReplicaId, SocketAddr>,
    /// When each learner was first seen among the members, in this leadership.
    pub(crate) joined: &'a BTreeMap<ReplicaId, Moment>,
    /// Learners that hold all that is committed.
    pub(crate) caught_up: &'a [ReplicaId],
}

/// Decides the next step.
pub(crate) fn next(view: View<'_>) -> Next {
    view.locate()
        .or_else(|| view.take_in())
        .or_else(|| view.remove())
        .or_else(|| view.promote())
        .unwrap_or(Next::Rest)
}

impl View<'_> {
    fn is_heard(&self, id: ReplicaId) -> bool {
        let heard = self.seen.get(&id).and_then(|seen| seen.heard);
        id == self.own || heard.is_some_and(|at| self.now < at + HEARD_WITHIN)
    }

    /// Silent for so long that it is taken for lost. A new leader hasn't heard anybody
    /// yet, so silence counts from the beginning of its leadership at the earliest.
    fn is_gone(&self, id: ReplicaId) -> bool {
        let heard = self.seen.get(&id).and_then(|seen| seen.heard);
        let since = heard.unwrap_or(self.led_since).max(self.led_since);
        id != self.own && self.now >= since + GONE_AFTER
    }

    fn locate(&self) -> Option<Next> {
        let heard = self.seen.iter().filter(|(id, _)| self.is_heard(**id));
        let mut moved = heard.filter(|(id, seen)| self.located.get(id) != Some(&seen.addr));
        moved.next().map(|(id, seen)| Next::Locate(*id, seen.addr))
    }

    fn take_in(&self) -> Option<Next> {
        let catching_up = self.members.learners.len() - self.caught_up.len();
        if catching_up >= MAX_CATCHING_UP {
            return None;
        }
        let known =
            |id: &ReplicaId| self.members.voters.contains(id) || self.members.learners.contains(id);
        let mut strangers = self.seen.keys().filter(|id| !known(id));
        let stranger = strangers.find(|id| self.is_heard(**id))?;
        Some(Next::Change(Proposal::AddLearner(*stranger)))
    }

    fn remove(&self) -> Option<Next> {
        let all = self.members.voters.iter().chain(&self.members.learners);
        let mut goes = all.filter(|id| self.may_go(**id));
        goes.next().map(|id| Next::Change(Proposal::Remove(*id)))
    }

    fn may_go(&self, id: ReplicaId) -> bool {
        if id == self.own {
            return false;
        }
        if self.is_displaced(id) {
            return true;
        }
        if self.is_heard(id) {
            return false;
        }
        let stand_in = self.caught_up.iter().any(|learner| self.is_heard(*learner));
        match self.members.voters.contains(&id) {
            true => stand_in && self.is_gone(id),
            false => self.is_gone(id),
        }
    }

    /// Whether a caught-up replica with another identity has its address since: its data
    /// folder is lost, and the identity can never come back. It must go before the other
    /// one votes, however lately it was heard, or the group would count a voter more that
    /// never answers.
    fn is_displaced(&self, id: ReplicaId) -> bool {
        let Some(addr) = self.located.get(&id) else {
            return false;
        };
        let heard = |id: &ReplicaId| self.seen.get(id).and_then(|seen| seen.heard);
        let newer = |other: &&ReplicaId| {
            **other != id && self.located.get(other) == Some(addr) && heard(other) > heard(&id)
        };
        let mut ready = self.caught_up.iter().filter(newer);
        ready.any(|other| self.is_heard(*other))
    }

    /// Whether a voter hasn't been heard since this learner was taken in, and doesn't count as
    /// gone yet. The learner waits for either: made a further voter before, as the successor of
    /// a VM that is gone for good comes within a second, it leaves nobody to stand in for that
    /// one, and the group counts a voter more that never answers.
    fn may_stand_in(&self, learner: ReplicaId) -> bool {
        let Some(joined) = self.joined.get(&learner) else {
            return true;
        };
        let heard = |id: &ReplicaId| self.seen.get(id).and_then(|seen| seen.heard);
        let mut voters = self.members.voters.iter().filter(|id| **id != self.own);
        voters.any(|id| heard(id).is_none_or(|at| at <= *joined) && !self.is_gone(*id))
    }

    fn promote(&self) -> Option<Next> {
        if self.members.voters.len() >= MAX_VOTERS {
            return None;
        }
        let is_ready = |id: &&ReplicaId| self.is_heard(**id) && !self.may_stand_in(**id);
        let mut ready = self.caught_up.iter().filter(is_ready);
        let learner = ready.next()?;
        Some(Next::Change(Proposal::Promote(*learner)))
    }
}
