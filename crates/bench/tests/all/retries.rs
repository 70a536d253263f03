//! The retry budget over many gateways, with registries, members and budgets as in the daemons.

use std::time::Duration;

use filberthead_bench::retries::{Fault, Scenario, Way, run};
use filberthead_place::RetryBudgetConfig;

const SEEDS: u64 = 3;

/// The worst window of several seeds, as part of what the budget allows.
fn worst(way: Way, fault: Fault, per_s: f64) -> f64 {
    let scenario = Scenario {
        name: "test",
        gateways: 8,
        per_s,
        skew: 0.0,
        budget: RetryBudgetConfig {
            ratio: 0.2,
            floor: 56.0,
            window: Duration::from_secs(10),
        },
        fault,
    };
    let plays = (0..SEEDS).map(|seed| run(way, &scenario, seed).worst);
    plays.fold(0.0, f64::max)
}

#[test]
fn proven_parts_stay_within_the_budget_under_every_fault() {
    for fault in [
        Fault::None,
        Fault::GatewayRestarts,
        Fault::ControlRestarts,
        Fault::Cut,
        Fault::AllRestart,
        Fault::CallersMove,
    ] {
        for per_s in [20.0, 200.0] {
            let worst = worst(Way::Proven, fault, per_s);
            assert!(
                worst > 0.5,
                "{fault:?} at {per_s}: {worst}, retries are lost"
            );
            assert!(worst <= 1.0, "{fault:?} at {per_s}: {worst}");
        }
    }
}

/// The faults can tell ways apart.
#[test]
fn announced_parts_exceed_the_budget() {
    assert!(worst(Way::Announced, Fault::GatewayRestarts, 20.0) > 1.0);
    assert!(worst(Way::Announced, Fault::Cut, 20.0) > 1.0);
    assert!(worst(Way::Announced, Fault::CallersMove, 200.0) > 1.0);
}
