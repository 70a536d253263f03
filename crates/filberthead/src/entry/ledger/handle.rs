//! How the request path asks the ledger duty.
//!
//! A [`Permit`] stands for the right to run a key once. Whatever happens to the task
//! that holds it, the ledger learns of its end: a permit that is dropped, because the
//! caller went away or the task panicked, ends as "outcome unknown". Only a permit that
//! never reached its task ends as "not run".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_ledger::{Digest, Key, KeyPrefix, Token};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_types::{Moment, NodeName, ResultCode};
use log::error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};

use super::Answer;

/// Requests with a key that may be open at this entry at once, waiting ones included.
///
/// Also the capacity of the ring: an open request has at most one command in it, so the
/// ring is never full and no end of a request is ever lost. Further requests are refused
/// before the ledger is asked.
const MAX_OPEN: usize = 4096;

/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the request path tells the ledger duty.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request asks for leave to run.
    Begin(BeginCommand),
    /// A permit has ended.
    End(EndCommand),
}

#[derive(Debug)]
pub(crate) struct BeginCommand {
    pub(super) key: Key,
    pub(super) digest: Digest,
    pub(super) deadline: Moment,
    pub(super) hops: u8,
    pub(super) failed: Option<NodeName>,
    pub(super) open: OwnedSemaphorePermit,
    pub(super) reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
pub(crate) struct EndCommand {
    pub(super) token: Token,
    pub(super) end: End,
    /// Given back once the duty has taken the end in.
    _open: OwnedSemaphorePermit,
}

/// How a started request ended.
#[derive(Debug)]
pub(crate) enum End {
    Finished(Option<bytes::Bytes>),
    Unknown,
    NotRun(ResultCode),
}

/// The duty's answer to a [`BeginCommand`].
#[derive(Debug)]
pub(crate) enum Reply {
    Start(Grant),
    Replay(bytes::Bytes),
    Refuse {
        code: ResultCode,
        retry_after: Duration,
    },
    Forward {
        entry: NodeName,
        addr: SocketAddr,
    },
}

/// A right to run on its way to the task that asked for it.
#[derive(Debug)]
pub(crate) struct Grant {
    right: Option<Right>,
}

#[derive(Debug)]
struct Right {
    token: Token,
    open: OwnedSemaphorePermit,
    tx: Sender<Command>,
}

impl Right {
    fn end(self, end: End) {
        let command = Command::End(EndCommand {
            token: self.token,
            end,
            _open: self.open,
        });
        if self.tx.push(command).is_err() {
            // Not for lack of room; see `MAX_OPEN`. The record stays as started, which
            // a resend is told as "may have run".
            error!("the ledger duty has ended before a request did");
        }
    }
}

impl Grant {
    pub(super) fn new(token: Token, open: OwnedSemaphorePermit, tx: Sender<Command>) -> Self {
        Self {
            right: Some(Right { token, open, tx }),
        }
    }

    fn into_permit(mut self) -> Option<Permit> {
        let right = self.right.take();
        right.map(|right| Permit { right: Some(right) })
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(right) = self.right.take() {
            // The task that asked is gone and never saw its permit.
            right.end(End::NotRun(ResultCode::DeadlineBeforeRun));
        }
    }
}

/// The right to run a key once. Dropped, it ends as [`Permit::unknown`].
#[derive(Debug)]
pub(crate) struct Permit {
    right: Option<Right>,
}

impl Permit {
    /// The endpoint gave its whole answer. An answer over the ledger's bound is known to
    /// have run but isn't stored.
    pub(crate) fn finish(self, answer: &Answer) {
        match answer.encode() {
            Ok(buf) => self.end(End::Finished(Some(buf))),
            Err(error) => {
                error!(error:%; "an answer can't be encoded");
                self.finish_unstored();
            }
        }
    }

    /// The endpoint gave its whole answer, but it is too large to be collected.
    pub(crate) fn finish_unstored(self) {
        self.end(End::Finished(None));
    }

    /// A byte of the request may have reached an endpoint, and there is no whole answer.
    pub(crate) fn unknown(self) {
        self.end(End::Unknown);
    }

    /// No byte of the request reached an endpoint, and none will. `code` must be one
    /// that means "not run"; the key never runs from here on.
    pub(crate) fn not_run(self, code: ResultCode) {
        self.end(End::NotRun(code));
    }

    fn end(mut self, end: End) {
        if let Some(right) = self.right.take() {
            right.end(end);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(right) = self.right.take() {
            right.end(End::Unknown);
        }
    }
}

/// Whether, and how, a request with a key goes on.
#[derive(Debug)]
pub(crate) enum Begin {
    /// It may run here, once.
    Start(Permit),
    /// It has run; this is its answer (result code 1001).
    Replay(Answer),
    /// It doesn't go on. The code's meaning holds for every send of the key.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When a resend may bring more.
        retry_after: Duration,
    },
    /// Another entry decides: send it there with one hop more. If no answer comes from
    /// there, ask again with the hops unchanged and the entry's name as the failed one:
    /// the home may have moved on. A second send is safe, the ledger knows the first.
    Forward {
        /// Its name.
        entry: NodeName,
        /// Where it takes requests.
        addr: SocketAddr,
    },
}

/// Gives requests access to the ledger duty; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct LedgerHandle {
    tx: Sender<Command>,
    open: Arc<Semaphore>,
    prefix: watch::Receiver<Option<KeyPrefix>>,
}

/// What the duty keeps of a handle's channels.
#[derive(Debug)]
pub(crate) struct DutySide {
    pub(super) rx: Receiver<Command>,
    /// Stands in each [`Grant`].
    pub(super) tx: Sender<Command>,
    pub(super) prefix: watch::Sender<Option<KeyPrefix>>,
}

/// Makes a handle and the duty's side of it.
pub(crate) fn handle() -> (LedgerHandle, DutySide) {
    let (tx, rx) = ring(MAX_OPEN);
    let (prefix_tx, prefix) = watch::channel(None);
    let handle = LedgerHandle {
        tx: tx.clone(),
        open: Arc::new(Semaphore::new(MAX_OPEN)),
        prefix,
    };
    let duty = DutySide {
        rx,
        tx,
        prefix: prefix_tx,
    };
    (handle, duty)
}

impl LedgerHandle {
    /// The prefix that look-ups hand out, or `None` while this entry takes no new keys.
    pub(crate) fn prefix(&self) -> Option<KeyPrefix> {
        self.prefix.borrow().clone()
    }

    /// Waits until [`LedgerHandle::prefix`] changes.
    ///
    /// # Errors
    ///
    /// Fails once the duty has ended.
    pub(crate) async fn prefix_changed(&mut self) -> Result<(), watch::error::RecvError> {
        self.prefix.changed().await
    }

    /// Asks for leave to run a request.
    ///
    /// `key` is the header's text, `digest` identifies service, method, path, query and
    /// body, `hops` is how many entries have passed the request on before, `failed` the
    /// entry that an earlier [`Begin::Forward`] named, if it gave no answer. Must come
    /// before any other refusal of a request with a key: only the ledger can say that
    /// no earlier send of it ran. A request that is refused for another reason before
    /// this call gets [`ResultCode::KeyNotChecked`].
    pub(crate) async fn begin(
        &self,
        key: &str,
        digest: Digest,
        deadline: Moment,
        hops: u8,
        failed: Option<NodeName>,
    ) -> Begin {
        let Ok(key) = key.parse() else {
            return refuse(ResultCode::KeyWithoutHome);
        };
        let Ok(open) = Arc::clone(&self.open).try_acquire_owned() else {
            return refuse(ResultCode::KeyNotChecked);
        };
        let (reply, answer) = oneshot::channel();
        let command = BeginCommand {
            key,
            digest,
            deadline,
            hops,
            failed,
            open,
            reply,
        };
        if self.tx.push(Command::Begin(command)).is_err() {
            return refuse(ResultCode::KeyNotChecked);
        }
        // An error means that the duty has ended with the question in hand.
        answer
            .await
            .map_or_else(|_| refuse(ResultCode::KeyNotChecked), Begin::from)
    }
}

impl From<Reply> for Begin {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Start(grant) => grant
                .into_permit()
                .map_or_else(|| refuse(ResultCode::KeyNotChecked), Self::Start),
            Reply::Replay(buf) => Answer::decode(&buf)
                .map_or_else(|_| refuse(ResultCode::AnswerNotStored), Self::Replay),
            Reply::Refuse { code, retry_after } => Self::Refuse { code, retry_after },
            Reply::Forward { entry, addr } => Self::Forward { entry, addr },
        }
    }
}

fn refuse(code: ResultCode) -> Begin {
    Begin::Refuse {
        code,
        retry_after: RETRY_AFTER,
    }
}
