//! The replicated table of weights and limits, a row for each service and region,
//! with the proposals, reviews and hand-overs that operators make around it.
//!
//! The table is a deterministic state machine: [`Table::apply`] gives every replica
//! the same state and the same [`Outcome`] for the same log. It reads no clock and no
//! settings; whatever a replica knows beyond the log (time, live readings) travels
//! inside the [`Command`]. Three invariants carry the operators' promises:
//!
//! - an edit names the revision of the row that its author saw, so of two racing
//!   edits the first in the log wins and the other gets a conflict;
//! - each command has an id, and recent ids are kept with their outcomes, so that a
//!   resend gets its first outcome back and never takes effect twice;
//! - the revision of a row never goes down, not even when the row is removed and made
//!   again, so that a resend older than the kept outcomes fails on its revision.
//!
//! All that operators can fill has a bound, stated beside it, such that the whole
//! state stays below the longest message between control replicas.

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
