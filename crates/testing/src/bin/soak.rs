//! `filberthead-soak`: runs the soaks of several seeds, one after the other.
//!
//! Exits with 1 if there is any violation; the folder with logs and data of that seed is then
//! kept, and its path printed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use filberthead_testing::site::SitePrograms;
use filberthead_testing::soak::deployed::{
    ALL_TROUBLES, DeployedPlan, Deployment, SoakPrograms, TroubleKind, run_deployed,
};
use filberthead_testing::soak::{Plan, Size, run_plan};
use lexopt::{Arg, ValueExt};

const USAGE: &str = "usage: filberthead-soak [--seed FIRST] [--seeds COUNT] [--controls N] \
[--gateways N] [--callers N] [--seconds N] [--failing-endpoints] [--deployment FILE] \
[--faults KIND,...|evacuations-beside-control-faults] [--failing-services] [--every MILLISECONDS] [--programs DIR] [--without-relay] [--show]";

/// What `--faults` takes for a soak without any.
const NO_FAULTS: &str = "none";
/// What `--faults` takes for a soak of a small site in which operators evacuate failure domains.
const EVACUATIONS: &str = "evacuations-beside-control-faults";

struct Options {
    first: u64,
    seeds: u64,
    size: Size,
    /// Whether endpoints fail and requests are few.
    failing_endpoints: bool,
    /// Description of the deployment whose processes, limits and requests are played; the sizes above
    /// don't apply to it, but for the duration.
    deployment: Option<PathBuf>,
    /// Whether operators evacuate failure domains all the time, beside faults of control.
    evacuations: bool,
    /// Kinds of faults that a deployment gets; `None` for all.
    faults: Option<Vec<TroubleKind>>,
    /// Whether the services of a deployment fail again and again beside them.
    failing_services: bool,
    /// Mean time between the starts of two faults.
    interval: Duration,
    /// Folder of the programs under test; that of this program if it isn't given.
    programs: Option<PathBuf>,
    /// Whether they know settings of relayed requests; those of a deployment may not.
    relays: bool,
    /// Whether to print the plans instead of running them.
    show: bool,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        first: 1,
        seeds: 1,
        size: Size::default(),
        failing_endpoints: false,
        evacuations: false,
        deployment: None,
        faults: None,
        failing_services: false,
        interval: Duration::from_millis(850),
        programs: None,
        relays: true,
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
            Arg::Long("deployment") => options.deployment = Some(parser.value()?.into()),
            Arg::Long("faults") => {
                let kinds = parser.value()?.string()?;
                if kinds == EVACUATIONS {
                    options.evacuations = true;
                    continue;
                }
                let kinds = kinds.split(',').filter(|kind| *kind != NO_FAULTS);
                options.faults = Some(kinds.map(str::parse).collect::<Result<_, _>>()?);
            }
            Arg::Long("failing-services") => options.failing_services = true,
            Arg::Long("every") => {
                options.interval = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("programs") => options.programs = Some(parser.value()?.into()),
            Arg::Long("without-relay") => options.relays = false,
            Arg::Long("show") => options.show = true,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

/// The programs under test in this folder, or in that of the current executable, and the stand-in
/// for endpoints in the latter.
fn programs(dir: Option<&Path>, relays: bool) -> std::io::Result<SoakPrograms> {
    let own = std::env::current_exe()?;
    let beside = |name: &str| -> PathBuf { own.with_file_name(name) };
    let under_test = |name: &str| dir.map_or_else(|| beside(name), |dir| dir.join(name));
    Ok(SoakPrograms {
        site: SitePrograms {
            control: under_test("filberthead-control"),
            gateway: under_test("filberthead-gateway"),
        },
        endpoint: beside("filberthead-site-endpoint"),
        relays,
    })
}

/// Plays or shows the soaks of a deployment. Returns the number of seeds with violations.
fn play_deployment(options: &Options, file: &Path, programs: &SoakPrograms) -> Result<u64, String> {
    let deployment = Deployment::load(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let all = ALL_TROUBLES.iter().map(|(_, kind)| *kind).collect();
    let kinds: Vec<TroubleKind> = options.faults.clone().unwrap_or(all);
    let mut broken = 0;
    for seed in options.first..options.first + options.seeds {
        let times = (options.size.duration, options.interval);
        let plan = match options.failing_services {
            true => DeployedPlan::with_failing_services(seed, deployment.clone(), times, &kinds),
            false => DeployedPlan::new(seed, deployment.clone(), times, &kinds),
        };
        if options.show {
            println!("{plan:#?}");
            continue;
        }
        let report = run_deployed(programs, &plan);
        println!("{report}");
        if !report.violations.is_empty() {
            println!("  logs: {}", report.dir.display());
            broken += 1;
        }
    }
    Ok(broken)
}

/// Plays or shows the soaks of a small site. Returns the number of seeds with violations.
fn play_site(options: &Options, programs: &SitePrograms) -> u64 {
    let mut broken = 0;
    for seed in options.first..options.first + options.seeds {
        let plan = match (options.evacuations, options.failing_endpoints) {
            (true, _) => Plan::with_evacuations(seed, options.size),
            (_, true) => Plan::with_failing_endpoints(seed, options.size),
            _ => Plan::new(seed, options.size),
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
    broken
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{e}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let programs = match programs(options.programs.as_deref(), options.relays) {
        Ok(programs) => programs,
        Err(e) => {
            eprintln!("the programs can't be found: {e}");
            return ExitCode::from(2);
        }
    };
    let broken = match &options.deployment {
        Some(file) => match play_deployment(&options, file, &programs) {
            Ok(broken) => broken,
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::from(2);
            }
        },
        None => play_site(&options, &programs.site),
    };
    if broken > 0 {
        println!("{broken} of {} seeds had violations", options.seeds);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
