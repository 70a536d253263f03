//! `filberthead-entry FILE`: answers look-ups and forwards requests.

use std::path::Path;
use std::process::ExitCode;

use filberthead::entry;
use filberthead_cli::daemon::{self, Failure};
use filberthead_settings::EntrySettings;

const NAME: &str = "filberthead-entry";

fn main() -> ExitCode {
    daemon::run(NAME, serve)
}

fn serve(path: &Path) -> Result<(), Failure> {
    let cfg = EntrySettings::load(path).map_err(|e| Failure::Usage(e.into()))?;
    // Dropping the guard flushes queued log lines.
    let _log = filberthead_observe::init_logging(&cfg.log, cfg.node.as_str())
        .map_err(|e| Failure::Fault(e.into()))?;
    entry::run(cfg).map_err(|e| Failure::Fault(e.into()))
}
