//! The planned stop of a gateway.
//!
//! Callers keep using the addresses they have looked up for a while. So a gateway first announces
//! to control and to the platform that it is leaving, and goes on serving while each response
//! closes its connection. Then it stops listening, finishes the running requests, and ends. Meanwhile it
//! passes on only requests that can be expected to end before it does, and from a certain time on only those that
//! are sure to, because their deadline comes first: callers have had time to learn of the stop by then, and a
//! request that was longer than any before it would be cut. To relay the others wouldn't help: their responses
//! would still pass through this process.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use log::info;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Fraction of the grace period in which connections are still accepted. The rest is for requests
/// that are running by then, and for the shutdown itself.
const ACCEPT_FRACTION: f64 = 0.6;
/// Fraction of the grace period after which the end of a request has to be certain for it to be passed on. What
/// comes before may be cut at the end of the grace period if it takes longer than expected.
const EXPECTATION_FRACTION: f64 = 0.45;
/// The same, as the longest time: callers are promised that what they send later isn't cut.
const MAX_EXPECTATION: Duration = Duration::from_millis(2700);
/// Fraction of the grace period by which a request must be expected to end to be passed on.
const EXPECTED_FRACTION: f64 = 0.9;
/// Fraction of the grace period after which a request is answered that takes longer than expected. The rest is
/// for writing the responses.
const ANSWER_FRACTION: f64 = 0.92;
/// Fraction of the grace period after which the process ends, whatever still runs.
const END_FRACTION: f64 = 0.93;

/// Lifecycle phase of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Routes or endpoints are still missing.
    Starting,
    /// Serving requests.
    Serving,
    /// Serving requests, but asking callers to go elsewhere.
    Leaving,
    /// Accepting no connections, and finishing the running requests.
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

/// Until when a planned stop leaves requests time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// When it began.
    began: Instant,
    /// Until when a request may arrive whose end is only expected, not certain.
    expect_until: Instant,
    /// When a request must be expected to end at the latest to be passed on.
    pub(crate) expected_by: Instant,
    /// When a request is answered that takes longer.
    pub(crate) answer_by: Instant,
}

/// When a request arrived, seen from a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopStage {
    /// Before its beginning.
    Before,
    /// While requests are passed on that can be expected to end before the process does.
    Early,
    /// Later: only requests whose deadline comes before the end of the process are passed on.
    Late,
}

/// The times of a planned stop; unset until it begins.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopBegun(Arc<OnceLock<StopTimes>>);

impl StopTimes {
    /// Of a stop that begins now.
    fn new(began: Instant, grace: Duration) -> Self {
        let expectation = grace.mul_f64(EXPECTATION_FRACTION).min(MAX_EXPECTATION);
        Self {
            began,
            expect_until: began + expectation,
            expected_by: began + grace.mul_f64(EXPECTED_FRACTION),
            answer_by: began + grace.mul_f64(ANSWER_FRACTION),
        }
    }

    fn stage(&self, arrived: Instant) -> StopStage {
        if arrived < self.began {
            StopStage::Before
        } else if arrived < self.expect_until {
            StopStage::Early
        } else {
            StopStage::Late
        }
    }
}

impl StopBegun {
    /// The stage in which a request arrived.
    pub(crate) fn stage(&self, arrived: Instant) -> StopStage {
        let times = self.get();
        times.map_or(StopStage::Before, |times| times.stage(arrived))
    }

    /// The times, once a planned stop has begun.
    pub(crate) fn get(&self) -> Option<StopTimes> {
        self.0.get().copied()
    }
}

/// Performs a planned stop.
pub(crate) struct PlannedStop {
    /// Time from the signal until the process must have ended.
    pub(crate) grace: Duration,
    /// Set at its beginning.
    pub(crate) begun: StopBegun,
    /// Publishes the gateway's phase.
    pub(crate) phase: watch::Sender<Phase>,
    /// Number of open caller connections. A connection counts until its last response is written,
    /// so that none is truncated.
    pub(crate) connections: watch::Receiver<usize>,
}

impl PlannedStop {
    /// Returns when the process may end.
    pub(crate) async fn run(mut self) {
        let started = Instant::now();
        let times = || StopTimes::new(started, self.grace);
        self.begun.0.get_or_init(times);
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
