//! Limits the large responses on a VM's link.
//!
//! At peak load, callers request as many downloads from a small VM as its link carries, or
//! more. The queue of a link grows without bound as it fills up, in both directions: incoming
//! requests, short responses of endpoints and the downloads are then all late, because of a
//! tenth of the requests that takes two thirds of the bytes. So large responses may use what
//! short messages leave of a share of the link, and are rejected immediately beyond it.

use std::time::Duration;

use filberthead_types::Moment;

/// Share of the link up to which large responses are admitted. At half of a link's rate,
/// queued messages take twice as long as on an idle link.
const MAX_LINK_SHARE: f64 = 0.5;
/// Share of the link that large responses get regardless of the volume of short messages.
const MIN_LARGE_SHARE: f64 = 0.1;
/// Time over which the rate of short messages is averaged.
const SHORT_AVERAGING: Duration = Duration::from_secs(2);
/// Large responses that may be admitted at once, as time of the link.
const BURST: Duration = Duration::from_secs(1);
/// Assumed bytes of a large response before the first one was observed, and the weight of each
/// observation in the moving average.
const SIZE_PRIOR: f64 = 64.0 * 1024.0;
const SIZE_WEIGHT: f64 = 0.1;
/// Shortest time that a rejected caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Admission control of large responses: a token bucket over a share of the link.
#[derive(Clone, Copy, Debug)]
pub struct LargeResponseAdmission {
    bytes_per_s: f64,
    /// Bytes that large responses may use now. Negative after a response was admitted in
    /// advance.
    budget: f64,
    /// Moving average of the bytes per second of short messages, and their bytes since it was
    /// last updated.
    short_per_s: f64,
    short_bytes: f64,
    refilled_at: Moment,
    /// Moving average of the bytes of a large response.
    mean_size: f64,
}

impl LargeResponseAdmission {
    /// Admission for a link of `bits_per_s`.
    pub fn new(bits_per_s: f64) -> Self {
        let bytes_per_s = bits_per_s / 8.0;
        Self {
            bytes_per_s,
            budget: MAX_LINK_SHARE * bytes_per_s * BURST.as_secs_f64(),
            short_per_s: 0.0,
            short_bytes: 0.0,
            refilled_at: Moment::ZERO,
            mean_size: SIZE_PRIOR,
        }
    }

    /// Records the bytes of a short message.
    pub fn record_short(&mut self, bytes: usize) {
        self.short_bytes += bytes as f64;
    }

    /// Records the length of a large response.
    pub fn record_large(&mut self, bytes: u64) {
        self.mean_size += SIZE_WEIGHT * (bytes as f64 - self.mean_size);
    }

    /// Admits a large response, or returns the time after which there will be capacity for it.
    /// A caller's retry may also use the capacity of the next second.
    pub fn admit(&mut self, now: Moment, is_caller_retry: bool) -> Result<(), Duration> {
        self.refill(now);
        let min_budget = if is_caller_retry {
            -self.burst_bytes()
        } else {
            0.0
        };
        if self.budget >= min_budget {
            self.budget -= self.mean_size;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((min_budget - self.budget) / self.large_per_s());
        Err(wait.max(RETRY_AFTER_MIN))
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.refilled_at = now;
        let weight = (elapsed / SHORT_AVERAGING.as_secs_f64()).min(1.0);
        self.short_per_s += weight * (self.short_bytes / elapsed - self.short_per_s);
        self.short_bytes = 0.0;
        self.budget = (self.budget + elapsed * self.large_per_s()).min(self.burst_bytes());
    }

    /// Bytes per second that large responses may use.
    fn large_per_s(&self) -> f64 {
        (MAX_LINK_SHARE * self.bytes_per_s - self.short_per_s)
            .max(MIN_LARGE_SHARE * self.bytes_per_s)
    }

    fn burst_bytes(&self) -> f64 {
        self.large_per_s() * BURST.as_secs_f64()
    }
}
