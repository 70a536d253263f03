//! Detects that the process was suspended, so that callers aren't answered from old data.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Counts the starts of the process; resuming after a suspension counts as a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartNumber(u64);

#[derive(Debug, Default)]
struct Shared {
    /// Milliseconds from the origin to the last beat.
    last_beat: AtomicU64,
    /// Number of the current start.
    starts: AtomicU64,
}

/// Heartbeat of the thread that maintains the table in force, checked before each answer.
///
/// A process that was suspended resumes with weights that may be hours old. Any thread may
/// run first after that, so two things are checked. Until the table's thread has run, the
/// last beat is too old. Once it has run, the start has a new number, and data prepared under
/// an earlier start is invalid, however late it is replaced.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    origin: Instant,
    timeout: Duration,
    shared: Arc<Shared>,
}

impl Heartbeat {
    /// A heartbeat that expires `timeout` after the last beat.
    pub fn new(timeout: Duration) -> Self {
        Self {
            origin: Instant::now(),
            timeout,
            shared: Arc::default(),
        }
    }

    /// Begins a new start. Must be called before the beat of the step that detected it.
    pub fn start_over(&self) {
        self.shared.starts.fetch_add(1, Ordering::AcqRel);
    }

    /// Number of the current start.
    pub fn start(&self) -> StartNumber {
        StartNumber(self.shared.starts.load(Ordering::Acquire))
    }

    /// Records that the table's thread is running now.
    pub fn beat(&self) {
        let millis = u64::try_from(self.origin.elapsed().as_millis());
        let millis = millis.unwrap_or(u64::MAX);
        self.shared.last_beat.store(millis, Ordering::Release);
    }

    /// Whether callers may be answered from data prepared under `start`. Always false for
    /// `None`, which stands for data prepared before the newest table was known.
    pub fn is_valid_for(&self, start: Option<StartNumber>) -> bool {
        let last = Duration::from_millis(self.shared.last_beat.load(Ordering::Acquire));
        let recent = self.origin.elapsed().saturating_sub(last) < self.timeout;
        recent && start == Some(self.start())
    }
}
