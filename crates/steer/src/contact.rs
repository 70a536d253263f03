//! How long the endpoints of the failure domain have been silent towards this entry.
//!
//! An entry that has lost its own links sees what it would see if all endpoints were down. Only
//! the entries of the failure domain together can tell the two apart, so each reports its
//! silence with its renewals, and control compares them.

use std::time::Duration;

use filberthead_types::Moment;

use crate::config::PROBE_INTERVAL;

/// Silence that sets an entry apart from others that had an answer meanwhile. Every entry probes
/// all endpoints of its failure domain; when these go down, the last answers that any two
/// entries had are a probe's interval apart at most, and what ticks and networks add.
pub(crate) const CUT_OFF_SILENCE: Duration =
    PROBE_INTERVAL.saturating_add(Duration::from_millis(500));

/// Most of the time between two ticks that counts as silence: answers that came while the
/// process was suspended or starved are not read yet.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);

/// The time since an endpoint last answered a probe or a request.
#[derive(Debug)]
pub(crate) struct Contact {
    silence: Duration,
    counted_until: Moment,
}

impl Contact {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            silence: Duration::ZERO,
            counted_until: now,
        }
    }

    pub(crate) fn record_answer(&mut self, now: Moment) {
        *self = Self::new(now);
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.counted_until);
        self.silence += elapsed.min(MAX_TICK_GAP);
        self.counted_until = now;
    }

    pub(crate) fn silence(&self) -> Duration {
        self.silence
    }
}
