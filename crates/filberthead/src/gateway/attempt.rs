//! One attempt to run a request at one endpoint.

use std::rc::Rc;
use std::time::Duration;

use filberthead_endpoint::{
    Answer, AnswerCheck, Connection, ReadError, RequestBody, Reuse, SendOutcome, Unsent,
    remove_hop_by_hop,
};
use filberthead_place::{Holder, Outcome, Target};
use filberthead_route::Kind;
use filberthead_types::{Moment, NodeName, RequestPrints, ResultCode, ServiceName, Workspace};
use http::header::{CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use log::{Level, debug, info, log};
use tokio::time::timeout_at;

use super::answer_notes::{self, EndpointAnswer};
use super::body_memory::BodyBytes;
use super::core::Core;
use super::deadline::Deadline;
use super::headers::{header_text, not_run};
use super::progress::{GivenUp, Progress};
use super::relay::{RELAY, RELAYED_ATTEMPT, RELAYED_KEY};
use super::response::ResponseBody;
use super::retry::{GrantedRetry, StartedAttempt};
use super::streamed::StreamedBody;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Responses up to this size in bytes are buffered before any of it is sent, so that the request
/// can be retried at another endpoint if the connection breaks.
const MAX_BUFFERED_RESPONSE: u64 = 1024 * 1024;
/// Downloads larger than this are streamed: buffered first, 90 kB over a link of 6 Mbit/s would
/// arrive a tenth of a second later.
const MAX_BUFFERED_DOWNLOAD: u64 = 8 * 1024;
/// A non-idempotent request is sent on a pooled connection only if that was used this recently.
/// If the endpoint closed the connection at the same moment, it would be unknown whether the
/// request ran.
pub(crate) const MAX_IDLE_FOR_UNSAFE: Duration = Duration::from_secs(3);
/// An attempt abandoned after this long without a response suggests that pooled connections to
/// the endpoint are dead: it is several times what services take.
const STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(700);
/// Estimated size of a request or response head on the link, in bytes.
pub(crate) const TYPICAL_HEAD_BYTES: usize = 300;
/// Fraction of an endpoint's keep-alive timeout for which idle connections are reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// How an attempt ended.
pub(crate) enum Attempt {
    /// A response for the caller, complete or still streaming.
    Answered(Response<ResponseBody>),
    /// The endpoint ran the request and failed; this is its response.
    Failed(Response<ResponseBody>),
    /// The request was not sent; the body is returned.
    NotSent(RequestBody),
    /// No byte of the request was written, and the connection that had it is closed.
    Unwritten,
    /// The request was not sent, as its endpoint had said meanwhile that it takes none; the body is
    /// returned.
    Withdrawn(RequestBody),
    /// The endpoint refused to run it, and may have reported its load.
    NotRun { load_reported: bool },
    /// The gateway that it was relayed through answered that it didn't run.
    Rejected {
        code: ResultCode,
        retry_after: Duration,
    },
    /// The connection broke; the request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// The parts of an attempt that don't depend on the endpoint.
pub(crate) struct Job<'a> {
    /// Name of the route, for logs.
    pub(crate) route: &'a str,
    pub(crate) head: &'a Parts,
    /// By which repeats of the request are recognised.
    pub(crate) prints: RequestPrints,
    /// The caller's workspace, if it is known.
    pub(crate) workspace: Option<&'a Workspace>,
    pub(crate) kind: Kind,
    pub(crate) service: &'a ServiceName,
    pub(crate) deadline: Deadline,
    /// Number of this attempt of the request, from 1. Those of the gateway that relayed it count.
    pub(crate) number: u32,
    /// The gateway that relayed it, for logs.
    pub(crate) relayed_by: Option<&'a NodeName>,
    /// The retry that this attempt is, if it is one.
    pub(crate) retry: &'a GrantedRetry<'a>,
}

/// A running attempt. Dropping it records the outcome and releases the endpoint's slot.
struct InFlight<'a> {
    core: &'a Core,
    service: &'a ServiceName,
    target: &'a Target,
    number: u32,
    relayed_by: Option<&'a NodeName>,
    attempt: StartedAttempt<'a>,
    started: Moment,
    progress: &'a Progress,
    outcome: Outcome,
    /// Whether bytes have come that are no answer, so that the way to the endpoint is there.
    is_heard: bool,
    prints: RequestPrints,
    /// Why it wasn't sent, if it wasn't.
    unsent: Option<Unsent>,
    request: &'a str,
    /// Affinity key, for logs.
    object: &'a str,
    route: &'a str,
}

impl InFlight<'_> {
    fn mark_served(&mut self) {
        let took = self.core.now().saturating_sub(self.started);
        self.outcome = Outcome::Served(took);
    }

    /// When it was sent.
    fn sent_at(&self) -> Moment {
        self.progress.sent_at.get().unwrap_or(self.started)
    }

    /// Whether its end is logged though it was served: a further attempt, or some of those that ran in
    /// another region than this one, where endpoints were passed over.
    fn is_noted(&self) -> bool {
        let is_moved = self.target.is_remote && self.target.passed_over.any();
        self.number > 1 || (is_moved && self.core.may_log(ResultCode::Answered).is_some())
    }

    /// The outcome of an attempt that was given up after this time.
    fn given_up_after(&self, waited: Duration) -> Outcome {
        match self.progress.given_up.get() {
            GivenUp::Superseded => Outcome::Superseded,
            GivenUp::CallerLeft | GivenUp::Deadline => Outcome::Abandoned(waited),
        }
    }

    /// Whether the endpoint that the request was for has answered it.
    fn is_answered(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Served(_) | Outcome::Failed | Outcome::Full
        )
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let given_up = matches!(self.outcome, Outcome::Abandoned(_));
        if given_up {
            self.outcome = self.given_up_after(now.saturating_sub(self.started));
        }
        if let Outcome::Abandoned(waited) = self.outcome
            && waited >= STALE_CONNECTION_TIMEOUT
        {
            // Other pooled connections may be dead too, without a reset.
            self.core.client.close_idle(self.target.addr);
        }
        let (level, name) = match self.outcome {
            Outcome::Served(_) if self.is_noted() => (Level::Info, "served"),
            Outcome::Served(_) => (Level::Debug, "served"),
            Outcome::Failed => (Level::Info, "failed"),
            Outcome::Full => (Level::Info, "full"),
            Outcome::Gone => (Level::Info, "gone"),
            Outcome::Unreached => (Level::Info, "unreached"),
            Outcome::Withdrawn => (Level::Info, "withdrawn"),
            Outcome::Broken => (Level::Info, "broken"),
            Outcome::Abandoned(_) => (Level::Info, "abandoned"),
            Outcome::Superseded => (Level::Info, "superseded"),
        };
        self.core.metrics.record_attempt(name);
        let over = self.target.passed_over;
        let sent_at = self.progress.sent_at.get();
        let sent_after_ms = sent_at.map(|at| at.saturating_sub(self.started).as_millis());
        log!(level, request = self.request, service:% = self.service, object = self.object,
            endpoint:% = self.target.id, route = self.route, attempt = self.number,
            relayed_by = self.relayed_by.map(NodeName::as_str), sent_after_ms,
            known:? = self.target.affinity,
            expected_ms = self.target.expected.as_millis(),
            slowdown_percent = self.target.slowdown_percent(),
            replicated = self.target.is_replicated,
            overhead_ms = self.target.overhead.as_millis(),
            took_ms = now.saturating_sub(self.started).as_millis(), outcome:? = self.outcome,
            unsent = self.unsent.map(Unsent::as_str),
            given_up = given_up.then(|| self.progress.given_up.get().as_str()),
            remote = self.target.is_remote, resting = over.resting,
            first_back_ms = over.first_back.map(|left| left.as_millis()),
            returning = over.returning, leaving = over.leaving,
            stopping = self.core.is_leaving(), fingerprint:% = self.prints.of_request;
            "attempt ended");
        let mut placer = self.core.placer.borrow_mut();
        placer.record_outcome(now, self.service, self.target, self.outcome);
        if self.is_heard {
            placer.record_heard(now, self.target);
        }
        let Some(sent_at) = sent_at else {
            self.attempt.not_sent();
            return;
        };
        if self.is_answered() {
            self.core.record_answered();
            placer.record_answer(now, self.service, self.target, sent_at);
        }
        let verdict = placer.record_run(now, self.prints, self.target, sent_at, self.outcome);
        drop(placer);
        self.core.note_verdict(self.prints.of_request, verdict);
    }
}

/// Where a request to this endpoint is while it hasn't been answered.
fn holder(target: &Target) -> Holder {
    Holder::Endpoint(target.id.clone(), target.incarnation)
}

/// Sends a request to the endpoint chosen for it, which may have refused it before. Dropping the returned future
/// tells the endpoint to cancel the work. What an answer says of its endpoint that is on its way then still counts.
pub(crate) async fn attempt(
    core: &Rc<Core>,
    job: &Job<'_>,
    body: RequestBody,
    (target, was_refused): (&Target, bool),
    progress: &Rc<Progress>,
) -> Attempt {
    let mut in_flight = InFlight {
        core,
        service: job.service,
        target,
        number: job.number,
        relayed_by: job.relayed_by,
        attempt: job.retry.start(holder(target)),
        started: core.now(),
        progress,
        outcome: Outcome::Abandoned(Duration::ZERO),
        is_heard: false,
        prints: job.prints,
        unsent: None,
        request: header_text(&job.head.headers, &core.protocol.request_id),
        object: header_text(&job.head.headers, &core.protocol.affinity_key),
        route: job.route,
    };
    let mut req = build_request(core, job, body);
    if let Ok(id) = HeaderValue::from_str(&target.id) {
        req.headers_mut().insert(&core.protocol.target_instance, id);
    }
    core.record_sent(TYPICAL_HEAD_BYTES + req.body().size_hint().lower() as usize);
    let empty = HeaderValue::from_static("");
    let name = &core.protocol.request_id;
    let value = job.head.headers.get(name).unwrap_or(&empty);
    let check = AnswerCheck::Echo { name, value };
    let reuse = match job.kind {
        // A second copy of that rejection may still come where the first one did, and has the same id.
        _ if was_refused => Reuse::Never,
        Kind::Unsafe => Reuse::Within(MAX_IDLE_FOR_UNSAFE),
        Kind::Safe | Kind::Download => Reuse::Allowed,
    };
    let deadline = job.deadline.respond_by;
    let late_heads = answer_notes::late_heads(core, in_flight.request, target, progress);
    let sent = core
        .client
        .with_late_heads(late_heads)
        .send_if(target.addr, check, reuse, deadline, req, || {
            let now = core.now();
            let may_send = core.placer.borrow().may_send(now, target);
            progress.sent_at.set(may_send.then_some(now));
            may_send
        })
        .await;
    match sent {
        SendOutcome::NotSent(req, unsent) => {
            progress.sent_at.set(None);
            in_flight.unsent = Some(unsent);
            if unsent == Unsent::Withdrawn {
                in_flight.outcome = Outcome::Withdrawn;
                return Attempt::Withdrawn(req.into_body());
            }
            in_flight.outcome = Outcome::Unreached;
            Attempt::NotSent(req.into_body())
        }
        SendOutcome::Unwritten(unsent) => {
            progress.sent_at.set(None);
            in_flight.unsent = Some(unsent);
            match unsent {
                // This gateway may be what is slow.
                Unsent::DeadlinePassed => in_flight.progress.given_up.set(GivenUp::Deadline),
                _ => in_flight.outcome = Outcome::Unreached,
            }
            Attempt::Unwritten
        }
        SendOutcome::Lost => {
            in_flight.outcome = Outcome::Broken;
            Attempt::Lost
        }
        SendOutcome::Invalid => {
            in_flight.outcome = Outcome::Broken;
            in_flight.is_heard = true;
            Attempt::Lost
        }
        SendOutcome::TimedOut => {
            in_flight.progress.given_up.set(GivenUp::Deadline);
            Attempt::TimedOut
        }
        SendOutcome::Answer(answer) => receive(core, job, answer, &mut in_flight).await,
    }
}

/// Builds the request for an endpoint or another gateway from the caller's.
pub(crate) fn build_request(core: &Core, job: &Job<'_>, body: RequestBody) -> Request<RequestBody> {
    let mut req = Request::new(body);
    *req.method_mut() = job.head.method.clone();
    *req.uri_mut() = job.head.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    let mut headers = job.head.headers.clone();
    remove_hop_by_hop(&mut headers);
    // The body is already here, or is sent without waiting for 100 Continue.
    headers.remove(EXPECT);
    // The key is the caller's secret, and endpoints trust the name of the workspace.
    headers.remove(&core.protocol.api_key);
    headers.remove(&core.protocol.workspace);
    headers.remove(RELAY);
    headers.remove(RELAYED_KEY);
    headers.remove(RELAYED_ATTEMPT);
    let workspace = job
        .workspace
        .map(|name| HeaderValue::from_str(name.as_str()));
    if let Some(Ok(workspace)) = workspace {
        headers.insert(&core.protocol.workspace, workspace);
    }
    let left = u64::try_from(job.deadline.remaining().as_millis()).unwrap_or(u64::MAX);
    headers.insert(&core.protocol.deadline_ms, HeaderValue::from(left));
    *req.headers_mut() = headers;
    req
}

/// Evaluates the head of a response, and buffers its body unless that is to be streamed.
async fn receive(
    core: &Rc<Core>,
    job: &Job<'_>,
    answer: Answer,
    in_flight: &mut InFlight<'_>,
) -> Attempt {
    in_flight.attempt.settled();
    let (mut head, body) = answer.response.into_parts();
    let mut connection = answer.connection;
    // What has no id may belong to another request, also if it says that it wasn't run.
    let is_own = echoes_request_id(core, job, &head.headers);
    let not_run = not_run(core, head.status, &head.headers).filter(|_| is_own);
    let answer = EndpointAnswer {
        request: in_flight.request,
        endpoint: in_flight.target.into(),
        sent_at: in_flight.sent_at(),
        ran: not_run.is_none(),
    };
    let noted = answer_notes::record(core, answer, head.status, &head.headers);
    if let Some(leaving) = noted.leaving {
        // For the gateway that has relayed the request, if one has.
        head.extensions.insert(leaving);
    }
    if let Some(timeout) = keep_alive_timeout(&head.headers) {
        connection.set_idle_timeout(timeout);
    }
    if let Some(outcome) = not_run {
        in_flight.outcome = outcome;
        debug!(endpoint:% = in_flight.target.id, status:% = head.status;
            "endpoint refused to run the request");
        connection.drain_and_release(body);
        return Attempt::NotRun {
            load_reported: noted.load,
        };
    }
    if !is_own {
        info!(request = in_flight.request, endpoint:% = in_flight.target.id, status:% = head.status;
            "response without the request id");
        in_flight.outcome = Outcome::Broken;
        return Attempt::Lost;
    }
    match read_body(core, job, head, body, connection).await {
        Ok(response) => {
            in_flight.mark_served();
            if let ResponseBody::Buffered(body) = response.body() {
                let mut placer = core.placer.borrow_mut();
                placer.record_answer_bytes(job.service, body.len());
            }
            finish(in_flight, response)
        }
        Err(failure) => {
            match failure {
                BodyFailure::Broken => in_flight.outcome = Outcome::Broken,
                BodyFailure::Endless => {
                    in_flight.outcome = Outcome::Broken;
                    in_flight.is_heard = true;
                }
                BodyFailure::TimedOut => in_flight.progress.given_up.set(GivenUp::Deadline),
            }
            failure.into_attempt()
        }
    }
}

/// Why the body of a response wasn't read to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BodyFailure {
    /// The connection broke.
    Broken,
    /// It is longer than is buffered, or the longest of more than the gateway has memory for.
    Endless,
    /// The deadline passed.
    TimedOut,
}

impl BodyFailure {
    /// How the attempt ended by it.
    pub(crate) fn into_attempt(self) -> Attempt {
        match self {
            Self::Broken | Self::Endless => Attempt::Lost,
            Self::TimedOut => Attempt::TimedOut,
        }
    }
}

/// Completes a response whose head has been accepted: buffers its body unless that is to be streamed.
pub(crate) async fn read_body(
    core: &Rc<Core>,
    job: &Job<'_>,
    mut head: http::response::Parts,
    body: Incoming,
    connection: Connection,
) -> Result<Response<ResponseBody>, BodyFailure> {
    remove_hop_by_hop(&mut head.headers);
    let deadline = job.deadline.respond_by;
    let length = body.size_hint().exact();
    let share = match is_streamed(job.kind, head.status, length) {
        true => None,
        false => core.body_memory.start(length),
    };
    let Some(share) = share else {
        let streamed = StreamedBody::new(core, body, connection, deadline);
        let body = ResponseBody::Streamed(Box::new(streamed));
        return Ok(Response::from_parts(head, body));
    };
    let max_len = MAX_BUFFERED_RESPONSE as usize;
    let reading = connection.read_body(body, max_len, |bytes| share.set(bytes));
    let reading = async {
        tokio::select! {
            biased;
            () = share.revoked() => {
                info!(route = job.route; "the longest response was ended, memory is short");
                Err(BodyFailure::Endless)
            }
            read = reading => read.map_err(|e| {
                debug!(route = job.route, error:% = e; "a response was not read to its end");
                match e {
                    ReadError::Ended { .. } => BodyFailure::Broken,
                    ReadError::TooLong { .. } => BodyFailure::Endless,
                }
            }),
        }
    };
    let bytes = match timeout_at(deadline, reading).await {
        Ok(read) => read?,
        Err(_) => return Err(BodyFailure::TimedOut),
    };
    connection.release();
    set_length(job, &mut head, bytes.len());
    let body = ResponseBody::Buffered(BodyBytes::new(bytes, share));
    Ok(Response::from_parts(head, body))
}

/// Sets the length of a response whose body was read. A response to `HEAD` keeps the one that its endpoint names, which
/// is that of the body that `GET` would get.
fn set_length(job: &Job<'_>, head: &mut http::response::Parts, len: usize) {
    if job.head.method == Method::HEAD {
        return;
    }
    head.headers.remove(CONTENT_LENGTH);
    let bodyless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if !bodyless {
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(len));
    }
}

/// Whether a response of this length is streamed. The lower limit for downloads applies only to
/// successes, since after a failure the request may be retried at another endpoint.
fn is_streamed(kind: Kind, status: StatusCode, length: Option<u64>) -> bool {
    let max_buffered = match kind {
        Kind::Download if status.is_success() => MAX_BUFFERED_DOWNLOAD,
        _ => MAX_BUFFERED_RESPONSE,
    };
    length.is_some_and(|length| length > max_buffered)
}

/// Decides whether the attempt failed.
fn finish(in_flight: &mut InFlight<'_>, response: Response<ResponseBody>) -> Attempt {
    if response.status().is_server_error() {
        in_flight.outcome = Outcome::Failed;
        Attempt::Failed(response)
    } else {
        Attempt::Answered(response)
    }
}

/// Whether the response is to this request. Endpoints echo the request id; a response without it,
/// a 404 for instance, comes from something else at that address and isn't trusted.
fn echoes_request_id(core: &Core, job: &Job<'_>, headers: &HeaderMap) -> bool {
    let name = &core.protocol.request_id;
    let id = job.head.headers.get(name);
    id.is_none_or(|id| headers.get(name) == Some(id))
}

/// How long an idle connection may be reused, from `Keep-Alive: timeout=N`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let mut fields = header_text(headers, &KEEP_ALIVE).split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    let seconds: u32 = seconds.parse().ok()?;
    Some(Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_FRACTION))
}
