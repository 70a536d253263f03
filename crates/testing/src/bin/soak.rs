//! `filberthead-soak`: runs the soaks of several seeds, one after the other.
//!
//! Exits with 1 if there is any violation; the folder with logs and data of that seed is then
//! kept, and its path printed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use filberthead_testing::site::SitePrograms;
use filberthead_testing::soak::{Plan, Size, run_plan};
use lexopt::{Arg, ValueExt};

const USAGE: &str = "usage: filberthead-soak [--seed FIRST] [--seeds COUNT] [--controls N] \
[--gateways N] [--callers N] [--seconds N] [--failing-endpoints] [--show]";

struct Options {
    first: u64,
    seeds: u64,
    size: Size,
    /// Whether endpoints fail and requests are few.
    failing_endpoints: bool,
    /// Whether to print the plans instead of running them.
    show: bool,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        first: 1,
        seeds: 1,
        size: Size::default(),
        failing_endpoints: false,
        show: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => options.first = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("controls") => options.size.controls = parser.value()?.parse()?,
            Arg::Long("gateways") => options.size.gateways = parser.value()?.parse()?,
            Arg::Long("callers") => options.size.callers = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                options.size.duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("failing-endpoints") => options.failing_endpoints = true,
            Arg::Long("show") => options.show = true,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

/// The programs in the folder of the current executable.
fn programs() -> std::io::Result<SitePrograms> {
    let own = std::env::current_exe()?;
    let beside = |name: &str| -> PathBuf { own.with_file_name(name) };
    Ok(SitePrograms {
        control: beside("filberthead-control"),
        gateway: beside("filberthead-gateway"),
    })
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let programs = match programs() {
        Ok(programs) => programs,
        Err(e) => {
            eprintln!("the programs can't be found: {e}");
            return ExitCode::from(2);
        }
    };
    let mut broken = 0;
    for seed in options.first..options.first + options.seeds {
        let plan = match options.failing_endpoints {
            true => Plan::with_failing_endpoints(seed, options.size),
            false => Plan::new(seed, options.size),
        };
        if options.show {
            println!("{plan:#?}");
            continue;
        }
        let report = run_plan(programs.clone(), &plan);
        println!("{report}");
        if !report.violations.is_empty() {
            println!("  logs: {}", report.dir.display());
            broken += 1;
        }
    }
    if broken > 0 {
        println!("{broken} of {} seeds had violations", options.seeds);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
