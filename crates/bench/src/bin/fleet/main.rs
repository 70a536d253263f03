//! Measures spreading at the size it is meant for: real control replicas as processes,
//! and hundreds of nodes that each run the entry's real spreading step function over a
//! transport of their own.
//!
//! What it leaves out is the rest of an entry, so its figures for a node are those of
//! control alone, which is what the budget for control counts. All nodes share this
//! process; a node's processor time is this process's time divided by the nodes.

mod args;
mod control;
mod figures;
mod nodes;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = match args::parse() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("fleet: {e}");
            return ExitCode::from(2);
        }
    };
    run::run(&options);
    ExitCode::SUCCESS
}
