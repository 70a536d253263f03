//! What was done, and what the next shift has to see.

use std::collections::BTreeSet;

use filberthead_table::{
    Danger, Difference, HandOver, Operation, Outcome, ProposalNumber, Record, Role, RowValues,
    Timestamp,
};
use filberthead_types::{ChangeId, Region, ResultCode, ServiceName, Version};
use serde::{Deserialize, Serialize};

use super::ProposalBody;

/// What an accepted change did to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DifferenceBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Before; `null` if there was none.
    pub before: Option<RowValues>,
    /// After; `null` if it was removed.
    pub after: Option<RowValues>,
}

impl From<&Difference> for DifferenceBody {
    fn from(difference: &Difference) -> Self {
        Self {
            service: difference.key.service.clone(),
            region: difference.key.region.clone(),
            before: difference.before.map(|row| row.values),
            after: difference.after,
        }
    }
}

/// Answer of `GET /v1/history`, the newest record first.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryBody {
    /// The records asked for.
    pub records: Vec<RecordBody>,
    /// Serial number of the oldest record that is still kept; what came before it is in
    /// the logs of the control replicas only.
    pub oldest_kept: u64,
}

/// An act on record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordBody {
    /// Place in the history.
    pub serial: u64,
    /// Id of the act.
    pub id: ChangeId,
    /// Who.
    pub by: String,
    /// With which role.
    pub role: Role,
    /// When, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// What: `change`, `propose`, `review`, `accept`, `withdraw`, `hand-over`,
    /// `register-replica` or `forget-replica`.
    pub act: String,
    /// The proposal that it was about, or made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proposal: Option<ProposalNumber>,
    /// The note.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// Dangers that were taken.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub allow: BTreeSet<Danger>,
    /// Number of the result code.
    pub code: ResultCode,
    /// Its short name.
    pub outcome: String,
    /// Version that it made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// What it did to the rows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differences: Vec<DifferenceBody>,
}

impl From<&Record> for RecordBody {
    fn from(record: &Record) -> Self {
        let command = &record.command;
        let (act, note, allow, subject) = summarise(&command.operation);
        let (version, created) = match record.outcome {
            Outcome::Accepted { version } => (Some(version), None),
            Outcome::Proposed { proposal } => (None, Some(proposal)),
            _ => (None, None),
        };
        Self {
            serial: record.serial,
            id: command.id,
            by: command.actor.name.clone(),
            role: command.actor.role,
            at_ms: command.at,
            act: act.to_owned(),
            proposal: subject.or(created),
            note: note.to_owned(),
            allow,
            code: record.outcome.code(),
            outcome: record.outcome.code().slug().to_owned(),
            version,
            differences: record
                .differences
                .iter()
                .map(DifferenceBody::from)
                .collect(),
        }
    }
}

type OperationSummary<'a> = (
    &'static str,
    &'a str,
    BTreeSet<Danger>,
    Option<ProposalNumber>,
);

fn summarise(operation: &Operation) -> OperationSummary<'_> {
    let none = BTreeSet::new();
    match operation {
        Operation::Change(change) => ("change", &change.note, change.allow.clone(), None),
        Operation::Propose { change, .. } => ("propose", &change.note, change.allow.clone(), None),
        Operation::Review { proposal, note, .. } => ("review", note, none, Some(*proposal)),
        Operation::Accept {
            proposal,
            note,
            allow,
        } => ("accept", note, allow.clone(), Some(*proposal)),
        Operation::Withdraw { proposal, note } => ("withdraw", note, none, Some(*proposal)),
        Operation::HandOver { note } => ("hand-over", note, none, None),
        Operation::RegisterReplica(_) => ("register-replica", "", none, None),
        Operation::ForgetReplica(_) => ("forget-replica", "", none, None),
    }
}

/// Answer of `GET /v1/handover`: what the next shift has to see.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverBody {
    /// Version of the table now.
    pub version: Version,
    /// The kept hand-overs, the newest first.
    pub handovers: Vec<HandOverNote>,
    /// Acts since the newest hand-over, the newest first.
    pub since: Vec<RecordBody>,
    /// Open proposals, by number.
    pub open: Vec<ProposalBody>,
}

/// The end of a shift.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverNote {
    /// Who handed over.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// What they left word of.
    pub note: String,
    /// Version of the table then.
    pub version: Version,
    /// Proposals that were open then.
    pub open: Vec<ProposalNumber>,
}

impl From<&HandOver> for HandOverNote {
    fn from(handover: &HandOver) -> Self {
        Self {
            by: handover.by.clone(),
            at_ms: handover.at,
            note: handover.note.clone(),
            version: handover.version,
            open: handover.open.clone(),
        }
    }
}
