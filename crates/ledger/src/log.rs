//! The numbered steps that a holder sends to its backup.
//!
//! Steps are sent as they come and again after a while if they aren't acknowledged, the
//! oldest first. The backup takes them only without gaps, so an acknowledgement of one
//! is an acknowledgement of all before it.

use std::collections::VecDeque;

use filberthead_types::Moment;

use crate::{Config, Generation, HomeEpoch, Member, Op};

/// Batches that may be unacknowledged before sending pauses.
const WINDOW_BATCHES: usize = 4;

/// The log of one config.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    pub(crate) peer: Member,
    pub(crate) epoch: HomeEpoch,
    /// Number of the first step that isn't acknowledged.
    base: u64,
    /// Steps from `base` on.
    ops: VecDeque<Op>,
    /// Number of the first step that wasn't sent since the last resend.
    sent: u64,
    /// Bytes from `base` to `sent`.
    in_flight: usize,
    /// `None` if something is due at once.
    last_sent: Option<Moment>,
    /// When the peer was heard last.
    pub(crate) last_seen: Moment,
    /// From which number on the peer is the backup.
    pub(crate) active_from: Option<u64>,
    /// Where copying of older records stands.
    pub(crate) copy: CopyProgress,
}

/// How far the records from before this config are in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CopyProgress {
    /// Up to this key.
    After(Option<(Generation, Box<str>)>),
    /// All of them stand before this number.
    Done(u64),
}

/// Steps to be sent.
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

    /// Number of the next step.
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

    /// The peer has all steps before `next`.
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

    /// Whether copying should go on: enough is in flight otherwise.
    pub(crate) fn wants_copy(&self, cfg: &Config) -> bool {
        matches!(self.copy, CopyProgress::After(_))
            && self.has_window(cfg)
            && self.sent == self.end()
    }

    fn has_window(&self, cfg: &Config) -> bool {
        self.in_flight < WINDOW_BATCHES * cfg.max_batch_bytes
    }

    /// Steps that weren't sent yet, as far as the window lets them.
    pub(crate) fn unsent(&mut self, now: Moment, cfg: &Config) -> Option<Batch> {
        if self.sent == self.end() || !self.has_window(cfg) {
            return None;
        }
        Some(self.batch(now, cfg))
    }

    /// What is due after a silence: unacknowledged steps again, or a heartbeat.
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
