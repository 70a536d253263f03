//! Commands of the state machine, and their outcomes.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use filberthead_types::{ChangeId, NodeName, ReplicaId, ResultCode, Version};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Change, Conflict, Danger, Finding};

/// Milliseconds since 1970 on the wall clock of the control replica that received a
/// command. For display only: no decision depends on it, because the clocks of two
/// replicas may differ by any amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// Number of a proposal, counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposalNumber(pub u64);

impl fmt::Display for ProposalNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an operator may do; each role includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Read everything.
    Read,
    /// Propose, review, withdraw and hand over.
    Propose,
    /// Accept proposals and change the table directly.
    Accept,
}

/// The text is not the name of a role.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("`{text}` is no role: `read`, `propose` or `accept`"))]
pub struct RoleError {
    text: String,
}

impl Role {
    /// The name as in the tokens file and in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Propose => "propose",
            Self::Accept => "accept",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Role {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "read" => Ok(Self::Read),
            "propose" => Ok(Self::Propose),
            "accept" => Ok(Self::Accept),
            _ => RoleSnafu { text }.fail(),
        }
    }
}

/// The operator who sent a command, as authenticated by the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Actor {
    /// Name of the token, or the name that a client on the loopback gave.
    pub name: String,
    /// Role of the token; `Accept` for clients on the loopback.
    pub role: Role,
}

/// Addresses of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Identity from its data folder.
    pub id: ReplicaId,
    /// Its name from its settings.
    pub name: NodeName,
    /// Address for messages of other processes.
    pub peer_addr: SocketAddr,
    /// Address of its administration API.
    pub operator_addr: SocketAddr,
}

/// Result of a review.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The proposal may be accepted.
    Approve,
    /// The proposal can't be accepted until the same reviewer approves.
    Reject,
}

/// An operation that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Operation {
    /// Applies a change to the table without a review.
    Change(Change),
    /// Opens a proposal for a change.
    Propose {
        /// The change.
        change: Change,
        /// An open proposal that this one replaces.
        supersedes: Option<ProposalNumber>,
    },
    /// Reviews an open proposal.
    Review {
        /// The proposal.
        proposal: ProposalNumber,
        /// The verdict; it replaces an earlier one of the same reviewer.
        verdict: Verdict,
        /// Reason, for other operators.
        note: String,
    },
    /// Applies the change of an open proposal to the table.
    Accept {
        /// The proposal.
        proposal: ProposalNumber,
        /// Reason, for other operators.
        note: String,
        /// Dangers allowed, in addition to those that the proposal's author allowed.
        allow: BTreeSet<Danger>,
    },
    /// Closes an open proposal without applying it.
    Withdraw {
        /// The proposal.
        proposal: ProposalNumber,
        /// Reason, for other operators.
        note: String,
    },
    /// Ends a shift with a note for the next one.
    HandOver {
        /// The note, which can't be empty.
        note: String,
    },
    /// Sets the addresses of a control replica, replacing earlier ones of the same
    /// identity.
    RegisterReplica(ReplicaInfo),
    /// Removes the addresses of a control replica.
    ForgetReplica(ReplicaId),
    /// States that an entry is gone for good: none of its requests run any more. Changes
    /// nothing in the table.
    ForgetEntry(NodeName),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Command {
    /// Idempotency key, generated by the client; a resend has the same.
    pub id: ChangeId,
    /// The operator who sent it.
    pub actor: Actor,
    /// When the control replica received it. May differ in a resend.
    pub at: Timestamp,
    /// Dangers that the receiving control replica found in its live readings. They are
    /// part of the command so that every replica decides by the same ones. May differ in
    /// a resend.
    pub findings: Vec<Finding>,
    /// The requested operation.
    pub operation: Operation,
}

impl Command {
    /// Whether `other` is a resend of this command.
    pub(crate) fn is_resend(&self, other: &Self) -> bool {
        self.id == other.id
            && self.actor.name == other.actor.name
            && self.operation == other.operation
    }
}

/// Result of applying a command, which is the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The change was applied.
    Accepted {
        /// Table version that the change made.
        version: Version,
    },
    /// The proposal was opened.
    Proposed {
        /// Its number.
        proposal: ProposalNumber,
    },
    /// A review, withdrawal, hand-over, or the addition or removal of a replica's
    /// addresses was recorded.
    Recorded,
    /// Nothing changed; rows have another revision than expected.
    Conflict {
        /// The rows, with both versions.
        conflicts: Vec<Conflict>,
    },
    /// Nothing changed; the command breaks a rule or exceeds a bound.
    Invalid {
        /// The rule, for people.
        reason: String,
    },
    /// Nothing changed; the change has dangers that were not allowed.
    Dangerous {
        /// The dangers.
        findings: Vec<Finding>,
    },
    /// Nothing changed; there is no such open proposal.
    ProposalUnknown {
        /// The number.
        proposal: ProposalNumber,
        /// How it was closed, for people; empty if it never existed or is no longer kept.
        reason: String,
    },
    /// Nothing changed; authors can't review their own proposals.
    OwnReview,
    /// Nothing changed; no other operator has approved the proposal, or one has
    /// rejected it.
    ReviewMissing {
        /// Names of the operators who have rejected it.
        rejected_by: Vec<String>,
    },
    /// Nothing changed; the maximum number of open proposals, or of their edits, is
    /// reached.
    TooManyProposals,
    /// Nothing changed; the id belongs to a different command.
    IdReused,
}

impl Outcome {
    /// The result code of the outcome.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Accepted { .. } => ResultCode::ChangeAccepted,
            Self::Proposed { .. } => ResultCode::ChangeProposed,
            Self::Recorded => ResultCode::ActRecorded,
            Self::Conflict { .. } => ResultCode::ChangeConflict,
            Self::Invalid { .. } => ResultCode::ChangeInvalid,
            Self::Dangerous { .. } => ResultCode::ChangeDangerous,
            Self::ProposalUnknown { .. } => ResultCode::ProposalUnknown,
            Self::OwnReview => ResultCode::OwnReview,
            Self::ReviewMissing { .. } => ResultCode::ReviewMissing,
            Self::TooManyProposals => ResultCode::TooManyProposals,
            Self::IdReused => ResultCode::ChangeIdReused,
        }
    }
}
