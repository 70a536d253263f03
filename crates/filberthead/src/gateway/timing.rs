//! Measures how long requests take, for the planned stop and for helpers that are silent.

use std::rc::Rc;
use std::sync::Arc;

use filberthead_place::TimedRoute;
use filberthead_route::Route;
use filberthead_types::{Moment, ServiceName};

use super::core::Core;

/// How a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its response is complete.
    Complete,
    /// It failed, its caller left, or its time was over.
    BrokenOff,
    /// No endpoint has run it.
    NotRun,
}

/// Measures one request from when it was first passed on until the end of its response. Dropped before that, it
/// records that the request was broken off.
pub(crate) struct RequestTimer {
    core: Rc<Core>,
    service: ServiceName,
    route: Arc<Route>,
    passed_on: Moment,
    end: End,
}

impl RequestTimer {
    /// Measures a request that is passed on now.
    pub(crate) fn start(core: &Rc<Core>, service: &ServiceName, route: &Arc<Route>) -> Self {
        Self {
            core: Rc::clone(core),
            service: service.clone(),
            route: Arc::clone(route),
            passed_on: core.now(),
            end: End::BrokenOff,
        }
    }

    /// Records the request, whose response is complete.
    pub(crate) fn finish(mut self) {
        self.end = End::Complete;
    }

    /// Records nothing, as the request hasn't run.
    pub(crate) fn discard(mut self) {
        self.end = End::NotRun;
    }
}

impl Drop for RequestTimer {
    fn drop(&mut self) {
        let now = self.core.now();
        let took = now.saturating_sub(self.passed_on);
        let route = TimedRoute::new(&self.service, &self.route);
        let mut usual_times = self.core.usual_times.borrow_mut();
        match self.end {
            End::Complete => usual_times.record(now, &route, took),
            End::BrokenOff => usual_times.record_at_least(now, &route, took),
            End::NotRun => {}
        }
    }
}
