//! Chooses the connections that are closed so that their callers reconnect elsewhere.
//!
//! Callers choose a gateway at random for each connection and keep the connection for many
//! requests. After some gateways were down, or many callers moved, one gateway can have five
//! times the requests of its neighbours for as long as its connections last; its link is full
//! while theirs are empty. A gateway whose link is busier than those of its neighbours closes
//! some connections after their responses. Their callers choose a gateway again, which spreads
//! the surplus evenly.
//!
//! This doesn't oscillate: each gateway only sheds a part of its surplus over the mean, far
//! less than all of it within the interval in which the mean is reported.

use std::time::Duration;

use filberthead_types::Moment;

/// Link utilisation below which there is no queueing, however uneven the load.
const MIN_UTILISATION: f64 = 0.2;
/// Ratio to the mean up to which nothing is closed: random variation of a few connections.
const MIN_IMBALANCE: f64 = 1.15;
/// Time after which a reported mean expires: several report intervals. Without control there
/// is no mean, and every gateway whose load has grown would close connections for nothing.
const MEAN_TTL: Duration = Duration::from_secs(2);
/// Share of responses that close a surplus connection. With two requests per second on each
/// connection, half of a surplus is gone within two to three seconds.
const CLOSE_RATIO: f64 = 0.25;

/// Compares the link utilisation of a gateway with that of its neighbours.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionBalancer {
    utilisation: f64,
    mean: Option<(f64, Moment)>,
    /// Connections that are due to be closed; one is closed when it reaches 1.
    pending: f64,
}

impl ConnectionBalancer {
    /// Sets the utilisation of this gateway's link, from 0 to 1.
    pub fn set_utilisation(&mut self, utilisation: f64) {
        self.utilisation = utilisation;
    }

    /// Sets the mean link utilisation of the gateways in the failure domain; `None` if it is
    /// unknown.
    pub fn set_mean_utilisation(&mut self, now: Moment, utilisation: Option<f64>) {
        self.mean = utilisation.map(|utilisation| (utilisation, now));
    }

    /// Whether to close the connection after the response that is being sent.
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
