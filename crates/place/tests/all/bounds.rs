//! Bounds that hold over all gateways although these don't talk.

use std::collections::VecDeque;

use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_fleet::Endpoint;
use filberthead_place::{Decision, Outcome, Placer, Refusal};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};

use crate::support::{
    COLD_PER_S, domain, endpoint, ms, named_placer, place, placer, record_served, refusal, request,
    service,
};

/// An endpoint comes back cold, and four gateways of its region press requests on it as
/// fast as they can. In no second may it get more than it bears, whatever their number's
/// latest count says: one of them isn't counted yet.
#[test]
fn all_gateways_together_keep_the_limit_of_a_cold_endpoint() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    assert!(max_per_second(&cold, 4, 3) > 0, "or it would never warm up");
}

/// A region has grown to thirty gateways, and each sees the cold endpoint for the first
/// time at the same moment. Their first requests together are more than it bears.
#[test]
fn many_gateways_do_not_all_begin_with_a_cold_endpoint_at_once() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    assert!(
        max_per_second(&cold, 30, 30) > 0,
        "or it would never warm up"
    );
}

/// Lets gateways press requests on a cold endpoint, each of which has been told that there
/// are `counted` of them, and returns the most that it got in a second.
fn max_per_second(cold: &Endpoint, gateways: usize, counted: u32) -> usize {
    let gateway = |number| named_placer(&format!("g-{number}"), "north-1", vec![cold.clone()]);
    let mut gateways: Vec<Placer> = (0..gateways).map(gateway).collect();
    for gateway in &mut gateways {
        gateway.set_gateways(&[(domain("north-1"), counted)]);
    }
    let mut max = 0;
    let mut sent = VecDeque::new();
    let bound = COLD_PER_S * 1.5 + 5.0;
    for at in 0..3000 {
        for gateway in &mut gateways {
            if let Some(target) = place(gateway, ms(at), "o") {
                record_served(gateway, ms(at), &target, ms(1));
                sent.push_back(at);
            }
        }
        while sent.front().is_some_and(|first| first + 1000 <= at) {
            sent.pop_front();
        }
        assert!(sent.len() as f64 <= bound, "{} in a second", sent.len());
        max = max.max(sent.len());
    }
    max
}

/// A gateway of another region sees a cold endpoint with free slots while its own are
/// full. It has no part of what that one bears.
#[test]
fn a_cold_endpoint_gets_nothing_from_other_regions() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    let mut gateway = placer("south-1", vec![cold]);
    let service = service();
    let refused = refusal(&mut gateway, ms(0), request(&service, b"o"));
    assert_eq!(refused, Some(Refusal::NoEndpoint));
    assert!(place(&mut gateway, ms(3001), "o").is_some());
}

/// A failure domain is taken back after an evacuation. Its endpoints may have been idle
/// and cold all the while, and must not be met by everything at once.
#[test]
fn endpoints_count_as_cold_after_an_evacuation() {
    let mut gateway = placer("north-1", vec![endpoint("a", "north-1")]);
    gateway.set_evacuated(ms(0), [domain("north-1")].into());
    gateway.set_evacuated(ms(100), [].into());
    let sent = (100..1100).filter(|at| place(&mut gateway, ms(*at), "o").is_some());
    assert!(sent.count() as f64 <= COLD_PER_S);
}

/// Everything fails, and every failure is tried again as often as the budget lets it, at
/// eleven gateways at random times. Over any window the further attempts must stay within
/// a fifth of the requests and the floor.
#[test]
fn retries_of_all_gateways_stay_within_the_budget() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut gateways: Vec<Placer> = (0..11)
            .map(|_| placer("north-1", vec![endpoint("a", "north-1")]))
            .collect();
        for gateway in &mut gateways {
            gateway.set_gateways(&[(domain("north-1"), 11)]);
        }
        let service = service();
        let (mut first, mut retries) = (Vec::new(), Vec::new());
        for at in (0..30_000).step_by(10) {
            // Quiet and busy stretches by turns.
            let busy = (at / 7000) % 2 == 0;
            if !busy && rng.random::<f64>() < 0.95 {
                continue;
            }
            let gateway = rng.random_range(0..gateways.len());
            gateways[gateway].record_request(ms(at), &service);
            first.push(at);
            while gateways[gateway].try_spend_retry(ms(at), &service) {
                retries.push(at);
            }
        }
        let within = |times: &[u64], from: u64| {
            let inside = |at: &&u64| **at >= from && **at < from + 10_000;
            times.iter().filter(inside).count() as f64
        };
        for from in (0..20_000).step_by(100) {
            let requests = within(&first, from).max(within(&first, from.saturating_sub(10_000)));
            let bound = 0.2 * requests + 56.0;
            let spent = within(&retries, from);
            assert!(
                spent <= bound,
                "seed {seed}, from {from}: {spent} of {bound}"
            );
        }
    }
}

/// All slots are taken by requests that run for long. What could only answer too late is
/// refused at once, with a time to come back; what has come back is kept if its caller
/// still waits long enough.
#[test]
fn requests_that_would_be_late_are_rejected_unless_the_caller_retries() {
    let mut gateway = placer("north-1", vec![endpoint("a", "north-1")]);
    let service = service();
    let mut placed = 0;
    let refused = loop {
        match gateway.place(ms(0), request(&service, b"o")) {
            Decision::Send(_) => placed += 1,
            Decision::Refuse {
                reason,
                retry_after,
            } => break (reason, retry_after),
        }
        assert!(placed < 100, "nothing is ever refused");
    };
    assert!(placed >= 3, "slots that are free are used");
    assert_eq!(refused.0, Refusal::Overloaded);
    assert!(refused.1 > ms(0));
    let mut retry = request(&service, b"o");
    retry.is_caller_retry = true;
    assert_eq!(refusal(&mut gateway, ms(0), retry), None);
}

/// Whatever happens in whatever order, counts of requests never run off: once all that was
/// placed has ended, an endpoint takes three at once without a wait again.
#[test]
fn in_flight_counts_return_to_zero() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = Rng::new(StdRng::seed_from_u64(seed), &Options::default());
        let service = service();
        let mut gateway = placer("north-1", vec![endpoint("a", "north-1")]);
        let mut running = Vec::new();
        for at in 0..100 {
            let object: Option<[u8; 2]> =
                bolero::generator::bolero_generator::TypeGenerator::generate(&mut bytes);
            if let Decision::Send(target) =
                gateway.place(ms(at), request(&service, &object.unwrap_or_default()))
            {
                running.push(target);
            }
            if rng.random::<bool>() && !running.is_empty() {
                let target = running.swap_remove(rng.random_range(0..running.len()));
                let outcome = match rng.random_range(0..5) {
                    0 => Outcome::Served(ms(50)),
                    1 => Outcome::Failed,
                    2 => Outcome::Full,
                    3 => Outcome::Broken,
                    _ => Outcome::Abandoned(ms(50)),
                };
                gateway.record_outcome(ms(at), &service, &target, outcome);
            }
        }
        for target in &running {
            gateway.record_outcome(ms(100), &service, target, Outcome::Abandoned(ms(50)));
        }
        let later = ms(60_000);
        let three: Vec<_> = (0..3)
            .filter_map(|_| place(&mut gateway, later, "o"))
            .collect();
        assert_eq!(three.len(), 3, "seed {seed}");
        assert!(
            three.iter().all(|t| t.overhead < ms(1)),
            "seed {seed}: {three:?}"
        );
    }
}
