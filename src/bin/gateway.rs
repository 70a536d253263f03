//! `filberthead-gateway FILE`: forwards callers' requests along routes.

use std::path::Path;
use std::process::ExitCode;

use filberthead::gateway;
use filberthead_adapter::protocol::protocol_names;
use filberthead_cli::daemon::{self, Failure};
use filberthead_settings::GatewaySettings;

const NAME: &str = "filberthead-gateway";

fn main() -> ExitCode {
    daemon::run(NAME, serve)
}

fn serve(path: &Path) -> Result<(), Failure> {
    let cfg = GatewaySettings::load(path).map_err(|e| Failure::Usage(e.into()))?;
    // Dropping the guard flushes queued log lines.
    let _log = filberthead_observe::init_logging(&cfg.log, cfg.node.as_str())
        .map_err(|e| Failure::Fault(e.into()))?;
    let path = path.to_owned();
    let seeds = move || match GatewaySettings::load(&path) {
        Ok(cfg) => cfg.seeds,
        Err(e) => {
            log::warn!(error:% = e; "failed to reload the settings file");
            Vec::new()
        }
    };
    gateway::run(&cfg, protocol_names(), seeds).map_err(|e| Failure::Fault(e.into()))
}
