//! The steering experiment is deterministic, gives every policy the same requests, and
//! detects policies that overfill endpoints.

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
    let latest = answered(PolicyKind::LATEST);
    let round_robin = answered(PolicyKind::Baseline(Pick::RoundRobin));
    assert!(latest > 10_000);
    // Requests still in flight at the end of the scenario are counted nowhere.
    assert!(latest.abs_diff(round_robin) < 50, "{latest} {round_robin}");
}

#[test]
fn overfilled_endpoints_are_counted() {
    let round_robin = steady(PolicyKind::Baseline(Pick::RoundRobin));
    assert!(round_robin.figures.overfilled > 0);
    assert!(round_robin.figures.limit_excess > 0);
    let latest = steady(PolicyKind::LATEST);
    assert_eq!(latest.figures.overfilled, 0);
}
