//! The soak's check of requests that stopping gateways give up while endpoints are at work on them.

use std::time::{Duration, Instant};

use filberthead_testing::site::{Records, RunEnd};
use filberthead_testing::soak::deployed::{EndpointCut, PlannedStop, find_given_up};
use filberthead_testing::soak::{CallerRequest, RequestOutcome};

const GRACE: Duration = Duration::from_secs(6);
/// How long the caller waits.
const TIME: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A read that is sent a second before its gateway gets the signal to stop, or late in the stop.
#[derive(Clone, Copy)]
struct Case {
    /// Status of its answer; 0 if its connection is closed without one.
    status: u16,
    is_late: bool,
    /// The longest that it may take by its route.
    time: Duration,
    gateway: usize,
    /// When it was answered after the signal, and when its endpoint's run ended.
    answered: Duration,
    run_ended: Duration,
    is_complete: bool,
    /// When the gateway's links to endpoints were cut.
    cut: Option<Duration>,
    /// How long its caller has told to wait.
    told: Option<Duration>,
    /// When its gateway was started again, after the request was sent or before.
    restarted: Option<Restart>,
}

#[derive(Clone, Copy)]
enum Restart {
    Before,
    After,
}

const GIVEN_UP: Case = Case {
    status: 502,
    is_late: false,
    time: TIME,
    gateway: 0,
    answered: Duration::from_millis(1_000),
    run_ended: Duration::from_millis(1_030),
    is_complete: false,
    cut: None,
    told: None,
    restarted: None,
};

fn is_found(case: Case) -> bool {
    let sent = Instant::now();
    let stopped = match case.is_late {
        true => sent - ms(3_100),
        false => sent + ms(1_000),
    };
    let request = CallerRequest {
        id: "read".to_owned(),
        request_line: "GET /catalogue/1".to_owned(),
        sent,
        deadline: case.told.map(|time| sent + time),
        ended: stopped + case.answered,
        workspace: None,
        idempotent: true,
        gateway: case.gateway,
        outcome: match case.status {
            0 => RequestOutcome::Closed,
            status => RequestOutcome::Answered {
                status,
                matches: false,
            },
        },
        told: None,
    };
    let end = RunEnd {
        id: "read".to_owned(),
        at: stopped + case.run_ended,
        is_complete: case.is_complete,
    };
    let records = Records {
        ends: vec![end],
        ..Records::default()
    };
    let stop = PlannedStop {
        gateway: 0,
        from: stopped,
        to: stopped + GRACE,
        restarted: case.restarted.map(|restart| match restart {
            Restart::Before => sent,
            Restart::After => sent + ms(1),
        }),
    };
    let cuts = case.cut.map(|at| EndpointCut {
        gateways: vec![0],
        from: stopped + at,
        to: stopped + at + GRACE,
    });
    let cuts: Vec<EndpointCut> = cuts.into_iter().collect();
    !find_given_up(&[request], &[vec![records]], &[stop], &cuts, |_| case.time).is_empty()
}

#[test]
fn an_answer_in_place_of_an_endpoint_at_work_is_found() {
    assert!(is_found(GIVEN_UP));
    let no_answer_in_time = Case {
        status: 504,
        ..GIVEN_UP
    };
    assert!(is_found(no_answer_in_time));
    let sent_again = Case {
        told: Some(ms(2_200)),
        ..GIVEN_UP
    };
    assert!(is_found(sent_again));
    let restarted_later = Case {
        restarted: Some(Restart::After),
        ..GIVEN_UP
    };
    assert!(is_found(restarted_later));
}

#[test]
fn an_endpoint_that_was_not_at_work_any_more_was_not_given_up() {
    let ended_before = Case {
        run_ended: ms(900),
        ..GIVEN_UP
    };
    let answered = Case {
        is_complete: true,
        ..GIVEN_UP
    };
    assert!(!is_found(ended_before) && !is_found(answered));
}

#[test]
fn only_own_answers_of_stopping_gateways_well_before_the_end_count() {
    let refused = Case {
        status: 503,
        ..GIVEN_UP
    };
    let elsewhere = Case {
        gateway: 1,
        ..GIVEN_UP
    };
    let at_deadline = Case {
        answered: ms(2_900),
        run_ended: ms(2_930),
        ..GIVEN_UP
    };
    let link_cut = Case {
        cut: Some(ms(500)),
        ..GIVEN_UP
    };
    let at_its_own_deadline = Case {
        told: Some(ms(2_100)),
        ..GIVEN_UP
    };
    let by_the_next_process = Case {
        restarted: Some(Restart::Before),
        ..GIVEN_UP
    };
    for case in [
        by_the_next_process,
        refused,
        elsewhere,
        at_deadline,
        link_cut,
        at_its_own_deadline,
    ] {
        assert!(!is_found(case));
    }
}

/// What is sent late may not be cut in the last sixth of the grace period either.
#[test]
fn the_end_of_the_grace_period_excuses_early_requests_only() {
    let cut_at_end = Case {
        answered: ms(5_500),
        run_ended: ms(5_530),
        time: 2 * TIME,
        ..GIVEN_UP
    };
    let late = Case {
        is_late: true,
        ..cut_at_end
    };
    let closed = |case| Case { status: 0, ..case };
    assert!(is_found(late) && is_found(closed(late)));
    assert!(!is_found(cut_at_end) && !is_found(closed(cut_at_end)));
}
