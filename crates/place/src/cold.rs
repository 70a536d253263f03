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
const USED_SHARE: f64 = 0.8;
/// The least that a gateway's part is, in requests a second: with less an endpoint might
/// stay without any request for as long as it is cold.
const MIN_RATE_PER_S: f64 = 0.01;

/// When the next request may go to an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdLimiter {
    cold_since: Moment,
    cold_until: Moment,
    /// `None` until the first one has gone.
    next_at: Option<Moment>,
}

/// A gateway's part of what a cold endpoint bears.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdShare {
    interval: Duration,
    /// Where in its first interval this gateway begins, from 0 to 1.
    phase: f64,
}

impl ColdShare {
    /// The part of one of `gateways` of a rate of `per_s`.
    pub(crate) fn new(per_s: f64, gateways: u32, phase: f64) -> Self {
        let rate = USED_SHARE * per_s / f64::from(gateways.max(1));
        Self {
            interval: Duration::from_secs_f64(1.0 / rate.max(MIN_RATE_PER_S)),
            phase,
        }
    }
}

impl ColdLimiter {
    /// Notes that the endpoint is cold until then, at least.
    pub(crate) fn extend(&mut self, now: Moment, until: Moment) {
        self.set_cold_until(now, self.cold_until.max(until));
    }

    /// Notes the platform's word on when its cold time ends.
    pub(crate) fn set_cold_until(&mut self, now: Moment, until: Moment) {
        if !self.is_cold(now) {
            self.cold_since = now;
            self.next_at = None;
        }
        self.cold_until = until;
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether a request may go there now.
    pub(crate) fn allows(&self, now: Moment, share: ColdShare) -> bool {
        let first_at = || self.cold_since + share.interval.mul_f64(share.phase);
        !self.is_cold(now) || now >= self.next_at.unwrap_or_else(first_at)
    }

    /// Notes that one has gone there.
    pub(crate) fn record_sent(&mut self, now: Moment, share: ColdShare) {
        if self.is_cold(now) {
            self.next_at = Some(now + share.interval);
        }
    }
}
