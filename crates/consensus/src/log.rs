//! The log in memory, and the memberships in it.
//!
//! Some entries that the snapshot covers stay in memory, so that a follower that is
//! slightly behind receives entries instead of the snapshot. Committed entries are never
//! truncated: a follower skips received entries up to its commit index.

use filberthead_types::Epoch;

use crate::api::{Entry, Members, Payload, Snapshot};

/// Entries after `base_index`, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    base_index: u64,
    base_term: Epoch,
    entries: Vec<Entry>,
    /// Memberships with the index at which they took effect; the first is the snapshot's.
    members: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(snapshot: &Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: Vec::new(),
            members: vec![(snapshot.index, snapshot.members.clone())],
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn base_term(&self) -> Epoch {
        self.base_term
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.base_index, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Epoch {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// Term of the entry at `index`, if it is in memory or the base.
    pub(crate) fn term_at(&self, index: u64) -> Option<Epoch> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.position(index).map(|at| self.entries[at].term)
    }

    /// The membership in effect: the newest in the log, committed or not.
    pub(crate) fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Index of the entry that set [`Self::members`].
    pub(crate) fn members_index(&self) -> u64 {
        self.members[self.members.len() - 1].0
    }

    /// Membership in effect at `index`, which must not be before the snapshot.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        let mut current = &self.members[0].1;
        for (at, members) in &self.members {
            if *at <= index {
                current = members;
            }
        }
        current
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(at) = self.position(index) {
            self.entries.truncate(at);
        }
        self.members.retain(|(at, _)| *at < index);
    }

    /// The entries from `from` to `to`, both included, that are in memory.
    pub(crate) fn range(&self, from: u64, to: u64) -> &[Entry] {
        let start = from.saturating_sub(self.base_index + 1) as usize;
        let end = to.saturating_sub(self.base_index) as usize;
        let end = end.min(self.entries.len());
        &self.entries[start.min(end)..end]
    }

    /// Approximate bytes of the entries from `from` to `to`.
    pub(crate) fn bytes(&self, from: u64, to: u64) -> usize {
        let entries = self.range(from, to).iter();
        entries.map(|entry| entry.payload.size()).sum()
    }

    /// Entries from `from` on, up to `max_bytes`; at least one if there is any.
    pub(crate) fn batch(&self, from: u64, max_bytes: usize) -> &[Entry] {
        let rest = self.range(from, self.last_index());
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.payload.size();
            bytes <= max_bytes
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// First index of the consecutive entries up to `index` that have its term.
    pub(crate) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Discards entries up to `index`, where a snapshot was taken, except for the last
    /// `retained_entries` of them within `retained_bytes`.
    pub(crate) fn compact(&mut self, index: u64, retained_entries: u64, retained_bytes: usize) {
        let members = self.members_at(index).clone();
        self.members.retain(|(at, _)| *at > index);
        self.members.insert(0, (index, members));
        let oldest = index.saturating_sub(retained_entries);
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.payload.size();
            bytes <= retained_bytes
        };
        let kept = self.range(oldest + 1, index).iter().rev();
        let base = index - kept.take_while(fits).count() as u64;
        let Some(at) = self.position(base) else {
            return;
        };
        self.base_term = self.entries[at].term;
        self.base_index = base;
        self.entries.drain(..=at);
    }

    /// Installs a snapshot from the leader. Entries after it stay if the log matches at its
    /// index; else the log is replaced. Returns whether it matched.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> bool {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot.index, 0, 0);
            return true;
        }
        *self = Self::new(snapshot, Vec::new());
        false
    }

    /// Position of the entry at `index` in `entries`.
    fn position(&self, index: u64) -> Option<usize> {
        let at = index.checked_sub(self.base_index + 1)? as usize;
        (at < self.entries.len()).then_some(at)
    }
}

impl Payload {
    /// Approximate bytes of the payload in memory and in a message.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 16;
        match self {
            Self::Noop => FIXED,
            Self::Command(command) => FIXED + command.len(),
            Self::Members(members) => FIXED * (1 + members.voters.len() + members.learners.len()),
        }
    }
}
