//! `filberthead`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    filberthead_cli::cli::run(std::env::args_os().skip(1))
}
