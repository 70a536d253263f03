//! `filberthead-control FILE`: a control replica.

use std::path::Path;
use std::process::ExitCode;

use filberthead::control;
use filberthead_cli::daemon::{self, Failure};
use filberthead_settings::ControlSettings;

const NAME: &str = "filberthead-control";

fn main() -> ExitCode {
    daemon::run(NAME, serve)
}

fn serve(path: &Path) -> Result<(), Failure> {
    let cfg = ControlSettings::load(path).map_err(|e| Failure::Usage(e.into()))?;
    // Dropping the guard flushes queued log lines.
    let _log = filberthead_observe::init_logging(&cfg.log, cfg.node.as_str())
        .map_err(|e| Failure::Fault(e.into()))?;
    let path = path.to_owned();
    let seeds = move || match ControlSettings::load(&path) {
        Ok(cfg) => cfg.group.map_or(Vec::new(), |group| group.seeds),
        Err(e) => {
            log::warn!(error:% = e; "failed to reload the settings file");
            Vec::new()
        }
    };
    let adapters = filberthead_adapter::adapters(&cfg).map_err(|e| Failure::Fault(e.into()))?;
    control::run(&cfg, adapters, seeds).map_err(|e| Failure::Fault(e.into()))
}
