//! Finds out connections that have gone silent.
//!
//! A device on the way may forget a connection without telling either side: what is sent
//! on it vanishes, and nothing resets it for minutes. Messages go one way on a connection,
//! so hearing from a process says nothing of the connection *to* it. Each message
//! therefore tells how many messages its sender has had from its receiver. As long as that
//! number changes, what is sent arrives; if it doesn't although messages were sent, the
//! connection is made anew.
//!
//! The guard holds because all processes that talk to each other do so both ways, several
//! times within a second and a half. Where one doesn't, or is down, a connection is made anew for
//! nothing, every two seconds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which a sent message should have been acknowledged: three periods of the
/// rarest protocol, so that a lost message or a slow VM closes no good connection.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time between attempts to reach a process that acknowledges nothing. An attempt over
/// a path that is cut hangs, and the system repeats it after 1, 3, 7 s and so on; one that is
/// begun anew this often succeeds soon after the path is back. Longer than [`ACK_TIMEOUT`], so that
/// a slow VM's connection isn't given up again and again before anything has arrived.
const MAX_ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a process that was not heard is forgotten.
const PEER_EXPIRY: Duration = Duration::from_secs(120);

/// What was heard from another process.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// Messages that came from it.
    received: u64,
    /// What it last said that it had received from here.
    acknowledged: u64,
    /// When that last changed.
    acknowledged_at: Instant,
    /// When it was last heard.
    last_seen: Instant,
}

/// What was heard from all others; shared by the threads that send and receive.
#[derive(Debug, Default)]
pub struct Acknowledgements(Mutex<HashMap<SocketAddr, PeerState>>);

impl Acknowledgements {
    /// Notes a message, and what its sender says that it has received from here.
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

    /// How many messages came from a process.
    pub fn received_count(&self, from: SocketAddr) -> u64 {
        self.lock().get(&from).map_or(0, |peer| peer.received)
    }

    /// When a process last acknowledged something new.
    fn acknowledged_at(&self, by: SocketAddr) -> Option<Instant> {
        self.lock().get(&by).map(|peer| peer.acknowledged_at)
    }

    /// Drops what is long out of date.
    pub fn remove_expired(&self, now: Instant) {
        self.lock()
            .retain(|_, peer| now < peer.last_seen + PEER_EXPIRY);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection is still believed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Go on with it.
    Alive,
    /// Make it anew.
    Stalled,
}

/// Watches one connection.
#[derive(Debug)]
pub struct ConnectionMonitor {
    /// When the oldest message was sent that isn't acknowledged.
    unacknowledged_since: Option<Instant>,
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
    /// Comes before each message that is sent.
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
