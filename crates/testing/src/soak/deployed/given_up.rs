//! Checks that no request at which an endpoint is at work is ended by a stopping gateway's own answer.
//!
//! Answers count that a gateway gave from its signal to stop on, well before the request's time was over, and that
//! say that the request may have run; to requests that were sent early in the stop, only until the last sixth of the
//! grace period. The end of the connection counts as such an answer for requests that were sent late. Not
//! those to requests during which its links to endpoints were cut: the endpoint's connection may have been lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::contact::EndpointCut;
use crate::site::{Records, RunEnd};
use crate::soak::history::{CallerRequest, RequestOutcome};
use crate::soak::violations::Violation;

/// Statuses of a gateway's own answers to requests that may have run.
const GIVEN_UP: [u16; 2] = [502, 504];
/// Time after the signal until which requests may be sent that are cut in the last sixth of the grace period.
const CUT_IF_SENT_WITHIN: Duration = Duration::from_secs(3);
/// Time before an answer from which on an endpoint's run counts as ended by it.
const BEFORE_ANSWER: Duration = Duration::from_millis(20);
/// Time within which an endpoint notices that a connection was closed.
const NOTICED_WITHIN: Duration = Duration::from_millis(500);
/// Time before the end of a request's time from which on an answer is due.
const DUE_BEFORE_END: Duration = Duration::from_millis(150);

/// A planned stop of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Index of the gateway.
    pub gateway: usize,
    /// When it was told to stop.
    pub from: Instant,
    /// Until when it may finish its requests.
    pub to: Instant,
    /// When its next process was started; `None` if none was.
    pub restarted: Option<Instant>,
}

impl PlannedStop {
    fn covers(&self, request: &CallerRequest) -> bool {
        let counted = match self.is_late(request) {
            true => self.to.saturating_duration_since(self.from),
            false => self.to.saturating_duration_since(self.from) * 5 / 6,
        };
        self.gateway == request.gateway
            && request.ended >= self.from
            && request.ended < self.from + counted
            && self.restarted.is_none_or(|at| request.sent < at)
    }

    /// Whether no planned end excuses that a request is cut.
    fn is_late(&self, request: &CallerRequest) -> bool {
        request.sent > self.from + CUT_IF_SENT_WITHIN
    }
}

/// Requests that stopping gateways gave up while endpoints were at work on them. `time` is the longest that a
/// request may take by its route; a caller that sends one again may have less left.
pub fn find_given_up(
    requests: &[CallerRequest],
    records: &[Vec<Records>],
    stops: &[PlannedStop],
    cuts: &[EndpointCut],
    time: impl Fn(&CallerRequest) -> Duration,
) -> Vec<Violation> {
    let mut ends: BTreeMap<&str, Vec<&RunEnd>> = BTreeMap::new();
    for end in records.iter().flatten().flat_map(|start| &start.ends) {
        ends.entry(&end.id).or_default().push(end);
    }
    let is_cut = |request: &CallerRequest| {
        let mut cuts = cuts
            .iter()
            .filter(|cut| cut.gateways.contains(&request.gateway));
        cuts.any(|cut| {
            let during = request.sent..=request.ended;
            during.contains(&cut.from) || during.contains(&cut.to)
        })
    };
    let was_at_work = |request: &CallerRequest| {
        let ends = ends.get(request.id.as_str());
        ends.into_iter().flatten().any(|end| {
            !end.is_complete
                && end.at + BEFORE_ANSWER >= request.ended
                && end.at < request.ended + NOTICED_WITHIN
        })
    };
    let due = |request: &CallerRequest| {
        let by_route = request.sent + time(request);
        request
            .deadline
            .map_or(by_route, |deadline| deadline.min(by_route))
    };
    let violation = |request: &CallerRequest| {
        let mut stops = stops.iter().filter(|stop| stop.covers(request));
        let violation = match request.outcome {
            RequestOutcome::Answered { status, .. } if GIVEN_UP.contains(&status) => {
                stops.next()?;
                Violation::GivenUpAtWork(request.id.clone(), status)
            }
            RequestOutcome::Closed | RequestOutcome::Cut => {
                stops.find(|stop| stop.is_late(request))?;
                Violation::CutByPlannedWork(request.id.clone())
            }
            _ => return None,
        };
        let is_given_up = request.ended + DUE_BEFORE_END < due(request)
            && !is_cut(request)
            && was_at_work(request);
        is_given_up.then_some(violation)
    };
    requests.iter().filter_map(violation).collect()
}
