//! Moving averages of latencies and hold times.

use std::time::Duration;

/// Exponentially weighted moving average of durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mean {
    seconds: f64,
    samples: u32,
}

/// Weight of a new sample once the estimate has settled.
const GAIN: f64 = 0.1;

impl Mean {
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            seconds: initial.as_secs_f64(),
            samples: 0,
        }
    }

    pub(crate) fn add(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        // The first samples form a plain mean, so that the initial value has no weight.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.seconds += gain * (sample.as_secs_f64() - self.seconds);
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Whether there are enough samples for the mean to be compared with others.
    pub(crate) fn settled(&self) -> bool {
        self.samples >= 10
    }
}
