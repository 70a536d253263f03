//! The command line of the daemons: one settings file.

use std::error::Error;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;

/// Exit code for a command line or settings file that can't be used.
const EXIT_USAGE: u8 = 2;
/// Exit code for a process that ended by a fault.
const EXIT_FAULT: u8 = 1;

/// A failure, and whether the one who started the process can mend it.
#[derive(Debug)]
pub enum Failure {
    /// Settings or command line are wrong.
    Usage(Box<dyn Error>),
    /// The process can't run, or broke off.
    Fault(Box<dyn Error>),
}

enum Invocation {
    Run(PathBuf),
    Print(String),
}

/// Reads the command line of daemon `name` and hands its settings file to `main`.
///
/// Exits with 0 after a planned stop, 1 after a fault, 2 if settings or command line
/// can't be used; the reason stands on standard error.
pub fn run(name: &str, main: impl FnOnce(&Path) -> Result<(), Failure>) -> ExitCode {
    let result = match parse(name, std::env::args_os().skip(1)) {
        Ok(Invocation::Run(path)) => main(&path),
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            Ok(())
        }
        Err(e) => Err(Failure::Usage(e.into())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(e)) => report_error(name, e.as_ref(), EXIT_USAGE),
        Err(Failure::Fault(e)) => report_error(name, e.as_ref(), EXIT_FAULT),
    }
}

fn parse(
    name: &str,
    args: impl Iterator<Item = OsString> + 'static,
) -> Result<Invocation, lexopt::Error> {
    let usage = format!("usage: {name} SETTINGS-FILE");
    let mut parser = lexopt::Parser::from_args(args);
    let mut path = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Invocation::Print(usage)),
            Arg::Long("version") | Arg::Short('V') => {
                let version = format!("{name} {}", env!("CARGO_PKG_VERSION"));
                return Ok(Invocation::Print(version));
            }
            Arg::Value(value) if path.is_none() => path = Some(value.parse()?),
            _ => return Err(arg.unexpected()),
        }
    }
    path.map(Invocation::Run).ok_or_else(|| usage.into())
}

fn report_error(name: &str, error: &dyn Error, code: u8) -> ExitCode {
    eprintln!("{name}: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  because: {error}");
        cause = error.source();
    }
    ExitCode::from(code)
}
