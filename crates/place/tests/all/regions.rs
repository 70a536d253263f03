//! The region that requests run in.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_place::Placer;
use filberthead_types::Moment;

use crate::support::{domain, endpoint, ms, place, placer, record_served, region, service};

/// Two endpoints in the north, eight in the south.
fn uneven_endpoints() -> Vec<filberthead_fleet::Endpoint> {
    let north = (0..2).map(|n| endpoint(&format!("n-{n}"), "north-1"));
    let south = (0..8).map(|n| endpoint(&format!("s-{n}"), "south-1"));
    north.chain(south).collect()
}

fn set_gateways(placer: &mut Placer) {
    placer.set_gateways(ms(0), &[(domain("north-1"), 1), (domain("south-1"), 1)]);
}

/// Runs the requests of one second, each of which ends before the next one. Returns how many
/// ran in the south.
fn run_second(placer: &mut Placer, from: Moment, per_s: u64) -> u64 {
    let mut south = 0;
    for number in 0..per_s {
        let now = from + ms(1000 * number / per_s);
        placer.record_request(now, &service(), 0);
        let target = place(placer, now, &format!("o-{}", number % 40)).expect("an endpoint");
        south += u64::from(target.id.starts_with('s'));
        record_served(placer, now, &target, ms(100) + target.overhead);
        if number % (per_s / 2) == 0 {
            placer.update_plans(now);
        }
    }
    south
}

fn set_demand(placer: &mut Placer, now: Moment, north: u32, south: u32) {
    let demand = [
        (region("north"), service(), north),
        (region("south"), service(), south),
    ];
    placer.set_demand(now, &demand);
}

/// The north has 6 slots and its callers need 9; the south has 24 and spare capacity. A share
/// of the north's objects must be placed in the south from then on, and always the same ones.
#[test]
fn a_region_with_too_few_endpoints_places_objects_elsewhere() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    placer.update_plans(ms(0));
    for number in 0..30 {
        set_demand(&mut placer, ms(1000 * number), 9000, 4000);
        run_second(&mut placer, ms(1000 * number), 80);
    }
    let mut placements: BTreeMap<String, BTreeSet<bool>> = BTreeMap::new();
    for number in 0..200 {
        let object = format!("o-{}", number % 40);
        let target = place(&mut placer, ms(30_000 + number), &object).expect("an endpoint");
        let is_remote = target.id.starts_with('s');
        placements.entry(object).or_default().insert(is_remote);
        record_served(&mut placer, ms(30_000 + number), &target, ms(100));
    }
    // Requests for objects at the boundary of a share are divided between the regions by
    // design: 2 of 40 objects on average.
    let divided = placements
        .values()
        .filter(|regions| regions.len() > 1)
        .count();
    assert!(divided <= 4, "{placements:?}");
    let remote = placements
        .values()
        .filter(|regions| regions.contains(&true))
        .count();
    // Enough that 9 busy slots use less than 0.6 of the 6 in the north: 60 of 100, of which 40
    // objects are a sample.
    assert!((18..=30).contains(&remote), "{remote} of 40 objects");
}

/// Demand drops to almost nothing and increases again within a second. The share that runs in
/// the other region must not change by more than 0.15 from one window to the next, although
/// objects aren't spread evenly over the plan.
#[test]
fn the_remote_share_changes_slowly() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    placer.update_plans(ms(0));
    let mut before: Option<f64> = None;
    for window in 0..30 {
        let busy = if (window / 5) % 2 == 0 { 1000 } else { 12_000 };
        let mut south = 0;
        for half in 0..2 {
            let now = ms(2000 * window + 1000 * half);
            set_demand(&mut placer, now, busy, 2000);
            south += run_second(&mut placer, now, 200);
        }
        let share = south as f64 / 400.0;
        if let Some(before) = before {
            assert!(
                (share - before).abs() <= 0.15,
                "window {window}: {before} to {share}"
            );
        }
        before = Some(share);
    }
}

/// All endpoints of a region are lost at the same time. Its callers must be served elsewhere
/// at once, without a ramp.
#[test]
fn a_region_without_endpoints_is_served_elsewhere_at_once() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    placer.set_evacuated(ms(0), [domain("north-1")].into());
    assert_eq!(run_second(&mut placer, ms(0), 40), 40);
}

/// A gateway starts while others serve. It must set the plan that they follow in one step:
/// starting from no shares, it would overload its region's few endpoints for as long as the
/// ramp takes.
#[test]
fn a_joining_gateway_sets_its_plan_in_one_step() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    set_demand(&mut placer, ms(0), 9000, 4000);
    placer.update_plans(ms(0));
    let south = run_second(&mut placer, ms(100), 80);
    assert!((32..=64).contains(&south), "{south} of 80");
}

/// The other region is nearer, or farther, than assumed initially. The expected time must
/// converge to that of its responses.
#[test]
fn the_round_trip_to_another_region_is_learned() {
    for rtt_ms in [10, 200] {
        let mut placer = placer("north-1", vec![endpoint("s", "south-1")]);
        for number in 0..400 {
            let target = place(&mut placer, ms(number * 50), "o").expect("an endpoint");
            record_served(&mut placer, ms(number * 50), &target, ms(100 + rtt_ms));
        }
        let target = place(&mut placer, ms(30_000), "o").expect("an endpoint");
        let off = (target.expected + target.rtt).abs_diff(ms(100 + rtt_ms));
        assert!(off < ms(20), "{rtt_ms}: {target:?}");
    }
}

/// All of control fails in the first second of a day, before most callers have become active,
/// and stays down. Callers of a region with too few endpoints must still be served where the
/// plan places their objects: the last reported demand is no longer valid.
#[test]
fn a_plan_does_not_follow_expired_demand() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    for number in 0..8 {
        set_demand(&mut placer, ms(1000 * number), 9000, 4000);
        run_second(&mut placer, ms(1000 * number), 80);
    }
    let before = run_second(&mut placer, ms(8000), 80);
    assert!(before >= 32, "{before} of 80");
    set_demand(&mut placer, ms(9000), 100, 100);
    for number in 9..40 {
        run_second(&mut placer, ms(1000 * number), 80);
    }
    let after = run_second(&mut placer, ms(40_000), 80);
    assert!(after + 16 >= before, "{before}, later {after} of 80");
}

/// The north has two endpoints of three slots, and its callers need 3.4 of the 6; the south
/// has 24 and hardly any callers. Each object has one endpoint, so the busier one of the north
/// is often full, and its requests wait for tens of milliseconds. With a round trip of 10 ms
/// to the south, a share of them must go there; with a second, none must.
#[test]
fn a_region_sends_away_requests_that_would_wait_longer_than_the_round_trip() {
    for (rtt_ms, expected) in [(10, 16..=64), (1000, 0..=0)] {
        let mut placer = placer("north-1", uneven_endpoints());
        set_gateways(&mut placer);
        set_demand(&mut placer, ms(0), 3400, 3000);
        learn_rtt(&mut placer, rtt_ms);
        for number in 10..40 {
            set_demand(&mut placer, ms(1000 * number), 3400, 3000);
            run_second(&mut placer, ms(1000 * number), 80);
        }
        let south = run_second(&mut placer, ms(40_000), 80);
        assert!(
            expected.contains(&south),
            "{south} of 80 at a round trip of {rtt_ms} ms"
        );
    }
}

/// Evacuates the north for a while, so that its gateway measures the round trip to the south.
fn learn_rtt(placer: &mut Placer, rtt_ms: u64) {
    placer.set_evacuated(ms(0), [domain("north-1")].into());
    for number in 0..400 {
        let now = ms(number * 20);
        placer.record_request(now, &service(), 0);
        let target = place(placer, now, "o").expect("an endpoint");
        record_served(placer, now, &target, ms(100 + rtt_ms));
    }
    placer.set_evacuated(ms(8000), [].into());
}

/// Half of the north's callers connect elsewhere for 7 s, as if the gateways of a failure
/// domain were unreachable, and return at once; this repeats. The demand is 9 or 4.5 busy
/// slots, and the north has 6. A plan may only move in small steps. If it has moved requests
/// back by the time that the callers return, the few endpoints of the north are full for
/// seconds.
#[test]
fn a_region_short_of_slots_is_not_filled_by_returning_callers() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    let mut fullest: f64 = 0.0;
    for number in 0..70 {
        let busy = if number % 14 < 7 { 9.0 } else { 4.5 };
        set_demand(&mut placer, ms(1000 * number), (busy * 1000.0) as u32, 4000);
        let per_s = 200;
        let south = run_second(&mut placer, ms(1000 * number), per_s);
        let local = busy * (1.0 - south as f64 / per_s as f64);
        // After the plan has converged.
        if number >= 14 {
            fullest = fullest.max(local / 6.0);
        }
    }
    // Objects aren't spread evenly: the utilisation of the busier endpoints is 0.4 above that
    // of their region, and they are full beyond this.
    assert!(fullest <= 1.0 / 1.4, "{fullest}");
}

/// All callers have just become active. The demand that is reported after half a second must
/// be complete, or the plans of their region are made for a fraction of it.
#[test]
fn demand_is_reported_in_full_from_the_start() {
    let mut placer = placer("north-1", uneven_endpoints());
    let started_at = ms(8000);
    for number in 0..50 {
        placer.record_request(started_at + ms(number * 10), &service(), 0);
    }
    let reported = placer.take_demand(started_at + ms(500));
    let work = placer.estimates(started_at)[0].response_times.0;
    let busy = f64::from(reported[0].busy_milli) / 1000.0;
    let expected = 100.0 * work.as_secs_f64();
    assert!(
        (busy - expected).abs() < 0.1 * expected,
        "{busy} of {expected}"
    );
}

/// Every region needs more slots than it has, and gateways receive too few responses from
/// endpoints of other regions to detect that they are full too. A request that goes there
/// without a plan arrives at an endpoint that doesn't have its object cached, and takes three
/// times as long; the other regions do the same in return. Requests must stay in their region,
/// and those that would be late must be rejected.
#[test]
fn a_full_region_does_not_send_its_overload_to_others() {
    let mut placer = placer("north-1", uneven_endpoints());
    let mut refused = 0;
    for number in 0..60 {
        let now = ms(number * 5);
        match place(&mut placer, now, &format!("o-{}", number % 40)) {
            Some(target) => assert!(target.id.starts_with('n'), "{number}: {target:?}"),
            None => refused += 1,
        }
    }
    assert!(refused > 0);
}

/// Guards against all requests of a plan returning to their region within one window when the
/// region that runs them is overloaded.
#[test]
fn requests_return_from_an_overloaded_region_at_a_bounded_rate() {
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    let full = filberthead_place::Load {
        running: 3,
        waiting: 30,
        slowdown: None,
    };
    let mut before: Option<f64> = None;
    for window in 0..10 {
        let (mut ran, mut south) = (0, 0);
        for number in 0..400 {
            let now = ms(2000 * window + 5 * number);
            if number % 100 == 0 {
                set_demand(&mut placer, now, 9000, 4000);
                placer.update_plans(now);
            }
            placer.record_request(now, &service(), 0);
            let object = format!("o-{}", number % 40);
            // A rejected request runs nowhere.
            let Some(target) = place(&mut placer, now, &object) else {
                continue;
            };
            ran += 1;
            if target.id.starts_with('s') {
                south += 1;
                if window >= 5 {
                    placer.record_load(now, &target, full);
                }
            }
            record_served(&mut placer, now, &target, ms(100) + target.overhead);
        }
        let share = f64::from(south) / f64::from(ran);
        if let Some(before) = before {
            let change: f64 = share - before;
            assert!(change.abs() <= 0.15, "window {window}: {before} to {share}");
        }
        before = Some(share);
    }
}

/// Requests that a gateway has sent, each with the time at which it is served.
#[derive(Default)]
struct InFlight(Vec<(Moment, filberthead_place::Target)>);

impl InFlight {
    fn end_until(&mut self, placer: &mut Placer, now: Moment) {
        for (at, target) in self.0.extract_if(.., |(at, _)| *at <= now) {
            record_served(placer, at, &target, ms(100) + target.overhead);
        }
    }
}

/// A region that is short of slots rejects most of what its plan keeps at home, while what is planned
/// elsewhere runs: the region in which a third of the requests ran changed within two seconds.
#[test]
fn a_region_that_rejects_moves_no_more_of_its_requests_than_allowed() {
    const CALM_PER_S: u64 = 40;
    const BURST: std::ops::Range<u64> = 20..28;
    let mut placer = placer("north-1", uneven_endpoints());
    set_gateways(&mut placer);
    placer.update_plans(ms(0));
    let mut in_flight = InFlight::default();
    let mut before: Option<f64> = None;
    for window in 0..20 {
        let (mut ran, mut south) = (0, 0);
        for second in [2 * window, 2 * window + 1] {
            let factor = if BURST.contains(&second) { 6 } else { 1 };
            let per_s = CALM_PER_S * factor;
            for number in 0..per_s {
                let now = ms(1000 * second + 1000 * number / per_s);
                in_flight.end_until(&mut placer, now);
                if number % (per_s / 2) == 0 {
                    set_demand(&mut placer, now, 100 * per_s as u32, 2000);
                    placer.update_plans(now);
                }
                placer.record_request(now, &service(), 0);
                let object = format!("o-{}", number % 40);
                // A rejected request runs nowhere.
                let Some(target) = place(&mut placer, now, &object) else {
                    continue;
                };
                ran += 1;
                south += u32::from(target.id.starts_with('s'));
                in_flight.0.push((now + ms(100) + target.overhead, target));
            }
        }
        let share = f64::from(south) / f64::from(ran);
        if let Some(before) = before.filter(|_| window >= 8) {
            let change: f64 = share - before;
            assert!(change.abs() <= 0.15, "window {window}: {before} to {share}");
        }
        before = Some(share);
    }
}
