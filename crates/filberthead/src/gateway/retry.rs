//! A retry from its grant to its end.
//!
//! What was granted counts unless it is known that nothing of it was sent. So a grant is given back only
//! while no attempt has been started with it, and an attempt whose end isn't reported counts as one that
//! may still arrive.

use std::cell::RefCell;

use filberthead_place::{Holder, RequestRetries, RetryEnd, RetryId, RetryRecord, SentAs};
use filberthead_types::ServiceName;
use log::{info, warn};

use super::core::Core;

/// The retry that a request's next attempt is, if it is one. Dropped, it is given back: no attempt was
/// started with it.
pub(crate) struct GrantedRetry<'a> {
    core: &'a Core,
    service: &'a ServiceName,
    /// Id of the request, for logs.
    request: &'a str,
    /// Whether the first attempt is a retry that another gateway has granted.
    is_foreign: bool,
    retries: RefCell<RequestRetries>,
}

impl<'a> GrantedRetry<'a> {
    /// The next attempt is the first one of this gateway.
    pub(crate) fn none(
        core: &'a Core,
        service: &'a ServiceName,
        request: &'a str,
        is_foreign: bool,
    ) -> Self {
        Self {
            core,
            service,
            request,
            is_foreign,
            retries: RefCell::default(),
        }
    }

    /// The next attempt is this retry.
    pub(crate) fn set(&self, id: RetryId) {
        let unused = self.retries.borrow_mut().grant(id);
        self.record(unused);
    }

    /// Whether the next attempt is a retry.
    pub(crate) fn is_granted(&self) -> bool {
        self.retries.borrow().is_granted()
    }

    /// Whether the next attempt needs a retry that isn't granted yet.
    pub(crate) fn is_needed(&self) -> bool {
        self.retries.borrow().needs_retry()
    }

    /// Starts the attempt that the retry was granted for. Unless its end is reported, it may still be at
    /// `holder`.
    pub(crate) fn start(&self, holder: Holder) -> StartedAttempt<'_> {
        let (id, earlier) = self.retries.borrow_mut().start();
        self.record(earlier);
        StartedAttempt {
            retry: self,
            id,
            to: match holder {
                Holder::Gateway(..) => "gateway",
                Holder::Endpoint(..) | Holder::Unknown => "endpoint",
            },
            end: RetryEnd::Unanswered(holder),
        }
    }

    /// Nothing of the retry was sent, for this reason; nothing to do if the attempt was the first one.
    pub(crate) fn give_back(&self, reason: &'static str) {
        let unused = self.retries.borrow_mut().give_back();
        if !unused.is_empty() {
            self.record(unused);
            self.core.metrics.record_retry_given_back(self.service);
            info!(request = self.request, service:% = self.service, reason; "retry given back");
        }
    }

    fn record(&self, records: impl IntoIterator<Item = RetryRecord>) {
        let (core, service) = (self.core, self.service);
        for record in records {
            match record {
                RetryRecord::Ended(id, end) => core.end_retry(service, id, end),
                RetryRecord::Earlier(id, holder) => {
                    core.record_earlier_attempt(service, id, holder);
                }
            }
        }
    }

    /// Counts an attempt that was sent, by what allowed it.
    fn count_sent(&self, id: Option<RetryId>, to: &'static str) {
        let sent_as = self.retries.borrow_mut().record_sent(id);
        let granted = match sent_as {
            SentAs::First if self.is_foreign => "elsewhere",
            SentAs::First => "first",
            SentAs::Retry => "retry",
            SentAs::Ungranted => "none",
        };
        self.core.metrics.record_sent(self.service, to, granted);
        if sent_as == SentAs::Ungranted {
            warn!(request = self.request, service:% = self.service, to;
                "request sent again without a retry");
        }
    }

    /// An attempt has ended that is this retry, or wasn't granted.
    fn end(&self, id: Option<RetryId>, end: RetryEnd) {
        let ended = match (id, end) {
            (Some(id), end) => self.retries.borrow_mut().end(id, end),
            (None, RetryEnd::Unanswered(holder)) if self.is_foreign => {
                self.core.record_foreign_retry(self.service, holder);
                Vec::new()
            }
            // The helper doesn't count it, as it doesn't know that this gateway may send it again.
            (None, RetryEnd::Unanswered(Holder::Gateway(..))) => {
                self.retries.borrow_mut().end_earlier(Holder::Unknown)
            }
            (None, RetryEnd::Unanswered(holder)) => self.retries.borrow_mut().end_earlier(holder),
            (None, RetryEnd::NotSent | RetryEnd::Settled) => Vec::new(),
        };
        self.record(ended);
    }
}

impl Drop for GrantedRetry<'_> {
    fn drop(&mut self) {
        self.give_back("request ended");
    }
}

/// An attempt under way. Its end counts when it is dropped.
pub(crate) struct StartedAttempt<'a> {
    retry: &'a GrantedRetry<'a>,
    /// The retry that it is; `None` for the first attempt.
    id: Option<RetryId>,
    /// What it is sent to, for metrics.
    to: &'static str,
    end: RetryEnd,
}

impl StartedAttempt<'_> {
    /// Nothing of it was sent, so the next attempt is still this retry.
    pub(crate) fn not_sent(&mut self) {
        self.end = RetryEnd::NotSent;
    }

    /// It has arrived, or never will.
    pub(crate) fn settled(&mut self) {
        self.end = RetryEnd::Settled;
    }
}

impl Drop for StartedAttempt<'_> {
    fn drop(&mut self) {
        let end = std::mem::replace(&mut self.end, RetryEnd::NotSent);
        if end != RetryEnd::NotSent {
            self.retry.count_sent(self.id, self.to);
        }
        self.retry.end(self.id, end);
    }
}
