//! The experiment itself: same figures every time, and a measure that can fail.

use filberthead_bench::experiment::{Pick, PolicyKind, Run, kovceg, run, scenarios};

fn steady(policy: PolicyKind) -> Run {
    run(&kovceg(), &scenarios()[0], policy, 1)
}

#[test]
fn a_run_gives_the_same_figures_every_time() {
    let figures = || {
        let run = steady(PolicyKind::LATEST);
        let service = &run.figures.services[0];
        let p99 = service.answered.value_at_quantile(0.99);
        (service.answered.len(), p99, run.figures.overfilled)
    };
    assert_eq!(figures(), figures());
}

#[test]
fn every_policy_gets_the_same_requests() {
    let answered = |policy| {
        let run = steady(policy);
        let service = &run.figures.services[0];
        service.answered.len() + service.refused + service.lost
    };
    let ours = answered(PolicyKind::LATEST);
    let theirs = answered(PolicyKind::Baseline(Pick::RoundRobin));
    assert!(ours > 10_000);
    // A request that is still on its way at the end of the scene is in no count.
    assert!(ours.abs_diff(theirs) < 50, "{ours} {theirs}");
}

#[test]
fn the_measure_sees_overfilled_endpoints() {
    let blind = steady(PolicyKind::Baseline(Pick::RoundRobin));
    assert!(blind.figures.overfilled > 0);
    assert!(blind.figures.limit_excess > 0);
    let counting = steady(PolicyKind::LATEST);
    assert_eq!(counting.figures.overfilled, 0);
}
