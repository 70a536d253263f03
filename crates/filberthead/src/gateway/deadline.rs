//! The deadline of a request.

use std::time::Duration;

use filberthead_route::Route;
use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

/// By when a request must be answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// When the final response is due: when the caller gives up, or at the route's timeout if
    /// that comes first.
    pub(crate) respond_by: Instant,
}

impl Deadline {
    /// Reads the caller's deadline from header `name`. The route's timeout applies if that is
    /// missing or invalid.
    pub(crate) fn new(
        started: Instant,
        headers: &HeaderMap,
        name: &HeaderName,
        route: &Route,
    ) -> Self {
        let requested = headers.get(name).and_then(|value| value.to_str().ok());
        let requested = requested.and_then(|text| text.trim().parse::<f64>().ok());
        let requested = requested.filter(|ms| ms.is_finite() && *ms >= 0.0);
        // A limit may be longer than any duration.
        let requested = requested.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        let timeout = requested.unwrap_or(route.timeout);
        Self {
            respond_by: started + timeout.min(route.timeout),
        }
    }

    /// The same, but no later than this.
    pub(crate) fn no_later_than(self, due: Instant) -> Self {
        Self {
            respond_by: self.respond_by.min(due),
        }
    }

    /// Time until the final response is due.
    pub(crate) fn remaining(&self) -> Duration {
        self.respond_by.saturating_duration_since(Instant::now())
    }
}
