//! JSON bodies of answers. Their keys are stable: under `/v1` keys may be added, but are
//! neither removed nor changed.

mod history;
mod proposal;
mod table;

use std::net::SocketAddr;

use filberthead_table::{Conflict, Finding, Outcome, ProposalNumber, RowValues, Timestamp};
use filberthead_types::{ChangeId, Region, ResultCode, Revision, ServiceName, Version};
use serde::{Deserialize, Serialize};

pub use history::{DifferenceBody, HandOverBody, HandOverNote, HistoryBody, RecordBody};
pub use proposal::{ProposalBody, ProposalsBody, ReviewView};
pub use table::{RemovedBody, RowBody, TableBody};

use crate::AdministrationError;

/// Answer to every operation and to every failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Number of the result code; also in the header `Filberthead-Result`.
    pub code: ResultCode,
    /// Short name of the result code.
    pub slug: String,
    /// `not-run`, `may-have-run` or `ran`.
    pub meaning: String,
    /// Description of the result for people.
    pub message: String,
    /// Id of the operation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<ChangeId>,
    /// Table version that an accepted change made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Number of the proposal that was opened, or that is not open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proposal: Option<ProposalNumber>,
    /// Edited rows with another revision than expected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<ConflictBody>,
    /// Dangers that were not allowed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// Names of the operators who have rejected the proposal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejected_by: Vec<String>,
    /// Rows, as `service/region`, that were not fully compared with live readings because
    /// some were missing or too old.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unchecked: Vec<String>,
    /// The leader's address of this API, if this replica doesn't lead and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

impl Answer {
    /// An answer with only a result code and a message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            slug: code.slug().to_owned(),
            meaning: code.meaning().as_str().to_owned(),
            message: message.into(),
            id: None,
            version: None,
            proposal: None,
            conflicts: Vec::new(),
            findings: Vec::new(),
            rejected_by: Vec::new(),
            unchecked: Vec::new(),
            leader: None,
        }
    }

    /// The answer to a command with an outcome.
    pub fn from_outcome(id: ChangeId, outcome: &Outcome) -> Self {
        let mut answer = Self::new(outcome.code(), describe(outcome));
        answer.id = Some(id);
        match outcome {
            Outcome::Accepted { version } => answer.version = Some(*version),
            Outcome::Proposed { proposal } | Outcome::ProposalUnknown { proposal, .. } => {
                answer.proposal = Some(*proposal);
            }
            Outcome::Conflict { conflicts } => {
                answer.conflicts = conflicts.iter().map(ConflictBody::from).collect();
            }
            Outcome::Dangerous { findings } => answer.findings.clone_from(findings),
            Outcome::ReviewMissing { rejected_by } => answer.rejected_by.clone_from(rejected_by),
            Outcome::Recorded
            | Outcome::Invalid { .. }
            | Outcome::OwnReview
            | Outcome::TooManyProposals
            | Outcome::IdReused => {}
        }
        answer
    }

    /// The answer to a request that failed without an outcome.
    pub fn from_error(id: Option<ChangeId>, error: &AdministrationError) -> Self {
        let mut answer = Self::new(error.code(), error.to_string());
        answer.id = id;
        if let AdministrationError::NotLeader { leader } = error {
            answer.leader = *leader;
        }
        answer
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted { version } => format!("accepted as version {version}"),
        Outcome::Proposed { proposal } => format!("on record as proposal {proposal}"),
        Outcome::Recorded => "on record".to_owned(),
        Outcome::Conflict { conflicts } => format!(
            "nothing changed: {} of the edited rows had moved on",
            conflicts.len()
        ),
        Outcome::Invalid { reason } => format!("nothing changed: {reason}"),
        Outcome::Dangerous { findings } => {
            let reasons: Vec<_> = findings.iter().map(|found| found.reason.as_str()).collect();
            format!("nothing changed: {}", reasons.join("; "))
        }
        Outcome::ProposalUnknown { proposal, reason } if reason.is_empty() => {
            format!("no proposal {proposal} is open")
        }
        Outcome::ProposalUnknown { proposal, reason } => {
            format!("proposal {proposal} is no longer open: {reason}")
        }
        Outcome::OwnReview => "authors don't review their own proposals".to_owned(),
        Outcome::ReviewMissing { rejected_by } if rejected_by.is_empty() => {
            "no operator other than the author has approved the proposal".to_owned()
        }
        Outcome::ReviewMissing { rejected_by } => {
            format!("the proposal is rejected by {}", rejected_by.join(", "))
        }
        Outcome::TooManyProposals => {
            "too many open proposals or edits in them; accept or withdraw some".to_owned()
        }
        Outcome::IdReused => "the id was already used for a different operation".to_owned(),
    }
}

/// An edited row whose revision isn't the expected one, with both versions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConflictBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Revision that the edit expected.
    pub seen: Revision,
    /// What the edit would have set; `null` to remove the row.
    pub wanted: Option<RowValues>,
    /// Values in the table; `null` if there is no row.
    pub current: Option<RowValues>,
    /// Revision that a new edit has to expect.
    pub revision: Revision,
    /// Operator who made the row's last change; `null` if that is not kept.
    pub changed_by: Option<String>,
    /// Time of that change, in milliseconds since 1970.
    pub changed_at_ms: Option<Timestamp>,
}

impl From<&Conflict> for ConflictBody {
    fn from(conflict: &Conflict) -> Self {
        let origin = conflict.origin.as_ref();
        Self {
            service: conflict.key.service.clone(),
            region: conflict.key.region.clone(),
            seen: conflict.expected_revision,
            wanted: conflict.wanted,
            current: conflict.current.map(|row| row.values),
            revision: conflict.revision,
            changed_by: origin.map(|origin| origin.by.clone()),
            changed_at_ms: origin.map(|origin| origin.at),
        }
    }
}
