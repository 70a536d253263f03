//! Retry logic of the client, without I/O.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::ResultCode;

use super::{ClientError, Reply};
use crate::Answer;

/// Backoff after every address was tried once; doubles with each round up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of consecutive leader hints followed without backoff. Two replicas may
/// each name the other as the leader around an election, which must not cause a busy loop.
const MAX_CONSECUTIVE_HINTS: u32 = 2;

/// Result of an attempt. The texts describe the failure.
pub(super) enum Attempt {
    /// An answer with any result code.
    Answered(Reply),
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have arrived, but no answer was received.
    Lost(String),
}

/// The next step.
pub(super) enum Step {
    /// Return this answer.
    Done(Reply),
    /// Send the request to `next` after `backoff`.
    Try { next: SocketAddr, backoff: Duration },
}

/// Chooses the address of each attempt and tracks whether an attempt may have been applied.
pub(super) struct Plan {
    addrs: Vec<SocketAddr>,
    current_index: usize,
    addresses_tried: usize,
    consecutive_hints: u32,
    backoff: Duration,
    is_write: bool,
    may_have_run: bool,
    last_failure: String,
}

impl Plan {
    /// `is_write` is whether the request changes anything. `addrs` must not be empty.
    pub(super) fn new(addrs: &[SocketAddr], is_write: bool) -> Self {
        Self {
            addrs: addrs.to_vec(),
            current_index: 0,
            addresses_tried: 0,
            consecutive_hints: 0,
            backoff: MIN_BACKOFF,
            is_write,
            may_have_run: false,
            last_failure: String::new(),
        }
    }

    pub(super) fn first(&self) -> SocketAddr {
        self.addrs[self.current_index]
    }

    pub(super) fn next(&mut self, attempt: Attempt) -> Step {
        match attempt {
            Attempt::NotSent(reason) => self.try_next(reason),
            Attempt::Lost(reason) => {
                self.may_have_run = self.is_write;
                self.try_next(reason)
            }
            Attempt::Answered(reply) => self.handle_reply(reply),
        }
    }

    fn handle_reply(&mut self, reply: Reply) -> Step {
        let describe = || format!("{} answers {}", reply.addr, reply.code);
        match reply.code {
            ResultCode::NotLeader => self.follow_leader(&reply),
            ResultCode::ApiUnavailable | ResultCode::LearnerBehind => self.try_next(describe()),
            ResultCode::ChangeUnknown => {
                self.may_have_run = self.is_write;
                self.try_next(describe())
            }
            // A refusal before the log (token, body, role) is not the outcome of an earlier
            // attempt that another replica may have accepted, so the search goes on.
            code if self.may_have_run && !decided_by_table(code) => self.try_next(describe()),
            _ => Step::Done(reply),
        }
    }

    fn follow_leader(&mut self, reply: &Reply) -> Step {
        let hint = reply.json::<Answer>().ok().and_then(|answer| answer.leader);
        match hint {
            Some(leader)
                if leader != reply.addr && self.consecutive_hints < MAX_CONSECUTIVE_HINTS =>
            {
                self.consecutive_hints += 1;
                self.last_failure = format!("{} names {leader} as the leader", reply.addr);
                Step::Try {
                    next: leader,
                    backoff: Duration::ZERO,
                }
            }
            _ => self.try_next(format!("{} does not lead", reply.addr)),
        }
    }

    /// Continues with the next address, with an increasing backoff after each round.
    fn try_next(&mut self, reason: String) -> Step {
        self.last_failure = reason;
        self.consecutive_hints = 0;
        self.addresses_tried += 1;
        self.current_index = (self.current_index + 1) % self.addrs.len();
        let next = self.addrs[self.current_index];
        if !self.addresses_tried.is_multiple_of(self.addrs.len()) {
            let backoff = Duration::ZERO;
            return Step::Try { next, backoff };
        }
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        Step::Try { next, backoff }
    }

    pub(super) fn into_error(self) -> ClientError {
        let last = self.last_failure;
        if self.may_have_run {
            ClientError::OutcomeUnknown { last }
        } else {
            ClientError::Unreachable { last }
        }
    }
}

/// Whether the result code is an outcome of the replicated table, which is the same for
/// every attempt.
fn decided_by_table(code: ResultCode) -> bool {
    (2000..2200).contains(&code.number())
}
