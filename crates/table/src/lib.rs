//! The replicated table of weights and limits, a row for each service and region,
//! with the proposals, reviews and shift hand-overs of the operators.
//!
//! The table is a deterministic state machine: [`Table::apply`] gives every replica
//! the same state and the same [`Outcome`] for the same log. It reads no clock and no
//! settings; input from outside the log (time, live readings) is part of the
//! [`Command`]. Three invariants make concurrent edits and resends safe:
//!
//! - an edit names the revision of the row that its author read, so of two concurrent
//!   edits the first in the log is applied and the other gets a conflict;
//! - each command has an id, which serves as its idempotency key: recent ids are kept
//!   with their outcomes, so that a resend gets the first outcome and is never applied
//!   twice;
//! - the revision of a row never decreases, not even when the row is removed and
//!   created again, so that a resend whose outcome is no longer kept gets a conflict.
//!
//! Everything that operators can add to is bounded, so that the encoded state stays
//! below the longest message between control replicas.

mod command;
mod csv_file;
mod danger;
mod edit;
mod handover;
mod history;
mod proposal;
mod row;
mod rules;
mod state;
mod view;

pub use command::{
    Actor, Command, Operation, Outcome, ProposalNumber, ReplicaInfo, Role, RoleError, Timestamp,
    Verdict,
};
pub use csv_file::{
    CsvAction, CsvError, CsvRow, CsvWriteError, MAX_CSV_BYTES, read_csv, write_csv,
};
pub use danger::{Danger, DangerError, Finding};
pub use edit::{Change, Conflict, Difference, Edit, Origin};
pub use handover::{HandOver, MAX_HAND_OVERS};
pub use history::{MAX_HISTORY_BYTES, MAX_HISTORY_RECORDS, Record};
pub use proposal::{
    MAX_CLOSED_PROPOSALS, MAX_OPEN_EDITS, MAX_OPEN_PROPOSALS, MAX_REVIEWS, Proposal, ProposalState,
    Review,
};
pub use row::{Objective, ObjectiveError, Row, RowKey, RowValues};
pub use rules::{
    MAX_EDITS, MAX_NAME_BYTES, MAX_NOTE_BYTES, MAX_REMOVED_ROWS, MAX_REPLICAS, MAX_ROWS, RuleError,
};
pub use state::Table;
pub use view::{View, ViewDelta};
