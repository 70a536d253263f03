//! Bound of retries.

/// What each request adds. At 10% the load from retries stays a tenth of the load
/// from callers, even when every attempt fails.
const EARNED: f64 = 0.1;
/// Retries saved up at most: enough for the loss of one endpoint with all slots busy
/// and its queue, too few to double the load of a service.
const MAX_SAVED: f64 = 50.0;

/// A token bucket that requests fill and retries empty.
///
/// Without it, endpoints that fail under load get each request several times, at the
/// moment when they can bear it least.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Retries that may be made at once.
    pub(crate) fn left(&self) -> u32 {
        self.saved as u32
    }

    /// Whether a retry may be made now.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
