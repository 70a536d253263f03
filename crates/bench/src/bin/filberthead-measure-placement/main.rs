//! Prints the mean credit of callers' requests under each load pattern, by region and kind
//! of request: `filberthead-measure-placement [--pattern NAME] [--without MECHANISM]...
//! [--seeds N] [--ablation]`.
//!
//! `--ablation` prints, for each mechanism, the credit that is lost without it.

use std::collections::BTreeSet;
use std::process::ExitCode;

use filberthead_bench::placement::{Count, Figures, Pattern, patterns, simulate};
use filberthead_place::Mechanism;
use lexopt::prelude::*;

/// Number of seeds that figures are averaged over, unless `--seeds` is given.
const SEEDS: u64 = 3;

struct Options {
    patterns: Vec<Pattern>,
    without: BTreeSet<Mechanism>,
    seeds: u64,
    ablation: bool,
}

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        patterns: patterns(),
        without: BTreeSet::new(),
        seeds: SEEDS,
        ablation: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("pattern") => {
                let name = parser.value()?.string()?;
                options.patterns.retain(|pattern| pattern.name == name);
                if options.patterns.is_empty() {
                    return Err(format!("`{name}` is no pattern, there are {}", names()).into());
                }
            }
            Long("without") => {
                options.without.insert(parser.value()?.parse()?);
            }
            Long("seeds") => {
                options.seeds = parser.value()?.parse()?;
                if options.seeds == 0 {
                    return Err("`--seeds` takes a count from 1 on".into());
                }
            }
            Long("ablation") => options.ablation = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn names() -> String {
    let names: Vec<_> = patterns().iter().map(|pattern| pattern.name).collect();
    names.join(", ")
}

fn main() -> ExitCode {
    match options() {
        Ok(options) if options.ablation => print_ablation(&options),
        Ok(options) => print_figures(&options),
        Err(e) => {
            eprintln!("filberthead-measure-placement: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn runs(pattern: &Pattern, without: &BTreeSet<Mechanism>, seeds: u64) -> Vec<Figures> {
    (1..=seeds)
        .map(|seed| simulate(pattern, without, seed))
        .collect()
}

fn mean(runs: &[Figures], figure: impl Fn(&Figures) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
}

fn print_figures(options: &Options) {
    for pattern in &options.patterns {
        let runs = runs(pattern, &options.without, options.seeds);
        let line = |name: &str, figure: &dyn Fn(&Figures) -> f64| {
            println!(
                "placement {} {name}: {:.3} credit",
                pattern.name,
                mean(&runs, figure)
            );
        };
        line("all", &|f| f.all.credit());
        for region in runs[0].regions.keys() {
            let credit = |f: &Figures| f.regions.get(region).map_or(0.0, Count::credit);
            line(region.as_str(), &credit);
        }
        for kind in runs[0].kinds.keys() {
            line(kind, &|f| f.kinds.get(kind).map_or(0.0, Count::credit));
        }
    }
}

/// Mean of the credit of all callers and that of the worst region.
fn mean_credit(runs: &[Figures]) -> f64 {
    mean(runs, |f| (f.all.credit() + f.worst_region()) / 2.0)
}

fn print_ablation(options: &Options) {
    for pattern in &options.patterns {
        let baseline = mean_credit(&runs(pattern, &options.without, options.seeds));
        for mechanism in Mechanism::ALL {
            let mut without = options.without.clone();
            without.insert(mechanism);
            let lost = baseline - mean_credit(&runs(pattern, &without, options.seeds));
            let name = mechanism.name();
            println!(
                "placement {} without {name}: {:.3} credit lost",
                pattern.name, lost
            );
        }
    }
}
