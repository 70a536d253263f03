//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// One error in a settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// Line, from 1; 0 if the problem has no line.
    pub line: u32,
    /// Section header as written in the file; empty outside of any section.
    pub section: String,
    /// Key; empty if the problem is the section itself.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed instead.
    pub allowed: String,
    /// Suggestion: a valid word similar to the one found.
    pub close: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " found {}; allowed: {}", self.found, self.allowed)?;
        match &self.close {
            Some(close) => write!(f, "; did you mean `{close}`?"),
            None => Ok(()),
        }
    }
}

/// Why settings can't be loaded.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("can't read settings from {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is invalid.
    #[snafu(display("{}", list(problems)))]
    Invalid {
        /// All problems, sorted by line.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
