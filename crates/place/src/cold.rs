//! Limits the requests that a cold endpoint receives.
//!
//! An endpoint that has just started crashes under a load that a warm one handles, and all
//! gateways see a free endpoint at the same moment. So each gateway of the endpoint's region
//! gets an equal share of the rate that the endpoint can handle, one request at a time;
//! gateways of other regions get none. This needs no communication, and the sum also holds
//! while some gateways can't reach the others.
//!
//! A gateway's first request waits for a fraction of its interval that differs between
//! gateways. If all started at once, a region with many gateways would send more in the first
//! second than the endpoint can handle, one request each.

use std::time::Duration;

use filberthead_types::Moment;

/// Share of the rate that is used. The rest covers a gateway that the others don't count yet,
/// and requests that are sent in different seconds but arrive in the same one.
const USED_SHARE: f64 = 0.8;
/// Lower bound of a gateway's rate, in requests per second. With less, an endpoint might
/// receive no request at all while it is cold.
const MIN_RATE_PER_S: f64 = 0.01;

/// Limits one gateway's requests to one endpoint while the endpoint is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdLimiter {
    cold_since: Moment,
    cold_until: Moment,
    /// When the next request may be sent; `None` until the first one was sent.
    next_at: Option<Moment>,
}

/// One gateway's share of the rate that a cold endpoint can handle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdShare {
    interval: Duration,
    /// Fraction of the first interval, from 0 to 1, after which this gateway sends its first
    /// request.
    phase: f64,
}

impl ColdShare {
    /// The share of one of `gateways` gateways in a rate of `per_s` requests per second.
    pub(crate) fn new(per_s: f64, gateways: u32, phase: f64) -> Self {
        let rate = USED_SHARE * per_s / f64::from(gateways.max(1));
        Self {
            interval: Duration::from_secs_f64(1.0 / rate.max(MIN_RATE_PER_S)),
            phase,
        }
    }

    /// Time between two requests.
    pub(crate) fn interval(self) -> Duration {
        self.interval
    }
}

impl ColdLimiter {
    /// Extends the cold period to `until` if it ends earlier.
    pub(crate) fn extend(&mut self, now: Moment, until: Moment) {
        self.set_cold_until(now, self.cold_until.max(until));
    }

    /// Sets the end of the cold period to what the platform's list reports.
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

    /// Time until it is warm; zero if it is.
    pub(crate) fn left(&self, now: Moment) -> Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Time until a request may be sent; zero if one may be now.
    pub(crate) fn wait(&self, now: Moment, share: ColdShare) -> Duration {
        let first_at = || self.cold_since + share.interval.mul_f64(share.phase);
        let next_at = self.next_at.unwrap_or_else(first_at);
        next_at.saturating_sub(now).min(self.left(now))
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, now: Moment, share: ColdShare) {
        if self.is_cold(now) {
            self.next_at = Some(now + share.interval);
        }
    }
}
