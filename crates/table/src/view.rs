//! The part of the table that is sent to the nodes that steer by it, and deltas of it.
//!
//! A [`ViewDelta`] contains every row that differs between two versions, with its state
//! at the later one; a removed row is contained as `None`, so that a node that missed
//! the removal drops the row. A delta applies to the earlier version only: it doesn't
//! contain a row that was both added and removed in between, so a node at an
//! intermediate version would keep that row.

use std::collections::BTreeMap;

use filberthead_types::Version;
use serde::{Deserialize, Serialize};

use crate::{Row, RowKey};

/// The rows of the table at one version, without history, proposals and hand-overs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// Version of the table.
    pub version: Version,
    /// The rows.
    pub rows: BTreeMap<RowKey, Row>,
}

impl View {
    /// The delta from this view to a newer one.
    pub fn delta_to(&self, newer: &Self) -> ViewDelta {
        let set = newer
            .rows
            .iter()
            .filter(|(key, row)| self.rows.get(key) != Some(row))
            .map(|(key, row)| (key.clone(), Some(*row)));
        let removed = self
            .rows
            .keys()
            .filter(|key| !newer.rows.contains_key(key))
            .map(|key| (key.clone(), None));
        ViewDelta {
            from: self.version,
            to: newer.version,
            rows: set.chain(removed).collect(),
        }
    }

    /// The view with the delta applied, or `None` if the delta starts at another version.
    pub fn patched(&self, delta: &ViewDelta) -> Option<Self> {
        if delta.from != self.version {
            return None;
        }
        let mut view = self.clone();
        view.version = delta.to;
        for (key, row) in &delta.rows {
            match row {
                Some(row) => view.rows.insert(key.clone(), *row),
                None => view.rows.remove(key),
            };
        }
        Some(view)
    }
}

/// Every row that differs between version `from` and version `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewDelta {
    /// The earlier version.
    pub from: Version,
    /// The later version.
    pub to: Version,
    /// The rows at version `to`; `None` for a removed one.
    pub rows: BTreeMap<RowKey, Option<Row>>,
}

impl ViewDelta {
    /// Merges the delta that starts where this one ends.
    pub fn extend(&mut self, next: &Self) {
        self.to = next.to;
        let rows = next.rows.iter().map(|(key, row)| (key.clone(), *row));
        self.rows.extend(rows);
    }
}
