//! Replication progress of the followers, as tracked by the leader.

use std::collections::{BTreeMap, VecDeque};

use filberthead_types::{Moment, ReplicaId};

use crate::api::Token;

/// Maximum unacknowledged batches of entries to one follower.
pub(crate) const MAX_BATCHES_IN_FLIGHT: usize = 8;

/// Heartbeat rounds whose send time is kept. A reply to an older one is useless, since a
/// lease counted from it would have expired.
const MAX_ROUNDS: usize = 64;

/// How entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Flow {
    /// The last matching index is unknown; `sent` is set while a batch awaits its reply.
    Probe { sent: bool },
    /// The log matches, so batches are pipelined. Holds the last index of each
    /// unacknowledged batch.
    Stream(VecDeque<u64>),
    /// A snapshot up to `index` was sent at `sent_at`.
    InstallSnapshot { index: u64, sent_at: Moment },
}

/// Replication state of one follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Last index known to match the leader's log and to be synced there.
    pub(crate) matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// When the newest heartbeat that it acknowledged was sent; `None` before the first.
    pub(crate) acked_sent_at: Option<Moment>,
    pub(crate) flow: Flow,
}

impl Progress {
    pub(crate) fn new(next: u64) -> Self {
        Self {
            matched: 0,
            next,
            acked_sent_at: None,
            flow: Flow::Probe { sent: false },
        }
    }

    /// Records that the follower has synced all entries up to `index`. `base` is the last
    /// index that the leader has discarded.
    pub(crate) fn accepted(&mut self, index: u64, base: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Stream(batches) => batches.retain(|last| *last > index),
            Flow::InstallSnapshot { index: sent, .. } if self.matched < *sent => {}
            _ if self.next > base => self.flow = Flow::Stream(VecDeque::new()),
            _ => {}
        }
    }

    /// Records that the follower's log does not match before `next`; `hint` is the index
    /// after which it suggests to continue.
    pub(crate) fn rejected(&mut self, hint: u64) {
        if matches!(self.flow, Flow::InstallSnapshot { .. }) {
            return;
        }
        self.next = self.next.min(hint + 1).max(self.matched + 1);
        self.flow = Flow::Probe { sent: false };
    }
}

/// State of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leadership {
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of the term.
    pub(crate) noop_index: u64,
    /// Uncommitted proposals by the index of their entry.
    pub(crate) pending: BTreeMap<u64, Token>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) heartbeat_at: Moment,
    pub(crate) elected_at: Moment,
    rounds: VecDeque<(u64, Moment)>,
    round: u64,
}

impl Leadership {
    pub(crate) fn new(now: Moment, noop_index: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            noop_index,
            pending: BTreeMap::new(),
            uncommitted_bytes: 0,
            heartbeat_at: now,
            elected_at: now,
            rounds: VecDeque::new(),
            round: 0,
        }
    }

    /// Starts a heartbeat round whose messages are sent at `now`.
    pub(crate) fn start_round(&mut self, now: Moment) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Number of the newest round, carried by every message to a follower.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// When `round` was sent, or `None` if it is too old.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Moment> {
        let (_, sent_at) = self.rounds.iter().find(|(number, _)| *number == round)?;
        Some(*sent_at)
    }

    /// Tracks exactly the followers `ids`. Existing ones keep their progress, new ones
    /// start at `next`.
    pub(crate) fn track(&mut self, ids: impl Iterator<Item = ReplicaId>, next: u64) {
        let mut peers = BTreeMap::new();
        for id in ids {
            let existing = self.peers.remove(&id);
            peers.insert(id, existing.unwrap_or_else(|| Progress::new(next)));
        }
        self.peers = peers;
    }
}
