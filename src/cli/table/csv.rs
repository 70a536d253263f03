//! `filberthead table export` and `diff`, and the edits in an exported CSV file, the sheet.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use filberthead_operator::{
    ConflictBody, DifferenceBody, EditBody, ProposalBody, RemovedBody, RowBody, TableBody,
};
use filberthead_table::{
    CsvAction, CsvRow, MAX_CSV_BYTES, Row, RowKey, RowValues, read_csv, write_csv,
};
use filberthead_types::Revision;
use serde::Serialize;

use super::{parse_number, proposal};
use crate::cli::args::Args;
use crate::cli::error::{CliError, Exit, Result};
use crate::cli::session::Session;
use crate::cli::text;

pub(super) async fn export(session: &Session, mut args: Args) -> Result<Exit> {
    let out = args.option("out")?;
    args.finish()?;
    let table: TableBody = session.get_from_leader("/v1/table").await?;
    if session.json() {
        session.show(&table, String::new);
        return Ok(Exit::Done);
    }
    match out {
        None => write_table(&table, io::stdout().lock())?,
        Some(path) => {
            let file = File::create_new(&path)
                .map_err(|e| CliError::fault(format!("can't write {path}: {e}")))?;
            write_table(&table, file)?;
            eprintln!("version {} written to {path}", table.version);
        }
    }
    Ok(Exit::Done)
}

fn write_table(table: &TableBody, target: impl Write) -> Result<()> {
    let rows: Vec<_> = table.rows.iter().map(keyed_row).collect();
    let rows = rows.iter().map(|(key, row)| (key, *row));
    write_csv(rows, target).map_err(|e| {
        let cause = std::error::Error::source(&e).map(ToString::to_string);
        CliError::fault(format!("{e}: {}", cause.unwrap_or_default()))
    })
}

fn keyed_row(row: &RowBody) -> (RowKey, Row) {
    let stored = Row {
        values: row.values(),
        revision: row.revision,
    };
    (row.key(), stored)
}

/// Reads a CSV file and returns the edits in it, without the lines that weren't edited.
pub(super) fn read_edits(path: &str, table: &TableBody) -> Result<Vec<EditBody>> {
    let rows = read_rows(path)?;
    Ok(rows.iter().filter_map(|row| to_edit(row, table)).collect())
}

fn read_rows(path: &str) -> Result<Vec<CsvRow>> {
    let unreadable = |e: io::Error| CliError::usage(format!("can't read the sheet {path}: {e}"));
    let size = Path::new(path).metadata().map_err(unreadable)?.len();
    if size > MAX_CSV_BYTES as u64 {
        let message = format!("the sheet {path} is over {MAX_CSV_BYTES} bytes");
        return Err(CliError::usage(message));
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    read_csv(&text).map_err(|error| CliError::Csv {
        file: path.to_owned(),
        error,
    })
}

fn to_edit(row: &CsvRow, table: &TableBody) -> Option<EditBody> {
    let set = match row.action {
        CsvAction::Remove => None,
        CsvAction::Set(values) if is_unedited(row, values, table) => return None,
        CsvAction::Set(values) => Some(values),
    };
    Some(EditBody {
        service: row.key.service.clone(),
        region: row.key.region.clone(),
        revision: expected_revision(row, table),
        set,
        remove: set.is_none(),
    })
}

/// Whether a line is still as it was exported. Without the column `was`, a line that differs
/// from the table counts as edited: that may cause a conflict, but loses no edit.
fn is_unedited(row: &CsvRow, values: RowValues, table: &TableBody) -> bool {
    match row.was {
        Some(was) => was == values,
        None => table
            .row(&row.key)
            .is_some_and(|now| now.values() == values),
    }
}

/// The row's revision on which the edit is based. A line that the operator added is based on
/// no row; if one exists by now, revision 0 makes the edit a conflict.
fn expected_revision(row: &CsvRow, table: &TableBody) -> Revision {
    match row.revision {
        Some(revision) if revision != Revision::default() => revision,
        _ if table.row(&row.key).is_some() => Revision::default(),
        _ => table.revision(&row.key),
    }
}

/// The changes that a CSV file would make to the rows in force.
#[derive(Serialize)]
struct CsvDifference {
    version: filberthead_types::Version,
    differences: Vec<DifferenceBody>,
    conflicts: Vec<ConflictBody>,
}

pub(super) async fn diff(session: &Session, mut args: Args) -> Result<Exit> {
    let target = args.positional("a sheet's file or a proposal's number")?;
    args.finish()?;
    if target.bytes().all(|b| b.is_ascii_digit()) && !Path::new(&target).exists() {
        let number = parse_number(&target)?;
        let body: ProposalBody = session
            .get_from_leader(&format!("/v1/proposals/{number}"))
            .await?;
        session.show(&body, || proposal::render(&body));
        return Ok(Exit::Done);
    }
    let table: TableBody = session.get_from_leader("/v1/table").await?;
    let edits = read_edits(&target, &table)?;
    let document = CsvDifference {
        version: table.version,
        differences: edits.iter().map(|edit| difference(edit, &table)).collect(),
        conflicts: edits
            .iter()
            .filter_map(|edit| conflict(edit, &table))
            .collect(),
    };
    let exit = if document.conflicts.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    };
    session.show(&document, || render(&document));
    Ok(exit)
}

fn key(edit: &EditBody) -> RowKey {
    RowKey {
        service: edit.service.clone(),
        region: edit.region.clone(),
    }
}

fn difference(edit: &EditBody, table: &TableBody) -> DifferenceBody {
    DifferenceBody {
        service: edit.service.clone(),
        region: edit.region.clone(),
        before: table.row(&key(edit)).map(RowBody::values),
        after: edit.set,
    }
}

fn conflict(edit: &EditBody, table: &TableBody) -> Option<ConflictBody> {
    let key = key(edit);
    let revision = table.revision(&key);
    if revision == edit.revision {
        return None;
    }
    let row = table.row(&key);
    let removed =
        |removed: &&RemovedBody| removed.service == key.service && removed.region == key.region;
    let removed = table.removed.iter().find(removed);
    let by = row.and_then(|row| row.changed_by.clone());
    let at = row.and_then(|row| row.changed_at_ms);
    Some(ConflictBody {
        service: edit.service.clone(),
        region: edit.region.clone(),
        seen: edit.revision,
        wanted: edit.set,
        current: row.map(RowBody::values),
        revision,
        changed_by: by.or_else(|| removed.map(|removed| removed.changed_by.clone())),
        changed_at_ms: at.or_else(|| removed.map(|removed| removed.changed_at_ms)),
    })
}

fn render(document: &CsvDifference) -> String {
    let mut lines = vec![format!("against table version {}", document.version)];
    lines.extend(document.differences.iter().map(text::difference));
    if document.differences.is_empty() {
        lines.push("no line of the sheet is edited".to_owned());
    }
    lines.extend(proposal::conflict_lines(&document.conflicts));
    lines.join("\n") + "\n"
}
