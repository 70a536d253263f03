//! Compares ways of dividing a workspace's allotment among gateways, and prints
//! `name: value unit`, a line each.

use filberthead_bench::allotments::{Figures, Scenario, Way, run};
use filberthead_route::Allotment;

const SEEDS: u64 = 20;

fn scenarios() -> Vec<Scenario> {
    let scenario = |name, load, cut_off, restarted| {
        [(73, 16.0), (1000, 16.0), (73, 160.0)].map(|(gateways, rate)| Scenario {
            name,
            gateways,
            allotment: Allotment { rate, burst: rate },
            load,
            cut_off,
            restarted,
        })
    };
    let all = [
        scenario("below", (0.6, 0.8), 0.0, 0.0),
        scenario("surge", (0.6, 3.0), 0.0, 0.0),
        scenario("over", (2.0, 2.0), 0.0, 0.0),
        scenario("cut", (0.6, 0.8), 0.3, 0.0),
        scenario("cut-surge", (0.6, 3.0), 0.3, 0.0),
        scenario("all-cut", (0.6, 3.0), 1.0, 0.0),
        scenario("restart", (0.9, 2.0), 0.0, 1.0),
    ];
    all.into_iter().flatten().collect()
}

fn main() {
    for scenario in scenarios() {
        for way in Way::ALL {
            let plays: Vec<Figures> = (0..SEEDS).map(|seed| run(way, &scenario, seed)).collect();
            let most = plays.iter().map(|f| f.most_sent).fold(0.0, f64::max);
            let sent = plays.iter().map(|f| f.sent).sum::<f64>() / SEEDS as f64;
            let name = format!(
                "allotment/{}/{}x{}/{}",
                scenario.name,
                scenario.gateways,
                scenario.allotment.rate,
                way.as_str()
            );
            println!("{name}/most-sent: {most:.2} of rate and burst");
            println!("{name}/sent: {sent:.2} of what a single token bucket admits");
        }
    }
}
