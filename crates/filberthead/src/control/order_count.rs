//! Counts operators' orders by their result.

use filberthead_fleet::OrderError;
use filberthead_observe::{ControlMetrics, OrderResult};

/// Counts an order when it is dropped. The HTTP server drops an order whose sender closes the
/// connection.
pub(super) struct OrderCount<'a> {
    metrics: &'a ControlMetrics,
    result: OrderResult,
}

impl<'a> OrderCount<'a> {
    pub(super) fn new(metrics: &'a ControlMetrics) -> Self {
        let result = OrderResult::SenderGone;
        Self { metrics, result }
    }

    /// Sets the result with which the order was answered.
    pub(super) fn set(&mut self, result: Result<(), OrderError>) {
        self.result = match result {
            Ok(()) => OrderResult::InForce,
            Err(OrderError::Superseded) => OrderResult::Superseded,
            Err(OrderError::SenderGone) => OrderResult::SenderGone,
            Err(OrderError::Delayed) => OrderResult::Delayed,
            Err(OrderError::NoLeader) => OrderResult::NoLeader,
            Err(OrderError::Busy) => OrderResult::Busy,
            Err(OrderError::OutcomeUnknown) => OrderResult::Unknown,
        };
    }
}

impl Drop for OrderCount<'_> {
    fn drop(&mut self) {
        self.metrics.record_order(self.result);
    }
}
