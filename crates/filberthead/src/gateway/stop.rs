//! The planned stop of a gateway.
//!
//! Callers keep using the addresses that they were told for a while, so a gateway first
//! says that it leaves, to control and to the platform, and goes on serving: each answer
//! closes its connection. Only then it stops listening, finishes what it has, and ends.

use std::time::Duration;

use log::info;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Part of the grace for which callers are still taken in: the rest is for requests that
/// are running then, and for ending.
const ACCEPT_FRACTION: f64 = 0.6;
/// Part of the grace after which the process ends whatever still runs.
const END_FRACTION: f64 = 0.93;

/// How far a gateway has come in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It doesn't know routes or endpoints yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves, but is to get no new callers.
    Leaving,
    /// It takes no new connections and finishes what it has.
    Ending,
}

impl Phase {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Ending => "ending",
        }
    }
}

/// Carries out a planned stop.
pub(crate) struct PlannedStop {
    /// Time from the signal until the process must have ended.
    pub(crate) grace: Duration,
    /// Where the gateway's phase is told.
    pub(crate) phase: watch::Sender<Phase>,
    /// Callers' connections that are open. One ends once its last answer is on its way,
    /// so no answer is cut that is only half written.
    pub(crate) connections: watch::Receiver<usize>,
}

impl PlannedStop {
    /// Returns when the process may end.
    pub(crate) async fn run(mut self) {
        let started = Instant::now();
        self.phase.send_replace(Phase::Leaving);
        sleep(self.grace.mul_f64(ACCEPT_FRACTION)).await;
        self.phase.send_replace(Phase::Ending);
        let deadline = started + self.grace.mul_f64(END_FRACTION);
        let all_closed = self.connections.wait_for(|open| *open == 0);
        let ended = timeout_at(deadline, all_closed).await.is_ok();
        let open = *self.connections.borrow();
        info!(open, in_time = ended; "planned stop ends");
    }
}
