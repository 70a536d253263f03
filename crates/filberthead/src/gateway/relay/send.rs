//! Sends a request through a helper.

use std::rc::Rc;
use std::time::Duration;

use filberthead_endpoint::{AnswerCheck, RequestBody, Reuse, SendOutcome};
use filberthead_place::RetryEnd;
use filberthead_route::KeyDigest;
use filberthead_types::{Meaning, Moment, ResultCode, header};
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body::Body;
use log::info;

use super::{ChosenHelper, RELAY, RELAYED_ATTEMPT, RELAYED_KEY, RelayHead};
use crate::gateway::attempt::{
    Attempt, Job, MAX_IDLE_FOR_UNSAFE, TYPICAL_HEAD_BYTES, build_request, header_text, read_body,
};
use crate::gateway::core::Core;
use crate::gateway::response::gateway_response;

/// Outcome of a request whose caller left.
const ABANDONED: &str = "abandoned";
const RESULT: HeaderName = HeaderName::from_static(header::RESULT);

/// Sends a request to a helper and waits for its answer. Dropping the returned future closes the
/// connection, which tells the helper that the caller has left.
pub(crate) async fn relay(
    core: &Rc<Core>,
    job: &Job<'_>,
    body: RequestBody,
    helper: &ChosenHelper,
    (head, key): (&RelayHead, Option<KeyDigest>),
) -> Attempt {
    let mut in_flight = InFlight {
        core,
        job,
        helper,
        started: core.now(),
        outcome: ABANDONED,
    };
    let attempt = send(core, job, body, helper, (head, key)).await;
    in_flight.outcome = outcome_name(&attempt);
    if may_have_arrived(&attempt) {
        // Without an answer its connection is reset, and the helper resets the one to the endpoint when
        // it learns of that.
        job.retry.end(RetryEnd::Settled);
    }
    attempt
}

/// A request on its way through a helper. Dropping it records the outcome.
struct InFlight<'a> {
    core: &'a Core,
    job: &'a Job<'a>,
    helper: &'a ChosenHelper,
    started: Moment,
    outcome: &'static str,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let Self {
            core, job, helper, ..
        } = self;
        let took_ms = core.now().saturating_sub(self.started).as_millis();
        core.metrics.record_relayed(self.outcome);
        info!(request = header_text(&job.head.headers, &core.protocol.request_id),
            route = job.route, service:% = job.service, attempt = job.number,
            helper:% = helper.addr, domain:% = helper.domain, took_ms, outcome = self.outcome;
            "relayed through another gateway");
    }
}

/// Whether an endpoint may have received the request. If not, a retry is still to be made.
fn may_have_arrived(attempt: &Attempt) -> bool {
    match attempt {
        Attempt::NotSent(_) => false,
        Attempt::Rejected { code, .. } => !is_unhelpful(*code),
        _ => true,
    }
}

/// Whether a helper that answers this has no way to an endpoint either, or can't handle the request yet.
pub(crate) fn is_unhelpful(code: ResultCode) -> bool {
    matches!(code, ResultCode::NoEndpoint | ResultCode::NotReady)
}

async fn send(
    core: &Rc<Core>,
    job: &Job<'_>,
    body: RequestBody,
    helper: &ChosenHelper,
    (head, key): (&RelayHead, Option<KeyDigest>),
) -> Attempt {
    let mut req = build_request(core, job, body);
    let headers = req.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&head.to_string()) {
        headers.insert(RELAY, value);
    }
    headers.insert(RELAYED_ATTEMPT, HeaderValue::from(job.number));
    if let Some(Ok(value)) = key.map(|key| HeaderValue::from_str(&key.to_hex())) {
        headers.insert(RELAYED_KEY, value);
    }
    core.record_sent(TYPICAL_HEAD_BYTES + req.body().size_hint().lower() as usize);
    let none = HeaderValue::from_static("");
    let name = &core.protocol.request_id;
    let value = job.head.headers.get(name).unwrap_or(&none);
    let check = AnswerCheck::Echo { name, value };
    let reuse = Reuse::Within(MAX_IDLE_FOR_UNSAFE);
    let deadline = job.deadline.respond_by;
    let sent = core.client.send(helper.addr, check, reuse, deadline, req);
    let answer = match sent.await {
        SendOutcome::NotSent(req, _) => return Attempt::NotSent(req.into_body()),
        SendOutcome::Lost => return Attempt::Lost,
        SendOutcome::TimedOut => return Attempt::TimedOut,
        SendOutcome::Answer(answer) => answer,
    };
    helper.record_answer(core.now());
    let (head, body) = answer.response.into_parts();
    if let Some(code) = result_code(&head.headers) {
        answer.connection.drain_and_release(body);
        return rejected(code, &head.headers);
    }
    match read_body(core, job, head, body, answer.connection).await {
        Ok(response) if response.status().is_server_error() => Attempt::Failed(response),
        Ok(response) => Attempt::Answered(response),
        Err(attempt) => attempt,
    }
}

/// The code of a helper's own answer; `None` if it passes on an endpoint's.
fn result_code(headers: &HeaderMap) -> Option<ResultCode> {
    let text = headers.get(RESULT)?.to_str().ok();
    let code = text.and_then(|text| ResultCode::from_number(text.parse().ok()?));
    // An unknown code promises nothing.
    Some(code.unwrap_or(ResultCode::EndpointLost))
}

/// The outcome by a helper's own answer.
fn rejected(code: ResultCode, headers: &HeaderMap) -> Attempt {
    match code.meaning() {
        Meaning::NotRun => {
            let seconds = header_text(headers, &RETRY_AFTER).parse::<f64>().ok();
            let after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
            Attempt::Rejected {
                code,
                retry_after: after.unwrap_or_default(),
            }
        }
        Meaning::MayHaveRun | Meaning::Ran => Attempt::Failed(gateway_response(code, None)),
    }
}

fn outcome_name(attempt: &Attempt) -> &'static str {
    match attempt {
        Attempt::Answered(_) => "answered",
        Attempt::Failed(_) => "failed",
        Attempt::NotSent(_) => "not-sent",
        Attempt::NotRun { .. } | Attempt::Rejected { .. } => "rejected",
        Attempt::Lost => "lost",
        Attempt::TimedOut => "timed-out",
    }
}
