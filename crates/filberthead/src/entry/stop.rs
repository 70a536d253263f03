//! The planned stop of an entry, from SIGTERM to its end.
//!
//! Callers keep a look-up's answer for its time to live, so an entry that stopped at
//! once would refuse callers that were told to use it a moment ago. It first leaves the
//! look-ups, everywhere, and goes on serving until the last answer that names it has
//! lapsed; then it takes no more connections and finishes what is running.

use std::time::Duration;

use filberthead_caller::Phase;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time until every entry has heard that this one is leaving and names it no more.
const SPREAD_MARGIN: Duration = Duration::from_secs(2);

/// What a planned stop acts on.
#[derive(Debug)]
pub(crate) struct PlannedStop {
    /// How long callers keep a look-up's answer.
    pub(crate) lookup_ttl: Duration,
    /// How long the stop may take, from the signal on.
    pub(crate) deadline: Duration,
    /// Tells the other duties, and through them the other entries.
    pub(crate) leaving: watch::Sender<bool>,
    /// Tells the server towards callers.
    pub(crate) phase: watch::Sender<Phase>,
    /// Set when the last caller's connection has ended.
    pub(crate) callers_done: watch::Receiver<bool>,
    /// Requests in progress.
    pub(crate) running: watch::Receiver<usize>,
    /// Set when other entries hold the homes of this entry's idempotency keys.
    pub(crate) handed_over: watch::Receiver<bool>,
}

impl PlannedStop {
    /// Runs the stop; returns how many requests it had to cut, 0 unless the deadline
    /// came first.
    pub(crate) async fn run(mut self) -> usize {
        let started_at = Instant::now();
        let deadline = started_at + self.deadline;
        self.leaving.send_replace(true);
        self.phase.send_replace(Phase::Leaving);
        sleep_until((started_at + self.lookup_ttl + SPREAD_MARGIN).min(deadline)).await;
        info!("the last look-up that names this entry has lapsed");
        self.phase.send_replace(Phase::Closing);
        let finished = async {
            // An error means that the duty has ended, and its work with it.
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
