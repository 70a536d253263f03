//! Decides what follows an attempt that has ended.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::{EndpointId, NextAttempt};
use filberthead_types::ResultCode;
use http::Response;

use super::Forwarding;
use super::next::Next;
use crate::gateway::attempt::Attempt;
use crate::gateway::caller::Charge;
use crate::gateway::relay::is_unhelpful;
use crate::gateway::response::{ResponseBody, gateway_response};
use crate::gateway::retry_after::{RETRY_AFTER_REFUSED, RETRY_AFTER_STARTING};
use crate::gateway::under_way::{Destination, EndedAttempt};

impl<'a> Forwarding<'a> {
    pub(super) fn after_attempt(&mut self, ended: EndedAttempt, charge: &mut Charge<'_>) -> Next {
        let EndedAttempt {
            attempt,
            reached,
            to,
            body,
        } = ended;
        let mut is_kept_due = false;
        if let Destination::Gateway {
            addr,
            reserved,
            kept,
            ..
        } = to
        {
            self.attempts.record_relayed(reserved, reached);
            self.note_helper(addr, &attempt);
            is_kept_due = kept && reached.is_some_and(|reached| reached > reserved);
        }
        let to = to.id();
        match attempt {
            Attempt::Answered(response) => {
                charge.record_served();
                Next::respond(response)
            }
            Attempt::NotSent(body) => {
                charge.restore();
                self.after_unreached(body)
            }
            Attempt::Unwritten => {
                charge.restore();
                self.after_unwritten(body)
            }
            Attempt::Withdrawn(body) => {
                charge.restore();
                self.attempts.record_withdrawn();
                Next::Send(body)
            }
            Attempt::NotRun { load_reported } => {
                charge.restore();
                self.after_not_run(&to, load_reported, body, charge)
            }
            // The gateway would have made the attempt that was kept from it.
            Attempt::Rejected {
                code: ResultCode::Overloaded,
                retry_after,
            } if is_kept_due => {
                charge.restore();
                self.after_all_lent(&to, retry_after, body, charge)
            }
            Attempt::Rejected { code, retry_after } => {
                charge.restore();
                self.after_rejection(code, retry_after, body)
            }
            Attempt::Failed(response) => self.after_failure(response, body, charge),
            Attempt::Lost => self.after_loss(&to, body, charge),
            Attempt::TimedOut => {
                self.attempts.record_ran();
                self.core.record_shortage(self.service);
                self.log_attempt("deadline passed before the endpoint responded", &to);
                Next::expire(gateway_response(ResultCode::DeadlineWhileRunning, None))
            }
        }
    }

    /// The gateway that it was relayed through hasn't sent it to an endpoint, or none has run it.
    pub(super) fn after_rejection(
        &mut self,
        code: ResultCode,
        retry_after: Duration,
        retry_body: Option<RequestBody>,
    ) -> Next {
        let further = self.attempts.record_unreachable();
        match retry_body.filter(|_| is_unhelpful(code) && further == NextAttempt::Allowed) {
            Some(body) => Next::Send(body),
            None => Next::reject(code, retry_after),
        }
    }

    /// Endpoints have rejected all attempts that the gateway was lent through which it was relayed.
    pub(super) fn after_all_lent(
        &mut self,
        helper: &EndpointId,
        retry_after: Duration,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let further = self.attempts.record_refused(helper, true);
        match retry_body.filter(|_| self.may_retry(further, charge)) {
            Some(body) => Next::Send(body),
            None => Next::reject(ResultCode::Overloaded, retry_after),
        }
    }

    /// Remembers a helper that couldn't be reached, or couldn't help.
    pub(super) fn note_helper(&self, helper: SocketAddr, attempt: &Attempt) {
        let now = self.core.now();
        let mut helpers = self.core.helpers.borrow_mut();
        match attempt {
            Attempt::NotSent(_) | Attempt::Lost => helpers.record_unreachable(now, helper),
            Attempt::Rejected { code, .. } if is_unhelpful(*code) => {
                helpers.record_without(now, helper, self.service);
            }
            _ => {}
        }
    }

    /// The endpoint couldn't be reached.
    pub(super) fn after_unreached(&mut self, body: RequestBody) -> Next {
        match self.attempts.record_unreachable() {
            NextAttempt::Allowed => Next::Send(body),
            NextAttempt::Exhausted if self.relayed_by.is_none() && !self.must_relay => {
                self.must_relay = true;
                Next::Send(body)
            }
            NextAttempt::Exhausted => Next::reject(ResultCode::NoEndpoint, RETRY_AFTER_STARTING),
        }
    }

    /// The connection ended, or the deadline passed, before a byte of the request was written.
    pub(super) fn after_unwritten(&mut self, retry_body: Option<RequestBody>) -> Next {
        match retry_body {
            Some(body) => self.after_unreached(body),
            None => {
                self.attempts.record_unreachable();
                Next::reject(ResultCode::NoEndpoint, RETRY_AFTER_STARTING)
            }
        }
    }

    /// The endpoint refused to run the request.
    pub(super) fn after_not_run(
        &mut self,
        endpoint: &EndpointId,
        load_reported: bool,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let same = self
            .core
            .placer
            .borrow()
            .may_retry_same_endpoint(load_reported);
        let further = self.attempts.record_refused(endpoint, same);
        match retry_body.filter(|_| self.may_retry(further, charge)) {
            Some(body) => Next::Send(body),
            None => Next::reject(ResultCode::Overloaded, self.refused_for()),
        }
    }

    /// Time after which a caller may repeat a request that endpoints have refused.
    pub(super) fn refused_for(&self) -> Duration {
        let rest_left = self.place(|placer, now, req| placer.rest_left(now, &req));
        rest_left.unwrap_or_default().max(RETRY_AFTER_REFUSED)
    }

    /// The endpoint ran the request and failed.
    pub(super) fn after_failure(
        &mut self,
        response: Response<ResponseBody>,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let further = self.attempts.record_ran();
        let idempotent = self.route.kind.is_idempotent();
        match retry_body.filter(|_| idempotent && self.may_retry(further, charge)) {
            Some(body) => {
                self.failed_response = Some(response);
                Next::Send(body)
            }
            None => Next::fail(response),
        }
    }

    /// The connection broke; the request may have run.
    pub(super) fn after_loss(
        &mut self,
        endpoint: &EndpointId,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let further = self.attempts.record_ran();
        self.log_attempt("lost with the request at it", endpoint);
        let idempotent = self.route.kind.is_idempotent();
        match retry_body.filter(|_| idempotent && self.may_retry(further, charge)) {
            Some(body) => Next::Send(body),
            None => Next::fail(gateway_response(ResultCode::EndpointLost, None)),
        }
    }
}
