//! The retries of one request.
//!
//! The attempts of a request may be under way side by side, and end in any order. What was granted counts
//! unless it is known that nothing of it was sent. So a grant is given back only while no attempt has been
//! started with it, and what may still arrive of earlier attempts counts with the latest retry.

use crate::{Holder, RetryEnd, RetryId};

/// What a [`RetryBudget`](crate::RetryBudget) has to record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryRecord {
    /// A retry has ended.
    Ended(RetryId, RetryEnd),
    /// An earlier attempt of the request that was granted this retry has ended without an answer.
    Earlier(RetryId, Holder),
}

/// A retry that an attempt was started with.
#[derive(Debug)]
struct Started {
    id: RetryId,
    /// How many of the earlier attempts were recorded with it, those that ended first.
    recorded: usize,
}

/// What an attempt that was sent counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentAs {
    /// The first one of its request.
    First,
    /// A retry that the budget has granted.
    Retry,
    /// A further one that no budget was asked for.
    Ungranted,
}

/// The retries of a request that the budget has granted.
#[derive(Debug, Default)]
pub struct RequestRetries {
    /// The one that the next attempt is.
    next: Option<RetryId>,
    /// Those that weren't given back, the latest one last.
    started: Vec<Started>,
    /// Where attempts that weren't granted may still be.
    earlier: Vec<Holder>,
    /// Whether an attempt that wasn't granted was sent.
    is_first_sent: bool,
}

impl RequestRetries {
    /// Whether the next attempt is a retry.
    pub fn is_granted(&self) -> bool {
        self.next.is_some()
    }

    /// Whether the next attempt may only be sent with a retry that isn't granted yet: one that wasn't granted
    /// was sent before.
    pub fn needs_retry(&self) -> bool {
        self.next.is_none() && self.is_first_sent
    }

    /// The next attempt is this retry. Another one that was granted for it is given back.
    pub fn grant(&mut self, id: RetryId) -> Vec<RetryRecord> {
        let unused = self.next.replace(id);
        self.end_unsent(unused)
    }

    /// An attempt is started. Returns the retry that it is, `None` if it wasn't granted, and what has to be
    /// recorded.
    pub fn start(&mut self) -> (Option<RetryId>, Vec<RetryRecord>) {
        let id = self.next.take();
        let is_known = |id| self.started.iter().any(|started| started.id == id);
        if let Some(id) = id.filter(|id| !is_known(*id)) {
            self.started.push(Started { id, recorded: 0 });
        }
        (id, self.record_earlier())
    }

    /// Nothing of the retry that the next attempt was to be has been sent, nor will be.
    pub fn give_back(&mut self) -> Vec<RetryRecord> {
        let unused = self.next.take();
        self.end_unsent(unused)
    }

    /// An attempt that is this retry has ended. If nothing of it was sent, the next attempt is still it,
    /// unless that is another one.
    pub fn end(&mut self, id: RetryId, end: RetryEnd) -> Vec<RetryRecord> {
        match (end, self.next) {
            (RetryEnd::NotSent, None) => {
                self.next = Some(id);
                Vec::new()
            }
            (RetryEnd::NotSent, Some(_)) => self.end_unsent(Some(id)),
            (end, _) => vec![RetryRecord::Ended(id, end)],
        }
    }

    /// An attempt has ended of which something was sent, or may have been.
    pub fn record_sent(&mut self, id: Option<RetryId>) -> SentAs {
        match id {
            Some(_) => SentAs::Retry,
            None if self.is_first_sent => SentAs::Ungranted,
            None => {
                self.is_first_sent = true;
                SentAs::First
            }
        }
    }

    /// An attempt that wasn't granted has ended and may still be at `holder`.
    pub fn end_earlier(&mut self, holder: Holder) -> Vec<RetryRecord> {
        self.earlier.push(holder);
        self.record_earlier()
    }

    /// Ends a retry of which nothing was sent. What was recorded with it is recorded with the one before.
    fn end_unsent(&mut self, id: Option<RetryId>) -> Vec<RetryRecord> {
        let Some(id) = id else {
            return Vec::new();
        };
        self.started.retain(|started| started.id != id);
        let mut records = vec![RetryRecord::Ended(id, RetryEnd::NotSent)];
        records.extend(self.record_earlier());
        records
    }

    /// Records the earlier attempts with the latest retry.
    fn record_earlier(&mut self) -> Vec<RetryRecord> {
        let Some(Started { id, recorded }) = self.started.last_mut() else {
            return Vec::new();
        };
        let new = std::mem::replace(recorded, self.earlier.len());
        let new = self.earlier[new..].iter().cloned();
        new.map(|holder| RetryRecord::Earlier(*id, holder))
            .collect()
    }
}
