//! Runs the steering experiment and prints its figures: `steering [--table] [--scene NAME]
//! [--deployment NAME] [--policy NAME] [--seed N] [--threads N]`. `--table` prints tables
//! only.

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use filberthead_bench::experiment::{
    Deployment, PolicyKind, Run, Scenario, associacao, kovceg, print_lines, print_table, run,
    scenarios,
};
use lexopt::prelude::*;

struct Options {
    table: bool,
    scenario: Option<String>,
    deployment: Option<String>,
    policy: Option<String>,
    seed: u64,
    threads: usize,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        table: false,
        scenario: None,
        deployment: None,
        policy: None,
        seed: 1,
        threads: 4,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("table") => options.table = true,
            Long("scene") => options.scenario = Some(parser.value()?.string()?),
            Long("deployment") => options.deployment = Some(parser.value()?.string()?),
            Long("policy") => options.policy = Some(parser.value()?.string()?),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("threads") => options.threads = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    match options() {
        Ok(options) => {
            measure(&options);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("steering: {e}");
            ExitCode::FAILURE
        }
    }
}

type Job = (Deployment, Scenario, PolicyKind);

fn jobs(options: &Options) -> Vec<Job> {
    let wanted = |filter: &Option<String>, name: &str| filter.as_deref().is_none_or(|f| f == name);
    let mut jobs = Vec::new();
    for deployment in [kovceg(), associacao()] {
        for scenario in scenarios() {
            for policy in PolicyKind::ALL {
                let chosen = wanted(&options.deployment, deployment.name)
                    && wanted(&options.scenario, scenario.name)
                    && wanted(&options.policy, policy.name());
                if chosen {
                    jobs.push((deployment.clone(), scenario.clone(), policy));
                }
            }
        }
    }
    jobs
}

fn measure(options: &Options) {
    let jobs = jobs(options);
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Run)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some((index, (deployment, scenario, policy))) = next_job(&jobs, &next) {
                    let run = run(deployment, scenario, *policy, options.seed);
                    if let Ok(mut done) = done.lock() {
                        done.push((index, run));
                    }
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(index, _)| *index);
    let runs: Vec<_> = done.into_iter().map(|(_, run)| run).collect();
    print(options, &runs);
}

fn next_job<'a>(jobs: &'a [Job], next: &AtomicUsize) -> Option<(usize, &'a Job)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    Some((index, jobs.get(index)?))
}

fn print(options: &Options, runs: &[Run]) {
    if !options.table {
        runs.iter().for_each(print_lines);
    }
    for scenario in runs.chunk_by(|a, b| (a.deployment, a.scenario) == (b.deployment, b.scenario)) {
        print_table(scenario);
    }
}
