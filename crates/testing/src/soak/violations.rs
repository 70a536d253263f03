//! Finds violations of the system's guarantees in the history of a soak.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use super::evacuations::EvacuationChange;
use super::history::{CallerRequest, History, RequestOutcome};
use super::retries::{self, ServiceArrival, WorstWindow};
use super::workspaces::{self, Workspaces};

/// Statuses that guarantee that the request has not run and never will.
pub(super) const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Further failures that a valid request may get: the endpoint's own, and those that say that
/// the request may have run.
const MAY_HAVE_RUN: [u16; 3] = [500, 502, 504];

/// A request that an endpoint ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRun {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Id of the request.
    pub id: String,
    /// Its method and path, as the endpoint received them.
    pub request_line: String,
    /// The workspace that the endpoint was told.
    pub workspace: Option<String>,
    /// Whether the endpoint received a key.
    pub has_key: bool,
    /// When it started to run.
    pub at: Instant,
}

/// A violated guarantee. Strings are ids of requests unless noted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that isn't idempotent ran more than once.
    RanTwice(String),
    /// A request ran on more endpoints than its route allows attempts.
    TooManyAttempts(String, usize),
    /// A request ran although its caller got a status that guarantees that it didn't.
    RefusedButRan(String, u16),
    /// An endpoint ran a request that no caller had sent, or with another request line.
    UnknownRequest(String),
    /// A request ran in the name of another workspace than the one that holds its key, or although
    /// none does.
    WrongWorkspace(String, Option<String>),
    /// An endpoint received a caller's key.
    KeySentOn(String),
    /// More requests of the workspace with this name ran within a window than its allotment
    /// allows.
    AllotmentExceeded(String, usize),
    /// The endpoint with this name got more requests within a second than it can take while it is
    /// cold.
    ColdLimitExceeded(String, usize),
    /// Endpoints of a service got more retries within a window than its budget allows, summed over
    /// all gateways.
    RetryBudgetExceeded(WorstWindow),
    /// A request arrived at endpoints more often than retries were granted for it.
    SentAgainWithoutRetry {
        /// Id of the request.
        id: String,
        /// The service that it arrived at last.
        service: String,
        /// How often it arrived.
        arrivals: usize,
        /// Retries granted for it and not given back.
        granted: i64,
    },
    /// A caller got a successful answer that isn't the one to its request.
    WrongAnswer(String),
    /// A valid request got a status that no valid request may get.
    UnexpectedStatus(String, u16),
    /// A request ran and its caller's connection ended, although the plan had only planned work.
    CutByPlannedWork(String),
    /// A replica returned an older version than one accepted before the read was sent.
    StaleRead {
        /// The replica.
        control: usize,
        /// The version that it returned.
        shown: u64,
        /// The highest version that had been accepted.
        accepted: u64,
    },
    /// A replica returned other routes than those sent as this version.
    AlteredRoutes(usize, u64),
    /// Valid routes of this version were refused with this status.
    ValidRefused(u64, u16),
    /// Invalid routes of this version were accepted.
    InvalidAccepted(u64),
    /// A gateway returned to an older version within one incarnation.
    VersionRegressed {
        /// The gateway.
        gateway: usize,
        /// The version that it had served before.
        from: u64,
        /// The older version that it served afterwards.
        to: u64,
    },
    /// A process ended by itself or didn't stop, or the system didn't recover once all faults were
    /// over. The string describes what was expected or seen.
    NotRecovered(String),
    /// A process took more memory than its settings say that it may.
    MemoryExceeded {
        /// Its name.
        process: String,
        /// Its most resident memory, in bytes.
        bytes: u64,
    },
    /// First tries at gateways that were cut off from endpoints were served much less often than at the
    /// others.
    CutOffGatewaysDontServe {
        /// Indices of the gateways.
        gateways: Vec<usize>,
        /// Tries there that were served.
        served: usize,
        /// All tries there.
        sent: usize,
        /// Tries at the others that were served.
        others_served: usize,
        /// All tries at the others.
        others_sent: usize,
    },
    /// A request that crashes endpoints still reached some after it had crashed three.
    CrashingRequestPassedOn {
        /// Its method and path.
        request_line: String,
        /// Sends that reached endpoints later than they should.
        arrivals: usize,
        /// Endpoints that ended under it.
        crashed: usize,
    },
    /// An endpoint got more requests within a window than the rate that it named allows.
    NamedLimitExceeded {
        /// Name of the endpoint.
        endpoint: String,
        /// Requests that it got.
        got: usize,
        /// Requests that were allowed.
        allowed: usize,
    },
    /// A gateway that was stopping answered a request with this status, while an endpoint was at work on it
    /// whose connection it then closed.
    GivenUpAtWork(String, u16),
    /// An endpoint got more requests of a gateway that it had asked for rest than it may in that time.
    SentToRestingEndpoint {
        /// Name of the endpoint.
        endpoint: String,
        /// Index of the gateway.
        gateway: usize,
        /// The time that it had asked for.
        time: Duration,
        /// Requests that it got.
        got: usize,
        /// Requests that were allowed.
        allowed: usize,
    },
    /// An endpoint that was leaving got requests that were sent long after their gateways had passed on an
    /// answer that said so.
    SentToLeavingEndpoint {
        /// Name of the endpoint.
        endpoint: String,
        /// Requests that it got.
        got: usize,
    },
    /// The endpoint with this index still got requests while draining or evacuated.
    SentToRemovedEndpoint(usize),
    /// Control ended the evacuation of a failure domain at a time when no order explains it.
    EvacuationTakenBack {
        /// The failure domain.
        domain: String,
        /// Index of the log entry that ended it.
        revision: u64,
    },
    /// Control evacuated a failure domain at a time when no order explains it.
    EvacuatedUnasked {
        /// The failure domain.
        domain: String,
        /// Index of the log entry that evacuated it.
        revision: u64,
    },
    /// An acknowledged order about the failure domain with this name had not taken effect by then.
    AcknowledgedWithoutEffect(String, EvacuationChange),
    /// What the last order about the failure domain with this name asked for was not in force at the end.
    EvacuationOrderLost(String, EvacuationChange),
    /// An order about the failure domain with this name was refused with this status.
    EvacuationOrderRefused(String, u16),
    /// An order about the failure domain with this name got no clear answer in a time without faults.
    EvacuationOrderUnanswered(String, EvacuationChange),
    /// Replicas applied different evacuations under this revision.
    EvacuationsDisagree(u64),
    /// Endpoints of the failure domain with this name got this many requests long after its evacuation
    /// was acknowledged and before its end was ordered.
    SentToEvacuatedDomain(String, usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// What the system under test was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Attempts that every route allows.
    pub max_attempts: usize,
    /// Retries of a service in each window beyond the ratio, over all gateways.
    pub retry_floor: u32,
    /// The workspaces, with their allotments.
    pub workspaces: Workspaces,
    /// Whether the plan had only planned work.
    pub planned_only: bool,
}

/// Checks the history against the runs on endpoints and all arrivals there.
pub fn find_violations(
    history: &History,
    runs: &[EndpointRun],
    arrivals: &[ServiceArrival],
    limits: Limits,
) -> Vec<Violation> {
    let mut runs_by_id: BTreeMap<&str, Vec<&EndpointRun>> = BTreeMap::new();
    for run in runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for request in &history.requests {
        let runs = runs_by_id.remove(request.id.as_str()).unwrap_or_default();
        violations.extend(check_runs(request, &runs, limits.max_attempts));
        violations.extend(check_workspace(request, &runs));
        violations.extend(check_outcome(
            request,
            !runs.is_empty(),
            limits.planned_only,
        ));
    }
    violations.extend(
        runs_by_id
            .into_keys()
            .map(|id| Violation::UnknownRequest(id.to_owned())),
    );
    violations.extend(check_allotments(runs, limits.workspaces));
    violations.extend(check_retries(history, arrivals, limits.retry_floor));
    violations.extend(check_routes(history));
    violations.extend(check_gateways(history));
    violations
}

fn check_runs(
    request: &CallerRequest,
    runs: &[&EndpointRun],
    max_attempts: usize,
) -> Vec<Violation> {
    let id = || request.id.clone();
    let mut violations = Vec::new();
    if !request.idempotent && runs.len() > 1 {
        violations.push(Violation::RanTwice(id()));
    }
    let endpoints: BTreeSet<_> = runs.iter().map(|run| run.endpoint).collect();
    if endpoints.len() > max_attempts {
        violations.push(Violation::TooManyAttempts(id(), endpoints.len()));
    }
    if runs
        .iter()
        .any(|run| run.request_line != request.request_line)
    {
        violations.push(Violation::UnknownRequest(id()));
    }
    violations
}

/// Checks that each run was for the workspace that holds the request's key.
fn check_workspace(request: &CallerRequest, runs: &[&EndpointRun]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let wrong = |run: &&&EndpointRun| run.workspace.is_none() || run.workspace != request.workspace;
    if let Some(run) = runs.iter().find(wrong) {
        let told = run.workspace.clone();
        violations.push(Violation::WrongWorkspace(request.id.clone(), told));
    }
    if runs.iter().any(|run| run.has_key) {
        violations.push(Violation::KeySentOn(request.id.clone()));
    }
    violations
}

fn check_allotments(runs: &[EndpointRun], workspaces: Workspaces) -> Vec<Violation> {
    let mut moments: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for run in runs {
        if let Some(workspace) = &run.workspace {
            moments.entry(workspace).or_default().push(run.at);
        }
    }
    let exceeded = |(workspace, mut moments): (&str, Vec<Instant>)| {
        let bound = workspaces.bound(workspace)?;
        let most = workspaces::most_in_window(&mut moments);
        (most > bound).then(|| Violation::AllotmentExceeded(workspace.to_owned(), most))
    };
    moments.into_iter().filter_map(exceeded).collect()
}

fn check_retries(history: &History, arrivals: &[ServiceArrival], floor: u32) -> Vec<Violation> {
    let windows = retries::worst_windows(history, arrivals, floor);
    let exceeded = windows.into_iter().filter(WorstWindow::is_exceeded);
    exceeded.map(Violation::RetryBudgetExceeded).collect()
}

fn check_outcome(request: &CallerRequest, has_run: bool, planned_only: bool) -> Option<Violation> {
    let id = request.id.clone();
    match request.outcome {
        RequestOutcome::Answered { status, .. } if NOT_RUN.contains(&status) => {
            has_run.then_some(Violation::RefusedButRan(id, status))
        }
        RequestOutcome::Answered { status, matches } if (200..300).contains(&status) => {
            (!matches).then_some(Violation::WrongAnswer(id))
        }
        RequestOutcome::Answered { status, .. } if MAY_HAVE_RUN.contains(&status) => None,
        RequestOutcome::Answered { status: 401, .. } if request.workspace.is_none() => None,
        RequestOutcome::Answered { status, .. } => Some(Violation::UnexpectedStatus(id, status)),
        // A response that is still streamed at the deadline of its request ends there, with or without planned work.
        RequestOutcome::Cut if request.deadline.is_some_and(|at| request.ended >= at) => None,
        RequestOutcome::Closed | RequestOutcome::Cut => {
            (planned_only && has_run).then_some(Violation::CutByPlannedWork(id))
        }
        RequestOutcome::ConnectFailed | RequestOutcome::TimedOut => None,
    }
}

fn check_routes(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for read in &history.reads {
        let before = history.changes.iter().filter(|change| change.valid);
        let before = before.filter(|change| change.accepted.is_some_and(|at| at <= read.sent));
        let accepted = before.map(|change| change.version).max().unwrap_or(0);
        if read.version < accepted {
            found.push(Violation::StaleRead {
                control: read.control,
                shown: read.version,
                accepted,
            });
        }
        if !read.as_sent {
            found.push(Violation::AlteredRoutes(read.control, read.version));
        }
    }
    for change in &history.changes {
        match (change.valid, change.accepted, change.refused) {
            (true, _, Some(status)) => found.push(Violation::ValidRefused(change.version, status)),
            (false, Some(_), _) => found.push(Violation::InvalidAccepted(change.version)),
            _ => {}
        }
    }
    found
}

/// Checks that a gateway that has served a version's own route doesn't, later in the same
/// incarnation, serve a route that only an older version has.
fn check_gateways(history: &History) -> Vec<Violation> {
    let mut incarnations: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for probe in &history.probes {
        let incarnation = (probe.gateway, probe.incarnation);
        incarnations.entry(incarnation).or_default().push(probe);
    }
    let mut violations = Vec::new();
    for ((gateway, _), probes) in incarnations {
        for earlier in probes.iter().filter(|p| p.has_route) {
            let later = probes.iter().filter(|p| p.sent > earlier.answered);
            let back = later.filter(|p| p.has_route && p.version < earlier.version);
            violations.extend(back.map(|p| Violation::VersionRegressed {
                gateway,
                from: earlier.version,
                to: p.version,
            }));
        }
    }
    violations
}
