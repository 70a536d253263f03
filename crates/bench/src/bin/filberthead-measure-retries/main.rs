//! Compares ways of dividing a retry budget among gateways, and prints `name: value unit`, a line
//! each.

use std::time::Duration;

use filberthead_bench::retries::{Fault, Figures, Scenario, Way, run};
use filberthead_place::RetryBudgetConfig;

const SEEDS: u64 = 10;

fn scenarios() -> Vec<Scenario> {
    let faults = [
        ("calm", Fault::None),
        ("gateways-restart", Fault::GatewayRestarts),
        ("control-restarts", Fault::ControlRestarts),
        ("cut", Fault::Cut),
        ("all-restart", Fault::AllRestart),
        ("callers-move", Fault::CallersMove),
    ];
    let loads = [
        (8, 20.0, 0.0),
        (8, 20.0, 0.7),
        (8, 200.0, 0.0),
        (60, 20.0, 0.0),
    ];
    let scenario = |(name, fault)| {
        loads.map(|(gateways, per_s, skew)| Scenario {
            name,
            gateways,
            per_s,
            skew,
            budget: RetryBudgetConfig {
                ratio: 0.2,
                floor: 56.0,
                window: Duration::from_secs(10),
            },
            fault,
        })
    };
    faults.into_iter().flat_map(scenario).collect()
}

fn main() {
    for scenario in scenarios() {
        for way in Way::ALL {
            let plays: Vec<Figures> = (0..SEEDS).map(|seed| run(way, &scenario, seed)).collect();
            let worst = plays.iter().map(|f| f.worst).fold(0.0, f64::max);
            let granted = plays.iter().map(|f| f.granted).sum::<f64>() / SEEDS as f64;
            let Scenario {
                name,
                gateways,
                per_s,
                skew,
                ..
            } = scenario;
            let name = format!(
                "retries/{name}/{gateways}x{per_s}/skew-{skew}/{}",
                way.as_str()
            );
            println!("{name}/worst-window: {worst:.2} of the budget");
            println!("{name}/granted: {granted:.2} of what a budget that sees all requests grants");
        }
    }
}
