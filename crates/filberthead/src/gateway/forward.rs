//! Forwards one request: from route lookup, over one or more attempts, to the final response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::{
    Attempts, BudgetUsage, Decision, EndpointId, Homes, NextAttempt, Object, Refusal,
    Request as PlacementRequest, RetryDecision, RetryEnd,
};
use filberthead_route::{Kind, Matched, Route};
use filberthead_types::{ResultCode, ServiceName, Workspace as WorkspaceName, header};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use log::info;
use tokio::time::{Instant, timeout_at};

use super::attempt::{Attempt, Job, attempt, header_text};
use super::bounds::head_bytes;
use super::caller::{Caller, Charge};
use super::context::{RequestContext, host};
use super::core::{ActiveRoutes, Core};
use super::deadline::Deadline;
use super::response::{ResponseBody, gateway_response};
use super::retry::GrantedRetry;

/// Bodies up to this size in bytes are read before the request is sent, so that it can be
/// retried. Larger ones are streamed, and sent once.
const MAX_REPLAYABLE_BODY: u64 = 256 * 1024;
/// Least time before the deadline at which an attempt still makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Retry-After for a request that endpoints refused: a retry is as likely to find a free slot at
/// once as later.
const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(50);
/// Retry-After while the gateway has no routes, or no proof that they are the newest: by then a
/// report to control has been answered.
pub(super) const RETRY_AFTER_STARTING: Duration = Duration::from_millis(300);

/// What to do after an attempt.
enum Next {
    /// Send this to the caller.
    Respond(Box<Response<ResponseBody>>),
    /// Try another endpoint with this body.
    Retry(RequestBody),
}

impl Next {
    fn respond(response: Response<ResponseBody>) -> Self {
        Self::Respond(Box::new(response))
    }
}

/// A request being forwarded.
struct Forwarding<'a> {
    core: &'a Rc<Core>,
    route: &'a Route,
    service: &'a ServiceName,
    head: &'a Parts,
    caller: &'a Caller,
    deadline: Deadline,
    /// 0 is the most urgent.
    priority: u8,
    /// Whether an earlier attempt of the caller has used part of its deadline.
    is_retry: bool,
    /// Version and revision of the routes that it was matched against.
    version: u64,
    revision: u64,
    attempts: Attempts,
    /// The retry that the next attempt is.
    retry: GrantedRetry<'a>,
    /// Response of an endpoint that ran the request and failed. The caller gets it if no further
    /// attempt can be made.
    failed_response: Option<Response<ResponseBody>>,
}

/// Handles a caller's request.
pub(crate) async fn forward(
    core: &Rc<Core>,
    caller: SocketAddr,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let started = Instant::now();
    let (head, body) = req.into_parts();
    let mut ctx = RequestContext::new(core, caller, started, &head);
    let Some(active_routes) = core.active_routes() else {
        return ctx.reject(ResultCode::NotReady, Some(RETRY_AFTER_STARTING));
    };
    ctx.routes = Some(&active_routes);
    if head_bytes(&head) > active_routes.bounds.header_bytes {
        return ctx.reject_by_routes(ResultCode::HeadTooLarge);
    }
    let Some(matched) = find_route(&active_routes, &head) else {
        return ctx.reject_by_routes(ResultCode::UnknownService);
    };
    let route = &matched.route;
    ctx.route = Some(route);
    let api_key = &core.protocol.api_key;
    let Ok(caller) = Caller::identify(&active_routes, &head.headers, api_key, route.public) else {
        return ctx.reject_by_routes(ResultCode::CallerUnknown);
    };
    let deadline = Deadline::new(started, &head.headers, &core.protocol.deadline_ms, route);
    let Some(target) = route.targets.get(matched.split.pick()) else {
        return ctx.reject(ResultCode::NoEndpoint, Some(RETRY_AFTER_STARTING));
    };
    if body.size_hint().lower() > active_routes.bounds.body_bytes {
        return ctx.reject_by_routes(ResultCode::BodyTooLarge);
    }
    let body = match read_body(body, &deadline).await {
        Ok(body) => body,
        Err(code) => return ctx.reject(code, None),
    };
    let priority = caller.priority().unwrap_or(route.priority);
    core.placer
        .borrow_mut()
        .record_request(core.now(), &target.service, priority);
    let kind = route.kind.as_str();
    let forwarding = Forwarding {
        core,
        route,
        service: &target.service,
        head: &head,
        caller: &caller,
        deadline,
        priority,
        is_retry: is_caller_retry(core, &head, route),
        version: active_routes.version,
        revision: active_routes.revision,
        attempts: Attempts::new(route.max_attempts),
        retry: GrantedRetry::none(core, &target.service),
        failed_response: None,
    };
    let response = forwarding.run(body).await;
    let code = result_code(&response);
    core.metrics
        .record_request(Some(kind), code, started.elapsed());
    if let Some(workspace) = caller.workspace() {
        core.record_answer(workspace, code);
    }
    response
}

/// The code a response is counted under: that of the gateway's own response, else `Answered`.
fn result_code(response: &Response<ResponseBody>) -> ResultCode {
    let header = response.headers().get(header::RESULT);
    let number = header.and_then(|value| value.to_str().ok()?.parse().ok());
    number
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Answered)
}

fn find_route(active_routes: &ActiveRoutes, head: &Parts) -> Option<Arc<Matched>> {
    let matcher = &active_routes.matcher;
    matcher.find(host(head)?, head.uri.path()).cloned()
}

/// Whether the caller's deadline is shorter than the route's timeout, because an earlier attempt
/// of the caller has used part of it.
fn is_caller_retry(core: &Core, head: &Parts, route: &Route) -> bool {
    let remaining_ms = header_text(&head.headers, &core.protocol.deadline_ms).parse::<u128>();
    remaining_ms.is_ok_and(|ms| ms < route.timeout.as_millis())
}

/// Reads a short body into memory; a long one stays a stream.
async fn read_body(body: Incoming, deadline: &Deadline) -> Result<RequestBody, ResultCode> {
    let hint = body.size_hint();
    if hint.upper().is_none_or(|upper| upper > MAX_REPLAYABLE_BODY) {
        return Ok(RequestBody::Stream(body));
    }
    if hint.exact() == Some(0) {
        return Ok(RequestBody::from(body));
    }
    match timeout_at(deadline.respond_by, body.collect()).await {
        Ok(Ok(body)) => Ok(RequestBody::Buffered(body.to_bytes())),
        Ok(Err(_)) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::DeadlineBeforeRun),
    }
}

impl Forwarding<'_> {
    async fn run(mut self, body: RequestBody) -> Response<ResponseBody> {
        let core = self.core;
        let mut charge = match Charge::take(core, self.caller) {
            Ok(charge) => charge,
            Err(retry_after) => {
                return self.final_response(ResultCode::AllotmentUsed, retry_after);
            }
        };
        let is_large = self.route.kind == Kind::Download;
        if is_large && let Err(retry_after) = self.core.admit_large(self.is_retry) {
            return self.final_response(ResultCode::LinkBusy, retry_after);
        }
        let mut body = body;
        loop {
            match self.step(body, &mut charge).await {
                Next::Respond(response) => return *response,
                Next::Retry(retry_body) => body = retry_body,
            }
        }
    }

    /// Makes one attempt.
    async fn step(&mut self, body: RequestBody, charge: &mut Charge<'_>) -> Next {
        if self.deadline.remaining() < MIN_TIME_LEFT {
            return self.reject(ResultCode::DeadlineBeforeRun, Duration::ZERO);
        }
        if self.is_revoked() {
            return self.reject_revoked();
        }
        let decision = self.place();
        let target = match decision {
            Decision::Send(target) => target,
            Decision::Refuse {
                reason,
                retry_after,
            } => {
                return match reason {
                    // Endpoints exist, but each has refused the request.
                    Refusal::NoEndpoint if self.attempts.was_refused() => {
                        self.reject(ResultCode::Overloaded, RETRY_AFTER_REFUSED)
                    }
                    Refusal::NoEndpoint => self.reject(ResultCode::NoEndpoint, retry_after),
                    Refusal::Overloaded => self.reject(ResultCode::Overloaded, retry_after),
                };
            }
        };
        self.attempts.record_sent(target.id.clone());
        charge.spend();
        let retry_body = body.try_clone();
        let job = Job {
            route: &self.route.name,
            head: self.head,
            workspace: self.caller.workspace(),
            kind: self.route.kind,
            service: self.service,
            deadline: self.deadline,
            number: self.attempts.made(),
            retry: &self.retry,
        };
        match attempt(self.core, &job, body, &target).await {
            Attempt::Answered(response) => Next::respond(response),
            Attempt::NotSent(body) => {
                charge.restore();
                self.after_unreached(body)
            }
            Attempt::NotRun { load_reported } => {
                charge.restore();
                self.after_not_run(load_reported, retry_body, charge)
            }
            Attempt::Failed(response) => self.after_failure(response, retry_body, charge),
            Attempt::Lost => self.after_loss(&target.id, retry_body, charge),
            Attempt::TimedOut => {
                self.attempts.record_ran();
                self.log_attempt("deadline passed before the endpoint responded", &target.id);
                Next::respond(gateway_response(ResultCode::DeadlineWhileRunning, None))
            }
        }
    }

    /// Whether newer routes have taken the key away that the caller was identified by.
    fn is_revoked(&self) -> bool {
        let routes = self.core.active_routes();
        let newer = routes.filter(|routes| routes.revision != self.revision);
        newer.is_some_and(|routes| !self.caller.is_known_to(&routes))
    }

    /// Rejects a request whose key was taken away while it waited. Newer routes than these may
    /// allow it again, unless they are proven to be the newest.
    fn reject_revoked(&mut self) -> Next {
        match self.core.is_proven() {
            true => self.reject(ResultCode::CallerUnknown, Duration::ZERO),
            false => self.reject(ResultCode::RoutesUnproven, RETRY_AFTER_STARTING),
        }
    }

    /// Chooses an endpoint.
    fn place(&self) -> Decision {
        let object = self.head.headers.get(&self.core.protocol.affinity_key);
        let object = object.map(|value| value.as_bytes());
        let request = PlacementRequest {
            service: self.service,
            object: object.filter(|_| self.route.sticky).map(|name| Object {
                prefix: &self.route.prefix,
                name,
            }),
            large: self.route.kind == Kind::Download,
            objective: self.route.objective,
            remaining: self.deadline.remaining(),
            priority: self.priority,
            is_caller_retry: self.is_retry,
            homes: Homes {
                route: &self.route.regions,
                workspace: self.caller.regions(),
            },
            excluded: self.attempts.excluded(),
        };
        let now = self.core.now();
        self.core.placer.borrow_mut().place(now, request)
    }

    /// The endpoint couldn't be reached.
    fn after_unreached(&mut self, body: RequestBody) -> Next {
        match self.attempts.record_unreachable() {
            NextAttempt::Allowed => Next::Retry(body),
            NextAttempt::Exhausted => self.reject(ResultCode::NoEndpoint, RETRY_AFTER_STARTING),
        }
    }

    /// The endpoint refused to run the request.
    fn after_not_run(
        &mut self,
        load_reported: bool,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let same = self
            .core
            .placer
            .borrow()
            .may_retry_same_endpoint(load_reported);
        let further = self.attempts.record_refused(same);
        match retry_body.filter(|_| self.may_retry(further, charge)) {
            Some(body) => Next::Retry(body),
            None => self.reject(ResultCode::Overloaded, RETRY_AFTER_REFUSED),
        }
    }

    /// The endpoint ran the request and failed.
    fn after_failure(
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
                Next::Retry(body)
            }
            None => Next::respond(response),
        }
    }

    /// The connection broke; the request may have run.
    fn after_loss(
        &mut self,
        endpoint: &EndpointId,
        retry_body: Option<RequestBody>,
        charge: &mut Charge<'_>,
    ) -> Next {
        let further = self.attempts.record_ran();
        self.log_attempt("lost with the request at it", endpoint);
        let idempotent = self.route.kind.is_idempotent();
        match retry_body.filter(|_| idempotent && self.may_retry(further, charge)) {
            Some(body) => Next::Retry(body),
            None => Next::respond(gateway_response(ResultCode::EndpointLost, None)),
        }
    }

    /// Whether another attempt is allowed, has enough time left and fits the retry budget and the
    /// caller's allotment.
    fn may_retry(&mut self, further: NextAttempt, charge: &mut Charge<'_>) -> bool {
        let expected = self.route.objective / 4;
        further == NextAttempt::Allowed
            && self.deadline.remaining() > expected
            && self.try_spend_retry()
            && self.renew_charge(charge)
    }

    /// Takes room for a further attempt from the caller's allotment. Without any, the retry that was
    /// granted is given back.
    fn renew_charge(&self, charge: &mut Charge<'_>) -> bool {
        let renewed = charge.renew();
        if !renewed {
            self.retry.end(RetryEnd::NotSent);
            if let Some(omitted) = self.core.may_log(ResultCode::AllotmentUsed) {
                info!(request = self.request_id(), route = self.route.name.as_str(),
                    workspace = self.caller.workspace().map(WorkspaceName::as_str), omitted;
                    "no retry, the allotment is used");
            }
        }
        renewed
    }

    fn try_spend_retry(&mut self) -> bool {
        let now = self.core.now();
        let decision = self.core.try_spend_retry(now, self.service);
        match decision {
            RetryDecision::Granted(id, usage) => {
                self.retry.set(id);
                self.log_retry("retry granted", usage, 0);
            }
            RetryDecision::Refused(usage) => {
                if let Some(omitted) = self.core.may_log(ResultCode::RetryBudgetSpent) {
                    self.log_retry("retry budget spent", usage, omitted);
                }
            }
        }
        decision.is_granted()
    }

    fn log_retry(&self, event: &'static str, usage: BudgetUsage, omitted: u64) {
        let proven_ms = self.core.leader_proof_age().map(|age| age.as_millis());
        info!(request = self.request_id(), route = self.route.name.as_str(),
            service:% = self.service, within_ms = usage.within.as_millis(), first = usage.first,
            retries = usage.retries, unanswered = usage.unanswered, allowed = usage.allowed,
            gateways = usage.gateways, proven_ms, omitted; "{event}");
    }

    fn reject(&mut self, code: ResultCode, retry_after: Duration) -> Next {
        Next::respond(self.final_response(code, retry_after))
    }

    /// Builds the final response when no further attempt is made. It says that nothing ran only
    /// if no attempt may have run.
    fn final_response(
        &mut self,
        code: ResultCode,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        let left = self.deadline.remaining().as_millis();
        let (list_ms, control_ms) = self.core.data_ages();
        let now = self.core.now();
        let available = self.core.placer.borrow().availability(now, self.service);
        let answered_ms = self.core.since_answered().map(|since| since.as_millis());
        info!(request = self.request_id(), route = self.route.name.as_str(),
            workspace = self.caller.workspace().map(WorkspaceName::as_str), code:%, left,
            tried = self.attempts.made(), returned = self.is_retry, version = self.version,
            list_ms, control_ms, listed = available.listed, avoided = available.avoided,
            answered_ms, retry_after_ms = retry_after.as_millis(); "refused");
        if let Some(response) = self.failed_response.take() {
            return response;
        }
        if self.attempts.may_have_run() > 0 {
            return gateway_response(ResultCode::EndpointLost, None);
        }
        gateway_response(code, Some(retry_after))
    }

    fn log_attempt(&self, event: &'static str, endpoint: &EndpointId) {
        let left = self.deadline.remaining().as_millis();
        let route = self.route.name.as_str();
        info!(request = self.request_id(), route, endpoint:%, left,
            ran = self.attempts.may_have_run(), tried = self.attempts.made(),
            version = self.version; "{event}");
    }

    fn request_id(&self) -> &str {
        header_text(&self.head.headers, &self.core.protocol.request_id)
    }
}
