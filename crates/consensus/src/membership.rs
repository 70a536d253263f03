//! Changes of membership, one replica at a time.
//!
//! Two memberships that differ by one voter share a member in any two majorities, so
//! no joint phase is needed as long as one change is committed before the next begins
//! and the leader has committed an entry of its own term first: without that, two
//! leaders could each commit by a majority that the other doesn't meet.

use filberthead_types::{Moment, ReplicaId};

use crate::api::{Members, Proposal, ProposeError};
use crate::replica::{Replica, State};

impl Replica {
    /// The membership that `change` leads to, if it may begin now.
    pub(crate) fn members_after_change(
        &self,
        now: Moment,
        change: &Proposal,
    ) -> Result<Members, ProposeError> {
        let State::Leader(leadership) = &self.state else {
            let leader = self.known_leader();
            return Err(ProposeError::NotLeader { leader });
        };
        let change_pending =
            self.log.members_index() > self.commit || self.commit < leadership.noop_index;
        if change_pending && self.cfg.guards.one_change_at_a_time {
            return Err(ProposeError::MembershipRefused);
        }
        let mut members = self.log.members().clone();
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
        Ok(members)
    }

    /// Whether a learner holds all that is committed, and answers. As a voter it then
    /// stands in for a lost one: a second loss right after the repair loses nothing
    /// and finds a majority.
    fn is_caught_up(&self, now: Moment, id: ReplicaId) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let matched = leadership.peers.get(&id).map_or(0, |peer| peer.matched);
        matched >= self.commit && self.has_acked_recently(now, id)
    }

    /// Whether the change would leave a majority of voters that answer now; without
    /// one, it could never be committed nor taken back.
    fn has_active_majority(&self, now: Moment, members: &Members) -> bool {
        let active = members
            .voters
            .iter()
            .filter(|id| self.has_acked_recently(now, **id));
        !members.voters.is_empty() && active.count() >= members.majority()
    }

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
