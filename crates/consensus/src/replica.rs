//! The replica: its state and [`Replica::step`].
//!
//! # Invariants
//!
//! - At most one replica leads in a term: a vote is synced before it is sent.
//! - Committed entries are never lost: a candidate wins only if its log is at least as up
//!   to date as a majority's, and a leader commits only entries of its own term by
//!   counting replicas.
//! - At most one replica holds a valid lease at any moment. The lease starts when a
//!   heartbeat is *sent*. A replica that acknowledges it grants no vote for an election
//!   timeout from its receipt, which is later; a restarted replica has lost track of what
//!   it acknowledged, and grants none for as long after its start. The lease is shorter
//!   than the election timeout.
//! - A lease is compared with `now` before each read or proposal, so a process that was
//!   suspended doesn't act on an expired one.

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

/// Of `snapshot_after` entries, one in this many stays in memory after a snapshot.
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
    /// Earliest moment to grant a vote: a leader's lease may depend on this replica until
    /// then.
    pub(crate) no_vote_until: Moment,
    /// When to start an election unless a leader's message arrives first.
    pub(crate) election_at: Moment,
    /// Number of election jitters drawn so far; varies the seed of the next one.
    election_draws: u64,
    /// Whether [`Action::TakeSnapshot`] was returned and awaits its event.
    snapshot_requested: bool,
    /// Actions of the current step.
    actions: Vec<Action>,
}

/// Election state. Learners are `Follower`s; candidates hold the votes granted so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Leadership),
}

impl Replica {
    /// Starts a replica from its stored state. The owner's state machine starts from
    /// `durable.snapshot`; later entries follow in [`Action::Apply`] once they are known to
    /// be committed.
    ///
    /// With empty [`Members`](crate::Members) (a new data folder) it neither votes nor
    /// campaigns, but waits for a leader's message.
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
        // A snapshot or entry may have been synced just before a crash, its term not yet.
        if replica.log.last_term() > replica.term {
            replica.set_term(replica.log.last_term());
        }
        // Before its restart this replica may have acknowledged a heartbeat, and a leader's
        // lease may depend on that: an immediate vote could elect a second leader whose
        // changes the first one doesn't see. The wait outlasts any such lease.
        if replica.cfg.guards.wait_after_restart {
            replica.no_vote_until = now + replica.cfg.election_timeout;
        }
        replica.reset_election_timer(now);
        replica
    }

    /// Processes an event and returns the actions to perform, in order.
    ///
    /// `now` must be read from the monotonic clock after the event arrived, so that a
    /// process that was suspended in between doesn't use a time from before that.
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

    /// The state of this replica at `now`, for operators.
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

    /// End of the lease if this replica may serve reads, else `None`. For work that relies on
    /// the lease without a [`Event::Read`] for each answer.
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
            Message::InstallSnapshot {
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
                leader: self.other_leader(),
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

    /// Raises the commit index and applies the newly committed entries.
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

    /// Whether a replica that starts from the snapshot would need long to catch up. Counts
    /// bytes as well as entries: a few large commands take as long as a thousand small ones.
    fn is_snapshot_due(&self) -> bool {
        let snapshot_index = self.snapshot.index;
        if self.commit - snapshot_index >= self.cfg.snapshot_after {
            return true;
        }
        let min_bytes = (2 * self.snapshot.data.len()).max(self.cfg.snapshot_after_bytes);
        self.log.bytes(snapshot_index + 1, self.commit) >= min_bytes
    }

    /// Enters a newer term and clears the vote.
    pub(crate) fn set_term(&mut self, term: Epoch) {
        self.term = term;
        self.vote = None;
        self.sync.term_changed();
    }

    /// Schedules an election in case no leader's message arrives until then.
    pub(crate) fn reset_election_timer(&mut self, now: Moment) {
        let wait = self.cfg.election_timeout;
        self.schedule_election(now, wait);
    }

    /// Schedules the retry of a failed election. It is sooner than an election after a
    /// leader's message, as only the replies of voters are awaited.
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

    /// The leader, if it is another replica: this one must prove its own leadership by its
    /// lease.
    pub(crate) fn other_leader(&self) -> Option<ReplicaId> {
        self.leader.filter(|id| *id != self.id)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a reply once the state that it depends on is synced. This replica's vote for
    /// itself, a message to itself, is counted only then as well.
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

    /// Adds the next [`Persist`] to the actions, if one is due.
    fn flush(&mut self) {
        let hard_state = HardState {
            term: self.term,
            vote: self.vote,
        };
        let persist: Option<Persist> = self.sync.next(hard_state, &self.snapshot, &self.log);
        self.actions.extend(persist.map(Action::Persist));
    }
}
