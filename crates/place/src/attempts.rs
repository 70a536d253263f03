//! The attempts of one request: how many there were, and which endpoints not to try again.
//!
//! The load it answers: endpoints refuse a part of what they get, though they have slots
//! free. A request that goes to another endpoint for it meets one that doesn't know its
//! object; with all endpoints of a service refusing half, each object ends up with many of
//! them, and is as good as unknown everywhere. So a request that was refused may go to the
//! same endpoint again, if that has told how full it is: its price says whether it should.

use crate::EndpointId;

/// Endpoints that may turn out to be out of reach before the caller is told to come back.
const MAX_UNREACHABLE: u32 = 3;

/// What has become of a request's attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    max: u32,
    made: u32,
    ran: u32,
    unreachable: u32,
    refused: u32,
    excluded: Vec<EndpointId>,
}

/// What may follow an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another attempt, if the budget has one.
    Allowed,
    /// None: the request has had as many as it may, or found nobody.
    Exhausted,
}

impl Attempts {
    /// None yet, of `most` that may reach an endpoint.
    pub fn new(max: u32) -> Self {
        Self {
            max,
            made: 0,
            ran: 0,
            unreachable: 0,
            refused: 0,
            excluded: Vec::new(),
        }
    }

    /// Notes that the request goes to an endpoint.
    pub fn record_sent(&mut self, id: EndpointId) {
        self.made += 1;
        self.excluded.push(id);
    }

    /// The last one was out of reach and has got nothing.
    pub fn record_unreachable(&mut self) -> NextAttempt {
        self.unreachable += 1;
        if self.unreachable < MAX_UNREACHABLE {
            NextAttempt::Allowed
        } else {
            NextAttempt::Exhausted
        }
    }

    /// The last one refused it, and may be sent it again or not.
    pub fn record_refused(&mut self, allow_same_endpoint: bool) -> NextAttempt {
        self.refused += 1;
        if allow_same_endpoint {
            self.excluded.pop();
        }
        self.next_attempt()
    }

    /// The last one may have run it.
    pub fn record_ran(&mut self) -> NextAttempt {
        self.ran += 1;
        self.next_attempt()
    }

    fn next_attempt(&self) -> NextAttempt {
        if self.made - self.unreachable < self.max {
            NextAttempt::Allowed
        } else {
            NextAttempt::Exhausted
        }
    }

    /// Endpoints that it isn't sent to again.
    pub fn excluded(&self) -> &[EndpointId] {
        &self.excluded
    }

    /// Attempts so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Attempts that may have run.
    pub fn may_have_run(&self) -> u32 {
        self.ran
    }

    /// Whether an endpoint has refused it.
    pub fn was_refused(&self) -> bool {
        self.refused > 0
    }
}
