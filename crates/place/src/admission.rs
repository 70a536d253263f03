//! How many large answers a VM's link takes on.
//!
//! The load it answers: callers at their peak ask a small VM for as many downloads as its
//! link carries, or more. What waits on a link grows without bound as that fills up, in both
//! directions: requests that come in, short answers of endpoints and the downloads
//! themselves all are late then, for the sake of a tenth of the requests that takes two
//! thirds of the bytes. So large answers get what short messages leave of a part of the
//! link, and are refused at once beyond it.

use std::time::Duration;

use filberthead_types::Moment;

/// Part of the link up to which large answers are taken on: at half of a link's rate what
/// waits takes twice the time that it takes on an idle one.
const MAX_LINK_SHARE: f64 = 0.5;
/// Part of the link that large answers get however many short messages there are.
const MIN_LARGE_SHARE: f64 = 0.1;
/// Time over which short messages are averaged.
const SHORT_AVERAGING: Duration = Duration::from_secs(2);
/// Large answers that may come at once, by the time that the link takes for them.
const BURST: Duration = Duration::from_secs(1);
/// Bytes of a large answer before one was seen, and weight of each that is.
const SIZE_PRIOR: f64 = 64.0 * 1024.0;
const SIZE_WEIGHT: f64 = 0.1;
/// Shortest time after which a caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The part of a link that large answers may take.
#[derive(Clone, Copy, Debug)]
pub struct LargeResponseAdmission {
    bytes_per_s: f64,
    /// Bytes that large answers may take now; below zero by what was taken on in advance.
    budget: f64,
    /// Bytes of short messages a second, averaged, and since they were.
    short_per_s: f64,
    short_bytes: f64,
    refilled_at: Moment,
    /// Bytes of a large answer, on average.
    mean_size: f64,
}

impl LargeResponseAdmission {
    /// The share of a link of so many bits a second.
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

    /// Notes bytes of a short message.
    pub fn record_short(&mut self, bytes: usize) {
        self.short_bytes += bytes as f64;
    }

    /// Notes the length of a large answer.
    pub fn record_large(&mut self, bytes: u64) {
        self.mean_size += SIZE_WEIGHT * (bytes as f64 - self.mean_size);
    }

    /// Takes on a large answer, or tells after which time there is room for it. One whose
    /// caller has come back may use what is there for the next second.
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

    /// Bytes a second that large answers may take.
    fn large_per_s(&self) -> f64 {
        (MAX_LINK_SHARE * self.bytes_per_s - self.short_per_s)
            .max(MIN_LARGE_SHARE * self.bytes_per_s)
    }

    fn burst_bytes(&self) -> f64 {
        self.large_per_s() * BURST.as_secs_f64()
    }
}
