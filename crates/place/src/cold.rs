//! How much a cold endpoint is sent.
//!
//! The load it answers: an endpoint that has just started crashes under what a warm one
//! bears, and every gateway sees a free endpoint at the same moment. Each gateway of the
//! endpoint's region has an even part of the rate that it bears, taken one request at a
//! time; gateways of other regions have none. No message is needed, and the sum holds
//! also while some of them can't talk to the others.

use std::time::Duration;

use filberthead_types::Moment;

/// Part of the rate that is used: a gateway that the others don't count yet has a part
/// as well, and requests sent in different seconds may arrive in the same one.
const USED: f64 = 0.8;

/// When the next request may go to an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdGate {
    until: Moment,
    next: Moment,
}

impl ColdGate {
    /// Notes that the endpoint is cold until then.
    pub(crate) fn cold_until(&mut self, until: Moment) {
        self.until = self.until.max(until);
    }

    /// Notes the platform's word on when its cold time ends.
    pub(crate) fn set(&mut self, until: Moment) {
        self.until = until;
    }

    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether a request may go there now.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        !self.is_cold(now) || now >= self.next
    }

    /// Notes that one has gone there. `per_s` is what the endpoint bears, `gateways` how
    /// many share it.
    pub(crate) fn sent(&mut self, now: Moment, per_s: f64, gateways: u32) {
        if !self.is_cold(now) {
            return;
        }
        let share = USED * per_s / f64::from(gateways.max(1));
        self.next = now + Duration::from_secs_f64(1.0 / share.max(0.01));
    }
}
