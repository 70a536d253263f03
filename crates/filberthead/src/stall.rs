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
    /// The last pause, with those that it followed closely.
    pause: Cell<Option<Pause>>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    began_at: Moment,
    ended_at: Moment,
}

impl Pause {
    /// Whether the thread may still read what arrived during the pause.
    fn is_catching_up(&self, now: Moment) -> bool {
        now < self.ended_at + CATCH_UP_PERIOD
    }
}

impl StallMonitor {
    /// Creates a monitor of the current thread.
    pub fn new() -> Self {
        Self::with_clock(Clock::start())
    }

    /// The same, with this clock.
    pub(crate) fn with_clock(clock: Clock) -> Self {
        Self {
            last_seen: Cell::new(clock.now()),
            pause: Cell::new(None),
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
        self.unread_since().is_some()
    }

    /// Since when what the thread reads now may have waited; `None` if it hasn't stood still a moment
    /// ago.
    pub(crate) fn unread_since(&self) -> Option<Moment> {
        let now = self.observe();
        let pause = self.pause.get().filter(|pause| pause.is_catching_up(now));
        pause.map(|pause| pause.began_at)
    }

    fn observe(&self) -> Moment {
        let now = self.clock.now();
        let last_seen = self.last_seen.replace(now);
        let earlier = self
            .pause
            .get()
            .filter(|pause| pause.is_catching_up(last_seen));
        // What arrived during the first pause may still be unread after a shorter one.
        let max_silence = match earlier {
            Some(_) => CATCH_UP_PERIOD,
            None => MAX_SILENCE,
        };
        if now >= last_seen + max_silence {
            self.pause.set(Some(Pause {
                began_at: earlier.map_or(last_seen, |pause| pause.began_at),
                ended_at: now,
            }));
        }
        now
    }
}

impl Default for StallMonitor {
    fn default() -> Self {
        Self::new()
    }
}
