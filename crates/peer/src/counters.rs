//! Counts of messages and connections since the start of a transport.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of messages and connections since the transport's start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages queued for a connection.
    pub sent: AtomicU64,
    /// Bytes of those.
    pub sent_bytes: AtomicU64,
    /// Messages dropped because the destination's queue was full.
    pub dropped: AtomicU64,
    /// Messages received and accepted.
    pub received: AtomicU64,
    /// Bytes of those.
    pub received_bytes: AtomicU64,
    /// Connections that peers opened to this process.
    pub inbound: ConnectionCounters,
    /// Connections that this process opened to peers.
    pub outbound: ConnectionCounters,
    sent_bytes_by_protocol: Mutex<HashMap<&'static str, u64>>,
    received_bytes_by_kind: Mutex<HashMap<&'static str, u64>>,
    rejected: Mutex<HashMap<&'static str, u64>>,
}

impl Counters {
    /// Bytes of messages queued for a connection, by protocol.
    pub fn sent_bytes_by_protocol(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.sent_bytes_by_protocol)
    }

    /// Bytes of messages received and accepted, by kind of message.
    pub fn received_bytes_by_kind(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.received_bytes_by_kind)
    }

    /// Messages rejected, by reason.
    pub fn rejected(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.rejected)
    }

    pub(crate) fn count_sent(&self, protocol: &'static str, len: u64) {
        increment(&self.sent);
        self.sent_bytes.fetch_add(len, Ordering::Relaxed);
        add_to(&self.sent_bytes_by_protocol, protocol, len);
    }

    pub(crate) fn count_dropped(&self) {
        increment(&self.dropped);
    }

    pub(crate) fn count_received(&self, kind: &'static str, len: u64) {
        increment(&self.received);
        self.received_bytes.fetch_add(len, Ordering::Relaxed);
        add_to(&self.received_bytes_by_kind, kind, len);
    }

    pub(crate) fn count_rejected(&self, reason: &'static str) {
        add_to(&self.rejected, reason, 1);
    }
}

/// Counts of the connections in one direction.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    /// Connections established by TCP.
    pub opened: AtomicU64,
    /// Connections that completed the handshake.
    pub handshaken: AtomicU64,
    /// Connections that ended, for whatever reason.
    pub closed: AtomicU64,
    /// Errors: of accepting or establishing a connection, of a handshake, or on a connection.
    pub failed: AtomicU64,
}

impl ConnectionCounters {
    /// Counts a connection as opened, and as closed when the guard is dropped.
    pub(crate) fn open(&self) -> OpenConnection<'_> {
        increment(&self.opened);
        OpenConnection(self)
    }

    pub(crate) fn count_failed(&self) {
        increment(&self.failed);
    }
}

/// A connection that is counted as open while this exists.
pub(crate) struct OpenConnection<'a>(&'a ConnectionCounters);

impl OpenConnection<'_> {
    pub(crate) fn count_handshaken(&self) {
        increment(&self.0.handshaken);
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        increment(&self.0.closed);
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn snapshot(totals: &Mutex<HashMap<&'static str, u64>>) -> HashMap<&'static str, u64> {
    totals.lock().map(|map| map.clone()).unwrap_or_default()
}

fn add_to(totals: &Mutex<HashMap<&'static str, u64>>, label: &'static str, by: u64) {
    if let Ok(mut map) = totals.lock() {
        *map.entry(label).or_default() += by;
    }
}
