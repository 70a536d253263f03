//! Dangers that show only against what runs at the moment.
//!
//! They are found here, by the replica that takes a command in, and travel inside it;
//! see [`Command::findings`](filberthead_table::Command). A reading that is missing or
//! old means unknown: it raises no finding, and the answer names the row as unchecked.

use filberthead_table::{Danger, Edit, Finding, RowKey, RowValues};

use crate::RowReading;

/// A reading older than this says nothing about now.
const MAX_READING_AGE_MS: u64 = 10_000;

/// Most findings that travel with a command.
const MAX_FINDINGS: usize = 64;

/// What the live readings say about some edits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LiveCheck {
    pub(crate) findings: Vec<Finding>,
    /// Rows without a fresh reading of all that they are compared with.
    pub(crate) unchecked: Vec<String>,
}

pub(crate) fn check(readings: &[RowReading], edits: &[Edit]) -> LiveCheck {
    let mut check = LiveCheck::default();
    for edit in edits {
        let Some(values) = edit.set else { continue };
        let reading = fresh_reading(readings, &edit.key);
        if let Some(reading) = reading {
            find_dangers(&edit.key, &values, reading, &mut check.findings);
        }
        if !reading.is_some_and(is_complete) {
            check.unchecked.push(edit.key.to_string());
        }
    }
    check.findings.truncate(MAX_FINDINGS);
    check
}

fn fresh_reading<'a>(readings: &'a [RowReading], key: &RowKey) -> Option<&'a RowReading> {
    readings
        .iter()
        .find(|reading| reading.service == key.service && reading.region == key.region)
        .filter(|reading| reading.age_ms <= MAX_READING_AGE_MS)
}

fn is_complete(reading: &RowReading) -> bool {
    reading.running.is_some() && reading.shifted.is_some() && reading.slots.is_some()
}

fn find_dangers(
    key: &RowKey,
    values: &RowValues,
    reading: &RowReading,
    findings: &mut Vec<Finding>,
) {
    let mut add = |danger, reason| {
        findings.push(Finding {
            danger,
            subject: key.to_string(),
            reason,
        });
    };
    let limit = u64::from(values.limit);
    let cap = u64::from(values.shift_cap);
    if let Some(running) = reading.running.filter(|running| limit < *running) {
        let reason = format!("the limit {limit} of {key} is below the {running} in progress");
        add(Danger::CapBelowRunning, reason);
    }
    if let Some(shifted) = reading.shifted.filter(|shifted| cap < *shifted) {
        let reason = format!("the shift cap {cap} of {key} is below the {shifted} shifted there");
        add(Danger::CapBelowRunning, reason);
    }
    if let Some(slots) = reading.slots.filter(|slots| limit > *slots) {
        let reason = format!("the limit {limit} of {key} is above its {slots} slots");
        add(Danger::LimitAboveSlots, reason);
    }
}
