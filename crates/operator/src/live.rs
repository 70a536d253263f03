//! Dangers that are found by comparing edits with live readings.
//!
//! The replica that receives a command finds them and adds them to the command; see
//! [`Command::findings`](filberthead_table::Command). A missing or outdated reading
//! causes no finding; the answer lists its row as unchecked.

use filberthead_table::{Danger, Edit, Finding, RowKey, RowValues};

use crate::RowReading;

/// Readings older than this are ignored.
const MAX_READING_AGE_MS: u64 = 10_000;

/// Maximum number of findings added to a command.
const MAX_FINDINGS: usize = 64;

/// Result of comparing edits with the live readings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LiveCheck {
    pub(crate) findings: Vec<Finding>,
    /// Rows, as `service/region`, without a fresh reading of every compared figure.
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
