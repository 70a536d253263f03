//! Whether all promises were kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::history::{Asked, Ended, History};

/// Statuses that promise that the request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Statuses that a proper request may be answered with besides: an endpoint's own failure,
/// and that it may have run.
const MAY_HAVE_RUN: [u16; 3] = [500, 502, 504];

/// A request that an endpoint ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Number of the endpoint.
    pub endpoint: usize,
    /// Id of the request.
    pub id: String,
    /// Its method and path, as they arrived.
    pub what: String,
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
    Unasked(String),
    /// A caller was given an answer that isn't the one to its request.
    NotItsAnswer(String),
    /// A proper request was turned away, by this status.
    Denied(String, u16),
    /// A request was passed on and its connection ended, with only planned work under way.
    CutByPlannedWork(String),
    /// A replica showed an older version than one accepted before it was asked.
    OlderShown {
        /// The replica.
        control: usize,
        /// What it showed.
        shown: u64,
        /// What had been accepted.
        accepted: u64,
    },
    /// A replica showed other routes than those sent under the number.
    OthersShown(usize, u64),
    /// Valid routes were refused.
    ValidRefused(u64, u16),
    /// Routes that aren't valid were accepted.
    InvalidAccepted(u64),
    /// A gateway went back to an older version within one life.
    WentBack {
        /// The gateway.
        gateway: usize,
        /// The version that it had served.
        from: u64,
        /// The older one that it served after.
        to: u64,
    },
    /// Something didn't come back once all faults were over.
    NotBack(String),
    /// An endpoint got work that had left or was evacuated.
    WorkForOneThatLeft(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Looks for broken promises. `max_attempts` is that of all routes.
pub fn judge(
    history: &History,
    ran: &[Ran],
    max_attempts: usize,
    planned_only: bool,
) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    for run in ran {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut found = Vec::new();
    for asked in &history.asked {
        let ran = runs.remove(asked.id.as_str()).unwrap_or_default();
        found.extend(judge_runs(asked, &ran, max_attempts));
        found.extend(judge_end(asked, !ran.is_empty(), planned_only));
    }
    found.extend(runs.into_keys().map(|id| Violation::Unasked(id.to_owned())));
    found.extend(judge_routes(history));
    found.extend(judge_gateways(history));
    found
}

fn judge_runs(asked: &Asked, ran: &[&Ran], max_attempts: usize) -> Vec<Violation> {
    let id = || asked.id.clone();
    let mut found = Vec::new();
    if !asked.idempotent && ran.len() > 1 {
        found.push(Violation::RanTwice(id()));
    }
    let endpoints: BTreeSet<_> = ran.iter().map(|run| run.endpoint).collect();
    if endpoints.len() > max_attempts {
        found.push(Violation::TooManyAttempts(id(), endpoints.len()));
    }
    if ran.iter().any(|run| run.what != asked.what) {
        found.push(Violation::Unasked(id()));
    }
    found
}

fn judge_end(asked: &Asked, has_run: bool, planned_only: bool) -> Option<Violation> {
    let id = asked.id.clone();
    match asked.ended {
        Ended::Answered { status, .. } if NOT_RUN.contains(&status) => {
            has_run.then_some(Violation::RefusedButRan(id, status))
        }
        Ended::Answered { status, own } if (200..300).contains(&status) => {
            (!own).then_some(Violation::NotItsAnswer(id))
        }
        Ended::Answered { status, .. } if MAY_HAVE_RUN.contains(&status) => None,
        Ended::Answered { status, .. } => Some(Violation::Denied(id, status)),
        Ended::Closed | Ended::Cut => {
            (planned_only && has_run).then_some(Violation::CutByPlannedWork(id))
        }
        Ended::Unreached | Ended::TimedOut => None,
    }
}

fn judge_routes(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for shown in &history.shown {
        let before = history.told.iter().filter(|told| told.valid);
        let before = before.filter(|told| told.accepted.is_some_and(|at| at <= shown.asked));
        let accepted = before.map(|told| told.version).max().unwrap_or(0);
        if shown.version < accepted {
            found.push(Violation::OlderShown {
                control: shown.control,
                shown: shown.version,
                accepted,
            });
        }
        if !shown.as_sent {
            found.push(Violation::OthersShown(shown.control, shown.version));
        }
    }
    for told in &history.told {
        match (told.valid, told.accepted, told.refused) {
            (true, _, Some(status)) => found.push(Violation::ValidRefused(told.version, status)),
            (false, Some(_), _) => found.push(Violation::InvalidAccepted(told.version)),
            _ => {}
        }
    }
    found
}

/// A gateway that has served by a version must not know, later in the same life, a route
/// that only an older version has.
fn judge_gateways(history: &History) -> Vec<Violation> {
    let mut lives: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for probed in &history.probed {
        let life = (probed.gateway, probed.life);
        lives.entry(life).or_default().push(probed);
    }
    let mut found = Vec::new();
    for ((gateway, _), probed) in lives {
        for earlier in probed.iter().filter(|p| p.known) {
            let later = probed.iter().filter(|p| p.sent > earlier.ended);
            let back = later.filter(|p| p.known && p.version < earlier.version);
            found.extend(back.map(|p| Violation::WentBack {
                gateway,
                from: earlier.version,
                to: p.version,
            }));
        }
    }
    found
}
