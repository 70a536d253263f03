//! Distributes the requests of a route over its targets.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Target;

/// Odd multiplier of a full-period sequence over 64 bits: the fraction of the golden ratio,
/// whose multiples are spread evenly, so that each target gets its share in any short sequence
/// of requests and not only in the long run.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Distributes requests in proportion to the weights of the targets.
#[derive(Debug, Default)]
pub struct Split {
    /// Sums of the weights up to and including each target.
    cumulative_weights: Vec<u64>,
    picks: AtomicU64,
}

impl Split {
    pub(crate) fn new(targets: &[Target]) -> Self {
        let mut sum = 0;
        let cumulative_weights = targets.iter().map(|target| {
            sum += u64::from(target.weight);
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
            picks: AtomicU64::new(0),
        }
    }

    /// Index of the target that the next request goes to.
    pub fn pick(&self) -> usize {
        let Some(total) = self
            .cumulative_weights
            .last()
            .copied()
            .filter(|_| self.cumulative_weights.len() > 1)
        else {
            return 0;
        };
        let number = self.picks.fetch_add(1, Ordering::Relaxed);
        // The upper half of the sequence's value as a fraction of 2^32, times the total.
        let point = ((number.wrapping_mul(MULTIPLIER) >> 32) * total) >> 32;
        self.cumulative_weights.partition_point(|sum| *sum <= point)
    }
}
