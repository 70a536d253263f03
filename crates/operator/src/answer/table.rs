//! The table.

use filberthead_table::{Objective, RowKey, RowValues, Table, Timestamp};
use filberthead_types::{Region, Revision, ServiceName, Version};
use serde::{Deserialize, Serialize};

/// Answer of `GET /v1/table`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableBody {
    /// Number of accepted changes.
    pub version: Version,
    /// The rows, by service and region.
    pub rows: Vec<RowBody>,
    /// Removed rows whose revision is still kept.
    pub removed: Vec<RemovedBody>,
    /// Revision that an edit of a row in neither list has to expect.
    pub absent_revision: Revision,
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Share of the service's traffic, relative to the sum of the service's weights.
    pub weight: u32,
    /// Maximum number of requests in progress.
    pub limit: u32,
    /// Maximum number of requests in progress that a shift may add.
    pub shift_cap: u32,
    /// `latency` or `headroom`.
    pub objective: Objective,
    /// Revision that an edit has to expect.
    pub revision: Revision,
    /// The operator who changed it last.
    pub changed_by: Option<String>,
    /// Time of that change, in milliseconds since 1970.
    pub changed_at_ms: Option<Timestamp>,
}

impl RowBody {
    /// Service and region of the row.
    pub fn key(&self) -> RowKey {
        RowKey {
            service: self.service.clone(),
            region: self.region.clone(),
        }
    }

    /// The row's values.
    pub fn values(&self) -> RowValues {
        RowValues {
            weight: self.weight,
            limit: self.limit,
            shift_cap: self.shift_cap,
            objective: self.objective,
        }
    }
}

/// A removed row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RemovedBody {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Revision that an edit has to expect to create it again.
    pub revision: Revision,
    /// The operator who removed it.
    pub changed_by: String,
    /// Time of the removal, in milliseconds since 1970.
    pub changed_at_ms: Timestamp,
}

impl TableBody {
    /// The body for a table.
    pub fn new(table: &Table) -> Self {
        let row = |(key, row): (&RowKey, &filberthead_table::Row)| {
            let origin = table.origin(key);
            RowBody {
                service: key.service.clone(),
                region: key.region.clone(),
                weight: row.values.weight,
                limit: row.values.limit,
                shift_cap: row.values.shift_cap,
                objective: row.values.objective,
                revision: row.revision,
                changed_by: origin.map(|origin| origin.by.clone()),
                changed_at_ms: origin.map(|origin| origin.at),
            }
        };
        let removed = table.removed().map(|(key, origin)| RemovedBody {
            service: key.service.clone(),
            region: key.region.clone(),
            revision: origin.revision,
            changed_by: origin.by.clone(),
            changed_at_ms: origin.at,
        });
        Self {
            version: table.version(),
            rows: table.rows().iter().map(row).collect(),
            removed: removed.collect(),
            absent_revision: table.absent_revision(),
        }
    }

    /// The row with this key, if there is one.
    pub fn row(&self, key: &RowKey) -> Option<&RowBody> {
        let named = |row: &&RowBody| row.service == key.service && row.region == key.region;
        self.rows.iter().find(named)
    }

    /// Revision that an edit of this row has to expect.
    pub fn revision(&self, key: &RowKey) -> Revision {
        let named = |row: &&RemovedBody| row.service == key.service && row.region == key.region;
        let removed = || self.removed.iter().find(named).map(|row| row.revision);
        let present = self.row(key).map(|row| row.revision);
        present.or_else(removed).unwrap_or(self.absent_revision)
    }
}
