//! The duty that sends messages to other processes, and the queue that feeds it.

use std::sync::atomic::Ordering;

use filberthead_limits::VmLimits;
use filberthead_observe::{ConnectionTotals, PeerTotals};
pub(crate) use filberthead_peer::Outgoing;
use filberthead_peer::{ConnectionCounters, Counters, Outbox, Transport, send_queued};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_settings::VmSettings;

use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Capacity of the queue to the sending duty. When it is full the transport's thread is starved,
/// and further messages are dropped: every protocol repeats what needs an answer.
const OUTGOING_CAPACITY: usize = 4096;

/// What the VM gives the process, by its settings.
pub(crate) fn vm_limits(cfg: &VmSettings) -> VmLimits {
    VmLimits::new(cfg.memory_bytes, cfg.descriptors)
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
    mut stop: Stop,
) -> Result<Duty, DutyError> {
    Duty::spawn("peer-send", move || async move {
        send_queued(outbox, rx, stop.wait()).await;
        drop(transport);
    })
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
