//! The final response when no further attempt is made.

use std::time::Duration;

use filberthead_place::EndpointId;
use filberthead_types::{ResultCode, Workspace as WorkspaceName};
use http::Response;
use log::info;

use super::Forwarding;
use crate::gateway::response::{ResponseBody, gateway_response, result_code};
use crate::gateway::retry_after::RETRY_AFTER_REFUSED;

impl<'a> Forwarding<'a> {
    /// Keeps an endpoint's failure for when no attempt is answered.
    pub(super) fn keep_failure(&mut self, response: Response<ResponseBody>) {
        if result_code(&response) == ResultCode::Answered {
            self.failed_response = Some(response);
        }
    }

    /// Builds the final response when no further attempt is made. It says that nothing ran only
    /// if no attempt may have run.
    pub(super) fn final_response(
        &mut self,
        code: ResultCode,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        let (code, retry_after) = match code {
            // Endpoints exist, but have refused the request. A gateway that has relayed it must not take
            // it for one that reached none.
            ResultCode::NoEndpoint | ResultCode::Stopping if self.attempts.was_refused() => {
                (ResultCode::Overloaded, RETRY_AFTER_REFUSED)
            }
            _ => (code, retry_after),
        };
        let retry_after = self.book_return(code).max(retry_after);
        if code == ResultCode::Overloaded {
            self.record_overload(retry_after);
        }
        self.log_refusal(code, retry_after);
        if let Some(response) = self.failed_response.take() {
            return response;
        }
        if self.attempts.may_have_run() > 0 {
            return gateway_response(ResultCode::EndpointLost, None);
        }
        gateway_response(code, Some(retry_after))
    }

    /// Logs that no further attempt is made. While contention control is on, there are many such lines, and
    /// looking up what they say takes longer than the rejection itself.
    fn log_refusal(&self, code: ResultCode, retry_after: Duration) {
        let is_limited = self.core.placer.borrow().contention_control();
        let Some(omitted) = (match is_limited {
            true => self.core.may_log(code),
            false => Some(0),
        }) else {
            return;
        };
        let left = self.deadline.remaining().as_millis();
        let (list_ms, control_ms) = self.core.data_ages();
        let now = self.core.now();
        let available = self.core.placer.borrow().availability(now, self.service);
        let over = self.place(|placer, now, req| placer.passed_over(now, &req));
        let rest_left = self.place(|placer, now, req| placer.rest_left(now, &req));
        let answered_ms = self.core.since_answered().map(|since| since.as_millis());
        info!(request = self.request_id(), route = self.route.name.as_str(),
            workspace = self.caller.workspace().map(WorkspaceName::as_str), code:%, left,
            tried = self.attempts.made(), returned = self.is_retry, version = self.version,
            list_ms, control_ms, listed = available.listed, avoided = available.avoided,
            resting = over.resting, returning = over.returning, leaving = over.leaving,
            first_back_ms = over.first_back.map(|left| left.as_millis()),
            all_at_rest = rest_left.is_some(), answered_ms, retry_after_ms = retry_after.as_millis(),
            stopping = self.core.is_leaving(), fingerprint:% = self.prints.of_request, omitted;
            "refused");
    }

    /// Builds the response to a request that exceeds its workspace's share. Such requests are many while a
    /// service is short of capacity, so nothing is looked up for the log.
    pub(super) fn refuse_by_share(&self, retry_after: Duration) -> Response<ResponseBody> {
        let code = ResultCode::ShareUsed;
        if let Some(omitted) = self.core.may_log(code) {
            info!(request = self.request_id(), route = self.route.name.as_str(),
                service:% = self.service, priority = self.priority,
                workspace = self.caller.workspace().map(WorkspaceName::as_str), code:%,
                retry_after_ms = retry_after.as_millis(), omitted; "refused");
        }
        gateway_response(code, Some(retry_after))
    }

    /// Records that the service is short of capacity, and that the request may come back.
    fn record_overload(&self, retry_after: Duration) {
        self.core.record_shortage(self.service);
        if let Some(workspace) = self.caller.workspace()
            && self.relayed_by.is_none()
        {
            let from = (workspace, self.priority);
            self.core
                .record_share_rejected(self.service, from, retry_after);
        }
    }

    /// Books the return of a caller that is refused because all endpoints rest; zero for any other.
    pub(super) fn book_return(&self, code: ResultCode) -> Duration {
        let is_told = self.failed_response.is_none() && self.attempts.may_have_run() == 0;
        if code != ResultCode::Overloaded || !is_told {
            return Duration::ZERO;
        }
        let left = self.place(|placer, now, req| placer.book_return(now, &req));
        left.unwrap_or_default()
    }

    pub(super) fn log_attempt(&self, event: &'static str, endpoint: &EndpointId) {
        let left = self.deadline.remaining().as_millis();
        let route = self.route.name.as_str();
        info!(request = self.request_id(), route, endpoint:%, left,
            ran = self.attempts.may_have_run(), tried = self.attempts.made(),
            version = self.version, stopping = self.core.is_leaving(), fingerprint:% = self.prints.of_request; "{event}");
    }
}
