//! The table of routes and its recent changes.

use std::collections::VecDeque;
use std::sync::Arc;

use filberthead_route::{Delta, Table};

use crate::Message;

/// Number of changes kept. A process that missed more receives the complete table.
const KEPT_CHANGES: usize = 16;

/// The change from one revision to the next.
#[derive(Clone, Debug)]
struct Change {
    from: u64,
    delta: Arc<Delta>,
}

/// The table that a replica holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routes {
    revision: u64,
    version: u64,
    table: Option<Arc<Table>>,
    /// Consecutive changes, oldest first; the last one leads to `revision`.
    changes: VecDeque<Change>,
}

impl Routes {
    pub(crate) fn table(&self) -> Option<&Table> {
        self.table.as_deref()
    }

    /// Replaces the table with a newer one.
    pub(crate) fn set(&mut self, revision: u64, version: u64, table: Arc<Table>) {
        if let Some(current) = &self.table {
            let delta = Arc::new(Delta::between(current, &table));
            let from = self.revision;
            self.changes.push_back(Change { from, delta });
        }
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.revision = revision;
        self.version = version;
        self.table = Some(table);
    }

    /// The update for a process that holds revision `base`; `None` if it is up to date.
    pub(crate) fn since(&self, base: u64) -> Option<Message> {
        let table = self.table.as_ref().filter(|_| self.revision > base)?;
        let (revision, version) = (self.revision, self.version);
        Some(match self.changes_since(base, table) {
            Some(changes) => Message::RoutesChanged {
                revision,
                version,
                from: base,
                changes,
            },
            None => Message::Routes {
                revision,
                version,
                table: Arc::clone(table),
            },
        })
    }

    /// The changes since revision `base`; `None` if some are no longer kept or they aren't
    /// shorter than the table.
    fn changes_since(&self, base: u64, table: &Table) -> Option<Vec<Arc<Delta>>> {
        let first = self.changes.iter().position(|change| change.from == base)?;
        let changes = self.changes.range(first..);
        let added: usize = changes.clone().map(|change| change.delta.new_items()).sum();
        let changes = changes.map(|change| Arc::clone(&change.delta));
        (added < table.routes.len() + table.workspaces.len()).then(|| changes.collect())
    }
}
