//! A moving average of events per second.

use std::time::Duration;

use filberthead_types::Moment;

/// Events per second, weighted by an exponential decay. The integral over time equals the number
/// of events, so averages of several gateways add up to the average of all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    per_s: f64,
    updated_at: Moment,
}

impl Rate {
    /// Counts events; a negative number takes back earlier ones.
    pub(crate) fn record(&mut self, now: Moment, events: f64, averaging: Duration) {
        self.per_s = (self.get(now, averaging) + events / averaging.as_secs_f64()).max(0.0);
        self.updated_at = now;
    }

    /// The average at this moment.
    pub(crate) fn get(&self, now: Moment, averaging: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_s * (-elapsed.as_secs_f64() / averaging.as_secs_f64()).exp()
    }
}
