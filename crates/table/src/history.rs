//! History of applied commands: answers resends, and is shown to operators.

use std::collections::VecDeque;
use std::mem::size_of;

use serde::{Deserialize, Serialize};

use crate::{Command, Difference, Operation, Outcome};

/// Maximum number of kept records. At 1,300 changes a day this is more than three days.
pub const MAX_HISTORY_RECORDS: usize = 4096;

/// Maximum total size of the kept records in bytes, by an estimate that is above the
/// encoded size. With large changes, old records are dropped sooner.
pub const MAX_HISTORY_BYTES: usize = 5 << 18;

/// A processed command with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Serial number, from 1 without gaps.
    pub serial: u64,
    /// The command.
    pub command: Command,
    /// Its outcome.
    pub outcome: Outcome,
    /// Changed rows; empty unless the outcome is `Accepted`.
    pub differences: Vec<Difference>,
}

impl Record {
    /// Upper bound of the encoded size in bytes.
    fn estimated_bytes(&self) -> usize {
        const HEADER: usize = 80;
        let text = self.command.actor.name.len() + operation_bytes(&self.command.operation);
        let findings: usize = self.command.findings.iter().map(finding_bytes).sum();
        let differences: usize = self.differences.iter().map(|d| row_bytes(&d.key)).sum();
        HEADER + text + findings + differences + outcome_bytes(&self.outcome)
    }
}

fn row_bytes(key: &crate::RowKey) -> usize {
    const VALUES: usize = 48;
    key.service.as_str().len() + key.region.as_str().len() + VALUES
}

fn finding_bytes(finding: &crate::Finding) -> usize {
    size_of::<crate::Finding>() + finding.subject.len() + finding.reason.len()
}

fn operation_bytes(operation: &Operation) -> usize {
    match operation {
        Operation::Change(change) | Operation::Propose { change, .. } => {
            let edits: usize = change.edits.iter().map(|edit| row_bytes(&edit.key)).sum();
            change.note.len() + edits
        }
        Operation::Review { note, .. }
        | Operation::Accept { note, .. }
        | Operation::Withdraw { note, .. }
        | Operation::HandOver { note } => note.len(),
        Operation::RegisterReplica(info) => {
            info.name.as_str().len() + size_of::<crate::ReplicaInfo>()
        }
        Operation::ForgetReplica(_) => 0,
        Operation::ForgetEntry(name) => name.as_str().len(),
    }
}

fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Conflict { conflicts } => conflicts
            .iter()
            .map(|c| 2 * row_bytes(&c.key) + c.origin.as_ref().map_or(0, |o| o.by.len()))
            .sum(),
        Outcome::Invalid { reason } | Outcome::ProposalUnknown { reason, .. } => reason.len(),
        Outcome::Dangerous { findings } => findings.iter().map(finding_bytes).sum(),
        Outcome::ReviewMissing { rejected_by } => {
            rejected_by.iter().map(|name| name.len() + 8).sum()
        }
        Outcome::Accepted { .. }
        | Outcome::Proposed { .. }
        | Outcome::Recorded
        | Outcome::OwnReview
        | Outcome::TooManyProposals
        | Outcome::IdReused => 0,
    }
}

/// The kept records, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct History {
    records: VecDeque<Record>,
    serial: u64,
    bytes: usize,
}

impl History {
    /// The record of a command with the same id, if it is still kept.
    pub(crate) fn find(&self, command: &Command) -> Option<&Record> {
        let same = |record: &&Record| record.command.id == command.id;
        self.records.iter().rev().find(same)
    }

    pub(crate) fn push(
        &mut self,
        command: &Command,
        outcome: &Outcome,
        differences: Vec<Difference>,
    ) {
        self.serial += 1;
        let record = Record {
            serial: self.serial,
            command: command.clone(),
            outcome: outcome.clone(),
            differences,
        };
        self.bytes += record.estimated_bytes();
        self.records.push_back(record);
        while self.exceeds_bound() {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.bytes -= oldest.estimated_bytes();
        }
    }

    // The newest record is kept regardless of its size, because its sender may be about
    // to resend the command.
    fn exceeds_bound(&self) -> bool {
        let len = self.records.len();
        len > 1 && (len > MAX_HISTORY_RECORDS || self.bytes > MAX_HISTORY_BYTES)
    }

    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Record> + ExactSizeIterator {
        self.records.iter()
    }
}
