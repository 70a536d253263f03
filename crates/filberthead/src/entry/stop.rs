//! The planned stop of an entry, from SIGTERM to its end.
//!
//! Callers cache a look-up's answer for its time to live, so an entry that stopped at once
//! would refuse callers with a valid answer that names it. It is therefore first removed
//! from the look-ups of all entries and keeps serving until the last answer that names it
//! has expired; then it accepts no more connections and finishes running requests.

use std::time::Duration;

use filberthead_caller::Phase;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time in which every entry receives the notice that this one is leaving and stops naming
/// it in look-ups.
const SPREAD_MARGIN: Duration = Duration::from_secs(2);

/// Settings and channels of a planned stop.
#[derive(Debug)]
pub(crate) struct PlannedStop {
    /// How long callers may use a look-up's answer.
    pub(crate) lookup_ttl: Duration,
    /// Maximum duration of the stop, counted from the signal.
    pub(crate) deadline: Duration,
    /// Announces the stop to the other duties and, through them, to the other entries.
    pub(crate) leaving: watch::Sender<bool>,
    /// Phase of the server for callers.
    pub(crate) phase: watch::Sender<Phase>,
    /// Set when the last caller's connection has ended.
    pub(crate) callers_done: watch::Receiver<bool>,
    /// Number of requests in progress.
    pub(crate) running: watch::Receiver<usize>,
    /// Set when the homes of this entry's idempotency keys have moved to other entries.
    pub(crate) handed_over: watch::Receiver<bool>,
}

impl PlannedStop {
    /// Runs the stop. Returns the number of requests cut at the deadline, at least 1 if the
    /// deadline passed, and 0 if everything finished before.
    pub(crate) async fn run(mut self) -> usize {
        let started_at = Instant::now();
        let deadline = started_at + self.deadline;
        self.leaving.send_replace(true);
        self.phase.send_replace(Phase::Leaving);
        sleep_until((started_at + self.lookup_ttl + SPREAD_MARGIN).min(deadline)).await;
        info!("the last look-up that names this entry has lapsed");
        self.phase.send_replace(Phase::Closing);
        let finished = async {
            // An error means that the duty has ended and has no work left.
            let _ = self.callers_done.wait_for(|done| *done).await;
            let _ = self.running.wait_for(|running| *running == 0).await;
            let _ = self.handed_over.wait_for(|done| *done).await;
        };
        if timeout_at(deadline, finished).await.is_ok() {
            info!(ms = started_at.elapsed().as_millis() as u64; "nothing is running any more");
            return 0;
        }
        let cut = (*self.running.borrow()).max(1);
        warn!(cut; "the deadline of the planned stop has passed; what is running is cut");
        cut
    }
}
