//! Retry budget.

/// Retries that each request adds to the budget. At 0.1 the load from retries is at most a
/// tenth of the load from callers, even when every attempt fails.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Capacity of the budget: enough for the loss of one endpoint with all its slots busy and
/// its queue, too few to double the load of a service.
const MAX_RETRIES: f64 = 50.0;

/// A token bucket that requests fill and retries drain.
///
/// Without it, endpoints that fail under overload would receive each request several times,
/// which adds to the overload.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds a request's share to the budget.
    pub(crate) fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Number of retries that the budget allows at once.
    pub(crate) fn remaining(&self) -> u32 {
        self.available as u32
    }

    /// Takes one retry from the budget; false if there is none.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
