//! The monotonic clock of a process.

use std::time::Duration;

use filberthead_types::Moment;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

/// Converts the runtime's clock to [`Moment`]s with one origin for the whole process, so that
/// moments can be passed between duties.
///
/// The clock advances while the process is stopped by a signal or starved, and also while its VM
/// is suspended. Leases rely on that: the first step after a suspension sees the whole gap. The
/// runtime's own clock stands still during a suspension, so a resumed leader would consider its
/// lease still valid and answer from state that others have long changed. So the time that the
/// system was suspended is added.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    slept: Duration,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            slept: slept(),
        }
    }

    /// Time since the origin.
    pub fn now(&self) -> Moment {
        // The suspended time is read first: what passes between the two readings is then counted
        // once, and the clock never goes back.
        let slept = self.slept_since();
        self.origin.elapsed() + slept
    }

    /// The runtime's instant for a moment of this clock.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + moment.saturating_sub(self.slept_since())
    }

    fn slept_since(&self) -> Duration {
        slept().saturating_sub(self.slept)
    }
}

/// Time that the system has been suspended since boot, or slightly less: a delay between the two
/// readings must not count as a suspension.
fn slept() -> Duration {
    let with_sleep = duration(clock_gettime(ClockId::Boottime));
    let steady = duration(clock_gettime(ClockId::Monotonic));
    with_sleep.saturating_sub(steady)
}

fn duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
