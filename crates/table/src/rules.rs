//! Validation of commands that doesn't depend on the table's content.

use std::collections::BTreeSet;

use snafu::{Snafu, ensure};

use crate::{Change, Command, Operation, RowKey};

/// Maximum number of edited rows in one change.
pub const MAX_EDITS: usize = 1024;

/// Maximum number of rows in the table.
pub const MAX_ROWS: usize = 2048;

/// Maximum number of removed rows whose last revision is kept individually; see
/// [`Table::revision`](crate::Table::revision).
pub const MAX_REMOVED_ROWS: usize = 1024;

/// Maximum number of control replicas with registered addresses, including those being
/// replaced.
pub const MAX_REPLICAS: usize = 16;

/// Maximum length of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1000;

/// Maximum length of an actor's name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum number of findings in a command; further ones would add nothing new.
pub(crate) const MAX_FINDINGS: usize = 64;

/// A rule that a command breaks regardless of the table's content.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RuleError {
    /// The actor's name is empty, too long or has control characters.
    #[snafu(display("the operator's name needs 1 to {MAX_NAME_BYTES} bytes of text"))]
    InvalidName,
    /// The command has too many findings.
    #[snafu(display("more than {MAX_FINDINGS} findings"))]
    TooManyFindings,
    /// The note is too long.
    #[snafu(display("the note is longer than {MAX_NOTE_BYTES} bytes"))]
    NoteTooLong,
    /// The note has control characters, which could rewrite a terminal or a log.
    #[snafu(display("the note holds control characters"))]
    NoteHasControlChars,
    /// A hand-over has an empty note.
    #[snafu(display("a hand-over needs a note"))]
    MissingNote,
    /// The change has no edit.
    #[snafu(display("the change edits no row"))]
    NoEdits,
    /// The change has too many edits.
    #[snafu(display("the change edits more than {MAX_EDITS} rows"))]
    TooManyEdits,
    /// A row is edited more than once.
    #[snafu(display("the change edits {key} twice"))]
    DuplicateRow {
        /// The row.
        key: RowKey,
    },
}

impl Command {
    /// Checks the rules that don't depend on the table's content.
    ///
    /// The administration API calls this before it submits a command, so that invalid
    /// commands take no space in the log and the history. The table checks again when it
    /// applies the command.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the command breaks.
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
            Operation::RegisterReplica(_)
            | Operation::ForgetReplica(_)
            | Operation::ForgetEntry(_) => Ok(()),
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
