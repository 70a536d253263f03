//! Command-line options.

use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;

const USAGE: &str = "usage: fleet --programs FOLDER [--nodes N] [--domains N] [--replicas N] \
                     [--rows N] [--changes N] [--gap-ms N] [--idle-s N] [--consensus KEY=VALUE]... [--prefix TEXT]";

/// What to measure.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Folder that contains `filberthead-control`.
    pub(crate) programs: PathBuf,
    pub(crate) nodes: usize,
    pub(crate) domains: usize,
    pub(crate) replicas: usize,
    /// Rows of the table.
    pub(crate) rows: usize,
    /// Number of changes, each to one row.
    pub(crate) changes: usize,
    /// Time from the start of a change to that of the next.
    pub(crate) gap: Duration,
    /// How long to measure without changes.
    pub(crate) idle: Duration,
    /// Lines for the section `[consensus]` in each replica's settings.
    pub(crate) consensus: Vec<String>,
    /// Prefix of each figure's name.
    pub(crate) prefix: String,
}

pub(crate) fn parse() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        programs: PathBuf::new(),
        nodes: 11,
        domains: 6,
        replicas: 3,
        rows: 9,
        changes: 100,
        gap: Duration::from_millis(100),
        idle: Duration::from_secs(10),
        consensus: Vec::new(),
        prefix: String::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("programs") => options.programs = parser.value()?.into(),
            Long("nodes") => options.nodes = parser.value()?.parse()?,
            Long("domains") => options.domains = parser.value()?.parse()?,
            Long("replicas") => options.replicas = parser.value()?.parse()?,
            Long("rows") => options.rows = parser.value()?.parse()?,
            Long("changes") => options.changes = parser.value()?.parse()?,
            Long("gap-ms") => options.gap = Duration::from_millis(parser.value()?.parse()?),
            Long("idle-s") => options.idle = Duration::from_secs(parser.value()?.parse()?),
            Long("consensus") => options.consensus.push(parser.value()?.string()?),
            Long("prefix") => options.prefix = parser.value()?.string()?,
            Long("help") => return Err(USAGE.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    if options.programs.as_os_str().is_empty() || options.nodes == 0 || options.domains == 0 {
        return Err(USAGE.into());
    }
    Ok(options)
}
