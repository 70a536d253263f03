//! Checks that callers are served at gateways that are cut off from endpoints.
//!
//! From [`CONTACT`] after a cut began, first tries at the gateways cut off are served at least two thirds
//! as often as those at the others, or no more than 10 and one in 50 of them fail. Tries sent while
//! processes were disturbed otherwise, or up to [`CONTACT`] later, don't count.

use std::time::{Duration, Instant};

use crate::soak::history::{CallerRequest, RequestOutcome};
use crate::soak::violations::Violation;

/// Time from the beginning of a cut, or from the end of another fault, until callers must be served.
const CONTACT: Duration = Duration::from_secs(4);
/// A fault that begins within this time after a try may be what made it fail.
const TRY_LASTS: Duration = Duration::from_secs(2);

/// A time during which gateways were cut off from endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCut {
    /// Indices of the gateways.
    pub gateways: Vec<usize>,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// First tries, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tries {
    /// Those that were sent.
    pub sent: usize,
    /// Those that were answered with 200.
    pub served: usize,
}

impl Tries {
    fn record(&mut self, request: &CallerRequest) {
        self.sent += 1;
        let status = match request.outcome {
            RequestOutcome::Answered { status, .. } => status,
            _ => 0,
        };
        self.served += usize::from(status == 200);
    }

    /// Whether tries at gateways that were cut off fared so much worse than these that callers weren't
    /// served.
    fn are_unserved(self, others: Self) -> bool {
        let failed = self.sent - self.served;
        let rarer = 3 * self.served * others.sent < 2 * others.served * self.sent;
        rarer && failed > 10 + self.sent / 50
    }
}

/// First tries during a cut at the gateways cut off, and at those that weren't cut off in any of `cuts`.
/// `disturbed` are the times of other faults of processes.
pub fn tries_during(
    cut: &EndpointCut,
    cuts: &[EndpointCut],
    requests: &[CallerRequest],
    disturbed: &[(Instant, Instant)],
) -> (Tries, Tries) {
    let counts = |at: Instant| {
        let is_calm =
            |(from, to): &(Instant, Instant)| at + TRY_LASTS < *from || at >= *to + CONTACT;
        at >= cut.from + CONTACT && at + TRY_LASTS / 2 < cut.to && disturbed.iter().all(is_calm)
    };
    let is_cut_off = |request: &CallerRequest| {
        let mut lasting = cuts.iter().filter(|other| {
            request.sent + TRY_LASTS >= other.from && request.sent < other.to + CONTACT
        });
        lasting.any(|other| other.gateways.contains(&request.gateway))
    };
    let mut tries = (Tries::default(), Tries::default());
    let first = requests.iter().filter(|request| request.id.ends_with("-0"));
    for request in first.filter(|request| counts(request.sent)) {
        if cut.gateways.contains(&request.gateway) {
            tries.0.record(request);
        } else if !is_cut_off(request) {
            tries.1.record(request);
        }
    }
    tries
}

/// The cuts during which callers weren't served.
pub fn find_unserved(
    cuts: &[EndpointCut],
    requests: &[CallerRequest],
    disturbed: &[(Instant, Instant)],
) -> Vec<Violation> {
    let unserved = |cut: &EndpointCut| {
        let (cut_off, others) = tries_during(cut, cuts, requests, disturbed);
        let violation = || Violation::CutOffGatewaysDontServe {
            gateways: cut.gateways.clone(),
            served: cut_off.served,
            sent: cut_off.sent,
            others_served: others.served,
            others_sent: others.sent,
        };
        cut_off.are_unserved(others).then(violation)
    };
    cuts.iter().filter_map(unserved).collect()
}
