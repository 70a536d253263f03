//! Handles one request from its head to its final response: route, caller, deadline and body.

mod body;
pub(super) mod context;
mod routing;

use std::net::SocketAddr;
use std::rc::Rc;

use filberthead_place::{Attempts, TimedRoute};
use filberthead_route::Route;
use filberthead_types::{Meaning, RequestPrints, ResultCode};
use http::Response;
use http::request::Parts;
use log::debug;
use tokio::time::Instant;

pub(in crate::gateway) use self::body::ArrivingBody;
use self::body::ReceivedBody;
use self::context::RequestContext;
use self::routing::{find_route, is_for, pick_target, read_relay_head};
use super::answer_notes::LeavingEndpoint;
use super::bounds::head_bytes;
use super::caller::Caller;
use super::core::Core;
use super::deadline::Deadline;
use super::forwarding::Forwarding;
use super::headers::header_text;
use super::relay::{HelperReport, read_attempt, read_key};
use super::response::{ResponseBody, result_code};
use super::retry::GrantedRetry;
use super::retry_after::{RETRY_AFTER_REFUSED, RETRY_AFTER_STARTING, RETRY_AFTER_STOPPING};
use super::source::RequestSource;
use super::timing::RequestTimer;
use crate::fingerprint::fingerprint;

/// Whether a request is known from its route to be idempotent.
pub(crate) fn is_idempotent(core: &Core, head: &Parts) -> bool {
    let matched = core
        .active_routes()
        .and_then(|active_routes| find_route(&active_routes, head));
    matched.is_some_and(|matched| matched.route.kind.is_idempotent())
}

/// Handles a request of a caller, or one that another gateway relays, that was received at
/// `arrived`.
pub(crate) async fn forward(
    core: &Rc<Core>,
    (caller, from): (SocketAddr, RequestSource),
    head: &Parts,
    body: ArrivingBody,
    arrived: Instant,
) -> Response<ResponseBody> {
    let mut ctx = RequestContext::new(core, caller, arrived, head);
    let relayed = match from {
        RequestSource::Caller => None,
        RequestSource::Gateway => match read_relay_head(core, head) {
            Some(relayed) => Some(relayed),
            None => return ctx.reject(ResultCode::BadRequest, None),
        },
    };
    let since = relayed.as_ref().map_or(0, |relayed| relayed.revision);
    let Some(active_routes) = core.active_routes().filter(|r| r.revision >= since) else {
        return ctx.reject(ResultCode::NotReady, Some(RETRY_AFTER_STARTING));
    };
    ctx.routes = Some(&active_routes);
    if relayed.is_none() && head_bytes(head) > active_routes.bounds.header_bytes {
        return ctx.reject_by_routes(ResultCode::HeadTooLarge);
    }
    let Some(matched) = find_route(&active_routes, head) else {
        return ctx.reject_by_routes(ResultCode::UnknownService);
    };
    let route = &matched.route;
    ctx.route = Some(route);
    let api_key = &core.protocol.api_key;
    let identified = match relayed {
        None => Caller::identify(&active_routes, &head.headers, api_key, route.public),
        Some(_) => Caller::identify_by(&active_routes, read_key(&head.headers), route.public),
    };
    let Ok(caller) = identified else {
        return ctx.reject_by_routes(ResultCode::CallerUnknown);
    };
    let deadline = Deadline::new(arrived, &head.headers, &core.protocol.deadline_ms, route);
    let Some(target) = pick_target(&matched, relayed.as_ref()) else {
        return ctx.reject(ResultCode::NoEndpoint, Some(RETRY_AFTER_STARTING));
    };
    let timed_route = TimedRoute::new(&target.service, route);
    let stop_stage = core.stop_stage(arrived);
    let Some(deadline) = core.deadline_in_stop(stop_stage, &timed_route, deadline) else {
        return ctx.reject(ResultCode::Stopping, Some(RETRY_AFTER_STOPPING));
    };
    let attempts_before = match relayed {
        None => 0,
        Some(_) => read_attempt(&head.headers) - 1,
    };
    if attempts_before > 0 && !is_for(relayed.as_ref(), target) {
        // The budget of the other service wasn't asked.
        return ctx.reject(ResultCode::RetryBudgetSpent, Some(RETRY_AFTER_REFUSED));
    }
    if body.least_len() > active_routes.bounds.body_bytes {
        return ctx.reject_by_routes(ResultCode::BodyTooLarge);
    }
    let ReceivedBody { body, held } = match body.receive(&deadline).await {
        Ok(received) => received,
        Err(code) => {
            // Nothing of it was forwarded.
            let may_return = code != ResultCode::BadRequest;
            return ctx.reject(code, may_return.then_some(RETRY_AFTER_REFUSED));
        }
    };
    let priority = caller.priority().unwrap_or(route.priority);
    if relayed.is_none() {
        let mut placer = core.placer.borrow_mut();
        placer.record_request(core.now(), &target.service, priority);
    }
    let is_retry = match &relayed {
        None => is_caller_retry(core, head, route),
        Some(relayed) => relayed.is_caller_retry,
    };
    let attempts_left = relayed
        .as_ref()
        .map_or(u32::MAX, |relayed| relayed.attempts);
    let prints = RequestPrints {
        of_request: fingerprint(&target.service, head, &body, &[]),
        of_caller: match &relayed {
            Some(relayed) => relayed.fingerprint,
            None => caller.fingerprint(&target.service, head, &body, ctx.caller_ip()),
        },
    };
    let request_id = header_text(&head.headers, &core.protocol.request_id);
    let retry = GrantedRetry::none(core, &target.service, request_id, attempts_before > 0);
    let mut forwarding = Forwarding {
        core,
        route,
        service: &target.service,
        head,
        caller: &caller,
        deadline,
        prints,
        priority,
        is_retry,
        is_windowed: false,
        version: active_routes.version,
        revision: active_routes.revision,
        attempts: Attempts::new(route.max_attempts.min(attempts_left)),
        relayed_by: relayed.as_ref().map(|relayed| &relayed.gateway),
        attempts_before,
        must_relay: false,
        relays: 0,
        retry: &retry,
        failed_response: None,
        stop_stage,
        timer: None,
    };
    let mut response = forwarding.run(body).await;
    drop(held);
    let code = result_code(&response);
    if let Some(timer) = forwarding.timer.take() {
        measure(timer, &mut response, code);
    }
    if let Some(relayed) = &relayed {
        let report = HelperReport {
            uptime: core.now(),
            reached: forwarding.attempts.reached(),
            leaving: response.extensions_mut().remove::<LeavingEndpoint>(),
        };
        report.add(response.headers_mut());
        debug!(request = request_id,
            gateway:% = relayed.gateway, service:% = target.service, asked:% = relayed.service,
            code:%; "helped another gateway with a request");
        core.metrics.record_helped(code);
        return response;
    }
    let kind = Some(route.kind.as_str());
    core.metrics.record_request(kind, code, arrived.elapsed());
    if let Some(workspace) = caller.workspace() {
        core.record_answer(workspace, code);
    }
    response
}

/// Measures how long a request takes, unless it was rejected. One that failed may have ended early.
fn measure(timer: RequestTimer, response: &mut Response<ResponseBody>, code: ResultCode) {
    let is_complete = code == ResultCode::Answered && !response.status().is_server_error();
    match response.body_mut() {
        ResponseBody::Streamed(body) if is_complete => body.set_timer(timer),
        ResponseBody::Buffered(_) if is_complete => timer.finish(),
        _ if code.meaning() == Meaning::NotRun => timer.discard(),
        _ => {}
    }
}

/// Whether the caller's deadline is shorter than the route's timeout, because an earlier attempt
/// of the caller has used part of it.
fn is_caller_retry(core: &Core, head: &Parts, route: &Route) -> bool {
    let remaining_ms = header_text(&head.headers, &core.protocol.deadline_ms).parse::<u128>();
    remaining_ms.is_ok_and(|ms| ms < route.timeout.as_millis())
}
