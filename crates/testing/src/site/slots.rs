//! Limits how many requests run at an endpoint, and how many wait.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{Semaphore, SemaphorePermit};

/// Slots in which requests run, and a queue of requests that wait for one.
#[derive(Debug)]
pub(crate) struct Slots {
    free: Semaphore,
    slots: u32,
    queue: u32,
    waiting: AtomicU32,
}

/// Whether a request may run.
pub(crate) enum Entry<'a> {
    /// It may, while the permit is held.
    Running(SemaphorePermit<'a>),
    /// All slots are taken and the queue is full.
    Full,
}

/// A request in the queue; it leaves when dropped.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    pub(crate) fn new(slots: u32, queue: u32) -> Self {
        Self {
            free: Semaphore::new(slots as usize),
            slots,
            queue,
            waiting: AtomicU32::new(0),
        }
    }

    /// Waits for a slot if the queue has room.
    pub(crate) async fn enter(&self) -> Entry<'_> {
        if let Ok(permit) = self.free.try_acquire() {
            return Entry::Running(permit);
        }
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.queue {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Entry::Full;
        }
        let _waiting = Waiting(&self.waiting);
        match self.free.acquire().await {
            Ok(permit) => Entry::Running(permit),
            // The semaphore is never closed.
            Err(_) => Entry::Full,
        }
    }

    /// Its load as `running,waiting,slots`.
    pub(crate) fn load(&self) -> String {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(u32::MAX);
        let running = self.slots.saturating_sub(free);
        let waiting = self.waiting.load(Ordering::Relaxed);
        format!("{running},{waiting},{}", self.slots)
    }
}
