//! Counts of a process's clients, shared with the thread that serves its metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A listening port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Callers' requests and look-ups.
    Callers,
    /// Requests that other gateways relay.
    Relay,
    /// The platform's readiness probe.
    Readiness,
    /// Status and metrics.
    Status,
    /// Messages of other processes.
    Peers,
    /// Operators' calls of the platform.
    Orders,
    /// Callers' look-ups of gateways.
    Lookups,
    /// No port of its own: bodies of requests with an idempotency key, which an entry collects apart from its
    /// callers' connections.
    KeyedBodies,
}

impl Port {
    const ALL: [Self; 8] = [
        Self::Callers,
        Self::Relay,
        Self::Readiness,
        Self::Status,
        Self::Peers,
        Self::Orders,
        Self::Lookups,
        Self::KeyedBodies,
    ];

    /// Short stable name, for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Relay => "relay",
            Self::Readiness => "readiness",
            Self::Status => "status",
            Self::Peers => "peers",
            Self::Orders => "orders",
            Self::Lookups => "lookups",
            Self::KeyedBodies => "keyed-bodies",
        }
    }
}

/// Counts of one port since the start of the process.
#[derive(Debug, Default)]
pub struct PortCounters {
    pub(crate) open: AtomicU64,
    pub(crate) held_bytes: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) closed: AtomicU64,
    pub(crate) ended_bodies: AtomicU64,
}

/// A snapshot of [`PortCounters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientTotals {
    /// Open connections.
    pub open: u64,
    /// Bytes held of unfinished heads, messages and bodies, and of bodies whose requests run.
    pub held_bytes: u64,
    /// Connections refused, as each of the others had a request in progress.
    pub refused: u64,
    /// Connections closed while they were idle or in the midst of a head or message, to make room.
    pub closed: u64,
    /// Bodies ended before they were complete, to make room.
    pub ended_bodies: u64,
}

/// Counts of all ports of a process.
#[derive(Clone, Debug, Default)]
pub struct ClientCounters {
    ports: [Arc<PortCounters>; Port::ALL.len()],
}

impl ClientCounters {
    /// The counters of a port.
    pub fn port(&self, port: Port) -> Arc<PortCounters> {
        Arc::clone(&self.ports[port as usize])
    }

    /// A snapshot of each port's counters.
    pub fn totals(&self) -> impl Iterator<Item = (&'static str, ClientTotals)> {
        let read = |port: Port| (port.as_str(), self.ports[port as usize].totals());
        Port::ALL.into_iter().map(read)
    }
}

impl PortCounters {
    /// A snapshot.
    pub fn totals(&self) -> ClientTotals {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ClientTotals {
            open: read(&self.open),
            held_bytes: read(&self.held_bytes),
            refused: read(&self.refused),
            closed: read(&self.closed),
            ended_bodies: read(&self.ended_bodies),
        }
    }
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub(crate) fn set(counter: &AtomicU64, value: usize) {
    counter.store(value as u64, Ordering::Relaxed);
}
