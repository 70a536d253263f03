//! How an endpoint asks for rest: it rejects requests with 503 and `Retry-After`.

use std::fmt;
use std::time::Duration;

/// The requests that are rejected, or whose answers say that the endpoint is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestScope {
    /// Those of callers.
    #[default]
    Requests,
    /// Health checks.
    HealthChecks,
    /// All.
    All,
}

impl RestScope {
    pub(super) fn concerns(self, is_health_check: bool) -> bool {
        match self {
            Self::Requests => !is_health_check,
            Self::HealthChecks => is_health_check,
            Self::All => true,
        }
    }
}

/// A way in which an endpoint asks for rest.
#[derive(Clone, Debug, PartialEq)]
pub struct Rest {
    retry_after: Vec<String>,
    share: f64,
    not_executed: bool,
    scope: RestScope,
}

impl Rest {
    /// Rejects all requests of callers, says that they did not run, and asks for this time.
    pub fn of(time: Duration) -> Self {
        Self::with_values([time.as_secs_f64()])
    }

    /// The same, but with a header `Retry-After` for each of these values, valid or not.
    pub fn with_values(values: impl IntoIterator<Item = impl fmt::Display>) -> Self {
        Self {
            retry_after: values.into_iter().map(|value| value.to_string()).collect(),
            share: 1.0,
            not_executed: true,
            scope: RestScope::default(),
        }
    }

    /// Rejects this share of the requests only.
    #[must_use]
    pub fn share(mut self, share: f64) -> Self {
        self.share = share.clamp(0.0, 1.0);
        self
    }

    /// Leaves out the header that says that a request did not run.
    #[must_use]
    pub fn without_not_executed(mut self) -> Self {
        self.not_executed = false;
        self
    }

    /// Rejects these requests.
    #[must_use]
    pub fn scope(mut self, scope: RestScope) -> Self {
        self.scope = scope;
        self
    }

    /// The values of `Retry-After`.
    pub(super) fn values(&self) -> &[String] {
        &self.retry_after
    }

    /// Whether an answer says that the request did not run.
    pub(super) fn says_not_executed(&self) -> bool {
        self.not_executed
    }

    /// The longest time that an answer asks for, if any value is a number.
    pub(super) fn seconds(&self) -> Option<f64> {
        let values = self.retry_after.iter().filter_map(|v| v.parse().ok());
        values.filter(|s: &f64| s.is_finite()).reduce(f64::max)
    }

    /// Draws whether the next request is rejected.
    pub(super) fn rejects_next(&self, is_health_check: bool) -> bool {
        self.scope.concerns(is_health_check) && rand::random_bool(self.share)
    }
}
