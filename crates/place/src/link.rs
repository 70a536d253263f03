//! Paces the chunks of large responses.
//!
//! A small VM's link takes a tenth of a second for a download of 90 kB, and whatever is sent
//! meanwhile waits behind it: requests to endpoints and short responses to callers. So large
//! responses are sent in chunks, and a chunk only when the link should have sent everything
//! before it. Short messages are sent immediately: at most one chunk is ahead of them, and
//! downloads get the rest of the link.
//!
//! The link's queue can't be observed; it is estimated from the bytes sent and the link's
//! rate. Other traffic, such as reports to control, is too small to matter.

use std::time::Duration;

use filberthead_types::Moment;

/// Transmission time of a chunk: the longest time that a short message waits for one.
const CHUNK: Duration = Duration::from_millis(8);
/// Smallest chunk, in bytes: below it, a wake-up costs more than it saves.
const MIN_CHUNK: usize = 4 * 1024;
/// Largest chunk, in bytes: everything that is available of a response at once.
const MAX_CHUNK: usize = 64 * 1024;
/// Estimated queue up to which another chunk is sent, so that a timer that fires late doesn't
/// leave the link idle.
const MAX_QUEUE: Duration = Duration::from_millis(6);
/// Time over which utilisation is averaged: several downloads, and well below the time in
/// which callers come and go.
const UTILISATION_AVERAGING: Duration = Duration::from_secs(2);
/// Share of the rate that is available to payload; packet headers take the rest.
const PAYLOAD_SHARE: f64 = 0.95;

/// The outgoing direction of a VM's network link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When the link will have sent everything that was written to it.
    free_at: Moment,
    /// Bytes since utilisation was last averaged.
    bytes_since: f64,
    averaged_at: Moment,
    utilisation: f64,
}

impl Link {
    /// An idle link of `bits_per_s`.
    pub fn new(bits_per_s: f64) -> Self {
        Self {
            bytes_per_s: (PAYLOAD_SHARE * bits_per_s / 8.0).max(1.0),
            free_at: Moment::ZERO,
            bytes_since: 0.0,
            averaged_at: Moment::ZERO,
            utilisation: 0.0,
        }
    }

    /// Records bytes that are sent now.
    pub fn record_sent(&mut self, now: Moment, bytes: usize) {
        let transmission = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + transmission;
        self.bytes_since += bytes as f64;
    }

    /// Moving average of the link's utilisation, from 0 to 1. Has to be called regularly.
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

    /// When the next chunk of a large response may be sent; `None` if it may be sent now.
    pub fn next_chunk_at(&self, now: Moment) -> Option<Moment> {
        let at = self.free_at.saturating_sub(MAX_QUEUE);
        (at > now).then_some(at)
    }

    /// Maximum size of a chunk, in bytes.
    pub fn max_chunk(&self) -> usize {
        let bytes = (self.bytes_per_s * CHUNK.as_secs_f64()) as usize;
        bytes.clamp(MIN_CHUNK, MAX_CHUNK)
    }
}
