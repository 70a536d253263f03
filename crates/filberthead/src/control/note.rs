//! The note of routes and evacuations, saved for the next start.

use std::collections::BTreeSet;
use std::sync::Arc;

use filberthead_route::Change;
use filberthead_types::{FailureDomain, Moment};
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::core::Core;
use super::fleet::Fleet;
use super::input::DiskJob;

/// Routes and evacuations in force, for gateways that start together with this replica. A
/// starting replica knows its log but not how much of it is committed, and learns that only from
/// the next leader; until then gateways would have no routes. What the note holds was committed,
/// so it never has to be revoked; it may be superseded.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Note {
    /// The change that put the routes in force, and its revision.
    routes: Option<(u64, Arc<Change>)>,
    evacuated: BTreeSet<FailureDomain>,
    evacuated_revision: u64,
}

impl Fleet {
    /// Restores what was in force when this replica last ran.
    pub(crate) fn restore_note(&mut self, now: Moment, encoded: Option<&[u8]>) {
        let Some(encoded) = encoded else {
            return;
        };
        let note: Note = match postcard::from_bytes(encoded) {
            Ok(note) => note,
            Err(e) => {
                // Another version of the program wrote it; the log holds all that is needed.
                warn!(error:% = e; "can't decode the note of routes and evacuations");
                return;
            }
        };
        // No gateway has reported yet, so nothing is to be sent.
        if let Some((revision, change)) = note.routes {
            info!(version = change.version, revision; "routes were in force before the start");
            let table = Arc::new(change.table.clone());
            self.registry
                .set_routes(now, revision, change.version, table);
        }
        self.registry
            .set_evacuated(now, note.evacuated_revision, &note.evacuated);
    }
}

impl Core {
    /// Queues the note for the disk duty. It is dropped if the queue is full: the disk is far
    /// behind then, and the next change writes a new note.
    pub(super) fn save_note(&mut self) {
        let routes = self.machine.routes.newest().cloned();
        let note = Note {
            routes: routes.map(|change| (self.machine.routes_revision, change)),
            evacuated: self.machine.evacuated.clone(),
            evacuated_revision: self.machine.evacuated_revision,
        };
        match postcard::to_stdvec(&note) {
            Ok(encoded) => {
                let _ = self.disk.push(DiskJob::WriteNote(encoded));
            }
            Err(e) => warn!(error:% = e; "can't encode the note of routes and evacuations"),
        }
    }
}
