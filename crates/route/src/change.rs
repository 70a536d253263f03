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
pub enum Offered {
    /// It is in force.
    Taken,
    /// One with this number or a higher one is in force already; nothing has changed.
    Overtaken,
}

/// The change in force, if there has been any.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    newest: Option<Arc<Change>>,
}

impl Held {
    /// Takes a change if its number is higher than that of the one in force. Under an
    /// equal number the first content stays: somebody may act on it already.
    pub fn offer(&mut self, change: &Change) -> Offered {
        if self
            .newest
            .as_ref()
            .is_some_and(|held| held.version >= change.version)
        {
            return Offered::Overtaken;
        }
        self.newest = Some(Arc::new(change.clone()));
        Offered::Taken
    }

    /// The change in force.
    pub fn newest(&self) -> Option<&Arc<Change>> {
        self.newest.as_ref()
    }
}
