//! Edits of rows, as operators send them.

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
    /// Revision that the author saw, as [`Table::revision`](crate::Table::revision)
    /// gives it; 0 for a row that never was.
    pub expected_revision: Revision,
    /// New values, or `None` to remove the row.
    pub set: Option<RowValues>,
}

/// Edits that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Why, for colleagues.
    pub note: String,
    /// The edited rows, each at most once.
    pub edits: Vec<Edit>,
    /// Dangers that the author has weighed and takes.
    pub allow: BTreeSet<Danger>,
}

/// An edit that met another revision than it had seen: both sides of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    /// The row.
    pub key: RowKey,
    /// Revision that the edit saw.
    pub expected_revision: Revision,
    /// What the edit would have set; `None` to remove the row.
    pub wanted: Option<RowValues>,
    /// The row as it stands, or `None` if there is none.
    pub current: Option<Row>,
    /// Revision to name in a new edit, after a look at the other side.
    pub revision: Revision,
    /// Whose change stands, and when it was accepted; `None` for a row never touched.
    pub origin: Option<Origin>,
}

/// Who last touched a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// Version of that change.
    pub revision: Revision,
    /// Its author; for an accepted proposal, who accepted it.
    pub by: String,
    /// When its sender's control replica took it in.
    pub at: Timestamp,
}

/// What an accepted change did to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// The row.
    pub key: RowKey,
    /// Before; `None` if there was none.
    pub before: Option<Row>,
    /// After; `None` if it was removed.
    pub after: Option<RowValues>,
}
