//! The leader: replication to followers, commit index and lease.

use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::api::{Action, Entry, Message, Payload, Proposal, ProposeError, Token};
use crate::membership::MembershipStep;
use crate::progress::{Flow, MAX_BATCHES_IN_FLIGHT};
use crate::replica::{Replica, State};

/// Number of election timeouts after which an unacknowledged snapshot is resent.
const SNAPSHOT_RETRY_TIMEOUTS: u32 = 5;

/// What to send to a follower next. `Entries` may be empty: a heartbeat.
enum Outgoing {
    Nothing,
    Entries(Vec<Entry>),
    Snapshot,
}

impl Replica {
    /// Appends the first entry of the term and sends it to all replicas.
    pub(crate) fn start_term(&mut self, now: Moment) {
        self.append(Payload::Noop);
        self.track_members();
        self.heartbeat(now);
    }

    /// Starts a heartbeat round and sends to all replicas.
    pub(crate) fn heartbeat(&mut self, now: Moment) {
        let period = self.cfg.heartbeat;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        leadership.start_round(now);
        leadership.heartbeat_at = now + period;
        self.send_to_all(now, true);
        self.advance_commit(now);
    }

    pub(crate) fn on_propose(&mut self, now: Moment, token: Token, proposal: Proposal) {
        let result = match self.build_payload(now, proposal) {
            Ok(Some(payload)) => match self.append_proposal(now, token, payload) {
                // Reported once the entry is committed.
                Ok(()) => return,
                Err(e) => Err(e),
            },
            Ok(None) => Ok(self.commit),
            Err(e) => Err(e),
        };
        self.push(Action::Proposed { token, result });
    }

    /// The payload to append for a proposal; `None` if nothing remains to be done for it.
    fn build_payload(
        &self,
        now: Moment,
        proposal: Proposal,
    ) -> Result<Option<Payload>, ProposeError> {
        if !self.holds_lease(now) {
            let leader = self.other_leader();
            return Err(ProposeError::NotLeader { leader });
        }
        match proposal {
            Proposal::Command(command) => Ok(Some(Payload::Command(command))),
            change => match self.membership_step(now, &change)? {
                MembershipStep::Append(members) => Ok(Some(Payload::Members(members))),
                MembershipStep::Done => Ok(None),
            },
        }
    }

    fn append_proposal(
        &mut self,
        now: Moment,
        token: Token,
        payload: Payload,
    ) -> Result<(), ProposeError> {
        let leader = self.other_leader();
        let State::Leader(leadership) = &mut self.state else {
            return Err(ProposeError::NotLeader { leader });
        };
        let bytes = leadership.uncommitted_bytes + payload.size();
        if bytes > self.cfg.max_uncommitted_bytes && leadership.uncommitted_bytes > 0 {
            return Err(ProposeError::Overloaded);
        }
        leadership.uncommitted_bytes = bytes;
        leadership.pending.insert(self.log.last_index() + 1, token);
        let new_members = matches!(payload, Payload::Members(_));
        self.append(payload);
        if new_members {
            self.track_members();
        }
        self.send_to_all(now, false);
        self.advance_commit(now);
        Ok(())
    }

    fn append(&mut self, payload: Payload) {
        let index = self.log.last_index() + 1;
        let term = self.term;
        self.log.push(Entry {
            term,
            index,
            payload,
        });
        self.sync.appended(index);
    }

    /// Tracks all other replicas of the membership in effect.
    fn track_members(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let next = self.log.last_index();
        let others = self.log.members().all().filter(|id| *id != self.id);
        leadership.track(others, next);
    }

    fn send_to_all(&mut self, now: Moment, heartbeat: bool) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let peers: Vec<_> = leadership.peers.keys().copied().collect();
        for to in peers {
            self.send_append(now, to, heartbeat);
        }
    }

    /// Sends missing entries or a snapshot to `to`, as far as its flow control allows. A
    /// heartbeat is always sent, as the lease depends on its reply.
    fn send_append(&mut self, now: Moment, to: ReplicaId, heartbeat: bool) {
        let outgoing = self.next_outgoing(now, to, heartbeat);
        let term = self.term;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let round = leadership.round();
        let Some(peer) = leadership.peers.get_mut(&to) else {
            return;
        };
        let message = match outgoing {
            Outgoing::Nothing => return,
            Outgoing::Snapshot => {
                let index = self.snapshot.index;
                peer.next = index + 1;
                peer.flow = Flow::InstallSnapshot {
                    index,
                    sent_at: now,
                };
                let snapshot = self.snapshot.clone();
                Message::InstallSnapshot {
                    term,
                    snapshot,
                    round,
                }
            }
            Outgoing::Entries(entries) => {
                // If `next` is no longer in memory, the oldest known index is sent instead;
                // the follower's reply shows whether it needs the snapshot.
                let prev_index = (peer.next - 1).max(self.log.base_index());
                let prev_term = self.log.term_at(prev_index);
                if let Some(last) = entries.last() {
                    match &mut peer.flow {
                        Flow::Stream(batches) => {
                            batches.push_back(last.index);
                            peer.next = last.index + 1;
                        }
                        Flow::Probe { sent } => *sent = true,
                        Flow::InstallSnapshot { .. } => {}
                    }
                }
                Message::Append {
                    term,
                    prev_index,
                    prev_term: prev_term.unwrap_or(self.log.base_term()),
                    entries,
                    commit: self.commit,
                    round,
                }
            }
        };
        self.send(to, message);
    }

    /// What to send to `to`, subject to its flow control.
    fn next_outgoing(&self, now: Moment, to: ReplicaId, heartbeat: bool) -> Outgoing {
        let State::Leader(leadership) = &self.state else {
            return Outgoing::Nothing;
        };
        let Some(peer) = leadership.peers.get(&to) else {
            return Outgoing::Nothing;
        };
        let timeout = self.cfg.election_timeout;
        let active = peer.acked_sent_at.is_some_and(|at| now < at + timeout);
        let may_send = match &peer.flow {
            Flow::Probe { sent } => !sent,
            Flow::Stream(batches) => batches.len() < MAX_BATCHES_IN_FLIGHT,
            Flow::InstallSnapshot { sent_at, .. } => {
                now >= *sent_at + timeout * SNAPSHOT_RETRY_TIMEOUTS
            }
        };
        if may_send && active && self.needs_snapshot(peer.next, &peer.flow) {
            return Outgoing::Snapshot;
        }
        let entries = if may_send && peer.next > self.log.base_index() {
            self.log.batch(peer.next, self.cfg.max_batch_bytes).to_vec()
        } else {
            Vec::new()
        };
        if entries.is_empty() && !heartbeat {
            return Outgoing::Nothing;
        }
        Outgoing::Entries(entries)
    }

    fn needs_snapshot(&self, next: u64, flow: &Flow) -> bool {
        next <= self.log.base_index() || matches!(flow, Flow::InstallSnapshot { .. })
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Moment,
        (from, term, round): (ReplicaId, Epoch, u64),
        index: u64,
        success: bool,
    ) {
        self.observe_term(now, term);
        if term != self.term {
            return;
        }
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let sent_at = leadership.sent_at(round);
        let Some(peer) = leadership.peers.get_mut(&from) else {
            return;
        };
        if let Some(sent_at) = sent_at {
            let from_send = self.cfg.guards.lease_from_send;
            let counted_from = if from_send { sent_at } else { now };
            peer.acked_sent_at = peer.acked_sent_at.max(Some(counted_from));
        }
        if success && index <= self.log.last_index() {
            peer.accepted(index, self.log.base_index());
        } else {
            peer.rejected(index);
        }
        self.advance_commit(now);
        self.send_append(now, from, false);
    }

    /// Commits the entries that a majority of voters has synced.
    pub(crate) fn advance_commit(&mut self, now: Moment) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let own = self.own_synced_index();
        let matched = |id: ReplicaId| leadership.peers.get(&id).map_or(0, |peer| peer.matched);
        let Some(index) = self.quorum_value(own, matched) else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.term);
        if index <= self.commit || (self.cfg.guards.commit_own_term_only && !own_term) {
            return;
        }
        // An entry of an earlier term can still be overwritten, even on a majority, by a
        // leader whose last entry has a higher term; one of this term can't.
        let first = self.commit + 1;
        self.commit_to(index);
        self.complete_proposals(first, index);
        if !self.is_voter() {
            self.step_down_if_removed(now);
        }
    }

    fn own_synced_index(&self) -> u64 {
        if self.cfg.guards.sync_before_send {
            self.sync.synced_index()
        } else {
            self.log.last_index()
        }
    }

    fn complete_proposals(&mut self, first: u64, last: u64) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let committed = self.log.range(first, last);
        let bytes: usize = committed.iter().map(|e| e.payload.size()).sum();
        leadership.uncommitted_bytes = leadership.uncommitted_bytes.saturating_sub(bytes);
        let rest = leadership.pending.split_off(&(last + 1));
        let done = std::mem::replace(&mut leadership.pending, rest);
        for (index, token) in done {
            let result = Ok(index);
            self.push(Action::Proposed { token, result });
        }
    }

    /// Steps down a leader that has removed itself, once that change is committed.
    fn step_down_if_removed(&mut self, now: Moment) {
        if self.log.members_index() > self.commit {
            return;
        }
        // Otherwise the others would learn of the commit only from the next leader.
        self.send_to_all(now, true);
        self.step_down(now);
    }

    /// When the newest heartbeat that a majority of voters has acknowledged was sent.
    pub(crate) fn quorum_acked_sent_at(&self, now: Moment) -> Option<Moment> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let acked_sent_at = |id: ReplicaId| {
            leadership
                .peers
                .get(&id)
                .and_then(|peer| peer.acked_sent_at)
        };
        self.quorum_value(Some(now), acked_sent_at).flatten()
    }

    /// The highest value that a majority of voters has reached. `own` counts only if this
    /// replica is a voter.
    fn quorum_value<T: Ord>(&self, own: T, other: impl Fn(ReplicaId) -> T) -> Option<T> {
        let members = self.log.members();
        let mut own = Some(own);
        let value = |id: &ReplicaId| match *id {
            id if id == self.id => own.take(),
            id => Some(other(id)),
        };
        let mut values: Vec<T> = members.voters.iter().filter_map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(members.majority() - 1)
    }

    pub(crate) fn holds_lease(&self, now: Moment) -> bool {
        self.lease_end(now).is_some_and(|end| now < end)
    }

    /// End of the lease, possibly in the past; `None` if no majority has acknowledged a
    /// heartbeat yet.
    pub(crate) fn lease_end(&self, now: Moment) -> Option<Moment> {
        let acked_sent_at = self.quorum_acked_sent_at(now)?;
        if !self.cfg.guards.lease_expires {
            return Some(Moment::MAX);
        }
        Some(acked_sent_at + self.cfg.lease)
    }

    /// Whether reads may be served from the state machine. Under a valid lease no other
    /// replica can have committed anything, and once the first entry of the term is
    /// committed, so is everything committed in earlier terms.
    pub(crate) fn can_serve_reads(&self, now: Moment) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let caught_up = self.commit >= leadership.noop_index || !self.cfg.guards.noop_before_read;
        caught_up && self.holds_lease(now)
    }
}
