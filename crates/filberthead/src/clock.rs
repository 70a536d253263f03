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
    suspended_at_start: Duration,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            suspended_at_start: suspended_time(),
        }
    }

    /// Time since the origin.
    pub fn now(&self) -> Moment {
        // The suspended time is read first: what passes between the two readings is then counted
        // once, and the clock never goes back.
        let suspended = self.suspended_since_start();
        self.origin.elapsed() + suspended
    }

    /// The runtime's instant for a moment of this clock.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.origin + moment.saturating_sub(self.suspended_since_start())
    }

    fn suspended_since_start(&self) -> Duration {
        suspended_time().saturating_sub(self.suspended_at_start)
    }
}

/// Time that the system has been suspended since boot, or slightly less: a delay between the two
/// readings must not count as a suspension.
fn suspended_time() -> Duration {
    let boottime = to_duration(clock_gettime(ClockId::Boottime));
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    boottime.saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
