//! The follower: receives entries and snapshots from the leader.

use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::api::{Action, Entry, Message, Snapshot};
use crate::replica::{Replica, State};

/// The sending leader, its term and its heartbeat round.
type Sender = (ReplicaId, Epoch, u64);

impl Replica {
    pub(crate) fn on_append(
        &mut self,
        now: Moment,
        sender: Sender,
        (prev_term, prev_index): (Epoch, u64),
        entries: Vec<Entry>,
        commit: u64,
    ) {
        if !self.accept_leader(now, sender) {
            return;
        }
        if !is_contiguous(prev_index, &entries) {
            return;
        }
        // Entries committed here are in the leader's log too.
        let matches = prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.conflict_hint(prev_index);
            self.reply(now, sender, hint, false);
            return;
        }
        let empty = entries.is_empty();
        let matched = (prev_index + entries.len() as u64).max(self.commit);
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit_to(commit.min(matched));
        self.acknowledge(now, sender, matched, empty);
    }

    /// Appends an entry unless the log already has it, replacing conflicting ones. Entries
    /// up to the commit index are always present.
    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate(entry.index);
            self.sync.truncated(entry.index);
        }
        self.sync.appended(entry.index);
        self.log.push(entry);
    }

    /// Replies that the log matches up to `matched`. A heartbeat is answered at once with
    /// the synced part, so that a slow disk delays commits but doesn't expire the lease.
    fn acknowledge(&mut self, now: Moment, sender: Sender, matched: u64, heartbeat: bool) {
        let synced = self.sync.synced_index();
        if self.sync.hard_state_synced() && (heartbeat || matched <= synced) {
            let (to, _, round) = sender;
            let reply = Message::AppendReply {
                term: self.term,
                index: matched.min(synced),
                success: true,
                round,
            };
            self.send(to, reply);
            return;
        }
        self.reply(now, sender, matched, true);
    }

    /// Replies once everything received so far is synced.
    fn reply(&mut self, now: Moment, (to, _, round): Sender, index: u64, success: bool) {
        let reply = Message::AppendReply {
            term: self.term,
            index,
            success,
            round,
        };
        self.send_after_sync(now, to, reply);
    }

    /// The index after which the leader should try next if `prev_index` does not match. It
    /// skips all entries of that term, so that a long conflicting tail costs one round trip
    /// per term.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        let before = self.log.first_of_term(prev_index) - 1;
        before.max(self.commit)
    }

    pub(crate) fn on_install(&mut self, now: Moment, sender: Sender, snapshot: Snapshot) {
        if !self.accept_leader(now, sender) {
            return;
        }
        let index = snapshot.index;
        if index <= self.commit {
            self.acknowledge(now, sender, self.commit, false);
            return;
        }
        if !self.log.install(&snapshot) {
            self.sync.replaced();
        }
        self.sync.snapshot_changed();
        self.commit = index;
        self.snapshot = snapshot.clone();
        self.push(Action::Restore(snapshot));
        self.acknowledge(now, sender, index, false);
    }

    /// Follows the sender as leader of its term. Returns false if that term is outdated,
    /// after a rejecting reply, or if this replica leads in it.
    fn accept_leader(&mut self, now: Moment, (from, term, round): Sender) -> bool {
        if term < self.term {
            let reply = Message::AppendReply {
                term: self.term,
                index: 0,
                success: false,
                round,
            };
            self.send(from, reply);
            return false;
        }
        self.observe_term(now, term);
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.reset_election_timer(now);
        // The leader's lease may depend on this replica's reply. A vote for another before
        // it expires would let two leaders serve reads at once.
        if self.cfg.guards.refuse_votes_while_leader_is_live {
            let lease_may_last_until = now + self.cfg.election_timeout;
            self.no_vote_until = self.no_vote_until.max(lease_may_last_until);
        }
        true
    }
}

/// Whether `entries` continue `prev_index` without gaps.
fn is_contiguous(prev_index: u64, entries: &[Entry]) -> bool {
    let expected = prev_index + 1..;
    entries.iter().zip(expected).all(|(e, i)| e.index == i)
}
