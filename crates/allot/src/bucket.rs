//! A token bucket with the whole allotment of a workspace, at one gateway.

use std::time::Duration;

use filberthead_route::Allotment;
use filberthead_types::Moment;

/// Requests that one gateway may send, whatever others send.
///
/// Totals are about a second old. Until they show a surge, the gateways that see it would send
/// all of it; with a bucket each sends no more than the allotment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Requests that may be sent at `updated_at`; `None` before the first request.
    tokens: Option<f64>,
    updated_at: Moment,
}

impl TokenBucket {
    /// Time until a request may be sent; `None` if it may be sent now.
    pub(crate) fn wait(&self, now: Moment, allotment: &Allotment) -> Option<Duration> {
        let missing = 1.0 - self.tokens(now, allotment);
        let wait =
            || Duration::try_from_secs_f64(missing / allotment.rate).unwrap_or(Duration::MAX);
        (missing > 0.0).then(wait)
    }

    /// Takes tokens; a negative number gives them back.
    pub(crate) fn take(&mut self, now: Moment, requests: f64, allotment: &Allotment) {
        let tokens = self.tokens(now, allotment) - requests;
        self.tokens = Some(tokens.min(capacity(allotment)));
        self.updated_at = now;
    }

    fn tokens(&self, now: Moment, allotment: &Allotment) -> f64 {
        let capacity = capacity(allotment);
        let Some(tokens) = self.tokens else {
            return capacity;
        };
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (tokens + allotment.rate * elapsed).min(capacity)
    }
}

/// The burst, and two standard deviations of the requests that arrive by chance within a second.
fn capacity(allotment: &Allotment) -> f64 {
    allotment.burst + 1.0 + 2.0 * allotment.rate.sqrt()
}
