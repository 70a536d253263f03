//! Sends messages to peers, on one connection per destination.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberthead_types::ClusterId;
use log::{debug, warn};
use tokio::runtime::Handle;

use crate::connection::Connection;
use crate::counters::Counters;
use crate::liveness::{Acknowledgements, ConnectionMonitor, Liveness};
use crate::{Body, Envelope, Origin, encode};

/// A connection unused for this long is closed. Otherwise a node that occasionally sends to a
/// randomly chosen node would eventually keep a connection to every node.
const IDLE_CLOSE: Duration = Duration::from_secs(15);

/// The connection to a peer.
#[derive(Debug)]
struct Destination {
    connection: Connection,
    last_used: Instant,
    monitor: ConnectionMonitor,
}

/// Sends messages to peers without blocking.
#[derive(Debug)]
pub struct Outbox {
    cluster: ClusterId,
    origin: Origin,
    runtime: Handle,
    counters: Arc<Counters>,
    acknowledgements: Arc<Acknowledgements>,
    destinations: HashMap<SocketAddr, Destination>,
    last_sweep: Instant,
}

impl Outbox {
    pub(crate) fn new(
        cluster: ClusterId,
        origin: Origin,
        runtime: Handle,
        counters: Arc<Counters>,
        acknowledgements: Arc<Acknowledgements>,
    ) -> Self {
        Self {
            cluster,
            origin,
            runtime,
            counters,
            acknowledgements,
            destinations: HashMap::new(),
            last_sweep: Instant::now(),
        }
    }

    /// Writes to connections that are opened from now on in tasks of this runtime instead of the
    /// transport's. Sending from that runtime then wakes no other thread, but nothing is written
    /// until the sender yields.
    pub fn set_runtime(&mut self, runtime: Handle) {
        self.runtime = runtime;
    }

    /// The sender as named in each message's envelope.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Sends a message, or drops and counts it if the destination's queue is full.
    pub fn send(&mut self, to: SocketAddr, body: Body) {
        let protocol = body.protocol();
        let envelope = Envelope {
            origin: self.origin.clone(),
            received: self.acknowledgements.received_count(to),
            body,
        };
        let buf = match encode(self.cluster, &envelope) {
            Ok(buf) => buf,
            Err(e) => {
                warn!(error:% = e; "encoding a message to a peer failed");
                return;
            }
        };
        let len = buf.len() as u64;
        if self.connection(to).try_send(buf.into()) {
            self.counters.count_sent(protocol, len);
        } else {
            self.counters.count_dropped();
        }
    }

    /// The connection to a peer; a new one if there is none or the current one doesn't deliver.
    fn connection(&mut self, to: SocketAddr) -> &Connection {
        let now = Instant::now();
        self.close_idle(now);
        let open = || Connection::open(&self.runtime, to, Arc::clone(&self.counters));
        let destination = match self.destinations.entry(to) {
            Entry::Occupied(e) => e.into_mut(),
            Entry::Vacant(e) => e.insert(Destination {
                connection: open(),
                last_used: now,
                monitor: ConnectionMonitor::default(),
            }),
        };
        destination.last_used = now;
        let liveness = destination
            .monitor
            .before_send(now, to, &self.acknowledgements);
        if liveness == Liveness::Stalled {
            debug!(to:%; "messages to a peer aren't acknowledged, reconnecting");
            destination.connection = open();
        }
        &destination.connection
    }

    fn close_idle(&mut self, now: Instant) {
        if now < self.last_sweep + IDLE_CLOSE {
            return;
        }
        self.last_sweep = now;
        self.acknowledgements.remove_expired(now);
        self.destinations
            .retain(|_, destination| now < destination.last_used + IDLE_CLOSE);
    }
}
