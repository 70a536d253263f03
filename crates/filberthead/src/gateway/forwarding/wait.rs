//! Waits for a place before the first attempt, while contention control is on.

use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::waiting::Waiter;
use filberthead_types::{ResultCode, Workspace as WorkspaceName};
use http::Response;
use http_body::Body;
use log::info;

use super::Forwarding;
use crate::gateway::headers::header_text;
use crate::gateway::response::{ResponseBody, gateway_response};
use crate::gateway::waiting::{NoPlace, Place, Waiting};

/// Time before the deadline at which a request is rejected that another gateway has relayed: its answer has to
/// reach that one in time.
const RELAY_MARGIN: Duration = Duration::from_millis(50);
/// Shortest time before which a caller counts as one that has been rejected: less than the shortest
/// `Retry-After`, and more than what connecting takes.
const MIN_RETURN: Duration = Duration::from_millis(60);
/// Estimated memory of a request without its body, in bytes.
const HEAD_BYTES: usize = 2048;

impl<'a> Forwarding<'a> {
    /// Waits until the endpoints of the service have room for the request. `None` if requests don't wait.
    pub(super) async fn wait_for_place(
        &self,
        body: &RequestBody,
    ) -> Result<Option<Place<'a>>, NoPlace> {
        let core = self.core;
        if !core.placer.borrow().contention_control() {
            return Ok(None);
        }
        let waiter = self.waiter(body);
        let place = Waiting::enter(core, waiter, self.request_id()).await?;
        Ok(Some(place))
    }

    fn waiter(&self, body: &RequestBody) -> Waiter {
        let margin = match self.relayed_by {
            Some(_) => RELAY_MARGIN,
            None => Duration::ZERO,
        };
        let waited_before = self.waited_before();
        let body_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        self.place(|placer, now, req| {
            let expected = placer.work_of(now, &req);
            Waiter {
                site: placer.site(now, &req),
                priority: req.priority,
                workspace: self.caller.workspace().cloned(),
                has_returned: self.is_retry || waited_before >= MIN_RETURN,
                is_cached: expected.is_cached,
                work: expected.work,
                objective: req.objective,
                arrived: now,
                start_by: (now + req.objective).saturating_sub(expected.work + waited_before),
                deadline: now + req.remaining.saturating_sub(margin),
                bytes: body_bytes.saturating_add(HEAD_BYTES),
            }
        })
    }

    /// How long the caller has waited before it sent the request to this gateway. Of a relayed one it isn't
    /// known, as the other gateway has changed the time that is left.
    fn waited_before(&self) -> Duration {
        let left = header_text(&self.head.headers, &self.core.protocol.deadline_ms);
        let left = left.trim().parse::<f64>().ok();
        let left = left.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        match left {
            Some(left) if self.relayed_by.is_none() => {
                self.core.waiting.waited_before(&self.route.name, left)
            }
            _ => Duration::ZERO,
        }
    }

    /// Rejects a request for which the waiting room has no place. Nothing of it was sent.
    pub(super) fn reject_without_place(&self, no_place: NoPlace) -> Response<ResponseBody> {
        let NoPlace {
            retry_after,
            waited,
        } = no_place;
        let code = match waited {
            None => ResultCode::Overloaded,
            Some(_) => ResultCode::DeadlineBeforeRun,
        };
        if let Some(omitted) = self.core.may_log(code) {
            let left = self.deadline.remaining().as_millis();
            info!(request = self.request_id(), route = self.route.name.as_str(),
                workspace = self.caller.workspace().map(WorkspaceName::as_str), code:%, by = "waiting-room", left,
                waited_ms = waited.map(|waited| waited.as_millis()), returned = self.is_retry,
                version = self.version, retry_after_ms = retry_after.as_millis(),
                stopping = self.core.is_leaving(), fingerprint:% = self.prints.of_request, omitted;
                "refused");
        }
        gateway_response(code, Some(retry_after))
    }
}
