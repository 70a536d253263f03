//! What reaches the consensus duty, and the rings that bring it.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_consensus::{Durable, Members, Persist, Proposal, ProposeError};
use filberthead_operator::Status;
use filberthead_peer::{Body, Deliver, Origin};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_table::{Command, Outcome, Table};
use filberthead_types::ReplicaId;
use tokio::sync::oneshot;

use super::handle::AdapterRequest;
use super::samples::ReceivedReport;

/// Inputs that wait for the consensus duty. When full, messages of peers are dropped,
/// which their protocols repeat, and operators are refused before anything is logged.
/// The disk's reports wait for room instead, since nothing repeats them.
const INPUT_CAPACITY: usize = 8192;

/// Batches that wait for the disk. When full the consensus duty waits for the disk
/// before it takes anything else: a promise must not leave before it is synced, so a
/// replica with a stuck disk has nothing else to do.
const DISK_JOB_CAPACITY: usize = 1024;

/// Something for the consensus duty.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message of another process.
    Peer {
        /// Its sender.
        origin: Origin,
        /// What it says.
        body: Body,
    },
    /// An act of an operator.
    Admin(AdminRequest),
    /// Whom to greet besides, by settings that have changed.
    Seeds(Vec<SocketAddr>),
    /// A request of an adapter.
    Adapter(AdapterRequest),
    /// All batches up to this one are synced.
    Persisted {
        /// Its number.
        seq: u64,
    },
    /// The data folder failed: nothing is synced any more.
    DiskFailed,
    /// The data folder works again; this is what it holds.
    DiskRecovered {
        /// Number that jobs carry from now on.
        epoch: u64,
        /// Its content.
        durable: Durable,
    },
    /// The data folder now holds the initial membership.
    Initialised(Durable),
}

/// An act of an operator, with the way back.
#[derive(Debug)]
pub(crate) enum AdminRequest {
    /// Put a command into the log.
    Submit {
        /// The command.
        command: Command,
        /// Its outcome.
        reply: oneshot::Sender<Result<Outcome, SubmitError>>,
    },
    /// Read the table under the lease.
    Read {
        /// The table as of now.
        reply: oneshot::Sender<Result<Arc<Table>, SubmitError>>,
    },
    /// Tell the state of this replica and what it knows of others; needs no lease.
    Status {
        /// The state.
        reply: oneshot::Sender<Status>,
    },
    /// Change the membership.
    Members {
        /// The change.
        proposal: Proposal,
        /// How it ended.
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// Make this replica the only voter of a new group.
    Initialise {
        /// How it ended.
        reply: oneshot::Sender<Result<(), InitialiseError>>,
    },
}

/// Why an act didn't take place, or may have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// This replica holds no lease.
    NotLeader {
        /// Administration API of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The membership can't be changed like this now.
    MembershipRefused,
    /// The learner has not caught up.
    LearnerBehind,
    /// It is in the log and may take place yet.
    OutcomeUnknown,
    /// The duty has no room; nothing was logged.
    Busy,
}

impl SubmitError {
    /// Adds the leader's address to what the replica says.
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

/// Why the first membership was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum InitialiseError {
    /// The data folder already belongs to another membership.
    AlreadyInitialised,
    /// The data folder failed.
    Storage(String),
}

/// Something for the disk duty.
#[derive(Debug)]
pub(crate) enum DiskJob {
    /// Sync a batch and report it.
    Persist {
        /// Tells batches of the replica that was started from the folder's present
        /// content from those of one before it, which must not be written.
        epoch: u64,
        /// The batch.
        persist: Persist,
    },
    /// Keep a note for the next start, once there is nothing more urgent.
    WriteNote(Vec<u8>),
    /// Make the first membership.
    Initialise {
        /// The only voter, which is this replica.
        members: Members,
        /// How it ended.
        reply: oneshot::Sender<Result<(), InitialiseError>>,
    },
}

/// Makes the ring into the consensus duty.
pub(crate) fn input_queue() -> (Sender<Input>, Receiver<Input>) {
    ring(INPUT_CAPACITY)
}

/// Makes the ring into the disk duty.
pub(crate) fn disk_queue() -> (Sender<DiskJob>, Receiver<DiskJob>) {
    ring(DISK_JOB_CAPACITY)
}

/// Hands messages of peers to the duty that they are for.
#[derive(Debug)]
pub(crate) struct MessageDispatch {
    pub(crate) consensus: Sender<Input>,
    pub(crate) samples: Sender<ReceivedReport>,
}

impl Deliver for MessageDispatch {
    fn deliver(&mut self, origin: Origin, body: Body) {
        // A full ring drops the message; its protocol repeats what it needs answered.
        if let Body::Samples(report) = body {
            let _ = self.samples.push(ReceivedReport { origin, report });
        } else {
            let _ = self.consensus.push(Input::Peer { origin, body });
        }
    }
}
