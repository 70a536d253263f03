//! Rules that an act has to keep before anything else is looked at.

use std::collections::BTreeSet;

use snafu::{Snafu, ensure};

use crate::{Change, Command, Operation, RowKey};

/// Most edited rows in one change.
pub const MAX_EDITS: usize = 1024;

/// Most rows in the table.
pub const MAX_ROWS: usize = 2048;

/// Removed rows whose last revision is kept one by one; see
/// [`Table::revision`](crate::Table::revision).
pub const MAX_REMOVED_ROWS: usize = 1024;

/// Most control replicas with known addresses, those being replaced included.
pub const MAX_REPLICAS: usize = 16;

/// Longest note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1000;

/// Longest name of an actor, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Most findings that a command carries; more would say nothing new.
pub(crate) const MAX_FINDINGS: usize = 64;

/// A rule that a command breaks by itself, whatever the table holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RuleError {
    /// Nobody, or a name that can't be shown.
    #[snafu(display("the operator's name needs 1 to {MAX_NAME_BYTES} bytes of text"))]
    InvalidName,
    /// More findings than say anything new.
    #[snafu(display("more than {MAX_FINDINGS} findings"))]
    TooManyFindings,
    /// The note is too long.
    #[snafu(display("the note is longer than {MAX_NOTE_BYTES} bytes"))]
    NoteTooLong,
    /// The note could rewrite a terminal or a log.
    #[snafu(display("the note holds control characters"))]
    NoteHasControlChars,
    /// A hand-over says nothing.
    #[snafu(display("a hand-over needs a note"))]
    MissingNote,
    /// The change has no edit.
    #[snafu(display("the change edits no row"))]
    NoEdits,
    /// The change has too many edits.
    #[snafu(display("the change edits more than {MAX_EDITS} rows"))]
    TooManyEdits,
    /// A row is edited twice.
    #[snafu(display("the change edits {key} twice"))]
    DuplicateRow {
        /// The row.
        key: RowKey,
    },
}

impl Command {
    /// Checks the rules that a command has to keep whatever the table holds.
    ///
    /// The table checks them again. Whoever takes commands in checks them first, so that
    /// what can't be accepted takes no room in the log and the history.
    ///
    /// # Errors
    ///
    /// Names the first rule that it breaks.
    pub fn check(&self) -> Result<(), RuleError> {
        check_actor(&self.actor.name)?;
        ensure!(self.findings.len() <= MAX_FINDINGS, TooManyFindingsSnafu);
        match &self.operation {
            Operation::Change(change) | Operation::Propose { change, .. } => check_change(change),
            Operation::Review { note, .. }
            | Operation::Accept { note, .. }
            | Operation::Withdraw { note, .. } => check_note(note),
            Operation::HandOver { note } => {
                ensure!(!note.trim().is_empty(), MissingNoteSnafu);
                check_note(note)
            }
            Operation::RegisterReplica(_) | Operation::ForgetReplica(_) => Ok(()),
        }
    }
}

fn check_actor(name: &str) -> Result<(), RuleError> {
    let is_short = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    ensure!(
        is_short && !name.chars().any(char::is_control),
        InvalidNameSnafu
    );
    Ok(())
}

fn check_note(note: &str) -> Result<(), RuleError> {
    ensure!(note.len() <= MAX_NOTE_BYTES, NoteTooLongSnafu);
    let is_plain = |c: char| !c.is_control() || c == '\n';
    ensure!(note.chars().all(is_plain), NoteHasControlCharsSnafu);
    Ok(())
}

fn check_change(change: &Change) -> Result<(), RuleError> {
    check_note(&change.note)?;
    ensure!(!change.edits.is_empty(), NoEditsSnafu);
    ensure!(change.edits.len() <= MAX_EDITS, TooManyEditsSnafu);
    let mut keys = BTreeSet::new();
    for edit in &change.edits {
        let key = &edit.key;
        ensure!(keys.insert(key), DuplicateRowSnafu { key: key.clone() });
    }
    Ok(())
}
