//! The operators' command line.
//!
//! All changes go through the administration API, which decides whether an act takes effect.
//! [`filberthead_operator::Client`] finds the leading replica and resends an act whose answer
//! was lost.

mod args;
mod check;
mod control;
mod error;
mod explain;
mod help;
mod key;
mod report;
mod session;
mod status;
mod table;
mod text;
mod token;
mod workspaces;

use std::ffi::OsString;
use std::process::ExitCode;

use args::Args;
pub use error::Exit;
use error::{CliError, Result};
use session::Session;

/// Runs the command line and returns its exit code; see [`Exit`].
pub fn run(words: impl IntoIterator<Item = OsString> + 'static) -> ExitCode {
    let mut args = match Args::parse(words) {
        Ok(args) => args,
        Err(e) => return error::report_error(&e, false).into(),
    };
    let json = args.flag("json");
    match dispatch(args, json) {
        Ok(exit) => exit.into(),
        Err(e) => error::report_error(&e, json).into(),
    }
}

fn dispatch(mut args: Args, json: bool) -> Result<Exit> {
    if args.flag("version") {
        text::print(&format!("filberthead {}\n", env!("CARGO_PKG_VERSION")));
        return Ok(Exit::Done);
    }
    if args.flag("help") {
        return help::run(&mut args);
    }
    match args
        .positional("a command; see `filberthead help`")?
        .as_str()
    {
        "help" => help::run(&mut args),
        "check" => check::run(args, json),
        "explain" => explain::run(args, json),
        "key" => key::run(args, json),
        "token" => token::run(args, json),
        "report" => report(args, json),
        command @ ("table" | "status" | "control" | "workspaces") => remote(command, args, json),
        other => Err(args::unknown_name("command", other, help::COMMANDS)),
    }
}

/// Builds the report locally if a settings file is named, else fetches it from control
/// replicas.
fn report(mut args: Args, json: bool) -> Result<Exit> {
    match args.optional_positional() {
        Some(file) => report::from_settings_file(args, json, &file),
        None => remote("report", args, json),
    }
}

/// Runs a command that calls control replicas.
fn remote(command: &str, mut args: Args, json: bool) -> Result<Exit> {
    let session = Session::from_args(&mut args, json)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::fault(format!("can't start the runtime: {e}")))?;
    runtime.block_on(async {
        match command {
            "table" => table::run(&session, args).await,
            "status" => status::run(&session, args).await,
            "workspaces" => workspaces::run(&session, args).await,
            "report" => report::from_replicas(&session, args).await,
            _ => control::run(&session, args).await,
        }
    })
}
