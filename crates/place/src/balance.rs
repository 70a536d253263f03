//! Which callers are asked to connect anew.
//!
//! The load it answers: callers choose a gateway at random for each connection and keep it
//! for many requests. After some gateways were down, or a crowd has moved, one of them has
//! five times the requests of its neighbours for as long as its connections last; its link
//! is full while theirs are empty. A gateway whose link is used more than its neighbours'
//! ends some connections after their answers. Their callers choose anew, so the surplus
//! goes to all evenly.
//!
//! It can't go back and forth: each gateway only ever gives away a part of its surplus over
//! the mean, far less than all of it within the time in which the mean is told.

use std::time::Duration;

use filberthead_types::Moment;

/// Use of a link below which nobody waits for it, however uneven.
const MIN_UTILISATION: f64 = 0.2;
/// Use over the mean that is left alone: what chance makes of a few connections.
const MIN_IMBALANCE: f64 = 1.15;
/// Time for which the mean is believed: some reports. Without control nobody knows it, and
/// everybody who has more to do than before would end connections for nothing.
const MEAN_TTL: Duration = Duration::from_secs(2);
/// Part of the answers that end a surplus connection: with two requests a second on each,
/// half of a surplus goes within two to three seconds.
const CLOSE_RATIO: f64 = 0.25;

/// Compares a gateway with its neighbours.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionBalancer {
    utilisation: f64,
    mean: Option<(f64, Moment)>,
    /// Part of an end that is due.
    pending: f64,
}

impl ConnectionBalancer {
    /// Takes in how much of its own link is used.
    pub fn set_utilisation(&mut self, utilisation: f64) {
        self.utilisation = utilisation;
    }

    /// Takes in how much of their links the gateways of its failure domain use on average,
    /// if anybody knows.
    pub fn set_mean_utilisation(&mut self, now: Moment, utilisation: Option<f64>) {
        self.mean = utilisation.map(|utilisation| (utilisation, now));
    }

    /// Whether the connection of this answer is to end.
    pub fn should_close(&mut self, now: Moment) -> bool {
        let current = self.mean.filter(|(_, at)| now < *at + MEAN_TTL);
        let Some((mean, _)) = current else {
            return false;
        };
        if self.utilisation < MIN_UTILISATION || self.utilisation < MIN_IMBALANCE * mean {
            return false;
        }
        self.pending += CLOSE_RATIO * (1.0 - mean / self.utilisation);
        let closes = self.pending >= 1.0;
        if closes {
            self.pending -= 1.0;
        }
        closes
    }
}
