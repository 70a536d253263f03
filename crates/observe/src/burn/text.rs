//! The report as plain text.

use std::fmt::Write as _;
use std::time::{Duration, UNIX_EPOCH};

use super::measure::{Measure, WindowBurn, percent};
use super::report::minutes_of;
use super::{Report, Scope, WINDOW_NAMES, WINDOWS};

/// Text of the region column for all regions together.
const ALL_REGIONS: &str = "all";

/// The report as plain text, with a table of one row for each measure of a service in a
/// region.
pub fn text(report: &Report) -> String {
    let mut page = String::new();
    // Writing to a `String` can't fail.
    let _ = writeln!(page, "{}", title(report));
    for line in notes(report) {
        let _ = writeln!(page, "{line}");
    }
    let rows: Vec<_> = report.scopes.iter().flat_map(rows).collect();
    if !rows.is_empty() {
        page.push('\n');
        page.push_str(&table(&rows));
    }
    page
}

pub(super) fn title(report: &Report) -> String {
    let now = UNIX_EPOCH + Duration::from_secs(report.now);
    let now = humantime::format_rfc3339_seconds(now);
    format!("Service-level burn of {} at {now}", report.cluster)
}

/// Lines above the table: how complete the samples are, and what is missing.
pub(super) fn notes(report: &Report) -> Vec<String> {
    let mut notes = vec![coverage(report)];
    if report.scopes.is_empty() {
        notes.push("No objective is set: see [objective SERVICE] in the settings.".to_owned());
    }
    if !report.without_objective.is_empty() {
        let names: Vec<_> = report
            .without_objective
            .iter()
            .map(|s| s.as_str())
            .collect();
        notes.push(format!("Without an objective: {}.", names.join(", ")));
    }
    notes.extend(report.source.damage.iter().cloned());
    notes
}

fn coverage(report: &Report) -> String {
    let windows = WINDOWS.iter().zip(WINDOW_NAMES).zip(&report.source.minutes);
    let parts: Vec<_> = windows
        .map(|((seconds, name), sampled)| {
            format!("{sampled} of {} in {name}", minutes_of(*seconds))
        })
        .collect();
    format!(
        "Minutes with samples: {}; at most {} entries reported on one.",
        parts.join(", "),
        report.source.entries
    )
}

pub(super) fn header() -> Vec<String> {
    let first = ["service", "region", "measure", "objective", "budget left"];
    let windows = WINDOW_NAMES.iter().map(|name| format!("burn {name}"));
    first
        .iter()
        .map(|s| (*s).to_owned())
        .chain(windows)
        .collect()
}

pub(super) fn rows(scope: &Scope) -> Vec<Vec<String>> {
    scope
        .measures
        .iter()
        .map(|measure| row(scope, measure))
        .collect()
}

fn row(scope: &Scope, measure: &Measure) -> Vec<String> {
    let first = [
        scope.service.to_string(),
        region(scope).to_owned(),
        measure.kind.as_str().to_owned(),
        measure.objective.clone(),
        budget(measure),
    ];
    first
        .into_iter()
        .chain(measure.windows.iter().map(burn))
        .collect()
}

pub(super) fn region(scope: &Scope) -> &str {
    scope
        .region
        .as_ref()
        .map_or(ALL_REGIONS, |region| region.as_str())
}

fn budget(measure: &Measure) -> String {
    measure.budget_left.map_or("-".to_owned(), |left| {
        percent((left * 1000.0).round() / 1000.0)
    })
}

fn burn(window: &WindowBurn) -> String {
    window
        .burn
        .map_or("-".to_owned(), |burn| format!("{burn:.2}"))
}

fn table(rows: &[Vec<String>]) -> String {
    let header = header();
    let all = || std::iter::once(&header).chain(rows);
    let widths: Vec<_> = (0..header.len())
        .map(|column| {
            all()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    let mut page = String::new();
    for row in all() {
        let cells = row.iter().zip(&widths);
        let line: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        let _ = writeln!(page, "{}", line.join("  ").trim_end());
    }
    page
}
