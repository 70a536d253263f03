//! Callers that are spread unevenly over the gateways of a failure domain.

use std::time::Duration;

use filberthead_place::ConnectionBalancer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::ms;

const GATEWAYS: usize = 12;
const CONNECTIONS: usize = 360;
/// Requests per second of each connection.
const RATE: f64 = 1.0;
/// Link utilisation that one connection causes.
const UTILISATION: f64 = 0.015;
/// Seconds per step, and steps per report.
const STEP_S: f64 = 0.1;
const STEPS_PER_REPORT: usize = 5;

/// Simulates gateways of which half have all connections at first, as if the others had been
/// down. Returns the largest number of connections of a gateway after `seconds`, as a multiple
/// of the mean.
fn max_imbalance_after(seconds: f64, balanced: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let mut connections = [0_usize; GATEWAYS];
    for number in 0..CONNECTIONS {
        connections[number % (GATEWAYS / 2)] += 1;
    }
    let mut balances = [ConnectionBalancer::default(); GATEWAYS];
    for step in 0..(seconds / STEP_S) as usize {
        let now = Duration::from_secs_f64(step as f64 * STEP_S);
        if step % STEPS_PER_REPORT == 0 {
            let mean = UTILISATION * CONNECTIONS as f64 / GATEWAYS as f64;
            for (balance, connections) in balances.iter_mut().zip(connections) {
                balance.set_utilisation(UTILISATION * connections as f64);
                balance.set_mean_utilisation(now, balanced.then_some(mean));
            }
        }
        for gateway in 0..GATEWAYS {
            let requests = (connections[gateway] as f64 * RATE * STEP_S).round() as usize;
            for _ in 0..requests {
                if balances[gateway].should_close(now) {
                    connections[gateway] -= 1;
                    connections[rng.random_range(0..GATEWAYS)] += 1;
                }
            }
        }
    }
    let max = connections.iter().max().copied().unwrap_or_default();
    max as f64 * GATEWAYS as f64 / CONNECTIONS as f64
}

/// Half of the gateways of a failure domain were down for several seconds. Their callers have
/// reconnected to the others and stay there, so that the links of these are full and their
/// responses late, while the restarted gateways are almost idle.
#[test]
fn callers_spread_again_after_gateways_were_down() {
    assert!(max_imbalance_after(20.0, false) >= 2.0);
    let (soon, later) = (
        max_imbalance_after(8.0, true),
        max_imbalance_after(20.0, true),
    );
    assert!(soon < 1.6, "{soon}");
    assert!(later < 1.4, "{later}");
}

/// A few callers on links that are nearly idle: nothing is queued, so no connection has to be
/// closed.
#[test]
fn no_connection_is_closed_while_links_are_idle() {
    let mut balance = ConnectionBalancer::default();
    balance.set_utilisation(0.1);
    balance.set_mean_utilisation(ms(0), Some(0.01));
    assert!(!(0..1000).any(|_| balance.should_close(ms(1))));
}

/// All of control is down when many callers arrive. Each gateway has more load than the last
/// reported mean, and none may conclude that it alone is overloaded.
#[test]
fn an_expired_mean_closes_no_connection() {
    let mut balance = ConnectionBalancer::default();
    balance.set_utilisation(0.5);
    balance.set_mean_utilisation(ms(0), Some(0.3));
    assert!((0..1000).any(|_| balance.should_close(ms(500))));
    assert!(!(0..1000).any(|_| balance.should_close(ms(3000))));
    balance.set_mean_utilisation(ms(3000), None);
    assert!(!(0..1000).any(|_| balance.should_close(ms(3001))));
}
