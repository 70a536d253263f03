//! Edits of rows, and the conflicts that they can cause.

use std::collections::BTreeSet;

use filberthead_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Danger, Row, RowKey, RowValues, Timestamp};

/// One edited row of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Edit {
    /// The row.
    pub key: RowKey,
    /// Revision that the author read, as returned by
    /// [`Table::revision`](crate::Table::revision). The edit conflicts if the row has
    /// another one.
    pub expected_revision: Revision,
    /// New values, or `None` to remove the row.
    pub set: Option<RowValues>,
}

/// Edits that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Reason of the change, for other operators.
    pub note: String,
    /// The edited rows, each at most once.
    pub edits: Vec<Edit>,
    /// Dangers that the author allows explicitly.
    pub allow: BTreeSet<Danger>,
}

/// An edit whose expected revision isn't the row's current one, with both versions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    /// The row.
    pub key: RowKey,
    /// Revision that the edit expected.
    pub expected_revision: Revision,
    /// What the edit would have set; `None` to remove the row.
    pub wanted: Option<RowValues>,
    /// The row in the table, or `None` if there is none.
    pub current: Option<Row>,
    /// Revision that a new edit has to expect.
    pub revision: Revision,
    /// Last change of the row; `None` if none is kept.
    pub origin: Option<Origin>,
}

/// The last change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// Table version that it made.
    pub revision: Revision,
    /// Its author; for an accepted proposal, the operator who accepted it.
    pub by: String,
    /// When the control replica received the command.
    pub at: Timestamp,
}

/// A row before and after an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// The row.
    pub key: RowKey,
    /// The row before; `None` if there was none.
    pub before: Option<Row>,
    /// The values after; `None` if the row was removed.
    pub after: Option<RowValues>,
}
