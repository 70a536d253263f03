//! A gateway's part of the rate that an endpoint names.
//!
//! The endpoint takes its rate from all gateways together, so each gateway of its region gets an equal
//! part, and gateways of other regions get none: requests from there go to other endpoints at no cost. If
//! its region has no gateways, all gateways share the rate. This needs no communication, and the sum also
//! holds while some gateways can't reach the others.
//!
//! Unused parts add up to a burst, but only as far as the bursts of all gateways fit what the endpoint
//! bears beyond its rate within [`WINDOW`]. Where there are so many gateways that one request of each is
//! too much, each sends only at the beginning of its interval, in a phase that differs between gateways.

use std::time::Duration;

use filberthead_types::Moment;

/// Length of the sliding window over which the requests to an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What an endpoint tolerates within a window beyond its rate: a share of the rate, and some requests, one
/// fewer than it does, since requests that are sent in different windows may arrive in the same one.
const BORNE_SHARE: f64 = 0.5;
const BORNE_REQUESTS: f64 = 4.0;
/// Longest burst of one gateway, in requests.
const MAX_BURST: f64 = 2.0;
/// Rate that is used where an endpoint names a lower one, in requests per second: only a response shows that
/// it takes more again.
const MIN_PER_S: f64 = 0.1;
/// Part of its interval, from its phase on, during which a gateway may send whose burst is below one
/// request.
const OPEN_SHARE: f64 = 0.125;

/// A gateway's part of a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateShare {
    /// Time between two requests.
    interval: Duration,
    /// Requests that may be sent at once after a pause; below 1, the gateway sends only at its
    /// phase.
    burst: f64,
    /// Where in the interval that is, from 0 to 1.
    phase: f64,
}

impl RateShare {
    /// The part of one of `gateways` gateways in a rate of `per_s` requests per second.
    pub(crate) fn new(per_s: f64, gateways: u32, phase: f64) -> Self {
        let gateways = f64::from(gateways.max(1));
        let per_s = per_s.max(MIN_PER_S);
        let borne = BORNE_SHARE * per_s * WINDOW.as_secs_f64() + BORNE_REQUESTS;
        Self {
            interval: Duration::from_secs_f64(gateways / per_s),
            burst: (borne / gateways).min(MAX_BURST),
            phase,
        }
    }

    /// When the next request may be sent, at `now` or later. `due` is when the part allows one on
    /// average.
    pub(crate) fn next_at(self, now: Moment, due: Moment) -> Moment {
        if self.burst >= 1.0 {
            let early = self.interval.mul_f64(self.burst - 1.0);
            return now.max(due.saturating_sub(early));
        }
        let begin = self.interval.mul_f64(self.phase);
        let since = Duration::from_nanos(
            ((now + self.interval - begin).as_nanos() % self.interval.as_nanos().max(1)) as u64,
        );
        let is_open = since < self.interval.mul_f64(OPEN_SHARE);
        match is_open && now >= due {
            true => now,
            false => now.max(due) + (self.interval - since),
        }
    }

    /// When the part allows a request on average after one that is sent at `now`.
    pub(crate) fn due_after(self, now: Moment, due: Moment) -> Moment {
        match self.burst >= 1.0 {
            true => now.max(due) + self.interval,
            // The next request may come earlier in its interval than this one did in its own.
            false => now + self.interval.mul_f64(1.0 - OPEN_SHARE),
        }
    }

    /// Time between two requests.
    pub(crate) fn interval(self) -> Duration {
        self.interval
    }

    /// Requests per second.
    pub(crate) fn per_s(self) -> f64 {
        1.0 / self.interval.as_secs_f64()
    }
}
