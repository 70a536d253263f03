//! Compares the outcomes that operators received with the final table and its history.
//!
//! This is the invariant of every failure test of the control plane: no change reported as
//! accepted is lost, reverted or applied twice, and no change reported as refused takes
//! effect.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use filberthead_operator::{RecordBody, TableBody};
use filberthead_table::{RowKey, RowValues};
use filberthead_types::{ChangeId, ResultCode, Version};

use crate::operator::{Attempt, Operator};

/// Outcomes of changes as a test's operators received them; clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct ChangeOutcomes {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    accepted: BTreeMap<ChangeId, Version>,
    refused: BTreeMap<ChangeId, ResultCode>,
    violations: Vec<String>,
}

impl ChangeOutcomes {
    /// Records the outcome of an attempt to make a change. A later outcome that contradicts an
    /// earlier one is recorded as a violation.
    pub fn record(&self, id: ChangeId, attempt: &Attempt) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        match attempt {
            Attempt::Accepted(version) => shared.record_accepted(id, *version),
            Attempt::Refused(answer) => shared.record_refused(id, answer.code),
            Attempt::NotRun | Attempt::Unknown => {}
        }
    }

    /// Number of changes that were reported as accepted.
    pub fn accepted(&self) -> usize {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.accepted.len()
    }

    /// The highest version that was reported; 0 if none was.
    pub fn newest_version(&self) -> Version {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.accepted.values().max().copied().unwrap_or_default()
    }

    /// Reads the table and its history and checks all recorded outcomes against them.
    ///
    /// # Panics
    ///
    /// Panics with every violation found.
    #[track_caller]
    pub fn check(&self, operator: &Operator) {
        // The table is read first: a change accepted between the two reads is then only in
        // the history, which `violations` allows.
        let table = operator.table();
        let violations = self.violations(&table, &operator.history());
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }

    /// All violations, given a table and a history that reaches at least to its version.
    pub fn violations(&self, table: &TableBody, history: &[RecordBody]) -> Vec<String> {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let mut violations = shared.violations.clone();
        let accepted: Vec<_> = history.iter().filter(|r| r.version.is_some()).collect();
        violations.extend(check_versions(&accepted, table.version));
        violations.extend(shared.check_accepted(&accepted));
        violations.extend(shared.check_refused(&accepted));
        violations.extend(check_rows(table, &accepted));
        violations
    }
}

impl Shared {
    fn record_accepted(&mut self, id: ChangeId, version: Version) {
        if let Some(code) = self.refused.get(&id) {
            let text = format!("change {id}: reported {code}, then accepted as {version}");
            self.violations.push(text);
        }
        let first = *self.accepted.entry(id).or_insert(version);
        if first != version {
            let text = format!("change {id}: reported accepted as {first}, then as {version}");
            self.violations.push(text);
        }
    }

    fn record_refused(&mut self, id: ChangeId, code: ResultCode) {
        if let Some(version) = self.accepted.get(&id) {
            let text = format!("change {id}: reported accepted as {version}, then {code}");
            self.violations.push(text);
        }
        self.refused.insert(id, code);
    }

    fn check_accepted(&self, accepted: &[&RecordBody]) -> Vec<String> {
        let mut violations = Vec::new();
        for (id, version) in &self.accepted {
            let records = accepted.iter().filter(|record| record.id == *id);
            let versions: Vec<_> = records.filter_map(|record| record.version).collect();
            if versions != [*version] {
                violations.push(format!(
                    "change {id}: reported accepted as {version}, in the history as {versions:?}"
                ));
            }
        }
        violations
    }

    fn check_refused(&self, accepted: &[&RecordBody]) -> Vec<String> {
        let was_accepted = |id: &ChangeId| accepted.iter().any(|record| record.id == *id);
        let contradicted = self.refused.iter().filter(|(id, _)| was_accepted(id));
        contradicted
            .map(|(id, code)| format!("change {id}: reported {code}, yet it was accepted"))
            .collect()
    }
}

/// Checks that the accepted records have the versions 1, 2, 3 and so on without a gap, at least
/// up to the table's, and that no change was applied twice.
fn check_versions(accepted: &[&RecordBody], newest: Version) -> Vec<String> {
    let mut violations = Vec::new();
    let versions = accepted.iter().filter_map(|record| record.version);
    for (index, version) in versions.enumerate() {
        if version.0 != index as u64 + 1 {
            violations.push(format!(
                "version {version} is accepted record number {}",
                index + 1
            ));
        }
    }
    if (accepted.len() as u64) < newest.0 {
        let count = accepted.len();
        violations.push(format!("version {newest} with {count} accepted changes"));
    }
    let mut ids = BTreeMap::new();
    for record in accepted {
        if let Some(first) = ids.insert(record.id, record.serial) {
            let (id, second) = (record.id, record.serial);
            violations.push(format!("change {id} applied at {first} and {second}"));
        }
    }
    violations
}

/// Checks that applying the accepted changes up to the table's version to an empty table
/// gives its rows.
fn check_rows(table: &TableBody, accepted: &[&RecordBody]) -> Vec<String> {
    let mut rows: BTreeMap<RowKey, RowValues> = BTreeMap::new();
    let applied = accepted.iter().filter(|r| r.version <= Some(table.version));
    for difference in applied.flat_map(|record| &record.differences) {
        let key = RowKey {
            service: difference.service.clone(),
            region: difference.region.clone(),
        };
        match difference.after {
            Some(values) => rows.insert(key, values),
            None => rows.remove(&key),
        };
    }
    let shown: BTreeMap<_, _> = table.rows.iter().map(|r| (r.key(), r.values())).collect();
    if shown == rows {
        return Vec::new();
    }
    vec![format!("rows {shown:?}, from the history {rows:?}")]
}
