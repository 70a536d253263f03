//! The follower: entries and snapshots from the leader.

use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::api::{Action, Entry, Message, Snapshot};
use crate::replica::{Replica, State};

/// Leader, its term and its heartbeat round.
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
        // What is committed here is in the leader's log as well.
        let matches = prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.next_index_hint(prev_index);
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

    /// Takes an entry over unless it is there. Entries at or below the commit index are.
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

    /// Says how far this log matches. A heartbeat is answered at once, with what is on
    /// disk so far: a slow disk then delays commits, but doesn't cost the lease.
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

    fn reply(&mut self, now: Moment, (to, _, round): Sender, index: u64, success: bool) {
        let reply = Message::AppendReply {
            term: self.term,
            index,
            success,
            round,
        };
        self.send_after_sync(now, to, reply);
    }

    /// Where the leader should try next, after an entry that did not match: before the
    /// whole run of that term, so that a long false tail costs one round trip a term.
    fn next_index_hint(&self, prev_index: u64) -> u64 {
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

    /// Accepts the sender as leader of its term, unless the term is over.
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
        // The leader may count a lease on the answer. Until it has run out, a vote for
        // another would let two leaders answer at once.
        if self.cfg.guards.refuse_votes_while_leader_is_live {
            let lease_may_last_until = now + self.cfg.election_timeout;
            self.no_vote_until = self.no_vote_until.max(lease_may_last_until);
        }
        true
    }
}

/// Whether the entries follow each other and `prev_index` without a gap.
fn is_contiguous(prev_index: u64, entries: &[Entry]) -> bool {
    let expected = prev_index + 1..;
    entries.iter().zip(expected).all(|(e, i)| e.index == i)
}
