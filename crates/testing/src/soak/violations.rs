//! Whether all promises were kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::history::{CallerRequest, History, RequestOutcome};

/// Statuses that promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Statuses that a proper request may be answered with besides: an endpoint's own failure,
/// and that it may have run.
const MAY_HAVE_RUN: [u16; 3] = [500, 502, 504];

/// A request that an endpoint ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRun {
    /// Number of the endpoint.
    pub endpoint: usize,
    /// Id of the request.
    pub id: String,
    /// Its method and path, as they arrived.
    pub request_line: String,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that isn't idempotent ran more than once.
    RanTwice(String),
    /// A request ran more often than its route allows.
    TooManyAttempts(String, usize),
    /// A request ran whose caller was told that it had not.
    RefusedButRan(String, u16),
    /// An endpoint ran what no caller had sent.
    UnknownRequest(String),
    /// A caller was given an answer that isn't the one to its request.
    WrongAnswer(String),
    /// A proper request was turned away, by this status.
    UnexpectedStatus(String, u16),
    /// A request was passed on and its connection ended, with only planned work under way.
    CutByPlannedWork(String),
    /// A replica showed an older version than one accepted before it was asked.
    StaleRead {
        /// The replica.
        control: usize,
        /// What it showed.
        shown: u64,
        /// What had been accepted.
        accepted: u64,
    },
    /// A replica showed other routes than those sent under the number.
    AlteredRoutes(usize, u64),
    /// Valid routes were refused.
    ValidRefused(u64, u16),
    /// Routes that aren't valid were accepted.
    InvalidAccepted(u64),
    /// A gateway went back to an older version within one life.
    VersionRegressed {
        /// The gateway.
        gateway: usize,
        /// The version that it had served.
        from: u64,
        /// The older one that it served after.
        to: u64,
    },
    /// Something didn't come back once all faults were over.
    NotRecovered(String),
    /// An endpoint got work that had left or was evacuated.
    SentToRemovedEndpoint(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Looks for broken promises. `max_attempts` is that of all routes.
pub fn find_violations(
    history: &History,
    runs: &[EndpointRun],
    max_attempts: usize,
    planned_only: bool,
) -> Vec<Violation> {
    let mut runs_by_id: BTreeMap<&str, Vec<&EndpointRun>> = BTreeMap::new();
    for run in runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for request in &history.requests {
        let runs = runs_by_id.remove(request.id.as_str()).unwrap_or_default();
        violations.extend(check_runs(request, &runs, max_attempts));
        violations.extend(check_outcome(request, !runs.is_empty(), planned_only));
    }
    violations.extend(
        runs_by_id
            .into_keys()
            .map(|id| Violation::UnknownRequest(id.to_owned())),
    );
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
        RequestOutcome::Answered { status, .. } => Some(Violation::UnexpectedStatus(id, status)),
        RequestOutcome::Closed | RequestOutcome::Cut => {
            (planned_only && has_run).then_some(Violation::CutByPlannedWork(id))
        }
        RequestOutcome::ConnectFailed | RequestOutcome::TimedOut => None,
    }
}

fn check_routes(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for read in &history.reads {
        let before = history.changes.iter().filter(|change| change.valid);
        let before = before.filter(|change| change.accepted.is_some_and(|at| at <= read.sent));
        let accepted = before.map(|change| change.version).max().unwrap_or(0);
        if read.version < accepted {
            violations.push(Violation::StaleRead {
                control: read.control,
                shown: read.version,
                accepted,
            });
        }
        if !read.as_sent {
            violations.push(Violation::AlteredRoutes(read.control, read.version));
        }
    }
    for change in &history.changes {
        match (change.valid, change.accepted, change.refused) {
            (true, _, Some(status)) => {
                violations.push(Violation::ValidRefused(change.version, status))
            }
            (false, Some(_), _) => violations.push(Violation::InvalidAccepted(change.version)),
            _ => {}
        }
    }
    violations
}

/// A gateway that has served by a version must not know, later in the same life, a route
/// that only an older version has.
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
