//! `filberthead-demo`: the system's main functions end to end, with real processes on loopback
//! ports.
//!
//! Prints each step with its time and result, and exits with 1 at the first that fails.

mod steps;
mod system;

use std::process::ExitCode;
use std::time::Instant;

use system::{StepError, System};

/// A step acts on the system and returns a description of the result.
type Step = fn(&mut System) -> Result<String, StepError>;

const STEPS: &[(&str, Step)] = &[
    ("make a group of three control replicas", steps::make_group),
    ("set the first rows", steps::set_rows),
    ("look up which entries to use", steps::look_up),
    ("read through an entry", steps::read),
    ("change a weight", steps::change),
    ("place an order and send it again", steps::order),
    ("kill the leader under a change", steps::kill_leader),
    ("drain an entry under a download", steps::drain),
    ("show the status", steps::status),
];

fn main() -> ExitCode {
    let start = Instant::now();
    let mut system = System::start();
    println!(
        "ok   {:>7.3} s  start: {system}",
        start.elapsed().as_secs_f64()
    );
    for (name, step) in STEPS {
        let start = Instant::now();
        let result = step(&mut system);
        let seconds = start.elapsed().as_secs_f64();
        match result {
            Ok(result) => println!("ok   {seconds:>7.3} s  {name}: {result}"),
            Err(e) => {
                println!("FAIL {seconds:>7.3} s  {name}: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!(
        "demo: {} steps in {:.1} s",
        STEPS.len() + 1,
        start.elapsed().as_secs_f64()
    );
    ExitCode::SUCCESS
}
