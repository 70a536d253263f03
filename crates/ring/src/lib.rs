//! Bounded queues between the threads of a process.
//!
//! Each duty of a process, such as disk writes, runs on its own thread with its own runtime,
//! and the threads communicate through rings only. A ring has a fixed capacity, so that a
//! process's memory stays bounded whatever callers or the network send. A full ring returns
//! the item to the sender, which refuses the request, drops the message because it will be
//! retried, or waits; which of them is decided where the ring is declared.

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

/// Why an item wasn't accepted; returns the item.
#[derive(Debug, PartialEq, Eq)]
pub enum PushError<T> {
    /// The ring is full.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

/// Sending side of a ring; clones send to the same ring.
#[derive(Debug)]
pub struct Sender<T> {
    shared: Arc<Shared<T>>,
}

/// Receiving side of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

/// Creates a ring for up to `capacity` items, at least one.
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
    /// Adds an item to the ring unless it is full or its receiver was dropped.
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

    /// Number of items rejected because the ring was full.
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
    /// Removes the oldest item, or waits for one; `None` once the ring is empty and all senders
    /// were dropped.
    ///
    /// Cancel safe: an item is removed only when it is returned.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.shared.queue.pop() {
                return Some(item);
            }
            if self.shared.senders.load(Ordering::Acquire) == 0 {
                // A sender may have pushed an item between the pop above and its drop.
                return self.shared.queue.pop();
            }
            // `notify_one` stores a permit if there is no waiter, so a push between the pop
            // above and this wait isn't missed.
            self.shared.items.notified().await;
        }
    }

    /// Removes the oldest item; `None` if the ring is empty.
    pub fn try_recv(&mut self) -> Option<T> {
        self.shared.queue.pop()
    }

    /// Number of items in the ring.
    pub fn len(&self) -> usize {
        self.shared.queue.len()
    }

    /// Whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.shared.queue.is_empty()
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.shared.receiver_closed.store(true, Ordering::Release);
    }
}
