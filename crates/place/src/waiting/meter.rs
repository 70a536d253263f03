//! Rates of events.

use filberthead_types::Moment;

/// Half-life of the events that count, in seconds: several response times, so that a burst of a few requests
/// isn't taken for a rate.
const HALF_LIFE: f64 = 0.7;

/// Rate of recent events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateMeter {
    count: f64,
    at: Moment,
}

impl RateMeter {
    pub(crate) fn record(&mut self, now: Moment) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    /// Events per second.
    pub(crate) fn per_s(&self, now: Moment) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * 0.5_f64.powf(age / HALF_LIFE)
    }
}
