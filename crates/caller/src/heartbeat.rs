//! Whether what callers are answered by is that of a process that has run all along.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Number of a start of the process; waking from a suspension is one as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartNumber(u64);

#[derive(Debug, Default)]
struct Shared {
    /// Milliseconds from the origin to the last beat.
    last_beat: AtomicU64,
    starts: AtomicU64,
}

/// Beaten by the thread that knows the table in force, and looked at before each answer.
///
/// Guards against a process that was suspended: it wakes with weights that may be hours
/// old. Each thread may have its turn first, so two things are looked at. The last beat
/// is as old as the suspension until the thread that knows the table has had its turn;
/// then the start has a new number, and whatever was prepared under an earlier one
/// counts for nothing, however late it is replaced.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    origin: Instant,
    timeout: Duration,
    shared: Arc<Shared>,
}

impl Heartbeat {
    /// A heartbeat that counts as lost after `timeout` without a beat.
    pub fn new(timeout: Duration) -> Self {
        Self {
            origin: Instant::now(),
            timeout,
            shared: Arc::default(),
        }
    }

    /// Begins a new start. Must come before the beat of the step that noticed it.
    pub fn start_over(&self) {
        self.shared.starts.fetch_add(1, Ordering::AcqRel);
    }

    /// The start that is under way.
    pub fn start(&self) -> StartNumber {
        StartNumber(self.shared.starts.load(Ordering::Acquire))
    }

    /// Says that the process runs at this moment.
    pub fn beat(&self) {
        let millis = u64::try_from(self.origin.elapsed().as_millis());
        let millis = millis.unwrap_or(u64::MAX);
        self.shared.last_beat.store(millis, Ordering::Release);
    }

    /// Whether callers may be answered by what was prepared under `start`; `None` was
    /// prepared before the newest table was known.
    pub fn is_valid_for(&self, start: Option<StartNumber>) -> bool {
        let last = Duration::from_millis(self.shared.last_beat.load(Ordering::Acquire));
        let recent = self.origin.elapsed().saturating_sub(last) < self.timeout;
        recent && start == Some(self.start())
    }
}
