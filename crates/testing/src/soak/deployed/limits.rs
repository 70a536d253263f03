//! Checks that endpoints get no more than the rate that they name.
//!
//! From [`CONTACT`] after an endpoint first named its limit, it gets within any [`WINDOW`] at most
//! [`FACTOR`] times what that allows and [`SLACK`] requests more, summed over the gateways that had
//! passed on an answer with it [`TOLD_AFTER`] before. Requests of gateways that were disturbed don't count.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::site::{NamedLimit, Records};
use crate::soak::history::CallerRequest;
use crate::soak::violations::Violation;

const CONTACT: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time from an answer with the limit that a gateway passed on until the gateway counts.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// A disturbance up to this long after a request was sent may concern it.
const SEND_LASTS: Duration = Duration::from_secs(2);

/// What one start of an endpoint got while it named one limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSummary {
    /// The endpoint.
    pub endpoint: String,
    /// Requests per second that it named.
    pub per_s: f64,
    /// How long it is looked at.
    pub lasted: Duration,
    /// All requests that it got in that time, from whatever gateway.
    pub got: usize,
    /// Most requests within a window, of gateways that count.
    pub worst: usize,
}

impl LimitSummary {
    /// Most requests that are allowed within a window.
    pub fn allowed(&self) -> usize {
        (FACTOR * self.per_s * WINDOW.as_secs_f64() + SLACK).round() as usize
    }

    /// What it got as a share of what it named.
    pub fn used(&self) -> f64 {
        self.got as f64 / (self.per_s * self.lasted.as_secs_f64()).max(1.0)
    }
}

/// What the start `endpoint` of an endpoint got while it named a limit. `disturbed` are the times of faults
/// of processes.
pub fn limit_summaries(
    endpoint: &str,
    start: &Records,
    requests: &BTreeMap<&str, &CallerRequest>,
    disturbed: &[(Instant, Instant)],
) -> Vec<LimitSummary> {
    let Some(first_named) = start.named.iter().find(|named| named.per_s.is_some()) else {
        return Vec::new();
    };
    let told_at = told_at(endpoint, requests);
    let counts = |id: &str, at: Instant| {
        let Some(request) = requests.get(id) else {
            return false;
        };
        let calm = |(from, to): &(Instant, Instant)| {
            request.sent + SEND_LASTS < *from || request.sent >= *to + CONTACT
        };
        let told = told_at.get(&request.gateway);
        told.is_some_and(|told| at >= *told + TOLD_AFTER) && disturbed.iter().all(calm)
    };
    let of_limit = |(from, to, per_s): (Instant, Instant, f64)| {
        let from = from.max(first_named.at) + CONTACT;
        let within = start.arrivals.iter().filter(|a| a.at >= from && a.at < to);
        let moments: Vec<Instant> = within
            .clone()
            .filter(|arrival| counts(&arrival.id, arrival.at))
            .map(|arrival| arrival.at)
            .collect();
        let in_window = |(number, begin): (usize, &Instant)| {
            moments[number..].partition_point(|at| *at < *begin + WINDOW)
        };
        LimitSummary {
            endpoint: endpoint.to_owned(),
            per_s,
            lasted: to.saturating_duration_since(from),
            got: within.count(),
            worst: moments.iter().enumerate().map(in_window).max().unwrap_or(0),
        }
    };
    let lasting = periods(start).into_iter().map(of_limit);
    lasting.filter(|s| s.lasted >= WINDOW).collect()
}

/// When each gateway first passed on an answer of this endpoint with a limit.
fn told_at(id: &str, requests: &BTreeMap<&str, &CallerRequest>) -> BTreeMap<usize, Instant> {
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    for request in requests.values() {
        let answer = request.told.as_ref();
        if let Some(answer) = answer.filter(|a| a.limit && a.endpoint == id) {
            let first = told.entry(request.gateway).or_insert(answer.at);
            *first = answer.at.min(*first);
        }
    }
    told
}

/// The times in which a start named one limit.
fn periods(start: &Records) -> Vec<(Instant, Instant, f64)> {
    let mut periods: Vec<(Instant, Instant, f64)> = Vec::new();
    let mut is_open = false;
    for NamedLimit { at, per_s, .. } in &start.named {
        match (per_s, periods.last_mut()) {
            (Some(per_s), Some(last)) if is_open && last.2 == *per_s => last.1 = *at,
            (Some(per_s), _) => periods.push((*at, *at, *per_s)),
            (None, _) => {}
        }
        is_open = per_s.is_some();
    }
    periods
}

/// The endpoints that got too much.
pub fn find_exceeded(summaries: &[LimitSummary]) -> Vec<Violation> {
    let exceeded = summaries.iter().filter(|s| s.worst > s.allowed());
    let violation = |summary: &LimitSummary| Violation::NamedLimitExceeded {
        endpoint: summary.endpoint.clone(),
        got: summary.worst,
        allowed: summary.allowed(),
    };
    exceeded.map(violation).collect()
}
