//! The record of a run, and its verdict.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Exit status of a run in which the rule was broken.
const BROKEN: u8 = 1;
/// Exit status of a run that couldn't show anything.
const NOT_RUN: u8 = 2;

/// What a run has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, in this way.
    Broken(String),
    /// The case couldn't run, for this reason.
    NotRun(String),
}

/// Writes what was sent, answered and run, with the seconds since the start of the run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or empties it.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written.
    pub fn create(path: &PathBuf) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about a moment that may have passed.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The verdict doesn't depend on the file.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// Whether the run has its disruption: `TROUBLE=0` leaves it out.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case, with the path of its record as the only argument, and returns the exit status of its verdict.
pub fn run_case(case: impl FnOnce(&Record) -> Verdict) -> ExitCode {
    let Some(path) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("usage: CASE RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("the record can't be written: {e}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let verdict = case(&record);
    // The case has ended its processes.
    if let Some(path) = std::env::var_os("PIDS") {
        let _ = std::fs::remove_file(path);
    }
    record.line(&format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken(_) => ExitCode::from(BROKEN),
        Verdict::NotRun(_) => ExitCode::from(NOT_RUN),
    }
}
