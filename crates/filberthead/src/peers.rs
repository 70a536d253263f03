//! The duty that sends messages to other processes, and the queue that feeds it.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filberthead_observe::{ConnectionTotals, PeerTotals};
use filberthead_peer::{Body, ConnectionCounters, Counters, Outbox, Transport};
use filberthead_ring::{Receiver, Sender, ring};
use tokio::runtime::Handle;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Capacity of the queue to the sending duty. When it is full the transport's thread is starved,
/// and further messages are dropped: every protocol repeats what needs an answer.
const OUTGOING_CAPACITY: usize = 4096;
/// How long to wait at a stop for the last messages of the other duties.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait at a stop until the transport has written what it was given.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Messages passed to the transport before it gets to write: fewer than it queues for a
/// destination, so that a burst to one of them isn't dropped.
const MESSAGES_PER_YIELD: u32 = 32;

/// A message to send.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// Destination.
    pub(crate) to: SocketAddr,
    /// Content.
    pub(crate) body: Body,
}

/// Creates the queue to the sending duty.
pub(crate) fn outgoing() -> (Sender<Outgoing>, Receiver<Outgoing>) {
    ring(OUTGOING_CAPACITY)
}

/// Starts the sending duty, which also keeps the transport's listener open until it ends.
pub(crate) fn spawn(
    transport: Transport,
    outbox: Outbox,
    rx: Receiver<Outgoing>,
    stop: Stop,
) -> Result<Duty, DutyError> {
    Duty::spawn("peer-send", move || async move {
        run(outbox, rx, stop).await;
        drop(transport);
    })
}

async fn run(mut outbox: Outbox, mut rx: Receiver<Outgoing>, mut stop: Stop) {
    outbox.set_runtime(Handle::current());
    tokio::select! {
        () = send_all(&mut outbox, &mut rx) => return,
        () = stop.wait() => {}
    }
    drain(&mut outbox, &mut rx).await;
}

/// Sends the messages of the other duties until all of them have ended.
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

async fn drain(outbox: &mut Outbox, rx: &mut Receiver<Outgoing>) {
    // A duty that hangs must not keep the process alive.
    let _ = timeout(DRAIN_TIMEOUT, send_all(outbox, rx)).await;
    // Closing a connection discards what hasn't been written yet.
    sleep(FLUSH_DELAY).await;
}

/// Snapshot of the transport's counters, for the metrics.
pub(crate) fn totals(counters: &Counters) -> PeerTotals {
    PeerTotals {
        sent: counters.sent.load(Ordering::Relaxed),
        sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
        sent_bytes_by_protocol: counters.sent_bytes_by_protocol(),
        dropped: counters.dropped.load(Ordering::Relaxed),
        received: counters.received.load(Ordering::Relaxed),
        received_bytes: counters.received_bytes.load(Ordering::Relaxed),
        received_bytes_by_kind: counters.received_bytes_by_kind(),
        rejected: counters.rejected(),
        inbound: connections(&counters.inbound),
        outbound: connections(&counters.outbound),
    }
}

fn connections(counters: &ConnectionCounters) -> ConnectionTotals {
    ConnectionTotals {
        opened: counters.opened.load(Ordering::Relaxed),
        handshaken: counters.handshaken.load(Ordering::Relaxed),
        closed: counters.closed.load(Ordering::Relaxed),
        failed: counters.failed.load(Ordering::Relaxed),
    }
}
