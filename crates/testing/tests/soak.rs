//! The soak's checks find each kind of violation, and a plan depends on nothing but its seed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filberthead_testing::soak::{
    CallerRequest, EndpointRun, History, LeaderPause, Limits, Plan, RequestOutcome, RouteMove,
    RouteProbe, RoutesChange, RoutesRead, ServiceArrival, Size, Step, Violation, Workspaces,
    WorstWindow, find_violations,
};

const LIMITS: Limits = Limits {
    max_attempts: 2,
    retry_floor: 10,
    workspaces: Workspaces::FOUR,
    planned_only: false,
};
/// A workspace whose requests are limited in a soak.
const WORKSPACE: &str = "workspace-3";

fn request(id: &str, idempotent: bool, outcome: RequestOutcome) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        request_line: "GET /catalogue/1".to_owned(),
        sent: Instant::now(),
        deadline: None,
        ended: Instant::now(),
        workspace: Some(WORKSPACE.to_owned()),
        idempotent,
        gateway: 0,
        outcome,
        told: None,
    }
}

fn ran(endpoint: usize, id: &str) -> EndpointRun {
    EndpointRun {
        endpoint,
        id: id.to_owned(),
        request_line: "GET /catalogue/1".to_owned(),
        workspace: Some(WORKSPACE.to_owned()),
        has_key: false,
        at: Instant::now(),
    }
}

fn answered(status: u16) -> RequestOutcome {
    RequestOutcome::Answered {
        status,
        matches: true,
    }
}

/// Violations found for one request that ran on these endpoints.
fn violations(request: CallerRequest, endpoints: &[usize], planned_only: bool) -> Vec<Violation> {
    let runs: Vec<EndpointRun> = endpoints.iter().map(|e| ran(*e, &request.id)).collect();
    let history = History {
        requests: vec![request],
        ..History::default()
    };
    let limits = Limits {
        planned_only,
        ..LIMITS
    };
    find_violations(&history, &runs, &[], limits)
}

#[test]
fn a_good_history_has_no_violations() {
    assert_eq!(
        violations(request("a", false, answered(200)), &[0], true),
        []
    );
    assert_eq!(
        violations(request("a", false, answered(503)), &[], true),
        []
    );
    assert_eq!(
        violations(request("a", true, answered(200)), &[0, 1], true),
        []
    );
    assert_eq!(
        violations(request("a", false, answered(502)), &[0], true),
        []
    );
    assert_eq!(
        violations(request("a", false, RequestOutcome::Closed), &[0], false),
        []
    );
}

#[test]
fn each_kind_of_broken_request_is_found() {
    let id = || "a".to_owned();
    let order = |outcome| request("a", false, outcome);
    assert_eq!(
        violations(order(answered(200)), &[0, 1], false),
        [Violation::RanTwice(id())]
    );
    assert_eq!(
        violations(order(answered(503)), &[0], false),
        [Violation::RefusedButRan(id(), 503)]
    );
    assert_eq!(
        violations(request("a", true, answered(200)), &[0, 1, 2], false),
        [Violation::TooManyAttempts(id(), 3)]
    );
    let crossed = RequestOutcome::Answered {
        status: 200,
        matches: false,
    };
    assert_eq!(
        violations(order(crossed), &[0], false),
        [Violation::WrongAnswer(id())]
    );
    assert_eq!(
        violations(order(answered(404)), &[], false),
        [Violation::UnexpectedStatus(id(), 404)]
    );
    assert_eq!(
        violations(order(RequestOutcome::Closed), &[0], true),
        [Violation::CutByPlannedWork(id())]
    );
    let by_deadline = |outcome, left_ms| {
        let request = order(outcome);
        let deadline = Some(request.ended + Duration::from_millis(left_ms));
        CallerRequest {
            deadline,
            ..request
        }
    };
    assert_eq!(
        violations(by_deadline(RequestOutcome::Cut, 1), &[0], true),
        [Violation::CutByPlannedWork(id())]
    );
    assert_eq!(
        violations(by_deadline(RequestOutcome::Closed, 0), &[0], true),
        [Violation::CutByPlannedWork(id())]
    );
    assert_eq!(
        violations(by_deadline(RequestOutcome::Cut, 0), &[0], true),
        []
    );
    let history = History::default();
    assert_eq!(
        find_violations(&history, &[ran(0, "nobody's")], &[], LIMITS),
        [Violation::UnknownRequest("nobody's".to_owned())]
    );
}

#[test]
fn each_kind_of_broken_change_is_found() {
    let now = Instant::now();
    let change = |version, valid, accepted: bool, refused| RoutesChange {
        version,
        valid,
        accepted: accepted.then_some(now),
        refused,
    };
    let read = |version, as_sent| RoutesRead {
        control: 1,
        sent: now + Duration::from_millis(1),
        version,
        as_sent,
    };
    let violations = |changes: Vec<RoutesChange>, reads: Vec<RoutesRead>| {
        let history = History {
            changes,
            reads,
            ..History::default()
        };
        find_violations(&history, &[], &[], LIMITS)
    };
    let accepted = || vec![change(5, true, true, None)];
    assert_eq!(violations(accepted(), vec![read(5, true)]), []);
    assert_eq!(
        violations(accepted(), vec![read(4, true)]),
        [Violation::StaleRead {
            control: 1,
            shown: 4,
            accepted: 5
        }]
    );
    assert_eq!(
        violations(accepted(), vec![read(6, false)]),
        [Violation::AlteredRoutes(1, 6)]
    );
    assert_eq!(
        violations(vec![change(5, true, false, Some(400))], vec![]),
        [Violation::ValidRefused(5, 400)]
    );
    assert_eq!(
        violations(vec![change(5, false, true, None)], vec![]),
        [Violation::InvalidAccepted(5)]
    );
}

#[test]
fn a_gateway_that_returns_to_an_older_version_is_found() {
    let now = Instant::now();
    let probe = |incarnation, version, after_ms| RouteProbe {
        gateway: 2,
        incarnation,
        version,
        has_route: true,
        sent: now + Duration::from_millis(after_ms),
        answered: now + Duration::from_millis(after_ms + 1),
    };
    let violations = |probes: Vec<RouteProbe>| {
        let history = History {
            probes,
            ..History::default()
        };
        find_violations(&history, &[], &[], LIMITS)
    };
    assert_eq!(violations(vec![probe(1, 7, 0), probe(1, 8, 10)]), []);
    assert_eq!(violations(vec![probe(1, 8, 0), probe(2, 7, 10)]), []);
    assert_eq!(
        violations(vec![probe(1, 8, 0), probe(1, 7, 10)]),
        [Violation::VersionRegressed {
            gateway: 2,
            from: 8,
            to: 7
        }]
    );
}

#[test]
fn a_plan_depends_only_on_its_seed() {
    let plan = |seed| Plan::new(seed, Size::default());
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3).steps, plan(4).steps);
    assert!((0..40).any(|seed| plan(seed).planned_only));
    let steps = plan(3).steps;
    assert!(steps.is_sorted_by_key(|timed| timed.at));
}

/// Violations found for one request that ran once, as its endpoint received it.
fn violations_of_run(request: CallerRequest, run: EndpointRun) -> Vec<Violation> {
    let history = History {
        requests: vec![request],
        ..History::default()
    };
    find_violations(&history, &[run], &[], LIMITS)
}

#[test]
fn a_request_in_another_workspaces_name_is_found() {
    let known = || request("a", true, answered(200));
    let unknown = || CallerRequest {
        workspace: None,
        ..request("a", true, answered(401))
    };
    let told = |workspace: Option<&str>| EndpointRun {
        workspace: workspace.map(str::to_owned),
        ..ran(0, "a")
    };
    let wrong = |told: Option<&str>| {
        let told = told.map(str::to_owned);
        Violation::WrongWorkspace("a".to_owned(), told)
    };
    assert_eq!(violations_of_run(known(), told(Some(WORKSPACE))), []);
    for other in [None, Some("somebody-else")] {
        let found = violations_of_run(known(), told(other));
        assert_eq!(found, [wrong(other)]);
    }
    let found = violations_of_run(unknown(), told(Some(WORKSPACE)));
    assert_eq!(found, [wrong(Some(WORKSPACE))]);
    assert_eq!(violations(unknown(), &[], false), []);
    let denied = violations(request("a", true, answered(401)), &[], false);
    assert_eq!(denied, [Violation::UnexpectedStatus("a".to_owned(), 401)]);
}

#[test]
fn a_key_that_was_sent_on_is_found() {
    let run = EndpointRun {
        has_key: true,
        ..ran(0, "a")
    };
    let found = violations_of_run(request("a", true, answered(200)), run);
    assert_eq!(found, [Violation::KeySentOn("a".to_owned())]);
}

#[test]
fn an_exceeded_allotment_is_found() {
    let start = Instant::now();
    let found = |count: u64, gap: Duration| {
        let ids: Vec<String> = (0..count).map(|n| n.to_string()).collect();
        let requests = ids.iter().map(|id| request(id, true, answered(200)));
        let runs = ids.iter().zip(0..).map(|(id, n)| EndpointRun {
            at: start + gap * n,
            ..ran(0, id)
        });
        let history = History {
            requests: requests.collect(),
            ..History::default()
        };
        let runs: Vec<_> = runs.collect();
        find_violations(&history, &runs, &[], LIMITS)
    };
    // 20 a second over 5 s and a burst of 20, a tenth more, and 20: 152.
    assert_eq!(found(152, Duration::ZERO), []);
    assert_eq!(found(1000, Duration::from_millis(40)), []);
    let exceeded = Violation::AllotmentExceeded(WORKSPACE.to_owned(), 153);
    assert_eq!(found(153, Duration::ZERO), [exceeded]);
}

/// Violations found when requests arrive twice each, `gap` apart, and others aren't retried.
fn violations_of_retries(retried: usize, others: usize, gap: Duration) -> Vec<Violation> {
    let start = Instant::now();
    let moment = |number: usize| start + gap * u32::try_from(number).expect("a small number");
    let sent = |number: usize| CallerRequest {
        sent: moment(number),
        ..request(&number.to_string(), true, answered(200))
    };
    let arrival = |number: usize| ServiceArrival {
        service: "catalogue".to_owned(),
        id: number.to_string(),
        at: moment(number),
    };
    let history = History {
        requests: (0..retried + others).map(sent).collect(),
        ..History::default()
    };
    let arrivals: Vec<_> = (0..retried)
        .flat_map(|n| [arrival(n), arrival(n)])
        .collect();
    find_violations(&history, &[], &arrivals, LIMITS)
}

#[test]
fn an_exceeded_retry_budget_is_found() {
    let exceeded = |retries, allowed| {
        Violation::RetryBudgetExceeded(WorstWindow {
            service: "catalogue".to_owned(),
            retries,
            allowed,
        })
    };
    // A fifth of 15 requests, and the floor of 10.
    assert_eq!(violations_of_retries(13, 2, Duration::ZERO), []);
    assert_eq!(
        violations_of_retries(14, 1, Duration::ZERO),
        [exceeded(14, 13)]
    );
    assert_eq!(violations_of_retries(14, 6, Duration::ZERO), []);
    // 12 of them, of 12 requests, are within a window.
    assert_eq!(
        violations_of_retries(100, 0, Duration::from_millis(834)),
        []
    );
    let found = violations_of_retries(100, 0, Duration::from_millis(760));
    assert_eq!(found, [exceeded(14, 12)]);
}

/// Violations found when 30 requests on a route arrive twice each at another service, that the route was
/// moved to this long before, or will be.
fn violations_of_moved_route(moved_before: Option<Duration>) -> Vec<Violation> {
    const RETRIED: usize = 30;
    // Lets windows begin before the first request.
    let start = Instant::now() + Duration::from_secs(60);
    let id = |number: usize| number.to_string();
    let sent = |number| CallerRequest {
        sent: start,
        ..request(&id(number), true, answered(200))
    };
    let arrival = |number| ServiceArrival {
        service: "orders".to_owned(),
        id: id(number),
        at: start,
    };
    let at = moved_before.map_or(start + Duration::from_secs(1), |before| start - before);
    let history = History {
        requests: (0..RETRIED).map(sent).collect(),
        moves: vec![RouteMove {
            route: "catalogue".to_owned(),
            to: "orders".to_owned(),
            after: 1,
            at,
        }],
        ..History::default()
    };
    let arrivals = (0..RETRIED).flat_map(|n| [arrival(n), arrival(n)]);
    find_violations(&history, &[], &arrivals.collect::<Vec<_>>(), LIMITS)
}

/// Requests count for the service that their route leads to.
#[test]
fn the_retry_budget_follows_a_route_that_moves() {
    let exceeded = |allowed| {
        [Violation::RetryBudgetExceeded(WorstWindow {
            service: "orders".to_owned(),
            retries: 30,
            allowed,
        })]
    };
    assert_eq!(violations_of_moved_route(None), exceeded(10));
    // A fifth of 30 requests, and the floor of 10.
    let moved = violations_of_moved_route(Some(Duration::ZERO));
    assert_eq!(moved, exceeded(16));
}

#[test]
fn plans_with_failing_endpoints_depend_only_on_their_seed() {
    let plan = |seed| Plan::with_failing_endpoints(seed, Size::default());
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3).steps, plan(4).steps);
    assert!(plan(3).steps.is_sorted_by_key(|timed| timed.at));
}

/// Plans beside evacuations suspended replicas at random only, so the leader seldom.
#[test]
fn plans_beside_evacuations_suspend_and_resume_leaders() {
    let plan = |seed| Plan::with_evacuations(seed, Size::default());
    assert_eq!(plan(3), plan(3));
    let times = |seed, is_wanted: fn(&Step) -> Option<LeaderPause>| -> BTreeMap<_, _> {
        let steps = plan(seed).steps.into_iter();
        let wanted = steps.filter_map(|timed| Some((is_wanted(&timed.step)?, timed.at)));
        wanted.collect()
    };
    let mut pauses = 0;
    for seed in 0..40 {
        let frozen = times(seed, |step| match step {
            Step::FreezeLeader(pause) => Some(*pause),
            _ => None,
        });
        let resumed = times(seed, |step| match step {
            Step::ResumeLeader(pause) => Some(*pause),
            _ => None,
        });
        assert!(frozen.keys().eq(resumed.keys()));
        assert!(frozen.iter().all(|(pause, at)| resumed[pause] > *at));
        pauses += frozen.len();
    }
    assert!(pauses >= 40, "{pauses} pauses");
}
