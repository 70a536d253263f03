//! Endpoints whose VMs share a host with others and are slow for moments.

use filberthead_place::{Decision, Load, Placer, Request, Target};
use filberthead_types::Moment;

use crate::support::{endpoint, ms, place, placer, record_served, request, service};

/// The answer of an endpoint whose VM takes `slowdown` hundredths of the usual time.
fn answer(placer: &mut Placer, now: Moment, target: &Target, took: Moment, slowdown: Option<u32>) {
    let load = Load {
        slowdown,
        ..Load::default()
    };
    placer.record_load(now, target, load);
    record_served(placer, now, target, took);
}

fn two_endpoints() -> Placer {
    let endpoints = ["a", "b"].map(|id| endpoint(id, "north-1"));
    placer("north-1", endpoints.into())
}

/// Both endpoints have the object cached, and the first one's VM has just become four times slower. The next
/// request must go to the other one, and back to the first once the report is old: the VM stays slow for
/// about 0.6 s only.
#[test]
fn an_endpoint_that_reports_a_slow_vm_is_avoided_for_a_moment() {
    let mut placer = two_endpoints();
    let first = place(&mut placer, ms(0), "o").expect("an endpoint");
    answer(&mut placer, ms(100), &first, ms(100), Some(100));
    let service = service();
    let excluded = [first.id.clone()];
    let elsewhere = Request {
        excluded: &excluded,
        ..request(&service, b"o")
    };
    let Decision::Send(other) = placer.place(ms(100), elsewhere) else {
        panic!("the other endpoint is idle");
    };
    answer(&mut placer, ms(200), &other, ms(100), Some(100));
    let usual = place(&mut placer, ms(1000), "o").expect("an endpoint");
    assert_eq!(usual.id, first.id);
    answer(&mut placer, ms(1400), &usual, ms(400), Some(400));
    assert_eq!(placer.slowed_endpoints(ms(1400)), 1);
    let meanwhile = place(&mut placer, ms(1410), "o").expect("an endpoint");
    assert_ne!(meanwhile.id, first.id);
    answer(&mut placer, ms(1510), &meanwhile, ms(100), Some(100));
    assert_eq!(placer.slowed_endpoints(ms(3500)), 0);
    let after = place(&mut placer, ms(3500), "o").expect("an endpoint");
    assert_eq!(after.id, first.id);
}

/// An endpoint's answers take four times as long, again and again, and it says that its VM is why. This must
/// neither count as the endpoint's own slowness, which is held against it for seconds, nor change the times
/// that are expected of all.
#[test]
fn delay_that_a_slow_vm_explains_is_not_held_against_the_endpoint() {
    let run = |slowdown: Option<u32>| {
        let mut placer = two_endpoints();
        let first = place(&mut placer, ms(0), "o").expect("an endpoint");
        answer(&mut placer, ms(100), &first, ms(100), None);
        let before = placer.estimates(ms(100))[0].response_times;
        for number in 1..40 {
            let sent = ms(number * 5000);
            let target = place(&mut placer, sent, "o").expect("an endpoint");
            let is_first = target.id == first.id;
            let took = if is_first { ms(400) } else { ms(100) };
            let slowdown = slowdown.filter(|_| is_first);
            answer(&mut placer, sent + took, &target, took, slowdown);
        }
        let now = ms(40 * 5000 - 4000);
        let last = place(&mut placer, now, "o").expect("an endpoint");
        (
            last.id == first.id,
            before,
            placer.estimates(now)[0].response_times,
        )
    };
    let (stays, before, after) = run(Some(400));
    assert!(stays, "the endpoint is avoided");
    assert_eq!(before, after, "expected times have changed");
    let (_, before, after) = run(None);
    assert_ne!(before, after, "without the figure, the delay is learned");
}

/// An endpoint reports absurd figures. Requests must still be placed and their times stay finite.
#[test]
fn an_absurd_slowdown_is_bounded() {
    let mut placer = two_endpoints();
    for (number, slowdown) in [u32::MAX, 1, 0, u32::MAX].into_iter().enumerate() {
        let now = ms(number as u64 * 200);
        let target = place(&mut placer, now, "o").expect("an endpoint");
        assert!(target.expected < ms(30_000), "{target:?}");
        answer(&mut placer, now + ms(100), &target, ms(100), Some(slowdown));
    }
}
