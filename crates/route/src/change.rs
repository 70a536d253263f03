//! Numbered changes of the table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Table;

/// A whole table under the number that its operator gave it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Its number. Operators leave gaps, and two of them may draw the same one.
    pub version: u64,
    /// The table.
    pub table: Table,
    /// The text that the operator sent. It is handed back as it came, since an operator
    /// compares what is in force with what was sent; nothing here reads it.
    pub text: String,
}

/// What came of a change that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force.
    Accepted,
    /// One with this number or a higher one is in force already; nothing has changed.
    Superseded,
}

/// The change in force, if there has been any.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatestChange {
    newest: Option<Arc<Change>>,
}

impl LatestChange {
    /// Takes a change if its number is higher than that of the one in force. Under an
    /// equal number the first content stays: somebody may act on it already.
    pub fn offer(&mut self, change: &Change) -> OfferResult {
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.version >= change.version)
        {
            return OfferResult::Superseded;
        }
        self.newest = Some(Arc::new(change.clone()));
        OfferResult::Accepted
    }

    /// The change in force.
    pub fn newest(&self) -> Option<&Arc<Change>> {
        self.newest.as_ref()
    }
}
