//! Checks that endpoints that say that they are leaving get no more requests.
//!
//! Once a gateway has passed on an answer that says so, no request that is sent to it later than
//! [`DRAIN_TIMEOUT`] after that reaches the endpoint from it. If it was stopping, down or suspended since the
//! answer, it is excused.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::faults::Faults;
use super::sent::{Senders, Sent, sent_to};
use crate::site::Records;
use crate::soak::history::CallerRequest;
use crate::soak::violations::Violation;

/// Time from an answer that a gateway passed on until its callers' requests go elsewhere.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// What one start of an endpoint got that said that it was leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingSummary {
    /// The endpoint.
    pub endpoint: String,
    /// Gateways that passed on an answer that said so.
    pub told: usize,
    /// Requests that reached it after its first answer that said so, from whatever gateway.
    pub got: usize,
    /// Those of gateways that had passed on such an answer long before.
    pub late: usize,
}

impl fmt::Display for LeavingSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} was leaving, as {} gateways were told: it got {} more requests, {} of them too late",
            self.endpoint, self.told, self.got, self.late
        )
    }
}

/// What the start `endpoint` of an endpoint got that said that it was leaving; `None` if it didn't.
pub fn leaving_summary(
    endpoint: &str,
    start: &Records,
    requests: &BTreeMap<&str, &CallerRequest>,
    senders: &Senders,
    faults: Faults<'_>,
) -> Option<LeavingSummary> {
    let first_said = start.leaving.first()?.at;
    let told = told_at(endpoint, requests);
    let is_late = |sent: &&Sent<'_>| {
        // Of the answers that are old enough, the last one leaves least room for an excuse.
        let told = told.get(&sent.gateway).into_iter().flatten();
        let told = told.filter(|told| sent.request.sent > **told + DRAIN_TIMEOUT);
        let last = told.max();
        last.is_some_and(|told| faults.is_calm(sent.gateway, *told, sent.at))
    };
    let sent = sent_to(start, requests, senders, faults);
    let after = start.arrivals.iter().filter(|a| a.at > first_said);
    Some(LeavingSummary {
        endpoint: endpoint.to_owned(),
        told: told.len(),
        got: after.count(),
        late: sent.iter().filter(is_late).count(),
    })
}

/// When each gateway passed on answers of this endpoint that say that it is leaving.
fn told_at(
    endpoint: &str,
    requests: &BTreeMap<&str, &CallerRequest>,
) -> BTreeMap<usize, Vec<Instant>> {
    let mut times: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
    for request in requests.values() {
        let told = request.told.as_ref();
        if let Some(told) = told.filter(|told| told.leaving && told.endpoint == endpoint) {
            times.entry(request.gateway).or_default().push(told.at);
        }
    }
    times
}

/// The endpoints that got requests although they were leaving.
pub fn find_sent_to_leaving(summaries: &[LeavingSummary]) -> Vec<Violation> {
    let late = summaries.iter().filter(|summary| summary.late > 0);
    let violation = |summary: &LeavingSummary| Violation::SentToLeavingEndpoint {
        endpoint: summary.endpoint.clone(),
        got: summary.late,
    };
    late.map(violation).collect()
}
