//! Arrivals of requests at endpoints, held against the retries that gateways have granted.
//!
//! A request may arrive once, and once more for each retry that was granted for it and not given back. This
//! needs no gateway's count of the budget: any further arrival is one that no budget was asked for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::faults::Downtime;
use crate::soak::retries::ServiceArrival;
use crate::soak::violations::Violation;

/// Time before a gateway is seen to be down in which it may have ended, with lines that it has not written.
const UNWRITTEN: Duration = Duration::from_millis(500);

const GRANTED: &str = " retry granted request=";
const GIVEN_BACK: &str = " retry given back request=";

/// Retries by the id of their request, as gateways have logged them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    by_request: BTreeMap<String, i64>,
}

impl Grants {
    /// Counts what a gateway has logged.
    pub fn read(&mut self, log: &str) {
        for line in log.lines() {
            if let Some(id) = id_after(line, GRANTED) {
                *self.by_request.entry(id.to_owned()).or_default() += 1;
            } else if let Some(id) = id_after(line, GIVEN_BACK) {
                *self.by_request.entry(id.to_owned()).or_default() -= 1;
            }
        }
    }

    /// Whether the gateways have logged any. Earlier programs don't.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn of(&self, id: &str) -> i64 {
        self.by_request.get(id).copied().unwrap_or(0)
    }
}

/// The request id that follows `event` in a log line.
fn id_after<'a>(line: &'a str, event: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(event)?;
    rest.split_whitespace().next()
}

/// A request that arrived more often than was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ungranted {
    /// Id of the request.
    pub id: String,
    /// The service that it arrived at last.
    pub service: String,
    /// Its arrivals, in order.
    pub arrivals: Vec<Instant>,
    /// Retries granted for it and not given back.
    pub granted: i64,
}

/// The requests that arrived more often than `grants` allow.
pub fn find_ungranted(arrivals: &[ServiceArrival], grants: &Grants) -> Vec<Ungranted> {
    let mut sorted: Vec<&ServiceArrival> = arrivals.iter().collect();
    sorted.sort_by_key(|arrival| arrival.at);
    let mut by_id: BTreeMap<&str, Vec<&ServiceArrival>> = BTreeMap::new();
    for arrival in sorted {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let ungranted = by_id.into_iter().filter_map(|(id, arrivals)| {
        let granted = grants.of(id);
        let further = i64::try_from(arrivals.len()).ok()? - 1;
        let last = arrivals.last()?;
        (further > granted).then(|| Ungranted {
            id: id.to_owned(),
            service: last.service.clone(),
            arrivals: arrivals.iter().map(|arrival| arrival.at).collect(),
            granted,
        })
    });
    ungranted.collect()
}

/// Those of them that no gateway was down for, whose last lines may be lost.
pub fn find_sent_without_retry(ungranted: &[Ungranted], downtimes: &[Downtime]) -> Vec<Violation> {
    let is_certain = |request: &&Ungranted| {
        let (first, last) = (request.arrivals.first(), request.arrivals.last());
        let (Some(first), Some(last)) = (first, last) else {
            return false;
        };
        let begins_within =
            |time: &Downtime| *first < time.from + UNWRITTEN && time.from < *last + UNWRITTEN;
        !downtimes.iter().any(begins_within)
    };
    let certain = ungranted.iter().filter(is_certain);
    let violation = |request: &Ungranted| Violation::SentAgainWithoutRetry {
        id: request.id.clone(),
        service: request.service.clone(),
        arrivals: request.arrivals.len(),
        granted: request.granted,
    };
    certain.map(violation).collect()
}
