//! Formats output for operators.

use std::io::{self, Write};
use std::time::{Duration, UNIX_EPOCH};

use filberthead_operator::{DifferenceBody, RecordBody};
use filberthead_table::{RowValues, Timestamp};

/// Writes to standard output. Errors are ignored, as the reader may have closed the pipe
/// (`| head`).
pub(super) fn print(text: &str) {
    let _ = io::stdout().lock().write_all(text.as_bytes());
}

/// Formats a time in UTC.
pub(super) fn time(at: Timestamp) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(at.0));
    time.map_or_else(
        || "an invalid time".to_owned(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}

/// Formats the values of a row in one line.
pub(super) fn values(values: &RowValues) -> String {
    let RowValues {
        weight,
        limit,
        shift_cap,
        objective,
    } = values;
    format!("weight {weight}, limit {limit}, shift cap {shift_cap}, {objective}")
}

/// Formats the values of a row; `none` stands for a missing row.
pub(super) fn values_or(row: Option<&RowValues>, none: &str) -> String {
    row.map_or_else(|| none.to_owned(), values)
}

/// Formats the change of a row, with only the values that differ.
pub(super) fn difference(difference: &DifferenceBody) -> String {
    let key = format!("{}/{}", difference.service, difference.region);
    match (&difference.before, &difference.after) {
        (None, None) => format!("  {key}: no row, before and after"),
        (None, Some(after)) => format!("+ {key}: {}", values(after)),
        (Some(before), None) => format!("- {key}: was {}", values(before)),
        (Some(before), Some(after)) if before == after => format!("  {key}: as it stands"),
        (Some(before), Some(after)) => format!("~ {key}: {}", changed(before, after)),
    }
}

fn changed(before: &RowValues, after: &RowValues) -> String {
    let mut parts = Vec::new();
    let mut number = |name, from: u32, to: u32| {
        if from != to {
            parts.push(format!("{name} {from} -> {to}"));
        }
    };
    number("weight", before.weight, after.weight);
    number("limit", before.limit, after.limit);
    number("shift cap", before.shift_cap, after.shift_cap);
    if before.objective != after.objective {
        parts.push(format!("{} -> {}", before.objective, after.objective));
    }
    parts.join(", ")
}

/// Formats a record of the history in a few lines.
pub(super) fn record(record: &RecordBody) -> String {
    let about = record
        .proposal
        .map_or_else(String::new, |number| format!(" of proposal {number}"));
    let version = record
        .version
        .map_or_else(String::new, |version| format!(", version {version}"));
    let mut lines = vec![format!(
        "{} {} {} ({}): {}{about}: {}{version}",
        record.serial,
        time(record.at_ms),
        record.by,
        record.role,
        record.act,
        record.outcome,
    )];
    if !record.note.is_empty() {
        lines.push(indent(&record.note));
    }
    for danger in &record.allow {
        lines.push(format!("    allowed: {danger}"));
    }
    let differences = record.differences.iter();
    lines.extend(differences.map(|d| format!("    {}", difference(d))));
    lines.join("\n")
}

/// Indents every line of a text by four spaces.
pub(super) fn indent(text: &str) -> String {
    let lines: Vec<_> = text.lines().map(|line| format!("    {line}")).collect();
    lines.join("\n")
}

/// Formats lines of cells as columns, each as wide as its widest cell.
pub(super) fn columns(lines: &[Vec<String>]) -> String {
    let count = lines.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..count).map(width).collect();
    let mut out = String::new();
    for line in lines {
        let cells: Vec<_> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}
