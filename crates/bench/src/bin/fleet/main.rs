//! Measures the distribution of tables to hundreds of nodes: real control replicas as
//! processes, and nodes that each run the entry's real `filberthead-spread` step function
//! over a transport of their own.
//!
//! The rest of an entry is left out, so the figures of a node are those of control alone,
//! which is what the budget for control counts. All nodes share this process; a node's
//! processor time is that of this process divided by the number of nodes.

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
