//! Endpoints whose connections break.

use filberthead_steer::{Decision, Event, FinishKind, Policy, Steering};
use filberthead_types::{Moment, RequestId};

use crate::common::{config, endpoint, ms, reading, request};

const FAR_DEADLINE: Moment = Moment::from_secs(30);

fn is_placed(policy: &mut Policy, now: Moment, id: u128) -> bool {
    let placed = policy.place(now, &request(id, FAR_DEADLINE));
    matches!(placed, Decision::Endpoint(_))
}

/// An endpoint's process dies, and a proxy in front of it goes on accepting connections and
/// resets each one, so any request sent there is lost. The endpoint must get no requests
/// until a probe that was sent after the break succeeds.
#[test]
fn an_endpoint_with_a_broken_connection_gets_no_request_before_a_later_probe_succeeds() {
    let mut policy = Policy::new(Moment::ZERO, config("e1").leased(false).slow_start(false));
    policy.observe(Moment::ZERO, Event::Endpoints(vec![endpoint("a")]));
    policy.observe(Moment::ZERO, reading("a", Moment::ZERO, 1));
    assert!(is_placed(&mut policy, Moment::ZERO, 1));
    let broken = Event::Finished {
        id: RequestId(1),
        kind: FinishKind::Broken,
        first_byte: ms(1),
    };
    policy.observe(ms(100), broken);
    // The probe was sent before the break, so its answer doesn't count.
    policy.observe(ms(300), reading("a", ms(90), 1));
    assert!(!is_placed(&mut policy, ms(300), 2));
    policy.observe(ms(400), reading("a", ms(310), 1));
    assert!(is_placed(&mut policy, ms(400), 3));
}
