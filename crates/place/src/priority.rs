//! Which requests yield when no slot is free.
//!
//! A gateway doesn't queue requests: it sends each at once or rejects it. Under overload the
//! endpoints' queues would fill with requests that can only be late, and urgent ones would wait
//! behind them. Only the most urgent requests of a service may therefore be late.

use std::collections::BTreeMap;

/// Weight of a new request: about the last fifty count.
const EWMA_WEIGHT: f64 = 0.02;
/// Share of more urgent requests from which the others yield to them.
const MIN_URGENT_SHARE: f64 = 0.05;
/// Share below which a priority is forgotten.
const MIN_SHARE: f64 = 0.001;

/// Shares of the priorities among a service's recent requests at this gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityMix {
    shares: BTreeMap<u8, f64>,
}

impl PriorityMix {
    /// Counts a request; 0 is the most urgent priority.
    pub(crate) fn record(&mut self, priority: u8) {
        // The first request counts as all that there are.
        let weight = match self.shares.is_empty() {
            true => 1.0,
            false => EWMA_WEIGHT,
        };
        for share in self.shares.values_mut() {
            *share *= 1.0 - EWMA_WEIGHT;
        }
        *self.shares.entry(priority).or_default() += weight;
        self.shares.retain(|_, share| *share >= MIN_SHARE);
    }

    /// Whether requests of this priority yield to more urgent ones.
    pub(crate) fn yields(&self, priority: u8) -> bool {
        let more_urgent = self.shares.range(..priority).map(|(_, share)| share);
        more_urgent.sum::<f64>() >= MIN_URGENT_SHARE
    }
}
