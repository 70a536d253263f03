//! Which clients give way, and that nothing is left behind.

use std::rc::Rc;

use filberthead_limits::{Admitted, ClientCounters, Clients, HeldBody, Port, PortBounds};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const BOUNDS: PortBounds = PortBounds {
    connections: 3,
    held_bytes: 100,
};
const SEEDS: u64 = 200;
const STEPS: usize = 400;

fn clients() -> Rc<Clients> {
    let counters = ClientCounters::default();
    Clients::new(Port::Callers, BOUNDS, counters.port(Port::Callers))
}

#[track_caller]
fn admit(clients: &Rc<Clients>) -> Admitted {
    clients.admit().expect("room")
}

#[test]
fn the_connection_that_waits_for_longest_gives_way() {
    let clients = clients();
    let [first, second, third] = [(); 3].map(|()| admit(&clients));
    first.begin();
    first.finish();
    let fourth = admit(&clients);
    let evicted = [&first, &second, &third, &fourth].map(Admitted::is_evicted);
    assert_eq!(evicted, [false, true, false, false]);
    assert_eq!(clients.open(), 3);
}

#[test]
fn requests_in_progress_dont_give_way() {
    let clients = clients();
    let busy = [(); 3].map(|()| admit(&clients));
    busy.iter().for_each(Admitted::begin);
    assert!(clients.admit().is_none());
    busy[0].finish();
    assert!(clients.admit().is_some());
}

#[test]
fn an_answer_that_isnt_taken_is_no_idle_connection() {
    let clients = clients();
    let stalled = [(); 3].map(|()| admit(&clients));
    for connection in &stalled {
        connection.begin();
        connection.finish();
        connection.stall();
    }
    assert!(clients.admit().is_none());
    stalled[1].resume();
    assert!(clients.admit().is_some());
    assert!(stalled[1].is_evicted());
}

#[test]
fn the_oldest_unfinished_head_or_body_gives_way() {
    let clients = clients();
    let [head, body, other] = [(); 3].map(|()| admit(&clients));
    body.begin();
    let mut held = body.hold_body(60).expect("room");
    held.grow(50);
    head.received(40);
    other.received(40);
    assert!(held.is_revoked() && body.is_ending() && !body.is_evicted());
    assert!(!head.is_evicted() && !other.is_evicted());
    other.received(40);
    assert!(head.is_evicted() && !other.is_evicted());
    assert_eq!(clients.held_bytes(), 80);
}

#[test]
fn an_announced_length_takes_no_room() {
    let clients = clients();
    let [first, second] = [(); 2].map(|()| admit(&clients));
    first.begin();
    second.begin();
    let _announced = first.hold_body(100).expect("room");
    let mut held = second.hold_body(100).expect("room");
    held.grow(100);
    assert!(!held.is_revoked());
}

#[test]
fn complete_bodies_dont_give_way() {
    let clients = clients();
    let [first, second] = [(); 2].map(|()| admit(&clients));
    first.begin();
    let mut complete = first.hold_body(90).expect("room");
    complete.grow(90);
    complete.complete();
    second.received(20);
    assert!(!complete.is_revoked() && second.is_evicted());
    assert!(first.hold_body(11).is_none());
}

#[test]
fn a_request_that_ends_meanwhile_is_served() {
    let clients = clients();
    let waiting = [(); 3].map(|()| admit(&clients));
    let _new = admit(&clients);
    assert!(waiting[0].is_evicted());
    waiting[0].begin();
    assert!(!waiting[0].is_evicted());
    assert_eq!(clients.open(), 4);
}

/// One connection with what it holds.
struct Member {
    admitted: Admitted,
    body: Option<HeldBody>,
}

/// Any order of events keeps to the bounds, and nothing is held once all have left.
#[test]
fn bounds_hold_for_any_order_of_events() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let clients = clients();
        let mut members: Vec<Member> = Vec::new();
        for _ in 0..STEPS {
            step(&clients, &mut members, &mut rng);
            let held = clients.held_bytes();
            assert!(held <= BOUNDS.held_bytes, "{held} bytes, seed {seed}");
            let live = members
                .iter()
                .filter(|member| !member.admitted.is_evicted() && !member.admitted.is_ending());
            assert_eq!(live.count(), clients.open(), "seed {seed}");
        }
        members.clear();
        assert_eq!(
            (clients.open(), clients.held_bytes()),
            (0, 0),
            "seed {seed}"
        );
    }
}

fn step(clients: &Rc<Clients>, members: &mut Vec<Member>, rng: &mut StdRng) {
    if rng.random_bool(0.2) {
        let admitted = clients.admit();
        members.extend(admitted.map(|admitted| Member {
            admitted,
            body: None,
        }));
        return;
    }
    if members.is_empty() {
        return;
    }
    let at = rng.random_range(0..members.len());
    let member = &mut members[at];
    match [0, 1, 2, 3, 4, 5, 6, 7].choose(rng) {
        Some(0) => {
            members.swap_remove(at);
        }
        Some(1) => member.admitted.received(rng.random_range(0..60)),
        Some(2) => member.admitted.begin(),
        Some(3) => {
            member.body = None;
            member.admitted.finish();
        }
        Some(4) => member.admitted.stall(),
        Some(5) => member.admitted.resume(),
        Some(6) => {
            member.body = None;
            member.admitted.begin();
            member.body = member.admitted.hold_body(rng.random_range(0..60));
        }
        _ => {
            if let Some(body) = &mut member.body {
                match rng.random_bool(0.7) {
                    true => body.grow(rng.random_range(1..40)),
                    false => body.complete(),
                }
            }
        }
    }
}
