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
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest time between attempts to reach a process that acknowledges nothing. An attempt over
/// a path that is cut hangs, and the system repeats it after 1, 3, 7 s and so on; one that is
/// begun anew this often succeeds soon after the path is back. Longer than [`PATIENCE`], so that
/// a slow VM's connection isn't given up again and again before anything has arrived.
const MAX_PATIENCE: Duration = Duration::from_secs(2);
/// Time after which a process that was not heard is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);

/// What was heard from another process.
#[derive(Clone, Copy, Debug)]
struct Heard {
    /// Messages that came from it.
    received: u64,
    /// What it last said that it had received from here.
    acknowledged: u64,
    /// When that last changed.
    changed: Instant,
    /// When it was last heard.
    at: Instant,
}

/// What was heard from all others; shared by the threads that send and receive.
#[derive(Debug, Default)]
pub struct Acknowledgements(Mutex<HashMap<SocketAddr, Heard>>);

impl Acknowledgements {
    /// Notes a message, and what its sender says that it has received from here.
    pub fn received(&self, now: Instant, from: SocketAddr, acknowledged: u64) {
        let mut all = self.lock();
        let heard = all.entry(from).or_insert(Heard {
            received: 0,
            acknowledged,
            changed: now,
            at: now,
        });
        heard.received += 1;
        heard.at = now;
        if heard.acknowledged != acknowledged {
            heard.acknowledged = acknowledged;
            heard.changed = now;
        }
    }

    /// How many messages came from a process.
    pub fn count(&self, from: SocketAddr) -> u64 {
        self.lock().get(&from).map_or(0, |heard| heard.received)
    }

    /// When a process last acknowledged something new.
    fn changed(&self, by: SocketAddr) -> Option<Instant> {
        self.lock().get(&by).map(|heard| heard.changed)
    }

    /// Drops what is long out of date.
    pub fn forget(&self, now: Instant) {
        self.lock()
            .retain(|_, heard| now < heard.at + FORGOTTEN_AFTER);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Heard>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a connection is still believed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// Go on with it.
    Alive,
    /// Make it anew.
    Silent,
}

/// Watches one connection.
#[derive(Debug)]
pub struct Watch {
    /// When the oldest message was sent that isn't acknowledged.
    waiting: Option<Instant>,
    patience: Duration,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            waiting: None,
            patience: PATIENCE,
        }
    }
}

impl Watch {
    /// Comes before each message that is sent.
    pub fn sending(
        &mut self,
        now: Instant,
        to: SocketAddr,
        acknowledgements: &Acknowledgements,
    ) -> Belief {
        let changed = acknowledgements.changed(to);
        if let (Some(waiting), Some(changed)) = (self.waiting, changed)
            && changed >= waiting
        {
            self.waiting = None;
            self.patience = PATIENCE;
        }
        let waiting = *self.waiting.get_or_insert(now);
        if now < waiting + self.patience {
            return Belief::Alive;
        }
        self.waiting = Some(now);
        self.patience = (2 * self.patience).min(MAX_PATIENCE);
        Belief::Silent
    }
}
