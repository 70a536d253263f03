//! Journal of a home without a backup, synced to the data folder.
//!
//! If a failure domain has only one entry, nobody else stores the records of its homes.
//! With a data folder a key starts only after its start is synced, so a process that finds
//! the journal of its predecessor has every key that ever started and may be primary in its
//! place. That is safe because no other entry was ever a member: the journal is deleted
//! from disk before a first backup becomes active.

use crate::Op;

/// Bytes that a journal may grow by, beyond twice its live records, before it is rewritten.
const SLACK: usize = 1024 * 1024;

/// Journal of one home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Journal {
    /// Operations that were not returned by [`Journal::write`] yet.
    pending: Vec<Op>,
    /// Whether the pending operations replace everything before them.
    rewrite: bool,
    /// Number of the next operation.
    next: u64,
    /// Operations before this number are synced.
    synced: u64,
    /// Bytes appended since the journal was last rewritten.
    appended_bytes: usize,
    /// Number under which the deletion of the journal is to be confirmed, once it was
    /// requested.
    retires_at: Option<u64>,
    retire_sent: bool,
}

/// One write to the disk.
#[derive(Debug)]
pub(crate) struct Write {
    /// Number to report when all of it is synced.
    pub(crate) number: u64,
    pub(crate) ops: Vec<Op>,
    pub(crate) rewrite: bool,
    pub(crate) retire: bool,
}

impl Journal {
    /// Adds an operation. Returns the number that must be synced before its effects may
    /// become visible.
    pub(crate) fn push(&mut self, op: Op) -> u64 {
        if let Some(number) = self.retires_at {
            // The effects wait for the deletion: if a key started without a record while
            // the journal is still on disk and the process died, its successor would
            // recover the home without that key.
            return number;
        }
        self.appended_bytes += op.len();
        self.pending.push(op);
        self.next += 1;
        self.next - 1
    }

    /// Replaces all operations so far by `ops`.
    pub(crate) fn rewrite(&mut self, ops: Vec<Op>) {
        self.pending = ops;
        self.rewrite = true;
        self.appended_bytes = 0;
        self.next += 1;
    }

    /// Whether it has grown far beyond its live records, which take about `live` bytes.
    pub(crate) fn needs_compaction(&self, live: usize) -> bool {
        self.appended_bytes > SLACK + 2 * live
    }

    pub(crate) fn is_synced(&self, number: u64) -> bool {
        number < self.synced
    }

    /// Whether everything added so far is synced.
    pub(crate) fn is_fully_synced(&self) -> bool {
        self.synced == self.next
    }

    pub(crate) fn synced(&mut self, number: u64) {
        self.synced = self.synced.max(number + 1);
    }

    /// Requests the deletion of the journal; returns whether the deletion is on disk
    /// already.
    pub(crate) fn retire(&mut self) -> bool {
        match self.retires_at {
            Some(number) => self.is_synced(number),
            None => {
                self.retires_at = Some(self.next);
                self.next += 1;
                false
            }
        }
    }

    /// Whether its deletion was requested, so that it accepts no more operations.
    pub(crate) fn is_retiring(&self) -> bool {
        self.retires_at.is_some()
    }

    pub(crate) fn write(&mut self) -> Option<Write> {
        if let Some(number) = self.retires_at {
            let first = !std::mem::replace(&mut self.retire_sent, true);
            return first.then_some(Write {
                number,
                ops: Vec::new(),
                rewrite: false,
                retire: true,
            });
        }
        if self.pending.is_empty() {
            return None;
        }
        Some(Write {
            number: self.next - 1,
            ops: std::mem::take(&mut self.pending),
            rewrite: std::mem::take(&mut self.rewrite),
            retire: false,
        })
    }
}
