//! How much a cold endpoint is sent.
//!
//! The load it answers: an endpoint that has just started crashes under what a warm one
//! bears, and every gateway sees a free endpoint at the same moment. Each gateway of the
//! endpoint's region has an even part of the rate that it bears, taken one request at a
//! time; gateways of other regions have none. No message is needed, and the sum holds
//! also while some of them can't talk to the others.
//!
//! A gateway's first request waits for a part of its interval that differs from gateway to
//! gateway: if all began at once, a region of many gateways would send more in the first
//! second than the endpoint bears, one request each.

use std::time::Duration;

use filberthead_types::Moment;

/// Part of the rate that is used: a gateway that the others don't count yet has a part
/// as well, and requests sent in different seconds may arrive in the same one.
const USED: f64 = 0.8;
/// The least that a gateway's part is, in requests a second: with less an endpoint might
/// stay without any request for as long as it is cold.
const LEAST: f64 = 0.01;

/// When the next request may go to an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdGate {
    since: Moment,
    until: Moment,
    /// `None` until the first one has gone.
    next: Option<Moment>,
}

/// A gateway's part of what a cold endpoint bears.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    interval: Duration,
    /// Where in its first interval this gateway begins, from 0 to 1.
    phase: f64,
}

impl Part {
    /// The part of one of `gateways` of a rate of `per_s`.
    pub(crate) fn new(per_s: f64, gateways: u32, phase: f64) -> Self {
        let share = USED * per_s / f64::from(gateways.max(1));
        Self {
            interval: Duration::from_secs_f64(1.0 / share.max(LEAST)),
            phase,
        }
    }
}

impl ColdGate {
    /// Notes that the endpoint is cold until then, at least.
    pub(crate) fn cold_until(&mut self, now: Moment, until: Moment) {
        self.set(now, self.until.max(until));
    }

    /// Notes the platform's word on when its cold time ends.
    pub(crate) fn set(&mut self, now: Moment, until: Moment) {
        if !self.is_cold(now) {
            self.since = now;
            self.next = None;
        }
        self.until = until;
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether a request may go there now.
    pub(crate) fn is_open(&self, now: Moment, part: Part) -> bool {
        let first = || self.since + part.interval.mul_f64(part.phase);
        !self.is_cold(now) || now >= self.next.unwrap_or_else(first)
    }

    /// Notes that one has gone there.
    pub(crate) fn sent(&mut self, now: Moment, part: Part) {
        if self.is_cold(now) {
            self.next = Some(now + part.interval);
        }
    }
}
