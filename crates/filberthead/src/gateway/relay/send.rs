//! Sends a request through a helper.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filberthead_endpoint::{AnswerCheck, RequestBody, Reuse, SendOutcome};
use filberthead_place::Holder;
use filberthead_route::KeyDigest;
use filberthead_types::{Meaning, Moment, ResultCode, header};
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body::Body;
use log::info;

use super::{
    ChosenHelper, HelperReport, HelperWatch, RELAY, RELAYED_ATTEMPT, RELAYED_KEY, RelayHead,
};
use crate::gateway::answer_notes::record_leaving;
use crate::gateway::attempt::{
    Attempt, Job, MAX_IDLE_FOR_UNSAFE, TYPICAL_HEAD_BYTES, build_request, read_body,
};
use crate::gateway::core::Core;
use crate::gateway::headers::header_text;
use crate::gateway::progress::{GivenUp, Progress};
use crate::gateway::response::gateway_response;
use crate::gateway::retry::StartedAttempt;

/// Outcome of a request whose caller left.
const ABANDONED: &str = "abandoned";
const RESULT: HeaderName = HeaderName::from_static(header::RESULT);

/// What became of a request that was sent to a helper.
pub(crate) struct Relayed {
    pub(crate) attempt: Attempt,
    /// Number of endpoints that it may have reached; `None` if the helper hasn't told.
    pub(crate) reached: Option<u32>,
}

/// Sends a request to a helper and waits for its answer. Dropping the returned future closes the
/// connection, which tells the helper that the caller has left.
pub(crate) async fn relay(
    core: &Rc<Core>,
    job: &Job<'_>,
    body: RequestBody,
    (helper, watch): (&ChosenHelper, &HelperWatch),
    (head, key): (&RelayHead, Option<KeyDigest>),
    progress: &Progress,
) -> Relayed {
    let started = core.now();
    let mut in_flight = InFlight {
        core,
        job,
        helper,
        watch,
        attempt: job.retry.start(Holder::Gateway(helper.addr, started)),
        started,
        progress,
        outcome: ABANDONED,
    };
    let sending = send(core, job, body, helper, (head, key), &progress.sent_at);
    let (attempt, report) = sending.await;
    in_flight.outcome = outcome_name(&attempt);
    let reached = report.as_ref().map(|report| report.reached);
    let reached = match Arrival::of(&attempt) {
        Arrival::None => {
            in_flight.attempt.not_sent();
            Some(0)
        }
        Arrival::Answered => {
            in_flight.attempt.settled();
            reached
        }
        Arrival::Unknown => reached,
    };
    Relayed { attempt, reached }
}

/// A request on its way through a helper. Dropping it records the outcome.
struct InFlight<'a> {
    core: &'a Core,
    job: &'a Job<'a>,
    helper: &'a ChosenHelper,
    watch: &'a HelperWatch,
    attempt: StartedAttempt<'a>,
    started: Moment,
    progress: &'a Progress,
    outcome: &'static str,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if self.progress.sent_at.get().is_none() {
            self.attempt.not_sent();
        }
        let Self {
            core, job, helper, ..
        } = self;
        let now = core.now();
        let took_ms = now.saturating_sub(self.started).as_millis();
        let given_up = (self.outcome == ABANDONED).then(|| self.progress.given_up.get());
        if given_up == Some(GivenUp::Superseded) && now >= self.watch.silent_at(self.started) {
            let mut helpers = core.helpers.borrow_mut();
            helpers.record_unreachable(now, helper.addr);
        }
        core.metrics.record_relayed(self.outcome);
        info!(request = header_text(&job.head.headers, &core.protocol.request_id),
            route = job.route, service:% = job.service, attempt = job.number,
            helper:% = helper.addr, domain:% = helper.domain, took_ms, outcome = self.outcome,
            given_up = given_up.map(GivenUp::as_str);
            "relayed through another gateway");
    }
}

/// What is known of a relayed request's arrival at endpoints.
enum Arrival {
    /// No endpoint has received it, so a retry is still to be made.
    None,
    /// The helper has answered it.
    Answered,
    /// The helper or its endpoint may still read it.
    Unknown,
}

impl Arrival {
    fn of(attempt: &Attempt) -> Self {
        match attempt {
            Attempt::NotSent(_) | Attempt::Unwritten | Attempt::Withdrawn(_) => Self::None,
            Attempt::Rejected { code, .. } if is_unhelpful(*code) => Self::None,
            Attempt::Answered(_)
            | Attempt::Failed(_)
            | Attempt::Rejected { .. }
            | Attempt::NotRun { .. } => Self::Answered,
            Attempt::Lost | Attempt::TimedOut => Self::Unknown,
        }
    }
}

/// Whether a helper that answers this has no way to an endpoint either, or can't handle the request yet or
/// any more.
pub(crate) fn is_unhelpful(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NoEndpoint | ResultCode::NotReady | ResultCode::Stopping
    )
}

async fn send(
    core: &Rc<Core>,
    job: &Job<'_>,
    body: RequestBody,
    helper: &ChosenHelper,
    (head, key): (&RelayHead, Option<KeyDigest>),
    sent_at: &Cell<Option<Moment>>,
) -> (Attempt, Option<HelperReport>) {
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
    let client = &core.client;
    let sent = client.send_noting(helper.addr, check, reuse, deadline, req, || {
        sent_at.set(Some(core.now()));
    });
    let answer = match sent.await {
        SendOutcome::NotSent(req, _) => {
            sent_at.set(None);
            return (Attempt::NotSent(req.into_body()), None);
        }
        SendOutcome::Unwritten(_) => {
            sent_at.set(None);
            return (Attempt::Unwritten, None);
        }
        SendOutcome::Lost | SendOutcome::Invalid => return (Attempt::Lost, None),
        SendOutcome::TimedOut => return (Attempt::TimedOut, None),
        SendOutcome::Answer(answer) => answer,
    };
    helper.record_answer(core.now());
    let (mut head, body) = answer.response.into_parts();
    let report = HelperReport::take(&mut head.headers);
    record_answer(core, helper, report.as_ref(), sent_at.get());
    if let Some(leaving) = report.as_ref().and_then(|report| report.leaving.as_ref()) {
        let request = header_text(&job.head.headers, &core.protocol.request_id);
        record_leaving(core, request, leaving);
    }
    if let Some(code) = result_code(&head.headers) {
        answer.connection.drain_and_release(body);
        return (rejected(code, &head.headers), report);
    }
    let attempt = match read_body(core, job, head, body, answer.connection).await {
        Ok(response) if response.status().is_server_error() => Attempt::Failed(response),
        Ok(response) => Attempt::Answered(response),
        Err(failure) => failure.into_attempt(),
    };
    (attempt, report)
}

/// Tells the retry budget that a helper has read what was sent to it before `sent_at`.
fn record_answer(
    core: &Core,
    helper: &ChosenHelper,
    report: Option<&HelperReport>,
    sent_at: Option<Moment>,
) {
    if let (Some(report), Some(sent_at)) = (report, sent_at) {
        let now = core.now();
        let started_at = now.saturating_sub(report.uptime);
        let mut placer = core.placer.borrow_mut();
        placer.record_gateway_answer(now, helper.addr, started_at, sent_at);
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
        Attempt::NotSent(_) | Attempt::Unwritten | Attempt::Withdrawn(_) => "not-sent",
        Attempt::NotRun { .. } | Attempt::Rejected { .. } => "rejected",
        Attempt::Lost => "lost",
        Attempt::TimedOut => "timed-out",
    }
}
