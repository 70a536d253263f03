//! The table of routes, and how it has changed lately.

use std::collections::VecDeque;
use std::sync::Arc;

use filberthead_route::{Delta, Table};

use crate::Message;

/// Changes that are kept. Who was away for longer gets the whole table.
const KEPT_CHANGES: usize = 16;

/// What made one revision of another.
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
    /// Without a gap, up to what is held.
    changes: VecDeque<Change>,
}

impl Routes {
    pub(crate) fn table(&self) -> Option<&Table> {
        self.table.as_deref()
    }

    /// Takes in a newer table.
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

    /// What somebody lacks who holds revision `have`.
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

    /// The changes since a revision, if they are known and shorter than the table.
    fn changes_since(&self, base: u64, table: &Table) -> Option<Vec<Arc<Delta>>> {
        let first = self.changes.iter().position(|change| change.from == base)?;
        let changes = self.changes.range(first..);
        let added: usize = changes
            .clone()
            .map(|change| change.delta.new_routes())
            .sum();
        let changes = changes.map(|change| Arc::clone(&change.delta));
        (added < table.routes.len()).then(|| changes.collect())
    }
}
