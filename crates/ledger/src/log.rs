//! The numbered operations that a primary sends to its backup.
//!
//! Operations are sent as they are added, and again from the oldest on if they aren't
//! acknowledged in time. The backup applies them only without gaps, so an acknowledgement
//! of one covers all before it.

use std::collections::VecDeque;

use filberthead_types::Moment;

use crate::{Config, Generation, HomeEpoch, Member, Op};

/// Most batches in flight before sending pauses.
const WINDOW_BATCHES: usize = 4;

/// Log of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    pub(crate) peer: Member,
    pub(crate) epoch: HomeEpoch,
    /// Number of the first operation that isn't acknowledged.
    base: u64,
    /// Operations from `base` on.
    ops: VecDeque<Op>,
    /// Number of the first operation to be sent next; a resend sets it back to `base`.
    sent: u64,
    /// Bytes of the operations from `base` to `sent`.
    in_flight: usize,
    /// When a message was last sent, `None` if one is due at once.
    last_sent: Option<Moment>,
    /// When the last message from the peer arrived.
    pub(crate) last_seen: Moment,
    /// Number from which on the peer is the active backup; see [`crate::Message::Append`].
    pub(crate) active_from: Option<u64>,
    /// Progress of the copy of older records.
    pub(crate) copy: CopyProgress,
}

/// How many of the records from before this epoch have been added to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CopyProgress {
    /// Those up to this key; `None` is no record yet.
    After(Option<(Generation, Box<str>)>),
    /// All, by operations before this number.
    Done(u64),
}

/// Operations to be sent in one message.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) first: u64,
    pub(crate) ops: Vec<Op>,
}

impl Log {
    pub(crate) fn new(now: Moment, peer: Member, epoch: HomeEpoch) -> Self {
        Self {
            peer,
            epoch,
            base: 0,
            ops: VecDeque::new(),
            sent: 0,
            in_flight: 0,
            last_sent: None,
            last_seen: now,
            active_from: None,
            copy: CopyProgress::After(None),
        }
    }

    /// Number of the next operation to be added.
    pub(crate) fn end(&self) -> u64 {
        self.base + self.ops.len() as u64
    }

    pub(crate) fn is_acked(&self, number: u64) -> bool {
        number < self.base
    }

    pub(crate) fn push(&mut self, op: Op) -> u64 {
        self.ops.push_back(op);
        self.end() - 1
    }

    /// Records that the peer has all operations before `next`.
    pub(crate) fn ack(&mut self, now: Moment, next: u64) {
        self.last_seen = now;
        if next > self.end() {
            return;
        }
        while self.base < next {
            let len = self.ops.pop_front().map_or(0, |op| op.len());
            if self.base < self.sent {
                self.in_flight -= len;
            }
            self.base += 1;
        }
        self.sent = self.sent.max(self.base);
    }

    /// Makes a message due at once.
    pub(crate) fn mark_due(&mut self) {
        self.last_sent = None;
    }

    /// Whether more older records should be added: everything added so far was sent, and
    /// the window isn't full.
    pub(crate) fn wants_copy(&self, cfg: &Config) -> bool {
        matches!(self.copy, CopyProgress::After(_))
            && self.has_window(cfg)
            && self.sent == self.end()
    }

    fn has_window(&self, cfg: &Config) -> bool {
        self.in_flight < WINDOW_BATCHES * cfg.max_batch_bytes
    }

    /// The next operations that were not sent yet, if the window allows it.
    pub(crate) fn unsent(&mut self, now: Moment, cfg: &Config) -> Option<Batch> {
        if self.sent == self.end() || !self.has_window(cfg) {
            return None;
        }
        Some(self.batch(now, cfg))
    }

    /// What is due after a pause: the unacknowledged operations again, or a heartbeat.
    pub(crate) fn due(&mut self, now: Moment, cfg: &Config) -> Option<Batch> {
        let period = if self.ops.is_empty() {
            cfg.heartbeat
        } else {
            cfg.resend_after
        };
        if self.last_sent.is_some_and(|at| now < at + period) {
            return None;
        }
        self.sent = self.base;
        self.in_flight = 0;
        Some(self.batch(now, cfg))
    }

    fn batch(&mut self, now: Moment, cfg: &Config) -> Batch {
        self.last_sent = Some(now);
        let first = self.sent;
        let from = usize::try_from(first - self.base).unwrap_or(usize::MAX);
        let mut ops = Vec::new();
        let mut len = 0;
        for op in self.ops.iter().skip(from) {
            if len > 0 && len + op.len() > cfg.max_batch_bytes {
                break;
            }
            len += op.len();
            ops.push(op.clone());
        }
        self.sent += ops.len() as u64;
        self.in_flight += len;
        Batch { first, ops }
    }
}
