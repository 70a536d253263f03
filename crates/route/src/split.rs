//! Deals the requests of a route out to its targets.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Target;

/// Odd multiplier of a full-period sequence over 64 bits: the golden ratio's fraction,
/// whose multiples are spread evenly, so that each target gets its part in any short run
/// of requests and not only in the long run.
const STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Deals requests out in the proportions of weights.
#[derive(Debug, Default)]
pub struct Split {
    /// Sums of the weights up to and including each target.
    bounds: Vec<u64>,
    picks: AtomicU64,
}

impl Split {
    pub(crate) fn new(targets: &[Target]) -> Self {
        let mut sum = 0;
        let bounds = targets.iter().map(|target| {
            sum += u64::from(target.weight);
            sum
        });
        Self {
            bounds: bounds.collect(),
            picks: AtomicU64::new(0),
        }
    }

    /// Index of the target that the next request goes to.
    pub fn pick(&self) -> usize {
        let Some(total) = self
            .bounds
            .last()
            .copied()
            .filter(|_| self.bounds.len() > 1)
        else {
            return 0;
        };
        let turn = self.picks.fetch_add(1, Ordering::Relaxed);
        // The upper half of the sequence's value as a fraction of 2^32, times the total.
        let part = ((turn.wrapping_mul(STEP) >> 32) * total) >> 32;
        self.bounds.partition_point(|bound| *bound <= part)
    }
}
