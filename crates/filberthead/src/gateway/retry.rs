//! A retry from its grant to its end.

use std::cell::Cell;

use filberthead_place::{RetryEnd, RetryId};
use filberthead_types::ServiceName;

use super::core::Core;

/// The retry that a request's next attempt is, if it is one. Dropped before it has ended, it wasn't
/// sent and is given back.
pub(crate) struct GrantedRetry<'a> {
    core: &'a Core,
    service: &'a ServiceName,
    id: Cell<Option<RetryId>>,
}

impl<'a> GrantedRetry<'a> {
    /// The next attempt is the first one.
    pub(crate) fn none(core: &'a Core, service: &'a ServiceName) -> Self {
        Self {
            core,
            service,
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
}

impl Drop for GrantedRetry<'_> {
    fn drop(&mut self) {
        self.end(RetryEnd::NotSent);
    }
}
