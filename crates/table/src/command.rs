//! Commands of the state machine, and how they end.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use filberthead_types::{ChangeId, NodeName, ReplicaId, ResultCode, Version};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Change, Conflict, Danger, Finding};

/// Milliseconds since 1970 on the wall clock of the control replica that took a
/// command in. For people only: nothing is decided by it, because the clocks of two
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
    /// Look at everything.
    Read,
    /// Propose, review, withdraw and hand over.
    Propose,
    /// Accept proposals and change the table directly.
    Accept,
}

/// A text that names no role.
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

/// Who acts, as the administration API authenticated them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Actor {
    /// Name of the token, or what a client on the loopback calls itself.
    pub name: String,
    /// Role of the token.
    pub role: Role,
}

/// A control replica as the others and operators reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Identity from its data folder.
    pub id: ReplicaId,
    /// Its name from its settings.
    pub name: NodeName,
    /// Where it takes messages of other processes.
    pub peer_addr: SocketAddr,
    /// Where it serves the administration API.
    pub operator_addr: SocketAddr,
}

/// A reviewer's word on a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// May be accepted.
    Approve,
    /// May not be accepted until the same reviewer approves.
    Reject,
}

/// What an operator does.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Operation {
    /// Changes the table at once.
    Change(Change),
    /// Puts a change up for review.
    Propose {
        /// The change.
        change: Change,
        /// An open proposal that this one takes the place of.
        supersedes: Option<ProposalNumber>,
    },
    /// Gives a verdict on an open proposal.
    Review {
        /// The proposal.
        proposal: ProposalNumber,
        /// The verdict; a reviewer's later one takes the place of the earlier.
        verdict: Verdict,
        /// Why, for colleagues.
        note: String,
    },
    /// Puts an open proposal into the table.
    Accept {
        /// The proposal.
        proposal: ProposalNumber,
        /// Why, for colleagues.
        note: String,
        /// Dangers taken, besides those that the proposal's author takes.
        allow: BTreeSet<Danger>,
    },
    /// Closes an open proposal.
    Withdraw {
        /// The proposal.
        proposal: ProposalNumber,
        /// Why, for colleagues.
        note: String,
    },
    /// Ends a shift with a note to the next one.
    HandOver {
        /// The note.
        note: String,
    },
    /// Tells the addresses of a control replica; a later one for the same identity
    /// takes the place of the earlier.
    RegisterReplica(ReplicaInfo),
    /// Drops the addresses of a control replica.
    ForgetReplica(ReplicaId),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Command {
    /// Identity, drawn by the client; a resend carries the same.
    pub id: ChangeId,
    /// Who acts.
    pub actor: Actor,
    /// When the control replica took it in. A resend may differ.
    pub at: Timestamp,
    /// Dangers that the control replica found against its live readings. They travel
    /// with the command, so that each replica judges by the same ones. A resend may
    /// differ.
    pub findings: Vec<Finding>,
    /// The act.
    pub operation: Operation,
}

impl Command {
    /// Whether `other` is this command sent again.
    pub(crate) fn is_resend(&self, other: &Self) -> bool {
        self.id == other.id
            && self.actor.name == other.actor.name
            && self.operation == other.operation
    }
}

/// How a command ended. Every replica comes to the same outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// In the table from this version on.
    Accepted {
        /// Version that the change made.
        version: Version,
    },
    /// On record as an open proposal.
    Proposed {
        /// Its number.
        proposal: ProposalNumber,
    },
    /// A review, withdrawal, hand-over or registration is on record.
    Recorded,
    /// Nothing changed; these rows had moved on.
    Conflict {
        /// The rows, with both sides.
        conflicts: Vec<Conflict>,
    },
    /// Nothing changed; the act breaks a rule.
    Invalid {
        /// The rule, for people.
        reason: String,
    },
    /// Nothing changed; these dangers are not allowed for.
    Dangerous {
        /// The dangers.
        findings: Vec<Finding>,
    },
    /// Nothing changed; there is no such open proposal.
    ProposalUnknown {
        /// The number.
        proposal: ProposalNumber,
        /// How it was closed, for people; empty if it never was or is long gone.
        reason: String,
    },
    /// Nothing changed; authors don't review their own proposals.
    OwnReview,
    /// Nothing changed; no colleague has approved, or one has rejected.
    ReviewMissing {
        /// Who has rejected, if anybody.
        rejected_by: Vec<String>,
    },
    /// Nothing changed; the table keeps no more open proposals.
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
