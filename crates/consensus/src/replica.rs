//! The replica: its state, and the one function through which time passes.
//!
//! # Invariants
//!
//! - At most one replica leads in a term: a vote is synced before it leaves.
//! - What is committed stays: only a candidate whose log is at least as new as a
//!   majority's wins, and a leader commits by counting only entries of its own term.
//! - At most one replica holds a valid lease at any moment. The lease counts from the
//!   moment a heartbeat was *sent*; whoever answered it refuses its vote for an
//!   election timeout from a later moment, and a replica that restarts, having
//!   forgotten what it answered, refuses for as long. The lease is the shorter.
//! - A lease is compared with `now` at each answer, so a process that was suspended
//!   doesn't answer by what it believed before.

use std::collections::BTreeSet;
use std::time::Duration;

use filberthead_types::{Epoch, Moment, ReplicaId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::api::{
    Action, Durable, Event, HardState, Message, Persist, Role, Snapshot, Status, Token,
};
use crate::config::Config;
use crate::log::Log;
use crate::progress::Leadership;
use crate::sync::{SendDecision, SyncTracker};

/// A part of the snapshot interval for which entries stay in memory after a snapshot.
const RETAINED_ENTRIES_DIVISOR: u64 = 4;

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) cfg: Config,
    pub(crate) term: Epoch,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) commit: u64,
    pub(crate) state: State,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) sync: SyncTracker,
    /// Until then this replica may be bound by what it answered to a leader.
    pub(crate) no_vote_until: Moment,
    /// When to ask for votes if no leader is heard.
    pub(crate) election_at: Moment,
    election_draws: u64,
    snapshot_requested: bool,
    actions: Vec<Action>,
}

/// What the replica is doing. Learners are followers that the membership names so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Leadership),
}

impl Replica {
    /// Starts a replica from what its data folder holds. The owner's state machine
    /// starts from `durable.snapshot`; entries after it come by [`Action::Apply`] once
    /// they are known to be committed.
    ///
    /// With empty [`Members`](crate::Members) (a new data folder) it neither votes nor
    /// campaigns and waits until a leader addresses it.
    pub fn new(id: ReplicaId, cfg: Config, durable: Durable, now: Moment) -> Self {
        let log = Log::new(&durable.snapshot, durable.entries);
        let mut replica = Self {
            id,
            term: durable.hard_state.term,
            vote: durable.hard_state.vote,
            commit: durable.snapshot.index,
            state: State::Follower,
            leader: None,
            sync: SyncTracker::new(log.last_index()),
            no_vote_until: Moment::ZERO,
            election_at: Moment::ZERO,
            election_draws: 0,
            snapshot_requested: false,
            actions: Vec::new(),
            snapshot: durable.snapshot,
            log,
            cfg,
        };
        // A snapshot or entry may have been synced just before the term that it names.
        if replica.log.last_term() > replica.term {
            replica.set_term(replica.log.last_term());
        }
        // Before it died it may have answered a heartbeat, and a leader may count its
        // lease on that answer: voting at once could set up a second leader whose
        // changes the first one doesn't see. The silence outlasts any such lease.
        if replica.cfg.guards.wait_after_restart {
            replica.no_vote_until = now + replica.cfg.election_timeout;
        }
        replica.reset_election_timer(now);
        replica
    }

    /// Takes an event at `now` and says what to do next, in this order.
    ///
    /// `now` must be read from the monotonic clock after the event came in: a process
    /// that was suspended in between then answers by the clock of after.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        self.check_quorum(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::Received { from, message } => self.on_message(now, from, message),
            Event::Propose { token, proposal } => self.on_propose(now, token, proposal),
            Event::Read { token } => self.on_read(now, token),
            Event::Persisted { seq } => self.on_persisted(now, seq),
            Event::SnapshotTaken { index, data } => self.on_snapshot_taken(index, data),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// What this replica takes itself for at `now`.
    pub fn status(&self, now: Moment) -> Status {
        let progress = match &self.state {
            State::Leader(leadership) => leadership
                .peers
                .iter()
                .map(|(id, p)| (*id, p.matched))
                .collect(),
            _ => Vec::new(),
        };
        Status {
            id: self.id,
            role: self.role(),
            term: self.term,
            leader: self.leader,
            holds_lease: self.can_serve_reads(now),
            last_index: self.log.last_index(),
            commit: self.commit,
            members: self.log.members().clone(),
            progress,
        }
    }

    /// End of the lease, while this replica holds one and may answer from its state
    /// machine. For what is done on the strength of the lease without asking again.
    pub fn lease_until(&self, now: Moment) -> Option<Moment> {
        self.lease_end(now).filter(|_| self.can_serve_reads(now))
    }

    fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    fn on_tick(&mut self, now: Moment) {
        match &self.state {
            State::Leader(leadership) if now >= leadership.heartbeat_at => self.heartbeat(now),
            State::Leader(_) => {}
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    fn on_message(&mut self, now: Moment, from: ReplicaId, message: Message) {
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => self.on_pre_vote(now, from, term, (last_term, last_index)),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            Message::Vote {
                term,
                last_index,
                last_term,
            } => self.on_vote(now, from, term, (last_term, last_index)),
            Message::VoteReply { term, granted } => self.on_vote_reply(now, from, term, granted),
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                let prev = (prev_term, prev_index);
                self.on_append(now, (from, term, round), prev, entries, commit);
            }
            Message::AppendReply {
                term,
                index,
                success,
                round,
            } => self.on_append_reply(now, (from, term, round), index, success),
            Message::Install {
                term,
                snapshot,
                round,
            } => self.on_install(now, (from, term, round), snapshot),
        }
    }

    fn on_read(&mut self, now: Moment, token: Token) {
        let action = if self.can_serve_reads(now) {
            Action::ReadReady { token }
        } else {
            Action::ReadRefused {
                token,
                leader: self.known_leader(),
            }
        };
        self.actions.push(action);
    }

    fn on_persisted(&mut self, now: Moment, seq: u64) {
        let released = self.sync.persisted(seq, &self.log);
        for (to, message) in released {
            self.deliver(now, to, message);
        }
        self.advance_commit(now);
    }

    fn on_snapshot_taken(&mut self, index: u64, data: Vec<u8>) {
        self.snapshot_requested = false;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= self.snapshot.index || index > self.commit {
            return;
        }
        self.snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            data,
        };
        let retained_entries = self.cfg.snapshot_after / RETAINED_ENTRIES_DIVISOR;
        self.log
            .compact(index, retained_entries, self.cfg.snapshot_after_bytes);
        self.sync.snapshot_changed();
    }

    /// Moves the commit index up and hands over what is committed.
    pub(crate) fn commit_to(&mut self, index: u64) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index).to_vec();
        self.commit = index;
        self.actions.push(Action::Apply(entries));
        if !self.snapshot_requested && self.is_snapshot_due() {
            self.snapshot_requested = true;
            self.actions.push(Action::TakeSnapshot);
        }
    }

    /// Whether so much was applied since the snapshot that a replica which begins with it
    /// would be behind for long. Counted by bytes too: a few large commands take as long as
    /// a thousand small ones.
    fn is_snapshot_due(&self) -> bool {
        let snapshot_index = self.snapshot.index;
        if self.commit - snapshot_index >= self.cfg.snapshot_after {
            return true;
        }
        let min_bytes = (2 * self.snapshot.data.len()).max(self.cfg.snapshot_after_bytes);
        self.log.bytes(snapshot_index + 1, self.commit) >= min_bytes
    }

    /// Enters a newer term, in which this replica has not voted.
    pub(crate) fn set_term(&mut self, term: Epoch) {
        self.term = term;
        self.vote = None;
        self.sync.term_changed();
    }

    /// Draws the moment at which to ask for votes if no leader is heard until then.
    pub(crate) fn reset_election_timer(&mut self, now: Moment) {
        let wait = self.cfg.election_timeout;
        self.schedule_election(now, wait);
    }

    /// Draws the moment at which to ask again if this try fails: with no leader to be
    /// heard there is nothing to wait for but the answers.
    pub(crate) fn reset_retry_timer(&mut self, now: Moment) {
        let wait = self.cfg.election_timeout / 2;
        self.schedule_election(now, wait);
    }

    fn schedule_election(&mut self, now: Moment, wait: Duration) {
        let jitter = self.cfg.election_jitter;
        self.election_at = now + wait;
        if jitter.is_zero() {
            return;
        }
        let seed = self.cfg.seed ^ self.id.0.rotate_left(32) ^ self.election_draws;
        self.election_draws += 1;
        self.election_at += jitter.mul_f64(StdRng::seed_from_u64(seed).random::<f64>());
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.members().voters.contains(&self.id)
    }

    /// The leader, if that is another replica: to itself this one must prove it.
    pub(crate) fn known_leader(&self) -> Option<ReplicaId> {
        self.leader.filter(|id| *id != self.id)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message that others will count on, once all it speaks of is synced. A
    /// promise to itself, its own vote, is counted only then as well.
    pub(crate) fn send_after_sync(&mut self, now: Moment, to: ReplicaId, message: Message) {
        if !self.cfg.guards.sync_before_send {
            self.deliver(now, to, message);
            return;
        }
        match self.sync.send_after_sync(to, message) {
            SendDecision::Now(message) => self.deliver(now, to, message),
            SendDecision::AfterSync => {}
        }
    }

    fn deliver(&mut self, now: Moment, to: ReplicaId, message: Message) {
        if to == self.id {
            self.on_message(now, to, message);
        } else {
            self.send(to, message);
        }
    }

    fn flush(&mut self) {
        let hard_state = HardState {
            term: self.term,
            vote: self.vote,
        };
        let persist: Option<Persist> = self.sync.next(hard_state, &self.snapshot, &self.log);
        self.actions.extend(persist.map(Action::Persist));
    }
}
