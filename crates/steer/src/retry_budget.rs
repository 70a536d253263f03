//! The retry budget of an entry.

/// Retries that each request adds to the budget. At 0.1 the load from retries is at most a
/// tenth of the load from callers, even when every attempt fails.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that an entry has after its start: a restart must not fill the budget, or entries that are
/// restarted again and again would retry without a limit.
const INITIAL_RETRIES: f64 = 5.0;
/// Capacity of the budget: enough for the loss of one endpoint with all its slots busy and
/// its queue, too few to double the load of a service.
const MAX_RETRIES: f64 = 50.0;

/// A token bucket that requests fill and retries drain.
///
/// Without it, endpoints that fail under overload would receive each request several times,
/// which adds to the overload. All entries together make at most a tenth as many retries as they get
/// requests, plus `INITIAL_RETRIES` for each start, plus, at one time, what they had left over: up to
/// `MAX_RETRIES` each.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds a request's share to the budget.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Number of retries that the budget allows at once.
    pub fn remaining(&self) -> u32 {
        self.available as u32
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
