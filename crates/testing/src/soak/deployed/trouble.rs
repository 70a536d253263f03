//! The kinds of faults, and the actions that bring each about.

use std::str::FromStr;
use std::time::Duration;

use rand::Rng;

use super::crashing::CrashingRequest;
use super::plan::{Action, ComingCrowd, EndpointAction, Generator, LoadChange};
use crate::crowd::Unfinished;
use crate::proxy::Flow;
use crate::site::{Behaviour, EndpointCommand, RestCommand};
use crate::soak::plan::{Step, Target};

/// Duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..8_000;
/// Duration of the suspension of an endpoint, in milliseconds: up to longer than a window of the
/// retry budget.
const PAUSE_MS: std::ops::Range<u64> = 300..13_000;
/// Duration of the suspension of a gateway, in milliseconds: most are shorter than a deadline.
const GATEWAY_PAUSE_MS: std::ops::Range<u64> = 50..2_500;
/// Time that a process is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 50..4_000;
/// Time between the restarts of a series, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 200..1_300;
/// Duration of a cut between processes, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 1_000..20_000;
/// Duration of a cut between gateways and endpoints, in milliseconds.
const ENDPOINT_CUT_MS: std::ops::Range<u64> = 2_000..13_000;
/// One caller in this many leaves early while callers leave, and beside relays.
const LEAVER_EVERY: usize = 5;
const LEAVER_EVERY_BESIDE_RELAYS: usize = 2;
/// Time between two suspensions of a starved process.
const STARVED_PERIOD: Duration = Duration::from_millis(100);

/// Clients of a crowd: up to what a process of the test may open connections for.
const CROWD_CLIENTS: std::ops::Range<usize> = 50..600;
/// Ports of a gateway and of a control replica.
const GATEWAY_PORTS: [&str; 5] = ["caller", "relay", "readiness", "status", "peer"];
const CONTROL_PORTS: [&str; 4] = ["orders", "lookups", "operator", "peer"];

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// Endpoints of a service fail a share of their requests, in one of several ways.
    EndpointsFail,
    /// All endpoints of a service fail most of their requests.
    ServiceFails,
    /// Endpoints take several times as long.
    EndpointsSlow,
    /// Endpoints' processes are suspended.
    EndpointsPaused,
    /// Endpoints' processes get a part of the processor only.
    EndpointsStarved,
    /// Endpoints crash and start again.
    EndpointsCrash,
    /// A request crashes each endpoint that runs it, and comes again and again.
    RequestsCrashEndpoints,
    /// Endpoints name the rate of requests that they take, for a while.
    EndpointsNameLimits,
    /// Endpoints reject a part of their requests and ask for rest.
    EndpointsAskForRest,
    /// Endpoints say that they are leaving while the list shows them as ready, and are replaced later.
    EndpointsSayTheyLeave,
    /// Endpoints of a service send bytes without end in place of a share of their answers.
    EndlessAnswers,
    /// Links to endpoints forward nothing for a while.
    EndpointLinksHeld,
    /// Links to endpoints are slow.
    EndpointLinksSlow,
    /// Endpoints are replaced one after the other.
    Release,
    /// Addresses of endpoints are taken over by endpoints of any service.
    AddressesTakenOver,
    /// Some endpoints fail at once while others of the service are suspended, and all fail once
    /// these go on.
    FailuresBesidePauses,
    /// All endpoints fail while most failure domains' gateways are cut off from endpoints and half of the
    /// callers leave early.
    FailuresBesideRelays,
    /// A route leads to another service for a while.
    RouteMoved,
    /// Some gateways are there only from then on.
    GatewaysAdded,
    /// Gateways are killed and restarted.
    GatewaysKilled,
    /// Gateways are stopped and restarted one after the other.
    GatewaysStopped,
    /// Gateways are stopped one after the other, several at a time, while more requests come than endpoints
    /// can run, some gateways are starved and others relay their requests.
    GatewaysStoppedUnderLoad,
    /// Gateways are stopped one after the other, and what comes late in each stop takes as long as no request before.
    GatewaysStoppedBesideLongRequests,
    /// More than half of the gateways are killed at once.
    GatewaysKilledTogether,
    /// Gateways are suspended, most for less than a deadline.
    GatewaysPaused,
    /// Gateways get a part of the processor only.
    GatewaysStarved,
    /// Connections of gateways are reset.
    GatewayConnectionsReset,
    /// One gateway, or some or all of a failure domain, are cut off from all endpoints, but neither from
    /// callers nor from other processes.
    GatewaysCutOffFromEndpoints,
    /// A failure domain's gateways and control replicas are cut off from the others.
    DomainCutOff,
    /// A failure domain loses power, with its endpoints.
    DomainLost,
    /// A control replica is killed.
    ControlKilled,
    /// Control replicas are restarted in series.
    ControlRestarted,
    /// All control replicas are killed at once.
    ControlKilledTogether,
    /// All gateways and control replicas are killed at once and started again.
    AllKilled,
    /// A control replica is suspended.
    ControlPaused,
    /// Links between all processes are slow.
    LinksSlow,
    /// More requests come.
    Burst,
    /// Callers use the gateways of another failure domain.
    CallersMove,
    /// Some callers repeat at once and often.
    CallersAbuse,
    /// Some callers leave before their deadline.
    CallersLeave,
    /// A crowd connects to one port of a process, stops short of the end of what it sends, and stays.
    ClientsHoldOn,
}

/// All kinds with their names.
pub const ALL_TROUBLES: [(&str, TroubleKind); 41] = [
    ("endpoints-fail", TroubleKind::EndpointsFail),
    ("service-fails", TroubleKind::ServiceFails),
    ("endpoints-slow", TroubleKind::EndpointsSlow),
    ("endpoints-paused", TroubleKind::EndpointsPaused),
    ("endpoints-starved", TroubleKind::EndpointsStarved),
    ("endpoints-crash", TroubleKind::EndpointsCrash),
    (
        "requests-crash-endpoints",
        TroubleKind::RequestsCrashEndpoints,
    ),
    ("endpoints-name-limits", TroubleKind::EndpointsNameLimits),
    ("endpoints-ask-for-rest", TroubleKind::EndpointsAskForRest),
    (
        "endpoints-say-they-leave",
        TroubleKind::EndpointsSayTheyLeave,
    ),
    ("endless-answers", TroubleKind::EndlessAnswers),
    ("endpoint-links-held", TroubleKind::EndpointLinksHeld),
    ("endpoint-links-slow", TroubleKind::EndpointLinksSlow),
    ("release", TroubleKind::Release),
    ("addresses-taken-over", TroubleKind::AddressesTakenOver),
    ("failures-beside-pauses", TroubleKind::FailuresBesidePauses),
    ("failures-beside-relays", TroubleKind::FailuresBesideRelays),
    ("route-moved", TroubleKind::RouteMoved),
    ("gateways-added", TroubleKind::GatewaysAdded),
    ("gateways-killed", TroubleKind::GatewaysKilled),
    ("gateways-stopped", TroubleKind::GatewaysStopped),
    (
        "gateways-stopped-under-load",
        TroubleKind::GatewaysStoppedUnderLoad,
    ),
    (
        "gateways-stopped-beside-long-requests",
        TroubleKind::GatewaysStoppedBesideLongRequests,
    ),
    (
        "gateways-killed-together",
        TroubleKind::GatewaysKilledTogether,
    ),
    ("gateways-paused", TroubleKind::GatewaysPaused),
    ("gateways-starved", TroubleKind::GatewaysStarved),
    (
        "gateway-connections-reset",
        TroubleKind::GatewayConnectionsReset,
    ),
    (
        "gateways-cut-off-from-endpoints",
        TroubleKind::GatewaysCutOffFromEndpoints,
    ),
    ("domain-cut-off", TroubleKind::DomainCutOff),
    ("domain-lost", TroubleKind::DomainLost),
    ("control-killed", TroubleKind::ControlKilled),
    ("control-restarted", TroubleKind::ControlRestarted),
    (
        "control-killed-together",
        TroubleKind::ControlKilledTogether,
    ),
    ("all-killed", TroubleKind::AllKilled),
    ("control-paused", TroubleKind::ControlPaused),
    ("links-slow", TroubleKind::LinksSlow),
    ("burst", TroubleKind::Burst),
    ("callers-move", TroubleKind::CallersMove),
    ("callers-abuse", TroubleKind::CallersAbuse),
    ("callers-leave", TroubleKind::CallersLeave),
    ("clients-hold-on", TroubleKind::ClientsHoldOn),
];

impl FromStr for TroubleKind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let kind = ALL_TROUBLES.iter().find(|(known, _)| *known == name);
        kind.map(|(_, kind)| *kind)
            .ok_or_else(|| format!("`{name}` isn't a kind of fault"))
    }
}

/// Ways in which endpoints fail so that a read is sent again.
const FAILURES: [Behaviour; 5] = [
    Behaviour::Fails,
    Behaviour::LosesAnswer,
    Behaviour::Sheds,
    Behaviour::WrongRequestId,
    Behaviour::Truncates,
];

/// Ways in which endpoints send bytes without end.
const ENDLESS: [Behaviour; 7] = [
    Behaviour::EndlessHead,
    Behaviour::EndlessInterim,
    Behaviour::EndlessGarbage,
    Behaviour::EndlessBody,
    Behaviour::EndlessSmallChunks,
    Behaviour::EndlessChunkSize,
    Behaviour::EndlessUnframed,
];

/// Adds a fault of this kind that begins at `at`.
pub(super) fn add(g: &mut Generator, kind: TroubleKind, at: Duration) {
    match kind {
        TroubleKind::EndpointsFail
        | TroubleKind::ServiceFails
        | TroubleKind::EndpointsSlow
        | TroubleKind::FailuresBesidePauses => failing_endpoints(g, kind, at),
        TroubleKind::EndpointsPaused
        | TroubleKind::EndpointsStarved
        | TroubleKind::EndpointLinksHeld
        | TroubleKind::EndpointLinksSlow => late_endpoints(g, kind, at),
        TroubleKind::EndpointsNameLimits => named_limits(g, at),
        TroubleKind::EndpointsAskForRest => rests(g, at),
        TroubleKind::EndpointsSayTheyLeave => leaving_endpoints(g, at),
        TroubleKind::EndlessAnswers => endless_answers(g, at),
        TroubleKind::FailuresBesideRelays => failures_beside_relays(g, at),
        TroubleKind::RouteMoved => moved_route(g, at),
        TroubleKind::ClientsHoldOn => clients_hold_on(g, at),
        TroubleKind::RequestsCrashEndpoints => crashing_request(g, at),
        TroubleKind::EndpointsCrash | TroubleKind::Release | TroubleKind::AddressesTakenOver => {
            replaced_endpoints(g, kind, at);
        }
        TroubleKind::GatewaysAdded
        | TroubleKind::GatewaysKilled
        | TroubleKind::GatewaysStopped
        | TroubleKind::GatewaysKilledTogether
        | TroubleKind::GatewaysPaused
        | TroubleKind::GatewaysStarved
        | TroubleKind::GatewayConnectionsReset => gateways(g, kind, at),
        TroubleKind::GatewaysCutOffFromEndpoints => endpoint_links(g, at),
        TroubleKind::GatewaysStoppedUnderLoad => stops_under_load(g, at),
        TroubleKind::GatewaysStoppedBesideLongRequests => stops_beside_long_requests(g, at),
        TroubleKind::DomainCutOff | TroubleKind::DomainLost => domain(g, kind, at),
        TroubleKind::ControlKilled
        | TroubleKind::ControlRestarted
        | TroubleKind::ControlKilledTogether
        | TroubleKind::AllKilled
        | TroubleKind::ControlPaused
        | TroubleKind::LinksSlow => control(g, kind, at),
        TroubleKind::Burst
        | TroubleKind::CallersMove
        | TroubleKind::CallersAbuse
        | TroubleKind::CallersLeave => load(g, kind, at),
    }
}

/// A caller sends a request that crashes endpoints for longer than they are given to learn that.
fn crashing_request(g: &mut Generator, at: Duration) {
    const SENT_MS: std::ops::Range<u64> = 10_000..25_000;
    let (service, idempotent) =
        g.service_kinds[g.rng.random_range(0..g.service_kinds.len())].clone();
    g.crashing += 1;
    let request = CrashingRequest {
        number: g.crashing,
        service,
        idempotent,
        lasts: g.millis(SENT_MS),
    };
    g.push(at, Action::CrashingRequest(request));
}

/// Endpoints name a limit each, some a second one later, and then none any more.
fn named_limits(g: &mut Generator, at: Duration) {
    const LASTS_MS: std::ops::Range<u64> = 9_000..16_000;
    const SHARES: [f64; 3] = [0.1, 0.3, 0.8];
    /// Requests per second: below one in a window, a few, and more than an endpoint gets.
    const RATES: [std::ops::Range<f64>; 4] = [0.1..0.5, 0.5..2.0, 2.0..6.0, 6.0..40.0];
    let share = SHARES[g.rng.random_range(0..SHARES.len())];
    let draw = |g: &mut Generator| {
        let rates = RATES[g.rng.random_range(0..RATES.len())].clone();
        EndpointCommand::NameLimit(Some(g.rng.random_range(rates)))
    };
    for endpoint in g.draw_endpoints(share) {
        let first = draw(g);
        g.endpoint(at, endpoint, EndpointAction::Command(first));
        let mut end = at + g.millis(LASTS_MS);
        if g.rng.random_bool(0.3) {
            let second = draw(g);
            g.endpoint(end, endpoint, EndpointAction::Command(second));
            end += g.millis(LASTS_MS);
        }
        let none = EndpointCommand::NameLimit(None);
        g.endpoint(end, endpoint, EndpointAction::Command(none));
    }
}

/// Some or all endpoints of a service reject a share of their requests and ask for rest.
fn rests(g: &mut Generator, at: Duration) {
    const LASTS_MS: std::ops::Range<u64> = 3_000..10_000;
    const REST_MS: std::ops::Range<u64> = 500..6_000;
    const SHARES: [f64; 3] = [0.1, 0.4, 1.0];
    /// Chance that an endpoint says that what it rejects did not run.
    const SAYS_NOT_EXECUTED: f64 = 0.8;
    let share = SHARES[g.rng.random_range(0..SHARES.len())];
    let end = at + g.millis(LASTS_MS);
    for endpoint in g.draw_endpoints(share) {
        let rest = RestCommand {
            time: g.millis(REST_MS),
            share: g.rng.random_range(0.2..=1.0),
            not_executed: g.rng.random_bool(SAYS_NOT_EXECUTED),
        };
        let command = |rest| EndpointAction::Command(EndpointCommand::AskForRest(rest));
        g.endpoint(at, endpoint, command(Some(rest)));
        g.endpoint(end, endpoint, command(None));
    }
}

/// Endpoints say that they are leaving, the list shows some of them as draining later or never, and they are
/// killed and started as new instances.
fn leaving_endpoints(g: &mut Generator, at: Duration) {
    const LEAVES_MS: std::ops::Range<u64> = 6_000..12_000;
    const SHOWN_MS: std::ops::Range<u64> = 1_000..6_000;
    const SHARES: [f64; 3] = [0.1, 0.3, 0.6];
    let share = SHARES[g.rng.random_range(0..SHARES.len())];
    for endpoint in g.draw_endpoints(share) {
        let says = EndpointCommand::SayLeaving(true);
        g.endpoint(at, endpoint, EndpointAction::Command(says));
        if g.rng.random_bool(0.4) {
            let shown_at = at + g.millis(SHOWN_MS);
            g.endpoint(shown_at, endpoint, EndpointAction::Drain);
        }
        let gone_at = at + g.millis(LEAVES_MS);
        let back_at = gone_at + g.millis(DOWN_MS);
        g.endpoint(gone_at, endpoint, EndpointAction::Kill);
        g.endpoint(back_at, endpoint, EndpointAction::Start);
    }
}

/// Some endpoints of a service, or all, answer a share of their requests and health checks without end.
fn endless_answers(g: &mut Generator, at: Duration) {
    let end = at + g.millis(FAULT_MS);
    let of_service = [0.2, 0.5, 1.0][g.rng.random_range(0..3)];
    let share = g.rng.random_range(0.1..0.9);
    for endpoint in g.draw_endpoints(of_service) {
        let how = ENDLESS[g.rng.random_range(0..ENDLESS.len())];
        let command =
            |behaviour, share| EndpointAction::Command(EndpointCommand::Behave(behaviour, share));
        g.endpoint(at, endpoint, command(how, share));
        g.endpoint(end, endpoint, command(Behaviour::Serves, 1.0));
    }
}

/// A crowd at any port of a gateway or a control replica.
fn clients_hold_on(g: &mut Generator, at: Duration) {
    let (target, ports) = match g.rng.random_bool(0.7) {
        true => {
            let gateway = g.rng.random_range(0..g.gateways);
            (Target::Gateway(gateway), &GATEWAY_PORTS[..])
        }
        false => {
            let control = g.rng.random_range(0..g.controls);
            (Target::Control(control), &CONTROL_PORTS[..])
        }
    };
    let crowd = ComingCrowd {
        target,
        port: ports[g.rng.random_range(0..ports.len())],
        unfinished: Unfinished::ALL[g.rng.random_range(0..Unfinished::ALL.len())],
        clients: g.rng.random_range(CROWD_CLIENTS),
        stay: g.millis(FAULT_MS),
    };
    g.push(at, Action::Crowd(crowd));
}

fn failing_endpoints(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let end = at + g.millis(FAULT_MS);
    match kind {
        TroubleKind::EndpointsFail => {
            let share = g.rng.random_range(0.1..0.9);
            for endpoint in g.draw_endpoints(0.4) {
                fail(g, (at, end), endpoint, share);
            }
        }
        TroubleKind::ServiceFails => {
            let share = g.rng.random_range(0.5..1.0);
            for endpoint in g.draw_endpoints(1.0) {
                fail(g, (at, end), endpoint, share);
            }
        }
        TroubleKind::EndpointsSlow => {
            for endpoint in g.draw_endpoints(0.3) {
                let usual = g.run_times[g.services[endpoint]];
                let slow = EndpointCommand::RunFor(usual * 5);
                g.endpoint(at, endpoint, EndpointAction::Command(slow));
                let usual = EndpointCommand::RunFor(usual);
                g.endpoint(end, endpoint, EndpointAction::Command(usual));
            }
        }
        _ => failures_beside_pauses(g, at),
    }
}

/// Lets an endpoint fail a share of its requests during `span`.
fn fail(g: &mut Generator, span: (Duration, Duration), endpoint: usize, share: f64) {
    let how = FAILURES[g.rng.random_range(0..FAILURES.len())];
    let command =
        |behaviour, share| EndpointAction::Command(EndpointCommand::Behave(behaviour, share));
    g.endpoint(span.0, endpoint, command(how, share));
    g.endpoint(span.1, endpoint, command(Behaviour::Serves, 1.0));
}

/// Lets the endpoints of each service fail again and again, most of the time.
pub(super) fn fail_services(g: &mut Generator, from: Duration, to: Duration) {
    const FAILS_MS: std::ops::Range<u64> = 8_000..14_000;
    const SERVES_MS: std::ops::Range<u64> = 500..4_000;
    for service in 0..g.service_count {
        let mut at = from + g.millis(SERVES_MS);
        while at < to {
            let end = at + g.millis(FAILS_MS);
            let share = g.rng.random_range(0.6..1.0);
            for endpoint in 0..g.services.len() {
                if g.services[endpoint] == service {
                    fail(g, (at, end), endpoint, share);
                }
            }
            at = end + g.millis(SERVES_MS);
        }
    }
}

/// All endpoints answer with a failure, also to gateways that have to relay their requests, and callers
/// leave while they wait.
fn failures_beside_relays(g: &mut Generator, at: Duration) {
    const LASTS_MS: std::ops::Range<u64> = 15_000..25_000;
    /// Time for which the gateways are cut off before, and after.
    const MARGIN: Duration = Duration::from_secs(2);
    let end = at + MARGIN + g.millis(LASTS_MS);
    let reachable = g.rng.random_range(0..g.domains.count);
    let cut_off: Vec<usize> = (0..g.gateways)
        .filter(|gateway| g.domains.gateways[*gateway] != reachable)
        .collect();
    g.push(at, Action::EndpointLinks(cut_off.clone(), Flow::Refuse));
    g.push(
        at,
        Action::Load(LoadChange::LeaverEvery(LEAVER_EVERY_BESIDE_RELAYS)),
    );
    for endpoint in 0..g.services.len() {
        let command = |behaviour| EndpointAction::Command(EndpointCommand::Behave(behaviour, 1.0));
        g.endpoint(at + MARGIN, endpoint, command(Behaviour::Fails));
        g.endpoint(end, endpoint, command(Behaviour::Serves));
    }
    g.push(end, Action::Load(LoadChange::LeaverEvery(0)));
    g.push(end + MARGIN, Action::EndpointLinks(cut_off, Flow::Pass));
}

/// A route leads to another service, and then to its own again.
fn moved_route(g: &mut Generator, at: Duration) {
    const LASTS_MS: std::ops::Range<u64> = 6_000..20_000;
    let idempotent = (0..g.service_count).filter(|number| g.service_kinds[*number].1);
    let idempotent: Vec<usize> = idempotent.collect();
    if idempotent.is_empty() {
        return;
    }
    let own = idempotent[g.rng.random_range(0..idempotent.len())];
    let other = (own + g.rng.random_range(1..g.service_count.max(2))) % g.service_count;
    let end = at + g.millis(LASTS_MS);
    g.push(at, Action::MoveRoute(own, other));
    g.push(end, Action::MoveRoute(own, own));
}

/// A service's endpoints fail, and most of them are suspended, one after the other. Retries go to
/// those that don't fail at once, and are read when these go on, a window later.
fn failures_beside_pauses(g: &mut Generator, at: Duration) {
    const SPREAD_MS: std::ops::Range<u64> = 0..9_000;
    const FAILS_ON_FOR: Duration = Duration::from_secs(9);
    let lasts = g.millis(9_500..12_500);
    let end = at + lasts + FAILS_ON_FOR;
    for (number, endpoint) in g.draw_endpoints(1.0).into_iter().enumerate() {
        fail(g, (at, end), endpoint, 1.0);
        if !number.is_multiple_of(3) {
            let paused_at = at + g.millis(SPREAD_MS);
            g.endpoint(paused_at, endpoint, EndpointAction::Freeze);
            g.endpoint(at + lasts, endpoint, EndpointAction::Resume);
        }
    }
}

fn late_endpoints(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let share = [0.15, 0.5, 1.0][g.rng.random_range(0..3)];
    let endpoints = g.draw_endpoints(share);
    let end = at + g.millis(PAUSE_MS);
    let delay = g.rng.random_range(50..800);
    for endpoint in endpoints {
        match kind {
            TroubleKind::EndpointsPaused => {
                g.endpoint(at, endpoint, EndpointAction::Freeze);
                g.endpoint(end, endpoint, EndpointAction::Resume);
            }
            TroubleKind::EndpointsStarved => starve(g, (at, end), |g, at, frozen| {
                let action = match frozen {
                    true => EndpointAction::Freeze,
                    false => EndpointAction::Resume,
                };
                g.endpoint(at, endpoint, action);
            }),
            TroubleKind::EndpointLinksHeld => {
                g.endpoint(at, endpoint, EndpointAction::Hold);
                g.endpoint(end, endpoint, EndpointAction::Pass);
            }
            _ => {
                g.endpoint(at, endpoint, EndpointAction::Delay(delay));
                g.endpoint(end, endpoint, EndpointAction::Pass);
            }
        }
    }
}

/// Suspends a process for most of each period during `span`.
fn starve(
    g: &mut Generator,
    span: (Duration, Duration),
    mut set: impl FnMut(&mut Generator, Duration, bool),
) {
    let frozen_for = STARVED_PERIOD.mul_f64(g.rng.random_range(0.5..0.95));
    let mut at = span.0;
    while at < span.1 {
        set(g, at, true);
        set(g, at + frozen_for, false);
        at += STARVED_PERIOD;
    }
}

fn replaced_endpoints(g: &mut Generator, kind: TroubleKind, at: Duration) {
    match kind {
        TroubleKind::EndpointsCrash => {
            let end = at + g.millis(DOWN_MS);
            for endpoint in g.draw_endpoints(0.2) {
                g.endpoint(at, endpoint, EndpointAction::Kill);
                g.endpoint(end, endpoint, EndpointAction::Start);
            }
        }
        TroubleKind::Release => {
            const DRAINED_FOR: Duration = Duration::from_secs(2);
            let mut at = at;
            for endpoint in g.draw_endpoints(0.4) {
                g.endpoint(at, endpoint, EndpointAction::Drain);
                g.endpoint(at + DRAINED_FOR, endpoint, EndpointAction::Kill);
                g.endpoint(at + DRAINED_FOR, endpoint, EndpointAction::Start);
                at += g.millis(SERIES_GAP_MS);
            }
        }
        _ => {
            let end = at + g.millis(FAULT_MS);
            for endpoint in g.draw_endpoints(0.2) {
                let other = g.rng.random_range(0..g.services.len());
                g.endpoint(at, endpoint, EndpointAction::TakenOverBy(other));
                g.endpoint(end, endpoint, EndpointAction::Pass);
            }
        }
    }
}

fn gateways(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let gateway = g.rng.random_range(0..g.gateways);
    let target = Target::Gateway(gateway);
    let mut at = at;
    match kind {
        TroubleKind::GatewaysAdded => {
            const ABSENT_FROM: Duration = Duration::from_secs(1);
            for number in 0..g.gateways.div_ceil(8) {
                let target = Target::Gateway((gateway + number) % g.gateways);
                g.process(ABSENT_FROM, Step::Kill(target));
                g.process(at, Step::Start(target));
                at += g.millis(SERIES_GAP_MS);
            }
        }
        TroubleKind::GatewaysKilled => {
            for number in 0..g.rng.random_range(1..=g.gateways) {
                let target = Target::Gateway((gateway + number) % g.gateways);
                let down_for = g.millis(DOWN_MS) / 4;
                g.process(at, Step::Kill(target));
                g.process(at + down_for, Step::Start(target));
                at += g.millis(SERIES_GAP_MS);
            }
        }
        TroubleKind::GatewaysStopped => {
            for number in 0..g.rng.random_range(1..=g.gateways) {
                let target = Target::Gateway((gateway + number) % g.gateways);
                g.process(at, Step::Stop(target));
                at += g.millis(SERIES_GAP_MS);
            }
        }
        TroubleKind::GatewaysKilledTogether => {
            let down_for = g.millis(DOWN_MS) / 2;
            for number in 0..g.gateways {
                if g.rng.random_bool(0.6) {
                    g.process(at, Step::Kill(Target::Gateway(number)));
                    g.process(at + down_for, Step::Start(Target::Gateway(number)));
                }
            }
        }
        TroubleKind::GatewaysPaused => {
            let end = at + g.millis(GATEWAY_PAUSE_MS);
            for number in 0..g.gateways {
                if g.rng.random_bool(0.5) {
                    g.process(at, Step::Freeze(Target::Gateway(number)));
                    g.process(end, Step::Resume(Target::Gateway(number)));
                }
            }
        }
        TroubleKind::GatewaysStarved => {
            let end = at + g.millis(FAULT_MS);
            for number in 0..g.gateways {
                if g.rng.random_bool(0.4) {
                    starve_gateway(g, (at, end), number);
                }
            }
        }
        _ => {
            g.process(at, Step::Reset(target));
            g.process(at, Step::HangUp(target));
        }
    }
}

/// Stops a share of the gateways in turn, two at a time, while the endpoints of all services are overloaded.
fn stops_under_load(g: &mut Generator, at: Duration) {
    const LASTS_MS: std::ops::Range<u64> = 14_000..22_000;
    /// Time from the beginning of the overload until the first stop, and between two of them.
    const STOPS_AFTER: Duration = Duration::from_secs(3);
    const STOPS_EVERY: Duration = Duration::from_millis(250);
    const SHARE_STARVED: f64 = 0.25;
    const SHARE_RELAYING: f64 = 0.15;
    let end = at + g.millis(LASTS_MS);
    /// Factor on the time that requests run.
    const SLOWER: std::ops::Range<f64> = 3.0..5.0;
    let slower = g.rng.random_range(SLOWER);
    for endpoint in 0..g.services.len() {
        let usual = g.run_times[g.services[endpoint]];
        let run_for = |time| EndpointAction::Command(EndpointCommand::RunFor(time));
        g.endpoint(at, endpoint, run_for(usual.mul_f64(slower)));
        g.endpoint(end, endpoint, run_for(usual));
    }
    let mut relaying = Vec::new();
    for number in 0..g.gateways {
        let drawn = g.rng.random::<f64>();
        if drawn < SHARE_STARVED {
            starve_gateway(g, (at, end), number);
        } else if drawn < SHARE_STARVED + SHARE_RELAYING {
            relaying.push(number);
        }
    }
    g.push(at, Action::EndpointLinks(relaying.clone(), Flow::Refuse));
    g.push(end, Action::EndpointLinks(relaying, Flow::Pass));
    let first = g.rng.random_range(0..g.gateways);
    let mut stop_at = at + STOPS_AFTER;
    let mut number = 0;
    while stop_at + STOPS_AFTER < end {
        for gateway in [first + number, first + number + g.gateways / 2] {
            g.process(stop_at, Step::Stop(Target::Gateway(gateway % g.gateways)));
        }
        number += 1;
        stop_at += STOPS_EVERY;
    }
}

/// Stops some gateways one after the other. Requests that come from about the middle of a grace period on take
/// nearly half of it, so that those which are sent later outlast the process.
fn stops_beside_long_requests(g: &mut Generator, mut at: Duration) {
    const LONG_FROM: f64 = 0.48;
    const LONG_UNTIL: f64 = 0.65;
    const LONG: f64 = 0.46;
    /// Time between two stops, as a factor on the grace period: the gateway has started again.
    const APART: f64 = 1.5;
    let grace = g.stop_grace;
    let first = g.rng.random_range(0..g.gateways);
    for number in 0..g.rng.random_range(1..=g.gateways.div_ceil(2)) {
        let target = Target::Gateway((first + number) % g.gateways);
        g.process(at, Step::Stop(target));
        for endpoint in 0..g.services.len() {
            let usual = g.run_times[g.services[endpoint]];
            let run_for = |time| EndpointAction::Command(EndpointCommand::RunFor(time));
            let long = run_for(grace.mul_f64(LONG));
            g.endpoint(at + grace.mul_f64(LONG_FROM), endpoint, long);
            g.endpoint(at + grace.mul_f64(LONG_UNTIL), endpoint, run_for(usual));
        }
        at += grace.mul_f64(APART);
    }
}

/// Suspends a gateway for most of each period during `span`.
fn starve_gateway(g: &mut Generator, span: (Duration, Duration), number: usize) {
    let target = Target::Gateway(number);
    starve(g, span, |g, at, frozen| {
        let step = match frozen {
            true => Step::Freeze(target),
            false => Step::Resume(target),
        };
        g.process(at, step);
    });
}

/// Cuts some gateways off from all endpoints, in one of the ways in which links fail, once or several
/// times in a row.
fn endpoint_links(g: &mut Generator, at: Duration) {
    const WAYS: [Flow; 3] = [Flow::Hold, Flow::Reset, Flow::Refuse];
    let flow = WAYS[g.rng.random_range(0..WAYS.len())];
    let domain = g.rng.random_range(0..g.domains.count);
    let in_domain = (0..g.gateways).filter(|n| g.domains.gateways[*n] == domain);
    let mut gateways: Vec<usize> = in_domain.collect();
    if gateways.is_empty() || g.rng.random_bool(0.3) {
        gateways = vec![g.rng.random_range(0..g.gateways)];
    }
    let mut at = at;
    for _ in 0..g.rng.random_range(1..=2) {
        let lasts = g.millis(ENDPOINT_CUT_MS);
        g.push(at, Action::EndpointLinks(gateways.clone(), flow));
        g.push(
            at + lasts,
            Action::EndpointLinks(gateways.clone(), Flow::Pass),
        );
        at += lasts + g.millis(SERIES_GAP_MS);
    }
}

fn domain(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let domain = g.rng.random_range(0..g.domains.count);
    let of = |domains: &[usize]| -> Vec<usize> {
        (0..domains.len())
            .filter(|n| domains[*n] == domain)
            .collect()
    };
    let controls = of(&g.domains.controls);
    let gateways = of(&g.domains.gateways);
    let endpoints = of(&g.domains.endpoints);
    let controls = controls.into_iter().map(Target::Control);
    let processes: Vec<Target> = controls
        .chain(gateways.into_iter().map(Target::Gateway))
        .collect();
    if kind == TroubleKind::DomainCutOff {
        let lasts = g.millis(CUT_MS);
        g.process(at, Step::Partition(processes));
        g.process(at + lasts, Step::Heal);
        return;
    }
    let end = at + g.millis(FAULT_MS);
    for process in processes {
        g.process(at, Step::Kill(process));
        g.process(end, Step::Start(process));
    }
    for endpoint in endpoints {
        g.endpoint(at, endpoint, EndpointAction::Kill);
        g.endpoint(end, endpoint, EndpointAction::Start);
    }
}

fn control(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let control = Target::Control(g.rng.random_range(0..g.controls));
    let end = at + g.millis(DOWN_MS);
    match kind {
        TroubleKind::ControlKilled => {
            g.process(at, Step::Kill(control));
            g.process(end, Step::Start(control));
        }
        TroubleKind::ControlRestarted => {
            let mut at = at;
            for number in 0..g.controls {
                g.process(at, Step::Kill(Target::Control(number)));
                let up_at = at + g.millis(SERIES_GAP_MS);
                g.process(up_at, Step::Start(Target::Control(number)));
                at = up_at + g.millis(SERIES_GAP_MS);
            }
        }
        TroubleKind::ControlKilledTogether => g.process(at, Step::PowerCut(None)),
        TroubleKind::AllKilled => {
            let all = (0..g.controls).map(Target::Control);
            let all: Vec<Target> = all.chain((0..g.gateways).map(Target::Gateway)).collect();
            let up_at = at + g.millis(DOWN_MS) / 4;
            for process in all {
                g.process(at, Step::Kill(process));
                g.process(up_at, Step::Start(process));
            }
        }
        TroubleKind::ControlPaused => {
            g.process(at, Step::Freeze(control));
            g.process(end, Step::Resume(control));
        }
        _ => {
            let ms = g.rng.random_range(5..300);
            g.process(at, Step::Slow(ms));
            let lasts = g.millis(FAULT_MS);
            g.process(at + lasts, Step::Heal);
        }
    }
}

fn load(g: &mut Generator, kind: TroubleKind, at: Duration) {
    let end = at + g.millis(FAULT_MS);
    let (begin, over) = match kind {
        TroubleKind::Burst => {
            let factor = g.rng.random_range(1.3..2.5);
            (LoadChange::Factor(factor), LoadChange::Factor(1.0))
        }
        TroubleKind::CallersMove => {
            let from = g.rng.random_range(0..g.domains.count);
            let to = g.rng.random_range(0..g.domains.count);
            (LoadChange::Move(Some((from, to))), LoadChange::Move(None))
        }
        TroubleKind::CallersAbuse => (LoadChange::Abuse(true), LoadChange::Abuse(false)),
        _ => (
            LoadChange::LeaverEvery(LEAVER_EVERY),
            LoadChange::LeaverEvery(0),
        ),
    };
    g.push(at, Action::Load(begin));
    g.push(end, Action::Load(over));
}
