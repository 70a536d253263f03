//! Bound of retries.

/// What each request adds. At 10% the load from retries stays a tenth of the load
/// from callers, even when every attempt fails.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries available up at most: enough for the loss of one endpoint with all slots busy
/// and its queue, too few to double the load of a service.
const MAX_RETRIES: f64 = 50.0;

/// A token bucket that requests fill and retries empty.
///
/// Without it, endpoints that fail under load get each request several times, at the
/// moment when they can bear it least.
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
    /// Counts a request.
    pub(crate) fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Retries that may be made at once.
    pub(crate) fn remaining(&self) -> u32 {
        self.available as u32
    }

    /// Whether a retry may be made now.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
