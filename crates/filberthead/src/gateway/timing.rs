//! Measures how long requests take, for the planned stop and for helpers that are silent.

use std::rc::Rc;

use filberthead_route::Kind;
use filberthead_types::ServiceName;
use tokio::time::Instant;

use super::core::Core;

/// Measures one request until the end of its response.
pub(crate) struct RequestTimer {
    pub(crate) core: Rc<Core>,
    pub(crate) service: ServiceName,
    pub(crate) kind: Kind,
    pub(crate) started: Instant,
}

impl RequestTimer {
    /// Records the request, which has ended.
    pub(crate) fn finish(self) {
        let mut usual_times = self.core.usual_times.borrow_mut();
        usual_times.record(&self.service, self.kind, self.started.elapsed());
    }
}
