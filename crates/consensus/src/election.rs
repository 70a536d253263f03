//! Elections, votes and stepping down.
//!
//! A replica first asks whether it would get votes (pre-vote), without raising its
//! term, so that one that was partitioned or suspended does not depose a live leader on
//! its return. A leader steps down if no majority acknowledges its heartbeats for an
//! election timeout (check-quorum).

use std::collections::BTreeSet;

use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::api::{Action, Message, ProposeError};
use crate::progress::Leadership;
use crate::replica::{Replica, State};

/// Term and index of a log's last entry; the greater one is the more up-to-date log.
type LogEnd = (Epoch, u64);

impl Replica {
    /// Starts a pre-vote if this replica is a voter.
    pub(crate) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_retry_timer(now);
        self.leader = None;
        if !self.is_voter() {
            self.state = State::Follower;
            return;
        }
        if !self.cfg.guards.pre_vote {
            self.start_election(now);
            return;
        }
        self.state = State::PreCandidate(BTreeSet::new());
        let (last_term, last_index) = self.log_end();
        self.send_to_voters(&Message::PreVote {
            term: self.term.next(),
            last_index,
            last_term,
        });
        self.on_pre_vote_reply(now, self.id, self.term.next(), true);
    }

    /// Enters the next term and requests votes in it.
    fn start_election(&mut self, now: Moment) {
        self.set_term(self.term.next());
        self.vote = Some(self.id);
        self.reset_retry_timer(now);
        self.state = State::Candidate(BTreeSet::new());
        let (last_term, last_index) = self.log_end();
        self.send_to_voters(&Message::Vote {
            term: self.term,
            last_index,
            last_term,
        });
        let own = Message::VoteReply {
            term: self.term,
            granted: true,
        };
        self.send_after_sync(now, self.id, own);
    }

    fn send_to_voters(&mut self, message: &Message) {
        let members = self.log.members();
        let recipients = members
            .all()
            .filter(|id| self.vote_counts(*id) && *id != self.id);
        let recipients: Vec<_> = recipients.collect();
        for id in recipients {
            self.send(id, message.clone());
        }
    }

    pub(crate) fn on_pre_vote(&mut self, now: Moment, from: ReplicaId, term: Epoch, end: LogEnd) {
        let granted = term > self.term
            && self.may_vote(now)
            && self.is_new_enough(end)
            && !self.takes_precedence(from, end);
        if granted {
            // Gives the other time to win; if both started an election, neither might win.
            self.reset_retry_timer(now);
        }
        let term = if granted { term } else { self.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    /// Whether this replica is a candidate too and takes precedence: of two concurrent ones
    /// with equal logs, only the higher id continues, so that they don't split the votes.
    fn takes_precedence(&self, other: ReplicaId, end: LogEnd) -> bool {
        let is_candidate = !matches!(self.state, State::Follower);
        is_candidate && end == self.log_end() && self.id > other
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: Epoch,
        granted: bool,
    ) {
        if !granted {
            self.observe_term(now, term);
            return;
        }
        let State::PreCandidate(votes) = &mut self.state else {
            return;
        };
        if term != self.term.next() {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_majority(&votes) {
            self.start_election(now);
        }
    }

    /// Learners may vote too, as one may have been promoted by an entry that it doesn't
    /// have yet. The candidate counts only votes of voters in its own newest membership.
    pub(crate) fn on_vote(&mut self, now: Moment, from: ReplicaId, term: Epoch, end: LogEnd) {
        // Ignoring the term while no vote may be granted keeps the lease of the leader that
        // this replica acknowledged; else two leaders could both serve reads.
        if self.may_vote(now) {
            self.observe_term(now, term);
        }
        let granted = term == self.term
            && self.may_vote(now)
            && self.vote.is_none_or(|vote| vote == from)
            && self.is_new_enough(end);
        let reply = Message::VoteReply {
            term: self.term,
            granted,
        };
        if !granted {
            self.send(from, reply);
            return;
        }
        if self.vote.is_none() {
            self.vote = Some(from);
            self.sync.hard_state_changed();
        }
        self.reset_election_timer(now);
        self.send_after_sync(now, from, reply);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: Epoch,
        granted: bool,
    ) {
        self.observe_term(now, term);
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        if term != self.term || !granted {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_majority(&votes) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Moment) {
        let noop_index = self.log.last_index() + 1;
        self.state = State::Leader(Leadership::new(now, noop_index));
        self.leader = Some(self.id);
        self.start_term(now);
    }

    /// Enters `term` if it is newer; a leader or candidate then steps down.
    pub(crate) fn observe_term(&mut self, now: Moment, term: Epoch) {
        if term <= self.term {
            return;
        }
        self.set_term(term);
        self.step_down(now);
    }

    /// Becomes a follower. Uncommitted proposals may survive in the logs of others, so
    /// their outcome is unknown.
    pub(crate) fn step_down(&mut self, now: Moment) {
        self.leader = None;
        let state = std::mem::replace(&mut self.state, State::Follower);
        let State::Leader(leadership) = state else {
            return;
        };
        self.reset_election_timer(now);
        for token in leadership.pending.into_values() {
            let result = Err(ProposeError::OutcomeUnknown);
            self.push(Action::Proposed { token, result });
        }
    }

    /// Steps down if no majority has acknowledged a heartbeat of the last election timeout,
    /// so that callers turn to another replica and this one no longer refuses its vote to a
    /// majority that it can't reach.
    pub(crate) fn check_quorum(&mut self, now: Moment) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let acked_sent_at = self
            .quorum_acked_sent_at(now)
            .unwrap_or(leadership.elected_at);
        if now >= acked_sent_at.max(leadership.elected_at) + self.cfg.election_timeout {
            self.step_down(now);
        }
    }

    /// Whether this replica may grant a vote: not while it leads, or while a leader's lease may
    /// depend on its acknowledgement, or before it has a membership.
    fn may_vote(&self, now: Moment) -> bool {
        if self.log.members().voters.is_empty() {
            return false;
        }
        if !self.cfg.guards.refuse_votes_while_leader_is_live {
            return now >= self.no_vote_until;
        }
        !matches!(self.state, State::Leader(_)) && now >= self.no_vote_until
    }

    fn is_majority(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let counted = votes.iter().filter(|id| self.vote_counts(**id)).count();
        counted >= self.log.members().majority()
    }

    /// Whether a replica's vote counts. A learner's doesn't: it may lack committed entries
    /// and elect a candidate that lacks them too.
    fn vote_counts(&self, id: ReplicaId) -> bool {
        let members = self.log.members();
        let learner = !self.cfg.guards.learners_do_not_count && members.learners.contains(&id);
        members.voters.contains(&id) || learner
    }

    fn is_new_enough(&self, end: LogEnd) -> bool {
        !self.cfg.guards.compare_logs || end >= self.log_end()
    }

    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }
}
