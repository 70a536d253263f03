//! Limits that hold for the sum over all gateways, without communication between them.

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

/// An endpoint starts cold, and four gateways of its region send it as many requests as they
/// can. In no second may it receive more than it can handle, although the number of gateways
/// that each has received is too low: one of them isn't counted yet.
#[test]
fn all_gateways_together_keep_the_limit_of_a_cold_endpoint() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    assert!(
        max_per_second(&cold, 4, 3) > 0,
        "the endpoint never warms up"
    );
}

/// A region has thirty gateways, and each sees the cold endpoint for the first time at the
/// same moment. Their first requests together are more than it can handle.
#[test]
fn many_gateways_do_not_all_begin_with_a_cold_endpoint_at_once() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    assert!(
        max_per_second(&cold, 30, 30) > 0,
        "the endpoint never warms up"
    );
}

/// Gateways start together with a control replica, which hears of them one by one: the n-th is told
/// that there are n. The next notice is lost.
#[test]
fn gateways_that_are_counted_one_by_one_keep_the_limit_of_a_cold_endpoint() {
    let most = max_while_counted_one_by_one(0);
    assert!(most > 0, "the endpoint never warms up");
}

/// The same happens to gateways that have served for long when a control replica restarts.
#[test]
fn a_control_replica_that_restarts_does_not_raise_the_limit_of_a_cold_endpoint() {
    let most = max_while_counted_one_by_one(1700);
    assert!(most > 0, "the endpoint never warms up");
}

/// The most that a cold endpoint receives within a second from thirty gateways if the n-th is told
/// for a second that there are n.
fn max_while_counted_one_by_one(from: u64) -> usize {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    let gateway = |number| named_placer(&format!("g-{number}"), "north-1", vec![cold.clone()]);
    let mut gateways: Vec<Placer> = (0..30).map(gateway).collect();
    let wrong = from..from + 1000;
    max_of(&mut gateways, |at, number| match at {
        _ if wrong.contains(&at) => (at == from).then_some(number as u32 + 1),
        _ => (at % 100 == 0).then_some(30),
    })
}

/// Lets gateways, each of which was given `counted` as their number, send as many requests as
/// they can to a cold endpoint. Returns the most that it received within a second.
fn max_per_second(cold: &Endpoint, gateways: usize, counted: u32) -> usize {
    let gateway = |number| named_placer(&format!("g-{number}"), "north-1", vec![cold.clone()]);
    let mut gateways: Vec<Placer> = (0..gateways).map(gateway).collect();
    max_of(&mut gateways, |at, _| (at == 0).then_some(counted))
}

/// Lets gateways send as many requests as they can to a cold endpoint; `counted` is what a gateway
/// is told of their number, by the time in milliseconds and its own. Returns the most that the
/// endpoint received within a second.
fn max_of(gateways: &mut [Placer], counted: impl Fn(u64, usize) -> Option<u32>) -> usize {
    let mut max = 0;
    let mut sent = VecDeque::new();
    let bound = COLD_PER_S * 1.5 + 5.0;
    for at in 0..3000 {
        for (number, gateway) in gateways.iter_mut().enumerate() {
            if let Some(count) = counted(at, number) {
                gateway.set_gateways(ms(at), &[(domain("north-1"), count)]);
            }
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

/// A gateway of another region sees a cold endpoint with free slots while its own endpoints
/// are full. It has no share of the rate that the cold endpoint can handle.
#[test]
fn a_cold_endpoint_gets_no_requests_from_other_regions() {
    let mut cold = endpoint("a", "north-1");
    cold.cold_left = ms(3000);
    let mut gateway = placer("south-1", vec![cold]);
    let service = service();
    let refused = refusal(&mut gateway, ms(0), request(&service, b"o"));
    assert_eq!(refused, Some(Refusal::NoEndpoint));
    assert!(place(&mut gateway, ms(3001), "o").is_some());
}

/// An evacuation of a failure domain ends. Its endpoints may have been idle and become cold
/// during it, and must not receive the full load at once.
#[test]
fn endpoints_count_as_cold_after_an_evacuation() {
    let mut gateway = placer("north-1", vec![endpoint("a", "north-1")]);
    gateway.set_evacuated(ms(0), [domain("north-1")].into());
    gateway.set_evacuated(ms(100), [].into());
    let sent = (100..1100).filter(|at| place(&mut gateway, ms(*at), "o").is_some());
    assert!(sent.count() as f64 <= COLD_PER_S);
}

/// All slots are taken by long requests. A request that would be late is rejected immediately,
/// with a time to retry after; the caller's retry is accepted if its deadline permits.
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
        assert!(placed < 100, "no request is rejected");
    };
    assert!(placed >= 3, "free slots are not used");
    assert_eq!(refused.0, Refusal::Overloaded);
    assert!(refused.1 > ms(0));
    let mut retry = request(&service, b"o");
    retry.is_caller_retry = true;
    assert_eq!(refusal(&mut gateway, ms(0), retry), None);
}

/// After any sequence of outcomes, the counts of in-flight requests are correct: once every
/// request has ended, an endpoint accepts three at once without a wait.
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
