//! The daemons' command line, which takes one settings file.

use std::error::Error;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;

/// Exit code for a command line or settings file that can't be used.
const EXIT_USAGE: u8 = 2;
/// Exit code for a process that failed to start or failed while running.
const EXIT_FAULT: u8 = 1;

/// Why a daemon ended; decides its exit code.
#[derive(Debug)]
pub enum Failure {
    /// The command line or the settings file can't be used.
    Usage(Box<dyn Error>),
    /// The process failed to start or failed while running.
    Fault(Box<dyn Error>),
}

enum Invocation {
    Run(PathBuf),
    Print(String),
}

/// Parses the command line of daemon `name` and calls `main` with the path of its settings
/// file.
///
/// The exit code is 0 after a planned stop, 1 after a fault, 2 if the settings or the command
/// line can't be used. The reason is printed to standard error.
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
