//! Bounded rings that join the threads of a process.
//!
//! Each duty of a process is a thread with a runtime of its own; a ring is the only
//! way between two of them. A ring has a fixed capacity, so that nothing callers or
//! the network can send makes a process grow without bound. A full ring hands the
//! item back to the sender, who decides, at the place where the ring is declared,
//! what full means: refuse, drop because the message will be repeated, or wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use crossbeam_queue::ArrayQueue;
use tokio::sync::Notify;

#[derive(Debug)]
struct Shared<T> {
    queue: ArrayQueue<T>,
    items: Notify,
    senders: AtomicUsize,
    receiver_closed: AtomicBool,
    refused: AtomicU64,
}

/// Why an item wasn't taken; carries the item back.
#[derive(Debug, PartialEq, Eq)]
pub enum PushError<T> {
    /// Every place of the ring is taken.
    Full(T),
    /// The receiving thread has ended.
    Closed(T),
}

/// Sending side of a ring; clones feed the same ring.
#[derive(Debug)]
pub struct Sender<T> {
    shared: Arc<Shared<T>>,
}

/// Receiving side of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

/// Makes a ring of `capacity` places, at least one.
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let shared = Arc::new(Shared {
        queue: ArrayQueue::new(capacity.max(1)),
        items: Notify::new(),
        senders: AtomicUsize::new(1),
        receiver_closed: AtomicBool::new(false),
        refused: AtomicU64::new(0),
    });
    let tx = Sender {
        shared: Arc::clone(&shared),
    };
    (tx, Receiver { shared })
}

impl<T> Sender<T> {
    /// Puts an item into the ring unless it is full or its receiver has ended.
    pub fn push(&self, item: T) -> Result<(), PushError<T>> {
        if self.shared.receiver_closed.load(Ordering::Acquire) {
            return Err(PushError::Closed(item));
        }
        match self.shared.queue.push(item) {
            Ok(()) => {
                self.shared.items.notify_one();
                Ok(())
            }
            Err(item) => {
                self.shared.refused.fetch_add(1, Ordering::Relaxed);
                Err(PushError::Full(item))
            }
        }
    }

    /// How many items this ring has refused because it was full.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        self.shared.senders.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        if self.shared.senders.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.items.notify_one();
        }
    }
}

impl<T> Receiver<T> {
    /// Takes the oldest item, or waits for one; `None` once all senders are gone.
    ///
    /// Cancel safe: an item leaves the ring only when it is returned.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.shared.queue.pop() {
                return Some(item);
            }
            if self.shared.senders.load(Ordering::Acquire) == 0 {
                // A sender may have pushed between the pop and its own end.
                return self.shared.queue.pop();
            }
            // `notify_one` stores a permit when nobody waits, so a push between the
            // pop above and this wait is not missed.
            self.shared.items.notified().await;
        }
    }

    /// Takes the oldest item if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        self.shared.queue.pop()
    }

    /// How many items wait in the ring.
    pub fn len(&self) -> usize {
        self.shared.queue.len()
    }

    /// Whether no item waits in the ring.
    pub fn is_empty(&self) -> bool {
        self.shared.queue.is_empty()
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.shared.receiver_closed.store(true, Ordering::Release);
    }
}
