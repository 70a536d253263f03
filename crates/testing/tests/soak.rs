//! The soak's verdict finds each kind of broken promise, and a plan is the seed's alone.

use std::time::{Duration, Instant};

use filberthead_testing::soak::{
    Asked, Ended, History, Plan, Probed, Ran, Shown, Size, Told, Violation, judge,
};

const ATTEMPTS: usize = 2;

fn asked(id: &str, idempotent: bool, ended: Ended) -> Asked {
    Asked {
        id: id.to_owned(),
        what: "GET /catalogue/1".to_owned(),
        idempotent,
        gateway: 0,
        ended,
    }
}

fn ran(endpoint: usize, id: &str) -> Ran {
    Ran {
        endpoint,
        id: id.to_owned(),
        what: "GET /catalogue/1".to_owned(),
    }
}

fn answered(status: u16) -> Ended {
    Ended::Answered { status, own: true }
}

/// What is found in one request that ended so and was run by these endpoints.
fn found(request: Asked, endpoints: &[usize], planned_only: bool) -> Vec<Violation> {
    let runs: Vec<Ran> = endpoints.iter().map(|e| ran(*e, &request.id)).collect();
    let history = History {
        asked: vec![request],
        ..History::default()
    };
    judge(&history, &runs, ATTEMPTS, planned_only)
}

#[test]
fn a_good_history_has_nothing() {
    assert_eq!(found(asked("a", false, answered(200)), &[0], true), []);
    assert_eq!(found(asked("a", false, answered(503)), &[], true), []);
    assert_eq!(found(asked("a", true, answered(200)), &[0, 1], true), []);
    assert_eq!(found(asked("a", false, answered(502)), &[0], true), []);
    assert_eq!(found(asked("a", false, Ended::Closed), &[0], false), []);
}

#[test]
fn each_kind_of_broken_request_is_found() {
    let id = || "a".to_owned();
    let order = |ended| asked("a", false, ended);
    assert_eq!(
        found(order(answered(200)), &[0, 1], false),
        [Violation::RanTwice(id())]
    );
    assert_eq!(
        found(order(answered(503)), &[0], false),
        [Violation::RefusedButRan(id(), 503)]
    );
    assert_eq!(
        found(asked("a", true, answered(200)), &[0, 1, 2], false),
        [Violation::TooManyAttempts(id(), 3)]
    );
    let crossed = Ended::Answered {
        status: 200,
        own: false,
    };
    assert_eq!(
        found(order(crossed), &[0], false),
        [Violation::NotItsAnswer(id())]
    );
    assert_eq!(
        found(order(answered(404)), &[], false),
        [Violation::Denied(id(), 404)]
    );
    assert_eq!(
        found(order(Ended::Closed), &[0], true),
        [Violation::CutByPlannedWork(id())]
    );
    let history = History::default();
    assert_eq!(
        judge(&history, &[ran(0, "nobody's")], ATTEMPTS, false),
        [Violation::Unasked("nobody's".to_owned())]
    );
}

#[test]
fn each_kind_of_broken_change_is_found() {
    let now = Instant::now();
    let told = |version, valid, accepted: bool, refused| Told {
        version,
        valid,
        accepted: accepted.then_some(now),
        refused,
    };
    let shown = |version, as_sent| Shown {
        control: 1,
        asked: now + Duration::from_millis(1),
        version,
        as_sent,
    };
    let judged = |told: Vec<Told>, shown: Vec<Shown>| {
        let history = History {
            told,
            shown,
            ..History::default()
        };
        judge(&history, &[], ATTEMPTS, false)
    };
    let accepted = || vec![told(5, true, true, None)];
    assert_eq!(judged(accepted(), vec![shown(5, true)]), []);
    assert_eq!(
        judged(accepted(), vec![shown(4, true)]),
        [Violation::OlderShown {
            control: 1,
            shown: 4,
            accepted: 5
        }]
    );
    assert_eq!(
        judged(accepted(), vec![shown(6, false)]),
        [Violation::OthersShown(1, 6)]
    );
    assert_eq!(
        judged(vec![told(5, true, false, Some(400))], vec![]),
        [Violation::ValidRefused(5, 400)]
    );
    assert_eq!(
        judged(vec![told(5, false, true, None)], vec![]),
        [Violation::InvalidAccepted(5)]
    );
}

#[test]
fn a_gateway_that_goes_back_within_a_life_is_found() {
    let now = Instant::now();
    let probed = |life, version, after_ms| Probed {
        gateway: 2,
        life,
        version,
        known: true,
        sent: now + Duration::from_millis(after_ms),
        ended: now + Duration::from_millis(after_ms + 1),
    };
    let judged = |probed: Vec<Probed>| {
        let history = History {
            probed,
            ..History::default()
        };
        judge(&history, &[], ATTEMPTS, false)
    };
    assert_eq!(judged(vec![probed(1, 7, 0), probed(1, 8, 10)]), []);
    assert_eq!(judged(vec![probed(1, 8, 0), probed(2, 7, 10)]), []);
    assert_eq!(
        judged(vec![probed(1, 8, 0), probed(1, 7, 10)]),
        [Violation::WentBack {
            gateway: 2,
            from: 8,
            to: 7
        }]
    );
}

#[test]
fn a_plan_is_its_seeds_alone() {
    let plan = |seed| Plan::new(seed, Size::default());
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3).steps, plan(4).steps);
    assert!((0..40).any(|seed| plan(seed).planned_only));
    let steps = plan(3).steps;
    assert!(steps.is_sorted_by_key(|timed| timed.at));
}
