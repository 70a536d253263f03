//! Detects connections that no longer deliver.
//!
//! A network device may drop its state of a connection without closing either side: data
//! sent on it is lost, and nothing resets it for minutes. A connection carries messages in
//! one direction only, so a message received from a peer proves nothing about the
//! connection *to* that peer. Each message therefore carries the number of messages that its
//! sender has received from the destination. While that number changes, messages arrive; if
//! it doesn't change although messages were sent, the connection is reopened.
//!
//! This works because all processes that communicate do so in both directions, several times
//! within 1.5 s. The connection to a peer that doesn't, or that is down, is reopened
//! needlessly every two seconds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time within which a message is expected to be acknowledged: three periods of the least
/// frequent protocol, so that a lost message or a slow VM doesn't close a working connection.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time between connection attempts to a peer that acknowledges nothing. While the path
/// is down, an attempt hangs, and the operating system resends its SYN after 1, 3, 7 s and so on;
/// a new attempt this often succeeds soon after the path is back. Longer than [`ACK_TIMEOUT`], so
/// that the connection to a slow VM isn't reopened repeatedly before anything has arrived.
const MAX_ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// The state of a peer that sent nothing for this long is removed.
const PEER_EXPIRY: Duration = Duration::from_secs(120);

/// What is known of the messages exchanged with a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// Messages received from it.
    received: u64,
    /// Messages from this process that it last reported as received.
    acknowledged: u64,
    /// When that number last changed.
    acknowledged_at: Instant,
    /// When its last message arrived.
    last_seen: Instant,
}

/// Message counts of all peers, by address; shared by the threads that send and receive.
#[derive(Debug, Default)]
pub struct Acknowledgements(Mutex<HashMap<SocketAddr, PeerState>>);

impl Acknowledgements {
    /// Records a received message and the count of messages that its sender acknowledges.
    pub fn received(&self, now: Instant, from: SocketAddr, acknowledged: u64) {
        let mut all = self.lock();
        let peer = all.entry(from).or_insert(PeerState {
            received: 0,
            acknowledged,
            acknowledged_at: now,
            last_seen: now,
        });
        peer.received += 1;
        peer.last_seen = now;
        if peer.acknowledged != acknowledged {
            peer.acknowledged = acknowledged;
            peer.acknowledged_at = now;
        }
    }

    /// How many messages were received from a peer.
    pub fn received_count(&self, from: SocketAddr) -> u64 {
        self.lock().get(&from).map_or(0, |peer| peer.received)
    }

    /// When the count that a peer acknowledges last changed.
    fn acknowledged_at(&self, by: SocketAddr) -> Option<Instant> {
        self.lock().get(&by).map(|peer| peer.acknowledged_at)
    }

    /// Removes peers that sent nothing for two minutes.
    pub fn remove_expired(&self, now: Instant) {
        self.lock()
            .retain(|_, peer| now < peer.last_seen + PEER_EXPIRY);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection delivers its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Messages are acknowledged, or their timeout hasn't passed.
    Alive,
    /// No message was acknowledged within the timeout; reopen the connection.
    Stalled,
}

/// Checks the connection to one peer for missing acknowledgements.
#[derive(Debug)]
pub struct ConnectionMonitor {
    /// When the oldest unacknowledged message on the current connection was sent; `None` if there
    /// is none.
    unacknowledged_since: Option<Instant>,
    /// Doubled with each reopening, up to [`MAX_ACK_TIMEOUT`].
    ack_timeout: Duration,
}

impl Default for ConnectionMonitor {
    fn default() -> Self {
        Self {
            unacknowledged_since: None,
            ack_timeout: ACK_TIMEOUT,
        }
    }
}

impl ConnectionMonitor {
    /// Must be called before each message that is sent.
    pub fn before_send(
        &mut self,
        now: Instant,
        to: SocketAddr,
        acknowledgements: &Acknowledgements,
    ) -> Liveness {
        let acknowledged_at = acknowledgements.acknowledged_at(to);
        if let (Some(unacknowledged_since), Some(acknowledged_at)) =
            (self.unacknowledged_since, acknowledged_at)
            && acknowledged_at >= unacknowledged_since
        {
            self.unacknowledged_since = None;
            self.ack_timeout = ACK_TIMEOUT;
        }
        let unacknowledged_since = *self.unacknowledged_since.get_or_insert(now);
        if now < unacknowledged_since + self.ack_timeout {
            return Liveness::Alive;
        }
        self.unacknowledged_since = Some(now);
        self.ack_timeout = (2 * self.ack_timeout).min(MAX_ACK_TIMEOUT);
        Liveness::Stalled
    }
}
