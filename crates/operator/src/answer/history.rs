//! The history, and the hand-over to the next shift.

use std::collections::BTreeSet;

use filberthead_table::{
    Danger, Difference, HandOver, Operation, Outcome, ProposalNumber, Record, Role, RowValues,
    Timestamp,
};
use filberthead_types::{ChangeId, Region, ResultCode, ServiceName, Version};
use serde::{Deserialize, Serialize};

use super::ProposalBody;

/// Values of a row before and after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DifferenceBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Values before; `null` if there was no row.
    pub before: Option<RowValues>,
    /// Values after; `null` if the row is removed.
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

/// Answer of `GET /v1/history`, newest record first.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryBody {
    /// The requested records.
    pub records: Vec<RecordBody>,
    /// Serial number of the oldest record that is still kept; earlier ones are only in
    /// the log files of the control replicas.
    pub oldest_kept: u64,
}

/// A record of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordBody {
    /// Serial number, from 1 without gaps.
    pub serial: u64,
    /// Id of the operation.
    pub id: ChangeId,
    /// The operator who requested it.
    pub by: String,
    /// The operator's role at that time.
    pub role: Role,
    /// When the control replica received it, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// Kind of the operation: `change`, `propose`, `review`, `accept`, `withdraw`,
    /// `hand-over`, `register-replica` or `forget-replica`.
    pub act: String,
    /// The proposal that the operation refers to or has opened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proposal: Option<ProposalNumber>,
    /// The note.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// Dangers that were allowed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub allow: BTreeSet<Danger>,
    /// Number of the result code.
    pub code: ResultCode,
    /// Short name of the result code.
    pub outcome: String,
    /// Table version that it made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Changed rows.
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

/// Kind, note, allowed dangers and proposal of an operation.
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
        Operation::ForgetEntry(_) => ("forget-entry", "", none, None),
    }
}

/// Answer of `GET /v1/handover`: what the next shift needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverBody {
    /// Version of the table now.
    pub version: Version,
    /// The kept hand-overs, newest first.
    pub handovers: Vec<HandOverNote>,
    /// History records since the newest hand-over, newest first.
    pub since: Vec<RecordBody>,
    /// Open proposals, by number.
    pub open: Vec<ProposalBody>,
}

/// A hand-over at the end of a shift.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOverNote {
    /// The operator who handed over.
    pub by: String,
    /// When the control replica received it, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// Note for the next shift.
    pub note: String,
    /// Version of the table at that time.
    pub version: Version,
    /// Proposals that were open at that time.
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
