//! Windows and the requests that wait for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use filberthead_place::Load;
use filberthead_place::waiting::{
    Enqueued, RoomLimits, Site, SiteEndpoint, Ticket, UsualDeadlines, Waiter, WaitingRoom,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::{ms, region, service};

const SLOTS: u32 = 4;
/// How long requests run.
const RUN_TIME: Duration = Duration::from_millis(100);
const FULL: Load = Load {
    running: SLOTS,
    waiting: 12,
    slowdown: None,
};
const FREE: Load = Load {
    running: 2,
    waiting: 0,
    slowdown: None,
};

fn site(name: &str) -> Site {
    Site {
        service: service(),
        region: region(name),
    }
}

/// A request that arrives at `now`, takes 100 ms, and has an objective of 400 ms.
fn waiter(now: u64, priority: u8) -> Waiter {
    Waiter {
        site: site("north"),
        priority,
        workspace: None,
        has_returned: false,
        is_cached: true,
        work: ms(100),
        objective: ms(400),
        arrived: ms(now),
        start_by: ms(now + 300),
        deadline: ms(now + 1000),
        bytes: 1000,
    }
}

fn start(room: &mut WaitingRoom, waiter: Waiter) -> Ticket {
    let now = waiter.arrived;
    match room.enqueue(now, waiter) {
        Enqueued::Start(ticket) => ticket,
        other => panic!("not started: {other:?}"),
    }
}

fn wait(room: &mut WaitingRoom, waiter: Waiter) -> Ticket {
    let now = waiter.arrived;
    match room.enqueue(now, waiter) {
        Enqueued::Wait(ticket) => ticket,
        other => panic!("doesn't wait: {other:?}"),
    }
}

fn reject(room: &mut WaitingRoom, waiter: Waiter) -> Duration {
    let now = waiter.arrived;
    match room.enqueue(now, waiter) {
        Enqueued::Reject(retry_after) => retry_after,
        other => panic!("not rejected: {other:?}"),
    }
}

/// A room with requests in flight, whose endpoints in the north have reported to be congested. They take 100 ms
/// each. Returns the tickets in flight at 1000 ms; there is no room for another.
fn congested(limits: RoomLimits) -> (WaitingRoom, Vec<Ticket>) {
    let mut room = WaitingRoom::new(limits, 0);
    for now in 0..10 {
        let ticket = start(&mut room, waiter(now, 1));
        room.end(ms(now + 100), ticket);
    }
    let mut tickets: Vec<_> = (0..8).map(|_| start(&mut room, waiter(900, 1))).collect();
    for now in 980..1000 {
        report(&mut room, now, "north", FULL);
    }
    let limit = room
        .window(&site("north"))
        .and_then(|window| window.limit());
    let limit = limit.expect("a limited window");
    while tickets.len() as f64 > limit {
        let ticket = tickets.pop().expect("a ticket");
        room.end(ms(1000), ticket);
    }
    (room, tickets)
}

/// One of four endpoints in turn reports its load.
fn report(room: &mut WaitingRoom, now: u64, region: &str, load: Load) {
    let from = SiteEndpoint {
        site: site(region),
        key: now % 4,
        slots: SLOTS,
    };
    let took = RUN_TIME * (1 + load.waiting / SLOTS);
    room.record_report(ms(now), &from, load, Some(took));
}

fn limit(room: &WaitingRoom, name: &str) -> Option<f64> {
    room.window(&site(name)).and_then(|window| window.limit())
}

/// A region with few endpoints must be limited on its own, or the requests of the others are held back with
/// it.
#[test]
fn a_congested_region_doesnt_limit_another() {
    let (mut room, _) = congested(RoomLimits::default());
    let south = Waiter {
        site: site("south"),
        ..waiter(1000, 1)
    };
    start(&mut room, south);
    assert_eq!(limit(&room, "south"), None);
    wait(&mut room, waiter(1000, 1));
}

/// Requests are held back for some full endpoints although others are idle.
#[test]
fn a_few_full_endpoints_beside_idle_ones_dont_limit_the_service() {
    let mut room = WaitingRoom::new(RoomLimits::default(), 0);
    start(&mut room, waiter(0, 1));
    for now in 0..500 {
        let load = if now % 4 == 0 { FULL } else { FREE };
        report(&mut room, now, "north", load);
    }
    assert_eq!(limit(&room, "north"), None);
    // A gateway that sends most of its requests to the full one hears mostly from that.
    for now in 500..1000 {
        let other = SiteEndpoint {
            site: site("north"),
            key: now % 3 + 1,
            slots: SLOTS,
        };
        let full = SiteEndpoint {
            key: 0,
            ..other.clone()
        };
        (0..20).for_each(|_| room.record_report(ms(now), &full, FULL, Some(4 * RUN_TIME)));
        room.record_report(ms(now), &other, FREE, Some(RUN_TIME));
    }
    assert_eq!(limit(&room, "north"), None);
}

/// Under overload without an end, windows must not shrink to nothing.
#[test]
fn a_window_never_falls_below_one() {
    let (mut room, tickets) = congested(RoomLimits::default());
    for now in 1000..9000 {
        report(&mut room, now, "north", FULL);
    }
    assert_eq!(limit(&room, "north"), Some(1.0));
    tickets.into_iter().for_each(|t| room.end(ms(9000), t));
    start(&mut room, waiter(9000, 1));
}

/// A gateway that gets no reports any more, as the endpoints don't send any, must not hold back requests for
/// good.
#[test]
fn a_window_recovers_when_reports_stop() {
    let (mut room, _) = congested(RoomLimits::default());
    let first = limit(&room, "north").expect("a limit");
    wait(&mut room, waiter(1000, 1));
    room.on_slot_free(ms(1900));
    assert_eq!(limit(&room, "north"), Some(first));
    let mut grown = first;
    for now in [2500, 3500, 4500] {
        room.on_deadline(ms(now));
        room.take_changes(ms(now));
        let limit = limit(&room, "north").expect("a limit");
        assert!(limit > grown, "{limit} after {grown}");
        grown = limit;
    }
    room.take_changes(ms(9500));
    assert_eq!(limit(&room, "north"), None);
}

/// A window that is limited for good after a short congestion holds back the next surge.
#[test]
fn a_window_is_unlimited_again_once_the_service_is_calm() {
    let (mut room, _) = congested(RoomLimits::default());
    assert_eq!(room.take_changes(ms(1000)).len(), 1);
    for now in 1000..3500 {
        report(&mut room, now, "north", FREE);
    }
    let changes = room.take_changes(ms(3500));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].limit, None);
}

/// A less urgent request must not be started before a more urgent one, nor one that can't meet its objective
/// before one that can.
#[test]
fn waiting_requests_are_started_in_order() {
    let (mut room, mut tickets) = congested(RoomLimits::default());
    let late = wait(
        &mut room,
        Waiter {
            start_by: ms(900),
            is_cached: false,
            ..waiter(1000, 1)
        },
    );
    let second = wait(&mut room, waiter(1001, 1));
    let third = wait(&mut room, waiter(1002, 1));
    let returned = wait(
        &mut room,
        Waiter {
            has_returned: true,
            ..waiter(1003, 1)
        },
    );
    let urgent = wait(&mut room, waiter(1004, 0));
    let mut order = Vec::new();
    while let Some(ticket) = tickets.pop() {
        room.end(ms(1010), ticket);
        order.extend(room.on_slot_free(ms(1010)));
        if order.len() == 5 {
            break;
        }
        tickets.splice(0..0, order.last().copied());
    }
    assert_eq!(order, [urgent, returned, second, third, late]);
}

/// One workspace that sends many times as much as another must not be served alone.
#[test]
fn the_workspace_with_the_least_work_goes_first() {
    let (mut room, mut tickets) = congested(RoomLimits::default());
    let of = |now, name: &str| Waiter {
        workspace: name.parse().ok(),
        ..waiter(now, 1)
    };
    // What the large one was served before counts.
    for _ in 0..2 {
        let ticket = tickets.pop().expect("a ticket");
        room.end(ms(1000), ticket);
        tickets.push(start(&mut room, of(1000, "large")));
    }
    let large = [1001, 1002].map(|now| wait(&mut room, of(now, "large")));
    let small = wait(&mut room, of(1003, "small"));
    let ticket = tickets.pop().expect("a ticket");
    room.end(ms(1010), ticket);
    assert_eq!(room.on_slot_free(ms(1010)), [small]);
    room.end(ms(1020), small);
    assert_eq!(room.on_slot_free(ms(1020)), [large[0]]);
}

/// A request that can't be served in time must not be held until its deadline, and callers who are rejected
/// together must not return together.
#[test]
fn what_cant_be_served_in_time_is_rejected_at_once() {
    let (mut room, _tickets) = congested(RoomLimits::default());
    let mut waiting = 0;
    let mut retry_times = BTreeSet::new();
    for _ in 0..300 {
        match room.enqueue(ms(1000), waiter(1000, 1)) {
            Enqueued::Wait(_) => waiting += 1,
            Enqueued::Reject(after) => {
                assert!(after >= ms(50) && after <= ms(3000), "{after:?}");
                retry_times.insert(after);
            }
            Enqueued::Start(_) => panic!("the window is full"),
        }
    }
    // At most some ten requests of 100 ms each at a time, in 900 ms.
    assert!((1..=90).contains(&waiting), "{waiting}");
    assert!(retry_times.len() > 100, "{}", retry_times.len());
    // Once they can't meet their objective, others would go before them, as many as arrive here.
    assert_eq!(room.on_deadline(ms(1300)).len(), 0);
    let hopeless = room.on_deadline(ms(1301)).len();
    assert!(hopeless > 0);
    assert_eq!(room.on_deadline(ms(1900)).len(), waiting - hopeless);
    assert!(room.is_empty());
}

/// A full room must not keep an urgent request out for less urgent ones.
#[test]
fn a_less_urgent_request_gives_way_in_a_full_room() {
    let limits = RoomLimits {
        requests: 2,
        bytes: 1_000_000,
    };
    let (mut room, _tickets) = congested(limits);
    let first = wait(&mut room, waiter(1000, 1));
    let last = wait(&mut room, waiter(1001, 1));
    reject(&mut room, waiter(1002, 1));
    wait(&mut room, waiter(1003, 0));
    let rejected: Vec<_> = room.on_deadline(ms(1003)).into_iter().collect();
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].0, last);
    assert_ne!(rejected[0].0, first);
    let too_large = Waiter {
        bytes: 2_000_000,
        ..waiter(1004, 0)
    };
    reject(&mut room, too_large);
}

/// After a suspension of the VM, many deadlines have passed at once: none of these requests may be started.
#[test]
fn requests_whose_deadline_has_passed_are_not_started_after_a_jump_of_the_clock() {
    let (mut room, tickets) = congested(RoomLimits::default());
    let ticket = wait(&mut room, waiter(1000, 1));
    tickets.into_iter().for_each(|t| room.end(ms(60_000), t));
    assert_eq!(room.on_slot_free(ms(60_000)), []);
    let rejected = room.on_deadline(ms(60_000));
    assert_eq!(
        rejected.into_iter().map(|(t, _)| t).collect::<Vec<_>>(),
        [ticket]
    );
}

/// Where a request is. It must be in one state only, and its ticket be issued once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Started,
    Over,
}

/// A ticket that is issued twice starts a request twice, or leaves a place taken for good.
#[test]
fn every_request_is_in_one_state() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limits = RoomLimits {
            requests: 30,
            bytes: 40_000,
        };
        let mut room = WaitingRoom::new(limits, seed);
        let mut states: BTreeMap<String, (Ticket, State)> = BTreeMap::new();
        let mut now = 0;
        let change = |states: &mut BTreeMap<String, (Ticket, State)>, ticket, from, to| {
            let state = states
                .get_mut(&format!("{ticket:?}"))
                .expect("a known ticket");
            assert_eq!(state.1, from, "seed {seed}: {ticket:?}");
            state.1 = to;
        };
        for _ in 0..4000 {
            now += rng.random_range(0..10);
            let sites = ["north", "south"];
            let place = site(sites[rng.random_range(0..2)]);
            match rng.random_range(0..6) {
                0..2 => {
                    let waiter = Waiter {
                        site: place,
                        bytes: rng.random_range(500..3000),
                        is_cached: rng.random(),
                        ..waiter(now, rng.random_range(0..3))
                    };
                    let (ticket, state) = match room.enqueue(ms(now), waiter) {
                        Enqueued::Start(ticket) => (ticket, State::Started),
                        Enqueued::Wait(ticket) => (ticket, State::Waiting),
                        Enqueued::Reject(_) => continue,
                    };
                    let before = states.insert(format!("{ticket:?}"), (ticket, state));
                    assert!(before.is_none(), "seed {seed}: {ticket:?}");
                }
                2 => {
                    let load = if rng.random_range(0..3) > 0 {
                        FULL
                    } else {
                        FREE
                    };
                    report(&mut room, now, place.region.as_str(), load);
                }
                _ => {
                    let open = states.values().filter(|(_, state)| *state != State::Over);
                    let open: Vec<_> = open.copied().collect();
                    if let Some((ticket, state)) = open.get(rng.random_range(0..open.len().max(1)))
                    {
                        match state {
                            State::Started => room.end(ms(now), *ticket),
                            _ => room.withdraw(ms(now), *ticket),
                        }
                        change(&mut states, *ticket, *state, State::Over);
                    }
                }
            }
            for (ticket, _) in room.on_deadline(ms(now)) {
                change(&mut states, ticket, State::Waiting, State::Over);
            }
            for ticket in room.on_slot_free(ms(now)) {
                change(&mut states, ticket, State::Waiting, State::Started);
            }
            let count = |wanted| {
                states
                    .values()
                    .filter(|(_, state)| *state == wanted)
                    .count()
            };
            assert_eq!(room.len(), count(State::Waiting), "seed {seed}");
            let windows = sites.map(|name| room.window(&site(name)).map_or(0, |w| w.in_flight()));
            assert_eq!(
                windows.iter().sum::<u32>() as usize,
                count(State::Started),
                "seed {seed}"
            );
        }
    }
}

/// A caller that returns after a rejection is taken for a new one, and waits behind those that came later.
#[test]
fn the_time_that_returning_callers_have_waited_is_known() {
    let mut usual = UsualDeadlines::default();
    for _ in 0..20 {
        usual.record(ms(5000));
        usual.record(ms(1998));
    }
    let mut rng = StdRng::seed_from_u64(1);
    // Returns name any time, and are half of all requests.
    for _ in 0..500 {
        usual.record(ms(rng.random_range(500..4800)));
        usual.record(ms(5000));
        usual.record(ms(1998));
    }
    assert_eq!(usual.record(ms(5000)), ms(0));
    assert_eq!(usual.record(ms(2000)), ms(0));
    assert_eq!(usual.record(ms(3800)), ms(1200));
    assert_eq!(usual.record(ms(1800)), ms(200));
    // Nobody usually waits for longer.
    assert_eq!(usual.record(ms(9000)), ms(0));
    assert_eq!(usual.record(Duration::MAX), ms(0));
}
