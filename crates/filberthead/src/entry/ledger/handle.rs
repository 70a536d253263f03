//! The handle through which the request path uses the ledger duty.
//!
//! A [`Permit`] is the right to run a key once. Its end is always reported to the ledger,
//! whatever happens to the task that holds it: a permit that is dropped, because the caller
//! disconnected or the task panicked, ends as "outcome unknown". Only a permit that never
//! reached its task ends as "not run".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_ledger::{Digest, Key, KeyPrefix, Token};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_types::{Moment, NodeName, ResultCode};
use log::error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};

use super::Answer;

/// Maximum number of open requests with a key at this entry, including those that wait for
/// the ledger. Further ones are refused before the ledger is asked.
///
/// Also the capacity of the ring: an open request has at most one command in it, so the
/// ring is never full and no end of a request is ever lost.
const MAX_OPEN: usize = 4096;

/// Retry-After of refusals without the ledger's decision.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A command of the request path for the ledger duty.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request asks for permission to run.
    Begin(BeginCommand),
    /// A started request has ended.
    End(EndCommand),
}

/// The arguments of [`LedgerHandle::begin`].
#[derive(Debug)]
pub(crate) struct BeginCommand {
    pub(super) key: Key,
    pub(super) digest: Digest,
    pub(super) deadline: Moment,
    pub(super) hops: u8,
    pub(super) failed: Option<NodeName>,
    /// Counts the request towards [`MAX_OPEN`].
    pub(super) admission: OwnedSemaphorePermit,
    pub(super) reply: oneshot::Sender<Reply>,
}

/// The end of a started request.
#[derive(Debug)]
pub(crate) struct EndCommand {
    pub(super) token: Token,
    pub(super) end: End,
    /// Released once the duty has handled the command.
    _admission: OwnedSemaphorePermit,
}

/// How a started request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// It ran; its encoded answer, or `None` if that is too large to be stored.
    Finished(Option<bytes::Bytes>),
    /// It may have run.
    Unknown,
    /// It didn't run and never will; the code it was refused with.
    NotRun(ResultCode),
}

/// The duty's answer to a [`BeginCommand`]; becomes a [`LedgerDecision`].
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

/// A permit in transit to the task that asked for it. Dropped on the way, it ends as not run.
#[derive(Debug)]
pub(crate) struct Grant {
    right: Option<RunRight>,
}

/// The right to run a key once, as held by [`Grant`] and [`Permit`].
#[derive(Debug)]
struct RunRight {
    token: Token,
    admission: OwnedSemaphorePermit,
    tx: Sender<Command>,
}

impl RunRight {
    fn end(self, end: End) {
        let command = Command::End(EndCommand {
            token: self.token,
            end,
            _admission: self.admission,
        });
        if self.tx.push(command).is_err() {
            // The ring is closed, never full; see `MAX_OPEN`. The record stays "started",
            // which a resend gets as "may have run".
            error!("the ledger duty ended before a request did");
        }
    }
}

impl Grant {
    pub(super) fn new(token: Token, admission: OwnedSemaphorePermit, tx: Sender<Command>) -> Self {
        Self {
            right: Some(RunRight {
                token,
                admission,
                tx,
            }),
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
            // The task that asked is gone and never received its permit.
            right.end(End::NotRun(ResultCode::DeadlineBeforeRun));
        }
    }
}

/// The right to run a key once. Dropped, it ends as [`Permit::unknown`].
#[derive(Debug)]
pub(crate) struct Permit {
    right: Option<RunRight>,
}

impl Permit {
    /// Records the endpoint's complete answer. An answer over the ledger's size limit is
    /// recorded as run but isn't stored.
    pub(crate) fn finish(self, answer: &Answer) {
        match answer.encode() {
            Ok(buf) => self.end(End::Finished(Some(buf))),
            Err(error) => {
                error!(error:%; "an answer can't be encoded");
                self.finish_unstored();
            }
        }
    }

    /// Records that the endpoint answered completely, without storing the answer because it
    /// is too large.
    pub(crate) fn finish_unstored(self) {
        self.end(End::Finished(None));
    }

    /// Records that the request may have run: a byte of it may have reached an endpoint, and
    /// there is no complete answer.
    pub(crate) fn unknown(self) {
        self.end(End::Unknown);
    }

    /// Records that no byte of the request reached an endpoint, and none will. `code` must
    /// be one that means "not run"; the key can't run any more.
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

/// The ledger's decision on a request with a key.
#[derive(Debug)]
pub(crate) enum LedgerDecision {
    /// It may run here, once.
    Start(Permit),
    /// It has run; this is its answer (result code 1001).
    Replay(Answer),
    /// It is refused. The code's meaning holds for every send of the key.
    Refuse {
        /// The reason.
        code: ResultCode,
        /// Time after which a resend may get another result.
        retry_after: Duration,
    },
    /// Another entry decides: forward it there with one hop more. If no answer comes from
    /// there, ask again with the hops unchanged and the entry's name as the failed one,
    /// because the home may have moved. A second send is safe: the ledger has a record of
    /// the first.
    Forward {
        /// Name of the entry.
        entry: NodeName,
        /// Address where it accepts requests.
        addr: SocketAddr,
    },
}

/// Access to the ledger duty for requests; clones share the duty and the limit of requests.
#[derive(Clone, Debug)]
pub(crate) struct LedgerHandle {
    tx: Sender<Command>,
    open_requests: Arc<Semaphore>,
    prefix: watch::Receiver<Option<KeyPrefix>>,
}

/// The duty's ends of a handle's channels.
#[derive(Debug)]
pub(crate) struct DutySide {
    pub(super) rx: Receiver<Command>,
    /// Cloned into each [`Grant`], to report its end.
    pub(super) tx: Sender<Command>,
    pub(super) prefix: watch::Sender<Option<KeyPrefix>>,
}

/// Creates a handle and the duty's ends of its channels.
pub(crate) fn handle() -> (LedgerHandle, DutySide) {
    let (tx, rx) = ring(MAX_OPEN);
    let (prefix_tx, prefix) = watch::channel(None);
    let handle = LedgerHandle {
        tx: tx.clone(),
        open_requests: Arc::new(Semaphore::new(MAX_OPEN)),
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
    /// The key prefix for look-ups, or `None` while this entry accepts no new keys.
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

    /// Asks for permission to run a request.
    ///
    /// `key` is the header's text, `digest` identifies service, method, path, query and
    /// body, `hops` is the number of entries that have forwarded the request before, `failed`
    /// the entry named by an earlier [`LedgerDecision::Forward`], if it gave no answer. Must
    /// be called before any other refusal of a request with a key: only the ledger can exclude
    /// that an earlier send ran. A request that is refused for another reason before this call
    /// gets [`ResultCode::KeyNotChecked`].
    pub(crate) async fn begin(
        &self,
        key: &str,
        digest: Digest,
        deadline: Moment,
        hops: u8,
        failed: Option<NodeName>,
    ) -> LedgerDecision {
        let Ok(key) = key.parse() else {
            return refuse(ResultCode::KeyWithoutHome);
        };
        let Ok(admission) = Arc::clone(&self.open_requests).try_acquire_owned() else {
            return refuse(ResultCode::KeyNotChecked);
        };
        let (reply, answer) = oneshot::channel();
        let command = BeginCommand {
            key,
            digest,
            deadline,
            hops,
            failed,
            admission,
            reply,
        };
        if self.tx.push(Command::Begin(command)).is_err() {
            return refuse(ResultCode::KeyNotChecked);
        }
        // An error means that the duty has ended without a reply.
        answer
            .await
            .map_or_else(|_| refuse(ResultCode::KeyNotChecked), LedgerDecision::from)
    }
}

impl From<Reply> for LedgerDecision {
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

/// A refusal without the ledger's decision.
fn refuse(code: ResultCode) -> LedgerDecision {
    LedgerDecision::Refuse {
        code,
        retry_after: RETRY_AFTER,
    }
}
