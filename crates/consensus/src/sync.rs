//! Tracks unsynced state, and the replies that must wait until it is synced.
//!
//! At most one [`Persist`] is in flight; later changes are collected into the next one,
//! so that many proposals share one sync. A granted vote or an acknowledgement of
//! entries is held back until the sync that covers it is reported. If it were sent
//! first, a crash could lose a vote or entry that others already count on: two leaders
//! in one term, or a lost committed entry.

use filberthead_types::{Epoch, ReplicaId};

use crate::api::{HardState, Message, Persist, Snapshot};
use crate::log::Log;

/// Unsynced changes, the sync in flight, and the replies that wait for either.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SyncTracker {
    next_seq: u64,
    hard_state_dirty: bool,
    snapshot_dirty: bool,
    /// First index of the entries for the next [`Persist`].
    unsynced_from: Option<u64>,
    in_flight: Option<InFlight>,
    pending_replies: Vec<PendingReply>,
    synced_index: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    seq: u64,
    hard_state: bool,
    last_index: u64,
    last_term: Epoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingReply {
    seq: u64,
    to: ReplicaId,
    message: Message,
}

/// Whether a message may be sent now or is held back until a sync.
#[derive(Debug)]
pub(crate) enum SendDecision {
    Now(Message),
    AfterSync,
}

impl SyncTracker {
    /// Starts with all entries up to `last_index` synced.
    pub(crate) fn new(last_index: u64) -> Self {
        Self {
            synced_index: last_index,
            ..Self::default()
        }
    }

    /// Last index of the log that is known to be synced.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state_dirty = true;
    }

    /// Drops held-back replies of the earlier term: the entries that they acknowledge may
    /// be overwritten before the sync.
    pub(crate) fn term_changed(&mut self) {
        self.hard_state_dirty = true;
        self.pending_replies.clear();
    }

    pub(crate) fn snapshot_changed(&mut self) {
        self.snapshot_dirty = true;
    }

    pub(crate) fn appended(&mut self, index: u64) {
        self.unsynced_from = Some(self.unsynced_from.map_or(index, |from| from.min(index)));
    }

    /// Entries from `index` on were removed from the log in memory.
    pub(crate) fn truncated(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index - 1);
    }

    /// The log was replaced by a snapshot that isn't synced yet.
    pub(crate) fn replaced(&mut self) {
        self.synced_index = 0;
        self.unsynced_from = None;
    }

    /// Whether the current term and vote are synced.
    pub(crate) fn hard_state_synced(&self) -> bool {
        !self.hard_state_dirty && !self.in_flight.as_ref().is_some_and(|f| f.hard_state)
    }

    /// Holds `message` back until all changes made so far are synced; returns it if they
    /// are.
    pub(crate) fn send_after_sync(&mut self, to: ReplicaId, message: Message) -> SendDecision {
        let seq = match &self.in_flight {
            _ if self.is_dirty() => self.next_seq,
            Some(in_flight) => in_flight.seq,
            None => return SendDecision::Now(message),
        };
        // An acknowledgement supersedes earlier ones to the same leader.
        if matches!(message, Message::AppendReply { .. }) {
            self.pending_replies
                .retain(|p| p.to != to || !matches!(p.message, Message::AppendReply { .. }));
        }
        self.pending_replies.push(PendingReply { seq, to, message });
        SendDecision::AfterSync
    }

    /// The next changes to sync, unless a sync is in flight or nothing changed.
    pub(crate) fn next(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        log: &Log,
    ) -> Option<Persist> {
        if self.in_flight.is_some() || !self.is_dirty() {
            return None;
        }
        let entries = self.unsynced_from.map_or(&[][..], |from| {
            log.range(from.max(snapshot.index + 1), log.last_index())
        });
        let persist = Persist {
            seq: self.next_seq,
            hard_state: self.hard_state_dirty.then_some(hard_state),
            snapshot: self.snapshot_dirty.then(|| snapshot.clone()),
            entries: entries.to_vec(),
        };
        self.in_flight = Some(InFlight {
            seq: self.next_seq,
            hard_state: self.hard_state_dirty,
            last_index: log.last_index(),
            last_term: log.last_term(),
        });
        self.next_seq += 1;
        self.hard_state_dirty = false;
        self.snapshot_dirty = false;
        self.unsynced_from = None;
        Some(persist)
    }

    /// Records that `seq` is synced, and returns the replies that may be sent now.
    pub(crate) fn persisted(&mut self, seq: u64, log: &Log) -> Vec<(ReplicaId, Message)> {
        let Some(done) = self.in_flight.take_if(|f| f.seq <= seq) else {
            return Vec::new();
        };
        // A newer leader may have overwritten these entries in memory in the meantime.
        if log.term_at(done.last_index) == Some(done.last_term) {
            self.synced_index = self.synced_index.max(done.last_index);
        }
        self.pending_replies
            .extract_if(.., |p| p.seq <= done.seq)
            .map(|p| (p.to, p.message))
            .collect()
    }

    fn is_dirty(&self) -> bool {
        self.hard_state_dirty || self.snapshot_dirty || self.unsynced_from.is_some()
    }
}
