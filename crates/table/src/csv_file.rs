//! The table as a CSV file that can be edited in any spreadsheet.
//!
//! An export has two columns that are not for editing: `revision`, which detects
//! conflicts even after hours of editing, and `was`, the values at the time of the
//! export, so that only rows that the operator edited become edits, even if other rows
//! have changed in the meantime. A row that is missing from the file stays unchanged,
//! because a filtered or truncated file must not remove rows. To remove a row, set
//! `action` to `remove`.

use std::collections::BTreeMap;
use std::io;

use csv::{ReaderBuilder, StringRecord, Writer};
use filberthead_types::{Region, Revision, ServiceName};
use snafu::{ResultExt, Snafu};

use crate::{Objective, Row, RowKey, RowValues};

/// The columns in the order of an export. A file that is read may have them in any order.
const COLUMNS: [&str; 9] = [
    "service",
    "region",
    "weight",
    "limit",
    "shift_cap",
    "objective",
    "revision",
    "was",
    "action",
];

/// Number of leading entries of [`COLUMNS`] that a file must have.
const REQUIRED_COLUMNS: usize = 6;

const REMOVE_ACTION: &str = "remove";

/// Maximum size of a file that is read, in bytes.
pub const MAX_CSV_BYTES: usize = 8 << 20;

/// The requested state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CsvAction {
    /// Set the row to these values.
    Set(RowValues),
    /// Remove the row.
    Remove,
}

/// A parsed line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CsvRow {
    /// Line number in the file, from 1.
    pub line: u64,
    /// The row.
    pub key: RowKey,
    /// The requested state of the row.
    pub action: CsvAction,
    /// Revision at the export; `None` for a line that the operator added.
    pub revision: Option<Revision>,
    /// Values at the export; `None` if the column is missing or the cell is empty.
    pub was: Option<RowValues>,
}

/// All faults of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{} lines of the sheet can't be read", faults.len()))]
pub struct CsvError {
    /// Line number, from 1, and the fault of the line.
    pub faults: Vec<(u64, String)>,
}

/// Writing a CSV file failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum CsvWriteError {
    /// A line can't be written.
    #[snafu(display("can't write the sheet"))]
    Line {
        /// Error of the CSV writer.
        source: csv::Error,
    },
    /// The last lines can't be written.
    #[snafu(display("can't write the end of the sheet"))]
    End {
        /// Error of the target.
        source: io::Error,
    },
}

/// Writes rows as CSV.
///
/// # Errors
///
/// Fails if writing to the target fails.
pub fn write_csv<'a>(
    rows: impl IntoIterator<Item = (&'a RowKey, Row)>,
    target: impl io::Write,
) -> Result<(), CsvWriteError> {
    let mut writer = Writer::from_writer(target);
    writer.write_record(COLUMNS).context(LineSnafu)?;
    for (key, row) in rows {
        let values = row.values;
        let fields = [
            key.service.to_string(),
            key.region.to_string(),
            values.weight.to_string(),
            values.limit.to_string(),
            values.shift_cap.to_string(),
            values.objective.to_string(),
            row.revision.to_string(),
            format_was(&values),
            String::new(),
        ];
        writer.write_record(fields).context(LineSnafu)?;
    }
    writer.flush().context(EndSnafu)
}

// Separated by spaces, so that a spreadsheet treats the value as text; it would read
// `40/3` as a date.
fn format_was(values: &RowValues) -> String {
    let RowValues {
        weight,
        limit,
        shift_cap,
        objective,
    } = values;
    format!("{weight} {limit} {shift_cap} {objective}")
}

fn parse_was(text: &str) -> Option<RowValues> {
    let words: Vec<_> = text.split_whitespace().collect();
    let [weight, limit, shift_cap, objective] = *words.as_slice() else {
        return None;
    };
    Some(RowValues {
        weight: weight.parse().ok()?,
        limit: limit.parse().ok()?,
        shift_cap: shift_cap.parse().ok()?,
        objective: objective.parse().ok()?,
    })
}

/// Parses a CSV file. The separator (comma, semicolon or tab) is detected from the first
/// line, because spreadsheets choose it by the user's locale.
///
/// # Errors
///
/// Returns the faults of all lines, so that they can be corrected at once.
pub fn read_csv(text: &str) -> Result<Vec<CsvRow>, CsvError> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let first = text.lines().next().unwrap_or_default();
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter(first))
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = reader.headers().cloned().unwrap_or_default();
    let columns = Columns::find(&header).map_err(|faults| CsvError { faults })?;
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    let mut line_of_row = BTreeMap::new();
    for record in reader.records() {
        match record {
            Ok(record) => match columns.parse(&record) {
                Ok(None) => {}
                Ok(Some(row)) => {
                    if let Some(first) = line_of_row.insert(row.key.clone(), row.line) {
                        let fault = format!("{} is already on line {first}", row.key);
                        faults.push((row.line, fault));
                    }
                    rows.push(row);
                }
                Err(row_faults) => faults.extend(row_faults),
            },
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                faults.push((line, "is not valid UTF-8".to_owned()));
            }
        }
    }
    if faults.is_empty() {
        Ok(rows)
    } else {
        Err(CsvError { faults })
    }
}

fn delimiter(first_line: &str) -> u8 {
    let count = |delimiter: char| first_line.matches(delimiter).count();
    [';', '\t']
        .into_iter()
        .find(|delimiter| count(*delimiter) > count(','))
        .map_or(b',', |delimiter| delimiter as u8)
}

/// Position in the file of each of [`COLUMNS`]; `None` for a missing one.
struct Columns([Option<usize>; COLUMNS.len()]);

impl Columns {
    fn find(header: &StringRecord) -> Result<Self, Vec<(u64, String)>> {
        let mut positions = [None; COLUMNS.len()];
        let mut faults = Vec::new();
        for (position, name) in header.iter().enumerate() {
            match COLUMNS.iter().position(|column| *column == name) {
                Some(column) if positions[column].is_some() => {
                    faults.push((1, format!("the column `{name}` appears twice")));
                }
                Some(column) => positions[column] = Some(position),
                // A spreadsheet may leave empty columns at the end.
                None if name.is_empty() => {}
                None => faults.push((1, format!("unknown column `{name}`"))),
            }
        }
        for (column, position) in COLUMNS.iter().zip(&positions).take(REQUIRED_COLUMNS) {
            if position.is_none() {
                faults.push((1, format!("the column `{column}` is missing")));
            }
        }
        if faults.is_empty() {
            Ok(Self(positions))
        } else {
            Err(faults)
        }
    }

    fn cell<'a>(&self, record: &'a StringRecord, column: usize) -> &'a str {
        self.0[column]
            .and_then(|position| record.get(position))
            .unwrap_or_default()
    }

    /// `None` for an empty line.
    fn parse(&self, record: &StringRecord) -> Result<Option<CsvRow>, Vec<(u64, String)>> {
        if record.iter().all(str::is_empty) {
            return Ok(None);
        }
        let line = record.position().map_or(0, csv::Position::line);
        let mut reader = FieldReader {
            columns: self,
            record,
            line,
            faults: Vec::new(),
        };
        let row = reader.row();
        match row {
            Some(row) if reader.faults.is_empty() => Ok(Some(row)),
            _ => Err(reader.faults),
        }
    }
}

/// Parses the fields of one line and collects their faults.
struct FieldReader<'a> {
    columns: &'a Columns,
    record: &'a StringRecord,
    line: u64,
    faults: Vec<(u64, String)>,
}

impl FieldReader<'_> {
    // Every field is read before any is used, so that all faults of a line are reported.
    fn row(&mut self) -> Option<CsvRow> {
        let service = self.read::<ServiceName>(0);
        let region = self.read::<Region>(1);
        let weight = self.read::<u32>(2);
        let limit = self.read::<u32>(3);
        let shift_cap = self.read::<u32>(4);
        let objective = self.read::<Objective>(5);
        let revision = self.revision();
        let was = self.was();
        let remove = self.is_removal();
        let key = RowKey {
            service: service?,
            region: region?,
        };
        let values = RowValues {
            weight: weight?,
            limit: limit?,
            shift_cap: shift_cap?,
            objective: objective?,
        };
        Some(CsvRow {
            line: self.line,
            key,
            action: if remove {
                CsvAction::Remove
            } else {
                CsvAction::Set(values)
            },
            revision,
            was,
        })
    }

    fn text(&self, column: usize) -> &str {
        self.columns.cell(self.record, column)
    }

    fn add_fault(&mut self, fault: String) {
        self.faults.push((self.line, fault));
    }

    fn read<T: std::str::FromStr<Err: std::fmt::Display>>(&mut self, column: usize) -> Option<T> {
        match self.text(column).parse() {
            Ok(value) => Some(value),
            Err(e) => {
                let text = self.text(column);
                let fault = format!("`{}` is `{text}`: {e}", COLUMNS[column]);
                self.add_fault(fault);
                None
            }
        }
    }

    fn revision(&mut self) -> Option<Revision> {
        match self.text(6) {
            "" => None,
            _ => self.read::<u64>(6).map(Revision),
        }
    }

    fn was(&mut self) -> Option<RowValues> {
        let text = self.text(7);
        if text.is_empty() {
            return None;
        }
        let was = parse_was(text);
        if was.is_none() {
            let fault = format!("`was` is `{text}`: it is not for editing");
            self.add_fault(fault);
        }
        was
    }

    fn is_removal(&mut self) -> bool {
        match self.text(8) {
            "" => false,
            REMOVE_ACTION => {
                if self.text(6).is_empty() {
                    self.add_fault("a row without a revision can't be removed".to_owned());
                }
                true
            }
            text => {
                let fault = format!("`action` is `{text}`: it may be `{REMOVE_ACTION}` or empty");
                self.add_fault(fault);
                false
            }
        }
    }
}
