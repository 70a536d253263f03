//! `filberthead table export` and `diff`, and the edits of a sheet.

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

use super::{number, proposal};
use crate::cli::args::Args;
use crate::cli::error::{CliError, Exit, Result};
use crate::cli::session::Session;
use crate::cli::text;

pub(super) async fn export(session: &Session, mut args: Args) -> Result<Exit> {
    let out = args.one("out")?;
    args.finish()?;
    let table: TableBody = session.look("/v1/table").await?;
    if session.json() {
        session.show(&table, String::new);
        return Ok(Exit::Done);
    }
    match out {
        None => write(&table, io::stdout().lock())?,
        Some(path) => {
            let file = File::create_new(&path)
                .map_err(|e| CliError::fault(format!("can't write {path}: {e}")))?;
            write(&table, file)?;
            eprintln!("version {} written to {path}", table.version);
        }
    }
    Ok(Exit::Done)
}

fn write(table: &TableBody, target: impl Write) -> Result<()> {
    let rows: Vec<_> = table.rows.iter().map(keyed).collect();
    let rows = rows.iter().map(|(key, row)| (key, *row));
    write_csv(rows, target).map_err(|e| {
        let cause = std::error::Error::source(&e).map(ToString::to_string);
        CliError::fault(format!("{e}: {}", cause.unwrap_or_default()))
    })
}

fn keyed(row: &RowBody) -> (RowKey, Row) {
    let stored = Row {
        values: row.values(),
        revision: row.revision,
    };
    (row.key(), stored)
}

/// Reads a sheet and says which of its lines are edits.
pub(super) fn edits(path: &str, table: &TableBody) -> Result<Vec<EditBody>> {
    let rows = read(path)?;
    Ok(rows.iter().filter_map(|row| edit(row, table)).collect())
}

fn read(path: &str) -> Result<Vec<CsvRow>> {
    let unreadable = |e: io::Error| CliError::usage(format!("can't read the sheet {path}: {e}"));
    let size = Path::new(path).metadata().map_err(unreadable)?.len();
    if size > MAX_CSV_BYTES as u64 {
        let message = format!("the sheet {path} is over {MAX_CSV_BYTES} bytes");
        return Err(CliError::usage(message));
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    read_csv(&text).map_err(|error| CliError::Sheet {
        file: path.to_owned(),
        error,
    })
}

fn edit(row: &CsvRow, table: &TableBody) -> Option<EditBody> {
    let set = match row.action {
        CsvAction::Remove => None,
        CsvAction::Set(values) if is_untouched(row, values, table) => return None,
        CsvAction::Set(values) => Some(values),
    };
    Some(EditBody {
        service: row.key.service.clone(),
        region: row.key.region.clone(),
        revision: seen(row, table),
        set,
        remove: set.is_none(),
    })
}

/// Whether the operator left this line as it was exported. Without the column `was`,
/// a line that differs from the table counts as edited: it may then end as a conflict,
/// but no edit is lost.
fn is_untouched(row: &CsvRow, values: RowValues, table: &TableBody) -> bool {
    match row.was {
        Some(was) => was == values,
        None => table
            .row(&row.key)
            .is_some_and(|now| now.values() == values),
    }
}

/// The revision that the operator saw. A line that they added saw no row; if there is
/// one by now, revision 0 makes that a conflict.
fn seen(row: &CsvRow, table: &TableBody) -> Revision {
    match row.revision {
        Some(revision) if revision != Revision::default() => revision,
        _ if table.row(&row.key).is_some() => Revision::default(),
        _ => table.revision(&row.key),
    }
}

/// What a sheet would do to the rows in force.
#[derive(Serialize)]
struct SheetDifference {
    version: filberthead_types::Version,
    differences: Vec<DifferenceBody>,
    conflicts: Vec<ConflictBody>,
}

pub(super) async fn diff(session: &Session, mut args: Args) -> Result<Exit> {
    let word = args.word("a sheet's file or a proposal's number")?;
    args.finish()?;
    if word.bytes().all(|b| b.is_ascii_digit()) && !Path::new(&word).exists() {
        let number = number(&word)?;
        let body: ProposalBody = session.look(&format!("/v1/proposals/{number}")).await?;
        session.show(&body, || proposal::page(&body));
        return Ok(Exit::Done);
    }
    let table: TableBody = session.look("/v1/table").await?;
    let edits = edits(&word, &table)?;
    let document = SheetDifference {
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
    session.show(&document, || page(&document));
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
    let gone = |gone: &&RemovedBody| gone.service == key.service && gone.region == key.region;
    let gone = table.removed.iter().find(gone);
    let by = row.and_then(|row| row.changed_by.clone());
    let at = row.and_then(|row| row.changed_at_ms);
    Some(ConflictBody {
        service: edit.service.clone(),
        region: edit.region.clone(),
        seen: edit.revision,
        wanted: edit.set,
        current: row.map(RowBody::values),
        revision,
        changed_by: by.or_else(|| gone.map(|gone| gone.changed_by.clone())),
        changed_at_ms: at.or_else(|| gone.map(|gone| gone.changed_at_ms)),
    })
}

fn page(document: &SheetDifference) -> String {
    let mut lines = vec![format!("against table version {}", document.version)];
    lines.extend(document.differences.iter().map(text::difference));
    if document.differences.is_empty() {
        lines.push("no line of the sheet is edited".to_owned());
    }
    lines.extend(proposal::conflict_lines(&document.conflicts));
    lines.join("\n") + "\n"
}
