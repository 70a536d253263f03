//! Metrics of messages between processes, and of the rings between a process's duties.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{ConnectionLabels, KindLabels, ProtocolLabels, ReasonLabels, RingLabels};

/// Counts of the peer transport since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct PeerTotals {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Bytes of those, by protocol.
    pub sent_bytes_by_protocol: HashMap<&'static str, u64>,
    /// Messages dropped before they were sent.
    pub dropped: u64,
    /// Messages received and accepted.
    pub received: u64,
    /// Bytes of those.
    pub received_bytes: u64,
    /// Bytes of those, by kind of message.
    pub received_bytes_by_kind: HashMap<&'static str, u64>,
    /// Messages rejected, by reason.
    pub rejected: HashMap<&'static str, u64>,
    /// Connections that peers opened.
    pub inbound: ConnectionTotals,
    /// Connections opened to peers.
    pub outbound: ConnectionTotals,
}

/// Counts of the connections in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTotals {
    /// Connections established.
    pub opened: u64,
    /// Connections that completed the handshake.
    pub handshaken: u64,
    /// Connections that ended.
    pub closed: u64,
    /// Errors of sockets and of handshakes.
    pub failed: u64,
}

/// Counters whose totals are kept by other parts of the process and copied in.
#[derive(Debug, Default)]
pub struct PeerMetrics {
    sent: Counter,
    sent_bytes: Counter,
    sent_by_protocol: Family<ProtocolLabels, Counter>,
    dropped: Counter,
    received: Counter,
    received_bytes: Counter,
    received_by_kind: Family<KindLabels, Counter>,
    rejected: Family<ReasonLabels, Counter>,
    connections: Family<ConnectionLabels, Counter>,
    rings: Family<RingLabels, Counter>,
}

impl PeerMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let sent = "Messages sent to other processes";
        registry.register("peer_sent_messages", sent, self.sent.clone());
        let sent = "Bytes sent to other processes";
        registry.register_with_unit("peer_sent", sent, Unit::Bytes, self.sent_bytes.clone());
        let sent = "Bytes sent to other processes, by protocol";
        let bytes = self.sent_by_protocol.clone();
        registry.register_with_unit("peer_protocol_sent", sent, Unit::Bytes, bytes);
        let dropped = "Messages dropped because their destination's buffer was full";
        registry.register("peer_dropped_messages", dropped, self.dropped.clone());
        let received = "Messages accepted from other processes";
        registry.register("peer_received_messages", received, self.received.clone());
        let received = "Bytes accepted from other processes";
        let bytes = self.received_bytes.clone();
        registry.register_with_unit("peer_received", received, Unit::Bytes, bytes);
        let received = "Bytes accepted from other processes, by kind of message";
        let bytes = self.received_by_kind.clone();
        registry.register_with_unit("peer_kind_received", received, Unit::Bytes, bytes);
        let rejected = "Messages rejected, by reason";
        registry.register("peer_rejected_messages", rejected, self.rejected.clone());
        let connections = "Connections with other processes, by direction and event";
        let events = self.connections.clone();
        registry.register("peer_connections", connections, events);
        let rings = "Items refused by a full ring between two duties";
        registry.register("ring_refused_items", rings, self.rings.clone());
    }

    /// Copies the totals of the transport into the counters.
    pub fn record(&self, totals: &PeerTotals) {
        raise_to(&self.sent, totals.sent);
        raise_to(&self.sent_bytes, totals.sent_bytes);
        for (protocol, total) in &totals.sent_bytes_by_protocol {
            let labels = ProtocolLabels { protocol };
            raise_to(&self.sent_by_protocol.get_or_create_owned(&labels), *total);
        }
        raise_to(&self.dropped, totals.dropped);
        raise_to(&self.received, totals.received);
        raise_to(&self.received_bytes, totals.received_bytes);
        for (kind, total) in &totals.received_bytes_by_kind {
            let labels = KindLabels { kind };
            raise_to(&self.received_by_kind.get_or_create_owned(&labels), *total);
        }
        for (reason, total) in &totals.rejected {
            raise_to(
                &self.rejected.get_or_create_owned(&ReasonLabels { reason }),
                *total,
            );
        }
        self.record_connections("inbound", totals.inbound);
        self.record_connections("outbound", totals.outbound);
    }

    fn record_connections(&self, direction: &'static str, totals: ConnectionTotals) {
        let events = [
            ("opened", totals.opened),
            ("handshaken", totals.handshaken),
            ("closed", totals.closed),
            ("failed", totals.failed),
        ];
        for (event, total) in events {
            let labels = ConnectionLabels { direction, event };
            raise_to(&self.connections.get_or_create_owned(&labels), total);
        }
    }

    /// Sets how many items a ring has refused since its start. `ring` must be a constant,
    /// unique for each ring.
    pub fn ring_refused(&self, ring: &'static str, total: u64) {
        raise_to(&self.rings.get_or_create_owned(&RingLabels { ring }), total);
    }
}

/// Raises a counter to a total. An older total, from a duty that reported it late, must
/// not lower the counter: that would look like a restart.
pub(super) fn raise_to(counter: &Counter<u64, AtomicU64>, total: u64) {
    counter.inner().fetch_max(total, Ordering::Relaxed);
}
