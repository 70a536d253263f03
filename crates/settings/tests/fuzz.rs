//! Checking a file with arbitrary content returns problems with lines inside the file.

use std::path::Path;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_settings::check_text;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 20_000;
const FILE: &str = "fuzz.ini";
/// Fragments that random bytes would hardly ever form.
const FRAGMENTS: &[&str] = &[
    "[node]\n",
    "[replica ",
    "[endpoint a]\n",
    "role = entry\n",
    "role = control\n",
    "listen = 127.0.0.1:1\n",
    "advertise = ",
    "lease = 1s\n",
    "lookup_ttl = ",
    "18446744073709551615d",
    "%",
    "]",
    "\r",
    "\n",
    "=",
    " ",
    ";",
    "\u{2028}",
    "é",
];

fn check_problems(text: &str) {
    let problems = check_text(Path::new(FILE), text);
    // A single `\r` ends a line too.
    let lines = text.chars().filter(|c| matches!(c, '\n' | '\r')).count() + 1;
    for problem in &problems {
        assert!(problem.line as usize <= lines, "{problem}");
        assert!(problem.to_string().starts_with(FILE), "{problem}");
        assert!(!problem.allowed.is_empty(), "{problem}");
    }
    let in_order = problems.is_sorted_by_key(|problem| problem.line);
    assert!(in_order, "{problems:?}");
    // The generated texts are too short to have all required keys.
    assert!(!problems.is_empty());
}

/// Checks values that bolero generates from fixed seeds. Its own loop draws new seeds in
/// each run, but the test must have the same result in every run.
fn for_seeds(mut check: impl FnMut(Vec<u8>)) {
    let options = Options::default();
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let value = Vec::generate(&mut driver).expect("the driver has bytes left");
        check(value);
    }
}

#[test]
fn random_text_is_checked() {
    for_seeds(|bytes| check_problems(&String::from_utf8_lossy(&bytes)));
}

#[test]
fn random_fragments_are_checked() {
    for_seeds(|picks| {
        let fragment = |pick: &u8| FRAGMENTS[usize::from(*pick) % FRAGMENTS.len()];
        check_problems(&picks.iter().map(fragment).collect::<String>());
    });
}
