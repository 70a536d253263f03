//! What a home without a backup asks to be synced to the data folder.
//!
//! A home whose failure domain has one entry only has its records here alone. With a data
//! folder a start waits until it is synced, so a process that finds the journal of its
//! predecessor knows every key that ever started, and may hold the home in its place.
//! That is safe because nobody else ever was a member: the journal is given up, on disk,
//! before a first backup counts.

use crate::Op;

/// Bytes that a journal may grow by before it is written anew.
const SLACK: usize = 1024 * 1024;

/// The journal of one home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Journal {
    /// Steps that weren't handed out yet.
    pending: Vec<Op>,
    /// Whether the pending steps replace all before them.
    rewrite: bool,
    /// Number of the next step.
    next: u64,
    /// Steps before this one are synced.
    synced: u64,
    /// Bytes since the journal was written anew.
    appended_bytes: usize,
    /// Number of the step that gives the journal up, once asked for.
    retires_at: Option<u64>,
    retire_sent: bool,
}

/// What to write next.
#[derive(Debug)]
pub(crate) struct Write {
    /// Number to report when all of it is synced.
    pub(crate) number: u64,
    pub(crate) ops: Vec<Op>,
    pub(crate) rewrite: bool,
    pub(crate) retire: bool,
}

impl Journal {
    /// Adds a step; the number that must be synced before anything follows from it.
    pub(crate) fn push(&mut self, op: Op) -> u64 {
        if let Some(number) = self.retires_at {
            // Failure: a key starts without a record in a journal that is still on disk;
            // the process dies, and its successor takes up the home without that key.
            return number;
        }
        self.appended_bytes += op.len();
        self.pending.push(op);
        self.next += 1;
        self.next - 1
    }

    /// Replaces all steps so far by these.
    pub(crate) fn rewrite(&mut self, ops: Vec<Op>) {
        self.pending = ops;
        self.rewrite = true;
        self.appended_bytes = 0;
        self.next += 1;
    }

    /// Whether it has grown by more than `live` bytes of records explain.
    pub(crate) fn needs_compaction(&self, live: usize) -> bool {
        self.appended_bytes > SLACK + 2 * live
    }

    pub(crate) fn is_synced(&self, number: u64) -> bool {
        number < self.synced
    }

    /// Whether nothing is on its way to the disk.
    pub(crate) fn is_fully_synced(&self) -> bool {
        self.synced == self.next
    }

    pub(crate) fn synced(&mut self, number: u64) {
        self.synced = self.synced.max(number + 1);
    }

    /// Gives the journal up; whether that is on disk already.
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

    /// Whether no further step is taken.
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
