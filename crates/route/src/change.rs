//! Versioned changes of the route table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Table;

/// A complete table and the version that its operator assigned to it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Version of the change. Operators leave gaps, and two operators may assign the same one.
    pub version: u64,
    /// The table.
    pub table: Table,
    /// The text that the operator sent, which isn't parsed here. It is returned unmodified,
    /// since an operator compares the table in force with what was sent.
    pub text: String,
}

/// The result of offering a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The change is in force.
    Accepted,
    /// A change with this version or a higher one is already in force; nothing has changed.
    Superseded,
}

/// The change in force, if there is one: the one with the highest version so far.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatestChange {
    newest: Option<Arc<Change>>,
}

impl LatestChange {
    /// Applies a change if its version is higher than that of the one in force. With equal
    /// versions the first change stays, because other processes may already use it.
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

    /// The change in force; `None` if there was no change yet.
    pub fn newest(&self) -> Option<&Arc<Change>> {
        self.newest.as_ref()
    }
}
