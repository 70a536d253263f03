//! When pieces of large answers go out.
//!
//! The load it answers: a small VM's link carries a download of 90 kB in a tenth of a
//! second, and whatever is sent meanwhile waits behind it: requests to endpoints, short
//! answers to callers. So large answers go out in pieces, and a
//! piece only when the link should have sent what went before. Short messages go at once:
//! at most a piece is before them, and downloads have all that they leave.
//!
//! The link's queue isn't seen; it is reckoned from what was sent and the link's rate. What
//! is sent besides, such as reports to control, is too little to matter.

use std::time::Duration;

use filberthead_types::Moment;

/// Time that a piece takes on the link: what a short message may wait for one.
const CHUNK: Duration = Duration::from_millis(8);
/// Smallest piece: below it a wake-up costs more than it saves.
const MIN_CHUNK: usize = 4 * 1024;
/// Largest piece: all that is at hand of an answer at once.
const MAX_CHUNK: usize = 64 * 1024;
/// Reckoned queue up to which another piece is sent, so that a timer that fires late
/// doesn't leave the link idle.
const MAX_QUEUE: Duration = Duration::from_millis(6);
/// Time over which the link's use is averaged: some downloads, and well below the time in
/// which callers come and go.
const UTILISATION_AVERAGING: Duration = Duration::from_secs(2);
/// Part of the rate that is reckoned with: headers of packets take the rest.
const PAYLOAD_SHARE: f64 = 0.95;

/// A VM's link, in the direction away from it.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When it will have sent all that was handed to it.
    free_at: Moment,
    /// Bytes since its use was last averaged.
    bytes_since: f64,
    averaged_at: Moment,
    utilisation: f64,
}

impl Link {
    /// A link of so many bits a second that has nothing to send.
    pub fn new(bits_per_s: f64) -> Self {
        Self {
            bytes_per_s: (PAYLOAD_SHARE * bits_per_s / 8.0).max(1.0),
            free_at: Moment::ZERO,
            bytes_since: 0.0,
            averaged_at: Moment::ZERO,
            utilisation: 0.0,
        }
    }

    /// Notes bytes that are sent now.
    pub fn record_sent(&mut self, now: Moment, bytes: usize) {
        let transmission = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + transmission;
        self.bytes_since += bytes as f64;
    }

    /// Part of the link that was used lately. Is to be asked regularly.
    pub fn utilisation(&mut self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.averaged_at).as_secs_f64();
        if elapsed > 0.0 {
            let weight = (elapsed / UTILISATION_AVERAGING.as_secs_f64()).min(1.0);
            let recent = self.bytes_since / elapsed / self.bytes_per_s;
            self.utilisation += weight * (recent - self.utilisation);
            self.bytes_since = 0.0;
            self.averaged_at = now;
        }
        self.utilisation
    }

    /// When the next piece of a large answer may be sent; `None` at once.
    pub fn next_chunk_at(&self, now: Moment) -> Option<Moment> {
        let at = self.free_at.saturating_sub(MAX_QUEUE);
        (at > now).then_some(at)
    }

    /// Bytes of a piece, at most.
    pub fn max_chunk(&self) -> usize {
        let bytes = (self.bytes_per_s * CHUNK.as_secs_f64()) as usize;
        bytes.clamp(MIN_CHUNK, MAX_CHUNK)
    }
}
