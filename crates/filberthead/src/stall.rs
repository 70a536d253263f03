//! Notices that a thread stood still.

use std::cell::Cell;
use std::time::Duration;

use filberthead_types::Moment;
use tokio::time::sleep;

use crate::Clock;

/// How often a thread shows that it runs.
const PERIOD: Duration = Duration::from_millis(50);
/// Time without that after which the thread stood still.
const MAX_SILENCE: Duration = Duration::from_millis(300);
/// Time after a pause in which the thread may still read what arrived during it.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(100);

/// Tells whether what a thread reads from its sockets may have waited there, since the thread
/// stood still: stopped by a signal, starved, or on a suspended VM.
#[derive(Debug)]
pub struct StallMonitor {
    clock: Clock,
    last_seen: Cell<Moment>,
    resumed_at: Cell<Option<Moment>>,
}

impl StallMonitor {
    /// Creates a monitor of the current thread.
    pub fn new() -> Self {
        let clock = Clock::start();
        Self {
            last_seen: Cell::new(clock.now()),
            resumed_at: Cell::new(None),
            clock,
        }
    }

    /// Observes the thread for as long as it is polled.
    pub async fn run(&self) {
        loop {
            self.observe();
            sleep(PERIOD).await;
        }
    }

    /// Whether the thread stood still a moment ago, and may read what arrived meanwhile.
    pub fn is_catching_up(&self) -> bool {
        let now = self.observe();
        self.resumed_at
            .get()
            .is_some_and(|at| now < at + CATCH_UP_PERIOD)
    }

    fn observe(&self) -> Moment {
        let now = self.clock.now();
        let last_seen = self.last_seen.replace(now);
        let was_catching_up = self
            .resumed_at
            .get()
            .is_some_and(|at| last_seen < at + CATCH_UP_PERIOD);
        // What arrived during the first pause may still be unread after a shorter one.
        let max_silence = if was_catching_up {
            CATCH_UP_PERIOD
        } else {
            MAX_SILENCE
        };
        if now >= last_seen + max_silence {
            self.resumed_at.set(Some(now));
        }
        now
    }
}

impl Default for StallMonitor {
    fn default() -> Self {
        Self::new()
    }
}
