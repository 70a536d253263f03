//! The attempts of one request: how many were made, and which endpoints are excluded from the
//! next one.
//!
//! Endpoints may reject a part of their requests although they have free slots. If such a
//! request goes to another endpoint, that one doesn't have its object cached. With all
//! endpoints of a service rejecting half of their requests, each object is spread over many of
//! them, and is in effect cached nowhere. So a rejected request may go to the same endpoint
//! again if that has reported its load; the endpoint's cost decides whether it does.

use crate::EndpointId;

/// Endpoints that may be unreachable before the request is rejected.
const MAX_UNREACHABLE: u32 = 3;

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    max: u32,
    made: u32,
    ran: u32,
    unreachable: u32,
    withdrawn: u32,
    refused: u32,
    /// Endpoints that another gateway has sent it to or may do so, beyond the first one of each attempt.
    elsewhere: u32,
    excluded: Vec<EndpointId>,
    /// Endpoints that have rejected it.
    rejected_by: Vec<EndpointId>,
}

/// Whether another attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another attempt may be made if the retry budget permits.
    Allowed,
    /// No further attempt: the maximum is reached, or too many endpoints were unreachable.
    Exhausted,
}

impl Attempts {
    /// No attempts yet; at most `max` may reach an endpoint.
    pub fn new(max: u32) -> Self {
        Self {
            max,
            made: 0,
            ran: 0,
            unreachable: 0,
            withdrawn: 0,
            refused: 0,
            elsewhere: 0,
            excluded: Vec::new(),
            rejected_by: Vec::new(),
        }
    }

    /// Records that the request is sent to an endpoint.
    pub fn record_sent(&mut self, id: EndpointId) {
        self.made += 1;
        self.excluded.push(id);
    }

    /// Records that an endpoint was unreachable and has received nothing.
    pub fn record_unreachable(&mut self) -> NextAttempt {
        self.unreachable += 1;
        if self.unreachable < MAX_UNREACHABLE {
            NextAttempt::Allowed
        } else {
            NextAttempt::Exhausted
        }
    }

    /// Records that nothing was sent, as the endpoint takes no requests at the moment.
    pub fn record_withdrawn(&mut self) {
        self.withdrawn += 1;
    }

    /// Lets another gateway, which the last attempt is relayed through, send it to as many endpoints as are
    /// left. Returns how many these are, beyond the first one. If the request may be sent again while it is
    /// there, one is kept for that, unless the other gateway then had no further one itself.
    pub fn reserve_elsewhere(&mut self, may_send_again: bool) -> u32 {
        let kept = u32::from(may_send_again && self.left() > 1);
        let further = self.left() - kept;
        self.elsewhere += further;
        further
    }

    /// Records that a gateway which might send the request to `reserved` further endpoints has sent it to
    /// this many in all; `None`: to as many as it might.
    pub fn record_relayed(&mut self, reserved: u32, reached: Option<u32>) {
        let further = reached.map_or(reserved, |reached| reached.saturating_sub(1));
        self.elsewhere = self.elsewhere.saturating_sub(reserved) + further;
    }

    /// Records that an endpoint rejected the request. `allow_same_endpoint`: the request
    /// may be sent to it again.
    pub fn record_refused(&mut self, id: &EndpointId, allow_same_endpoint: bool) -> NextAttempt {
        self.refused += 1;
        self.rejected_by.push(id.clone());
        if allow_same_endpoint {
            self.excluded.retain(|excluded| excluded != id);
        }
        self.next_attempt()
    }

    /// Records that an endpoint may have run the request.
    pub fn record_ran(&mut self) -> NextAttempt {
        self.ran += 1;
        self.next_attempt()
    }

    /// Whether another attempt is allowed.
    pub fn next_attempt(&self) -> NextAttempt {
        if self.left() > 0 {
            NextAttempt::Allowed
        } else {
            NextAttempt::Exhausted
        }
    }

    /// Endpoints that the request isn't sent to again.
    pub fn excluded(&self) -> &[EndpointId] {
        &self.excluded
    }

    /// Number of endpoints that the request may still be sent to.
    pub fn left(&self) -> u32 {
        self.max.saturating_sub(self.reached())
    }

    /// Number of endpoints that the request may have reached.
    pub fn reached(&self) -> u32 {
        self.made - self.unreachable - self.withdrawn + self.elsewhere
    }

    /// Number of attempts so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Number of attempts that may have run.
    pub fn may_have_run(&self) -> u32 {
        self.ran
    }

    /// Whether this endpoint has rejected the request before.
    pub fn was_refused_by(&self, id: &EndpointId) -> bool {
        self.rejected_by.contains(id)
    }

    /// Whether an endpoint has rejected the request.
    pub fn was_refused(&self) -> bool {
        self.refused > 0
    }
}
