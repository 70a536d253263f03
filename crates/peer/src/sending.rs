//! Sends the messages that the duties of a process queue, until they have ended.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_ring::Receiver;
use tokio::runtime::Handle;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::{Body, Outbox};

/// How long to wait at a stop for the last messages of the other duties.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait at a stop until the transport has written what it was given.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Messages passed to the transport before it gets to write: fewer than it queues for a
/// destination, so that a burst to one of them isn't dropped.
const MESSAGES_PER_YIELD: u32 = 32;

/// A message to send.
#[derive(Debug)]
pub struct Outgoing {
    /// Destination.
    pub to: SocketAddr,
    /// Content.
    pub body: Body,
}

/// Sends what is queued until all senders are gone, or shortly after `stop`. Writes in tasks of the
/// current runtime.
pub async fn send_queued(
    mut outbox: Outbox,
    mut rx: Receiver<Outgoing>,
    stop: impl Future<Output = ()>,
) {
    outbox.set_runtime(Handle::current());
    let stopped = async {
        stop.await;
        sleep(DRAIN_TIMEOUT).await;
    };
    tokio::select! {
        () = send_all(&mut outbox, &mut rx) => {}
        // A duty that hangs must not keep the process alive.
        () = stopped => {}
    }
    // Closing a connection discards what hasn't been written yet.
    sleep(FLUSH_DELAY).await;
}

async fn send_all(outbox: &mut Outbox, rx: &mut Receiver<Outgoing>) {
    let mut unwritten = 0;
    while let Some(Outgoing { to, body }) = rx.recv().await {
        outbox.send(to, body);
        unwritten += 1;
        if unwritten == MESSAGES_PER_YIELD {
            unwritten = 0;
            yield_now().await;
        }
    }
}
