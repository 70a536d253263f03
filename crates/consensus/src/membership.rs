//! Membership changes, one replica at a time.
//!
//! Any majorities of two memberships that differ by one voter overlap, so joint
//! consensus is not needed as long as each change is committed before the next begins,
//! and the leader has committed an entry of its own term first. Otherwise two leaders
//! could commit by majorities that don't overlap.

use filberthead_types::{Moment, ReplicaId};

use crate::api::{Members, Proposal, ProposeError};
use crate::replica::{Replica, State};

/// What a membership change leads to.
pub(crate) enum MembershipStep {
    /// This membership is to be appended.
    Append(Members),
    /// The committed membership is what the change asks for: it was made before, and its sender
    /// hasn't learned of it.
    Done,
}

impl Replica {
    /// Returns what `change` leads to, or why it can't begin now.
    pub(crate) fn membership_step(
        &self,
        now: Moment,
        change: &Proposal,
    ) -> Result<MembershipStep, ProposeError> {
        let State::Leader(leadership) = &self.state else {
            let leader = self.other_leader();
            return Err(ProposeError::NotLeader { leader });
        };
        let change_pending =
            self.log.members_index() > self.commit || self.commit < leadership.noop_index;
        if change_pending && self.cfg.guards.one_change_at_a_time {
            return Err(ProposeError::MembershipRefused);
        }
        let mut members = self.log.members().clone();
        if is_done(&members, change) && self.has_active_majority(now, &members) {
            return Ok(MembershipStep::Done);
        }
        let is_valid = match change {
            Proposal::Command(_) => false,
            Proposal::AddLearner(id) => {
                !members.voters.contains(id) && members.learners.insert(*id)
            }
            Proposal::Promote(id) => {
                let learner = members.learners.remove(id);
                if learner && !self.is_caught_up(now, *id) {
                    return Err(ProposeError::LearnerBehind);
                }
                learner && members.voters.insert(*id)
            }
            Proposal::Remove(id) => members.learners.remove(id) || members.voters.remove(id),
        };
        if !is_valid || !self.has_active_majority(now, &members) {
            return Err(ProposeError::MembershipRefused);
        }
        Ok(MembershipStep::Append(members))
    }

    /// Whether a learner holds all committed entries and is responsive. As a voter it then
    /// fully replaces a lost one: if another is lost right after the repair, no entry is
    /// lost and a majority remains.
    fn is_caught_up(&self, now: Moment, id: ReplicaId) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let matched = leadership.peers.get(&id).map_or(0, |peer| peer.matched);
        matched >= self.commit && self.has_acked_recently(now, id)
    }

    /// Whether a majority of `members` is responsive now; without one, the change could be
    /// neither committed nor undone.
    fn has_active_majority(&self, now: Moment, members: &Members) -> bool {
        let active = members
            .voters
            .iter()
            .filter(|id| self.has_acked_recently(now, **id));
        !members.voters.is_empty() && active.count() >= members.majority()
    }

    /// Whether `id` acknowledged a heartbeat sent within the last election timeout.
    fn has_acked_recently(&self, now: Moment, id: ReplicaId) -> bool {
        if id == self.id {
            return true;
        }
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let acked_sent_at = leadership
            .peers
            .get(&id)
            .and_then(|peer| peer.acked_sent_at);
        acked_sent_at.is_some_and(|at| now < at + self.cfg.election_timeout)
    }
}

/// Whether a membership is what a change asks for. A learner that is a voter by now was added.
fn is_done(members: &Members, change: &Proposal) -> bool {
    match change {
        Proposal::Command(_) => false,
        Proposal::AddLearner(id) => members.all().any(|member| member == *id),
        Proposal::Promote(id) => members.voters.contains(id),
        Proposal::Remove(id) => members.all().all(|member| member != *id),
    }
}
