//! Proposals, compared with the current table.

use std::collections::BTreeSet;

use filberthead_table::{
    Danger, Finding, Proposal, ProposalNumber, ProposalState, Table, Timestamp, Verdict,
};
use filberthead_types::{ChangeId, Version};
use serde::{Deserialize, Serialize};

use super::{ConflictBody, DifferenceBody};
use crate::EditBody;

/// Answer of `GET /v1/proposals`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProposalsBody {
    /// Open proposals, by number.
    pub open: Vec<ProposalBody>,
    /// The last closed ones, newest first.
    pub closed: Vec<ProposalBody>,
}

/// A proposal, compared with the current table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProposalBody {
    /// Its number.
    pub number: ProposalNumber,
    /// Id of the operation that opened it.
    pub id: ChangeId,
    /// The operator who proposed it.
    pub author: String,
    /// When the control replica received it, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// The author's reason.
    pub note: String,
    /// The edits; none once it is closed.
    pub edits: Vec<EditBody>,
    /// Values in the current table and after acceptance, one for each edit.
    pub differences: Vec<DifferenceBody>,
    /// Dangers that its author allowed.
    pub allow: BTreeSet<Danger>,
    /// Dangers that follow from the rows alone, without live readings.
    pub findings: Vec<Finding>,
    /// Rows that have changed since; while there are any it can't be accepted.
    pub conflicts: Vec<ConflictBody>,
    /// The reviews.
    pub reviews: Vec<ReviewView>,
    /// Whether the reviews let it be accepted.
    pub approved: bool,
    /// `open`, or how it was closed.
    pub state: String,
    /// Table version that its acceptance made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// A review of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReviewView {
    /// The reviewer.
    pub by: String,
    /// When the control replica received it, in milliseconds since 1970.
    pub at_ms: Timestamp,
    /// `approve` or `reject`.
    pub verdict: Verdict,
    /// The reviewer's reason; empty once the proposal is closed.
    pub note: String,
}

impl ProposalBody {
    /// Compares the proposal with the table.
    pub fn new(table: &Table, proposal: &Proposal) -> Self {
        let edits = &proposal.change.edits;
        let difference = |edit: &filberthead_table::Edit| DifferenceBody {
            service: edit.key.service.clone(),
            region: edit.key.region.clone(),
            before: table.rows().get(&edit.key).map(|row| row.values),
            after: edit.set,
        };
        let review = |review: &filberthead_table::Review| ReviewView {
            by: review.by.clone(),
            at_ms: review.at,
            verdict: review.verdict,
            note: review.note.clone(),
        };
        let version = match proposal.state {
            ProposalState::Accepted { version, .. } => Some(version),
            _ => None,
        };
        let conflicts = table.conflicts(edits);
        Self {
            number: proposal.number,
            id: proposal.id,
            author: proposal.author.clone(),
            at_ms: proposal.at,
            note: proposal.change.note.clone(),
            edits: edits.iter().map(EditBody::from).collect(),
            differences: edits.iter().map(difference).collect(),
            allow: proposal.change.allow.clone(),
            findings: table.dangers(edits),
            conflicts: conflicts.iter().map(ConflictBody::from).collect(),
            reviews: proposal.reviews.iter().map(review).collect(),
            approved: proposal.is_approved(),
            state: proposal.state.describe(),
            version,
        }
    }
}
