//! Inputs of the consensus duty, and the queues to it and to the disk duty.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_consensus::{Durable, Members, Persist, Proposal, ProposeError};
use filberthead_operator::{Status, WorkspacesBody};
use filberthead_peer::{Body, Deliver, Origin};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_table::{Command, Outcome, Table};
use filberthead_types::ReplicaId;
use tokio::sync::oneshot;

use super::handle::HandleRequest;
use super::samples::ReceivedReport;

/// Capacity of the queue to the consensus duty. When it is full, messages of peers are dropped,
/// which their protocols repeat, and operators' requests are rejected before anything is logged.
/// The disk duty waits for room instead, since nothing repeats its reports.
const INPUT_CAPACITY: usize = 8192;

/// Capacity of the queue to the disk duty. When it is full the consensus duty waits before it
/// handles anything else: nothing may be promised before it is synced, so a replica with a stuck
/// disk has nothing else to do.
const DISK_JOB_CAPACITY: usize = 1024;

/// An input of the consensus duty.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message from another process.
    Peer {
        /// Its sender.
        origin: Origin,
        /// Its content.
        body: Body,
    },
    /// A request of an operator.
    Admin(AdminRequest),
    /// More addresses to send hellos to, from reloaded settings.
    Seeds(Vec<SocketAddr>),
    /// A request of an adapter.
    Adapter(HandleRequest),
    /// All batches up to this one are synced.
    Persisted {
        /// Sequence number of the batch.
        seq: u64,
    },
    /// The data folder failed: nothing is synced any more.
    DiskFailed,
    /// The data folder works again.
    DiskRecovered {
        /// Epoch of the disk jobs from now on.
        epoch: u64,
        /// Content of the folder.
        durable: Durable,
    },
    /// The data folder now holds the initial membership.
    Initialised(Durable),
}

/// A request of an operator, with the channel for its reply.
#[derive(Debug)]
pub(crate) enum AdminRequest {
    /// Put a command into the log.
    Submit {
        /// The command.
        command: Command,
        /// Receives its outcome.
        reply: oneshot::Sender<Result<Outcome, SubmitError>>,
    },
    /// Read the table under the lease.
    Read {
        /// Receives the current table.
        reply: oneshot::Sender<Result<Arc<Table>, SubmitError>>,
    },
    /// Return the state of this replica and what it knows of others; needs no lease.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<Status>,
    },
    /// Return the workspaces and their requests as known to this replica; needs no lease.
    Workspaces {
        /// Receives them.
        reply: oneshot::Sender<WorkspacesBody>,
    },
    /// Change the membership.
    Members {
        /// The change.
        proposal: Proposal,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// Make this replica the only voter of a new group.
    Initialise {
        /// Receives the result.
        reply: oneshot::Sender<Result<(), InitialiseError>>,
    },
}

/// Why a request has failed, or may have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// This replica holds no lease.
    NotLeader {
        /// Address of the leader's administration API, if known.
        leader: Option<SocketAddr>,
    },
    /// The membership can't be changed like this now.
    MembershipRefused,
    /// The learner has not caught up.
    LearnerBehind,
    /// The request is in the log and may still be committed.
    OutcomeUnknown,
    /// The entry to forget may hold a lease; nothing was logged.
    EntryMayBeAlive,
    /// The replica is overloaded; nothing was logged.
    Busy,
}

impl SubmitError {
    /// Converts the replica's error, adding the leader's address.
    pub(crate) fn from_propose(
        error: ProposeError,
        address: impl Fn(ReplicaId) -> Option<SocketAddr>,
    ) -> Self {
        match error {
            ProposeError::NotLeader { leader } => Self::NotLeader {
                leader: leader.and_then(address),
            },
            ProposeError::MembershipRefused => Self::MembershipRefused,
            ProposeError::LearnerBehind => Self::LearnerBehind,
            ProposeError::OutcomeUnknown => Self::OutcomeUnknown,
            ProposeError::Overloaded => Self::Busy,
        }
    }
}

/// Why the initial membership was not created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum InitialiseError {
    /// The data folder already belongs to a group.
    AlreadyInitialised,
    /// The data folder failed.
    Storage(String),
}

/// A job of the disk duty.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Write and sync a batch, and report it.
    Persist {
        /// Number of recoveries of the data folder when the job was queued. Jobs of earlier
        /// epochs belong to a replica that has been replaced, and must not be written.
        epoch: u64,
        /// The batch.
        persist: Persist,
    },
    /// Save a note for the next start, once the disk is idle.
    WriteNote(Vec<u8>),
    /// Create the initial membership.
    Initialise {
        /// The only voter, which is this replica.
        members: Members,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), InitialiseError>>,
    },
}

/// Creates the queue to the consensus duty.
pub(crate) fn input_queue() -> (Sender<Input>, Receiver<Input>) {
    ring(INPUT_CAPACITY)
}

/// Creates the queue to the disk duty.
pub(crate) fn disk_queue() -> (Sender<DiskJob>, Receiver<DiskJob>) {
    ring(DISK_JOB_CAPACITY)
}

/// Dispatches messages of peers to the duty that handles them.
#[derive(Debug)]
pub(crate) struct MessageDispatch {
    pub(crate) consensus: Sender<Input>,
    pub(crate) samples: Sender<ReceivedReport>,
}

impl Deliver for MessageDispatch {
    fn deliver(&mut self, origin: Origin, body: Body) {
        // Dropped if the queue is full; the protocol repeats what needs an answer.
        if let Body::Samples(report) = body {
            let _ = self.samples.push(ReceivedReport { origin, report });
        } else {
            let _ = self.consensus.push(Input::Peer { origin, body });
        }
    }
}
