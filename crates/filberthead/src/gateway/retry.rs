//! A retry from its grant to its end.

use std::cell::Cell;

use filberthead_place::{RetryEnd, RetryId};
use filberthead_types::ServiceName;
use log::info;

use super::core::Core;

/// The retry that a request's next attempt is, if it is one. Dropped before it has ended, it wasn't
/// sent and is given back.
pub(crate) struct GrantedRetry<'a> {
    core: &'a Core,
    service: &'a ServiceName,
    /// Id of the request, for logs.
    request: &'a str,
    id: Cell<Option<RetryId>>,
}

impl<'a> GrantedRetry<'a> {
    /// The next attempt is the first one.
    pub(crate) fn none(core: &'a Core, service: &'a ServiceName, request: &'a str) -> Self {
        Self {
            core,
            service,
            request,
            id: Cell::new(None),
        }
    }

    /// The next attempt is this retry.
    pub(crate) fn set(&self, id: RetryId) {
        self.id.set(Some(id));
    }

    /// The attempt has ended; nothing to do if it was the first one.
    pub(crate) fn end(&self, end: RetryEnd) {
        if let Some(id) = self.id.take() {
            self.core.end_retry(self.service, id, end);
        }
    }

    /// Nothing of the retry was sent, for this reason; nothing to do if the attempt was the first one.
    pub(crate) fn give_back(&self, reason: &'static str) {
        if let Some(id) = self.id.take() {
            let core = self.core;
            core.end_retry(self.service, id, RetryEnd::NotSent);
            core.metrics.record_retry_given_back(self.service);
            info!(request = self.request, service:% = self.service, reason; "retry given back");
        }
    }
}

impl Drop for GrantedRetry<'_> {
    fn drop(&mut self) {
        self.give_back("dropped");
    }
}
