//! What a leader knows about the other replicas.

use std::collections::{BTreeMap, VecDeque};

use filberthead_types::{Moment, ReplicaId};

use crate::api::Token;

/// Batches that may be on their way to one follower without an answer.
pub(crate) const MAX_BATCHES_IN_FLIGHT: usize = 8;

/// Heartbeat rounds whose sending time is kept; an answer to an older one is worth
/// nothing, since a lease counted from it would have run out.
const MAX_ROUNDS: usize = 64;

/// How entries go to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Flow {
    /// Where its log matches is not known; `sent` once entries were tried.
    Probe { sent: bool },
    /// Its log matches; entries go out before the last ones are answered. Holds the
    /// last index of each batch under way.
    Stream(VecDeque<u64>),
    /// It was sent the whole snapshot up to `index` at `sent_at`.
    Install { index: u64, sent_at: Moment },
}

/// State of one follower as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Last entry known to be on its disk.
    pub(crate) matched: u64,
    /// Next entry to send.
    pub(crate) next: u64,
    /// When the newest heartbeat that it answered was sent.
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

    /// Its log holds all entries up to `index`, synced; `base` is the last entry that
    /// this leader no longer has.
    pub(crate) fn accepted(&mut self, index: u64, base: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Stream(batches) => batches.retain(|last| *last > index),
            Flow::Install { index: sent, .. } if self.matched < *sent => {}
            _ if self.next > base => self.flow = Flow::Stream(VecDeque::new()),
            _ => {}
        }
    }

    /// Its log does not match before `next`; it suggests to go on after `hint`.
    pub(crate) fn rejected(&mut self, hint: u64) {
        if matches!(self.flow, Flow::Install { .. }) {
            return;
        }
        self.next = self.next.min(hint + 1).max(self.matched + 1);
        self.flow = Flow::Probe { sent: false };
    }
}

/// State that only a leader has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leadership {
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// Opening entry of the term.
    pub(crate) noop_index: u64,
    /// Proposals that wait for their entry to be committed, by its index.
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

    /// Opens a heartbeat round: its messages leave at `now`.
    pub(crate) fn start_round(&mut self, now: Moment) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Number of the newest round, which every message carries.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    /// When `round` was sent, if it is recent.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Moment> {
        let (_, sent_at) = self.rounds.iter().find(|(number, _)| *number == round)?;
        Some(*sent_at)
    }

    /// Sets up a follower for each of `ids` and forgets all others.
    pub(crate) fn track(&mut self, ids: impl Iterator<Item = ReplicaId>, next: u64) {
        let mut peers = BTreeMap::new();
        for id in ids {
            let existing = self.peers.remove(&id);
            peers.insert(id, existing.unwrap_or_else(|| Progress::new(next)));
        }
        self.peers = peers;
    }
}
