//! Carries one request from its route to its final answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::{Decision, EndpointId, Further, Object, Refusal, Request as Wanted, Tries};
use filberthead_route::{Kind, Matched, Route};
use filberthead_types::{ResultCode, ServiceName, header};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use log::info;
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, own};
use super::arrival::{Arrival, host};
use super::attempt::{Attempt, Job, attempt, text};
use super::bounds::head_bytes;
use super::core::{Core, InForce};
use super::deadline::Deadline;

/// Bodies up to this long are read before the request is sent, so that it can be sent
/// again. Longer ones go on as they come, once.
const WHOLE_BODY: u64 = 256 * 1024;
/// Time below which no endpoint could answer any more.
const TOO_LATE: Duration = Duration::from_millis(5);
/// When a caller may come back whose request an endpoint has sent back: another try is as
/// likely to find room at once as later.
const SOON: Duration = Duration::from_millis(50);
/// When a caller may come back to a gateway that doesn't know any routes yet, or not whether
/// they are the newest: a report and its answer are on their way by then.
pub(super) const STARTING: Duration = Duration::from_millis(300);

/// What to do after an attempt.
enum Next {
    /// Give this to the caller.
    Answer(Box<Response<AnswerBody>>),
    /// Try another endpoint with this body.
    Again(RequestBody),
}

impl Next {
    fn end(answer: Response<AnswerBody>) -> Self {
        Self::Answer(Box::new(answer))
    }
}

/// A request on its way.
struct Carried<'a> {
    core: &'a Rc<Core>,
    route: &'a Route,
    service: &'a ServiceName,
    head: &'a Parts,
    deadline: Deadline,
    returned: bool,
    /// Number of the routes that it was matched by.
    version: u64,
    tries: Tries,
    /// An endpoint's answer to a run with a bad end: what the caller gets if no further
    /// attempt can be made.
    failure: Option<Response<AnswerBody>>,
}

/// Answers a request of a caller.
pub(crate) async fn carry(
    core: &Rc<Core>,
    caller: SocketAddr,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let begun = Instant::now();
    let (head, body) = req.into_parts();
    let mut arrival = Arrival::new(core, caller, begun, &head);
    let Some(in_force) = core.in_force() else {
        return arrival.turn_away(ResultCode::NotReady, Some(STARTING));
    };
    arrival.held = Some(&in_force);
    if head_bytes(&head) > in_force.bounds.header_bytes {
        return arrival.deny(ResultCode::HeadTooLarge);
    }
    let Some(matched) = find(&in_force, &head) else {
        return arrival.deny(ResultCode::UnknownService);
    };
    let route = &matched.route;
    arrival.route = Some(route);
    let deadline = Deadline::new(begun, &head.headers, &core.protocol.deadline_ms, route);
    let Some(target) = route.targets.get(matched.split.deal()) else {
        return arrival.turn_away(ResultCode::NoEndpoint, Some(STARTING));
    };
    if body.size_hint().lower() > in_force.bounds.body_bytes {
        return arrival.deny(ResultCode::BodyTooLarge);
    }
    let body = match take_body(body, &deadline).await {
        Ok(body) => body,
        Err(code) => return arrival.turn_away(code, None),
    };
    core.placer
        .borrow_mut()
        .arrived(core.now(), &target.service);
    let kind = route.kind.as_str();
    let carried = Carried {
        core,
        route,
        service: &target.service,
        head: &head,
        deadline,
        returned: has_returned(core, &head, route),
        version: in_force.version,
        tries: Tries::new(route.max_attempts),
        failure: None,
    };
    let answer = carried.run(body).await;
    core.metrics
        .finished(Some(kind), code(&answer), begun.elapsed());
    answer
}

/// What an answer is counted as: an endpoint's own, unless it bears a code of ours.
fn code(answer: &Response<AnswerBody>) -> ResultCode {
    let own = answer.headers().get(header::RESULT);
    let number = own.and_then(|value| value.to_str().ok()?.parse().ok());
    number
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Answered)
}

fn find(in_force: &InForce, head: &Parts) -> Option<Arc<Matched>> {
    let matcher = &in_force.matcher;
    matcher.find(host(head)?, head.uri.path()).cloned()
}

/// Whether the caller has less time than callers of this route usually have, because an
/// earlier attempt has used some of it.
fn has_returned(core: &Core, head: &Parts, route: &Route) -> bool {
    let told = text(&head.headers, &core.protocol.deadline_ms).parse::<u128>();
    told.is_ok_and(|ms| ms < route.timeout.as_millis())
}

/// Reads a short body whole.
async fn take_body(body: Incoming, deadline: &Deadline) -> Result<RequestBody, ResultCode> {
    let hint = body.size_hint();
    if hint.upper().is_none_or(|upper| upper > WHOLE_BODY) {
        return Ok(RequestBody::Stream(body));
    }
    if hint.exact() == Some(0) {
        return Ok(RequestBody::from(body));
    }
    match timeout_at(deadline.answer, body.collect()).await {
        Ok(Ok(body)) => Ok(RequestBody::Whole(body.to_bytes())),
        Ok(Err(_)) => Err(ResultCode::BadRequest),
        Err(_) => Err(ResultCode::DeadlineBeforeRun),
    }
}

impl Carried<'_> {
    async fn run(mut self, body: RequestBody) -> Response<AnswerBody> {
        let is_large = self.route.kind == Kind::Download;
        if is_large && let Err(room_in) = self.core.admit_large(self.returned) {
            return self.refusal(ResultCode::LinkBusy, room_in);
        }
        let mut body = body;
        loop {
            match self.step(body).await {
                Next::Answer(answer) => return *answer,
                Next::Again(again) => body = again,
            }
        }
    }

    async fn step(&mut self, body: RequestBody) -> Next {
        if self.deadline.left() < TOO_LATE {
            return self.refused(ResultCode::DeadlineBeforeRun, Duration::ZERO);
        }
        let decision = self.place();
        let target = match decision {
            Decision::Send(target) => target,
            Decision::Refuse { why, retry_after } => {
                return match why {
                    // Those that there are have sent it back.
                    Refusal::NoEndpoint if self.tries.was_refused() => {
                        self.refused(ResultCode::Overloaded, SOON)
                    }
                    Refusal::NoEndpoint => self.refused(ResultCode::NoEndpoint, retry_after),
                    Refusal::Overloaded => self.refused(ResultCode::Overloaded, retry_after),
                };
            }
        };
        self.tries.sent(target.id.clone());
        let again = body.again();
        let job = Job {
            route: &self.route.name,
            head: self.head,
            kind: self.route.kind,
            service: self.service,
            deadline: self.deadline,
        };
        match attempt(self.core, &job, body, &target).await {
            Attempt::Answered(answer) => Next::end(answer),
            Attempt::NotSent(body) => self.unreached(body),
            Attempt::NotRun { load_told } => self.not_run(load_told, again),
            Attempt::Failed(answer) => self.failed(answer, again),
            Attempt::Lost => self.lost(&target.id, again),
            Attempt::Late => {
                self.tries.ran();
                self.note("no answer when the time was up", &target.id);
                Next::end(own(ResultCode::DeadlineWhileRunning, None))
            }
        }
    }

    fn place(&self) -> Decision {
        let object = self.head.headers.get(&self.core.protocol.affinity_key);
        let object = object.map(|value| value.as_bytes());
        let wanted = Wanted {
            service: self.service,
            object: object.filter(|_| self.route.sticky).map(|name| Object {
                prefix: &self.route.prefix,
                name,
            }),
            large: self.route.kind == Kind::Download,
            objective: self.route.objective,
            left: self.deadline.left(),
            returned: self.returned,
            regions: &self.route.regions,
            tried: self.tries.avoided(),
        };
        let now = self.core.now();
        self.core.placer.borrow_mut().place(now, wanted)
    }

    fn unreached(&mut self, body: RequestBody) -> Next {
        match self.tries.unreached() {
            Further::Allowed => Next::Again(body),
            Further::Over => self.refused(ResultCode::NoEndpoint, STARTING),
        }
    }

    /// Sent back by an endpoint that has not run it.
    fn not_run(&mut self, load_told: bool, again: Option<RequestBody>) -> Next {
        let same = self.core.placer.borrow().may_try_again(load_told);
        let further = self.tries.refused(same);
        match again.filter(|_| self.may_repeat(further)) {
            Some(body) => Next::Again(body),
            None => self.refused(ResultCode::Overloaded, SOON),
        }
    }

    /// Run, with a bad end.
    fn failed(&mut self, answer: Response<AnswerBody>, again: Option<RequestBody>) -> Next {
        let further = self.tries.ran();
        let repeat = self.route.kind.is_idempotent();
        match again.filter(|_| repeat && self.may_repeat(further)) {
            Some(body) => {
                self.failure = Some(answer);
                Next::Again(body)
            }
            None => Next::end(answer),
        }
    }

    fn lost(&mut self, endpoint: &EndpointId, again: Option<RequestBody>) -> Next {
        let further = self.tries.ran();
        self.note("lost with the request at it", endpoint);
        let repeat = self.route.kind.is_idempotent();
        match again.filter(|_| repeat && self.may_repeat(further)) {
            Some(body) => Next::Again(body),
            None => Next::end(own(ResultCode::EndpointLost, None)),
        }
    }

    /// Whether another attempt is allowed, leaves enough time and is in the budget.
    fn may_repeat(&self, further: Further) -> bool {
        let expected = self.route.objective / 4;
        further == Further::Allowed
            && self.deadline.left() > expected
            && self
                .core
                .placer
                .borrow_mut()
                .may_repeat(self.core.now(), self.service)
    }

    fn refused(&mut self, code: ResultCode, retry_after: Duration) -> Next {
        Next::end(self.refusal(code, retry_after))
    }

    /// The final answer where no further attempt is made: a promise that nothing ran only
    /// if that is so.
    fn refusal(&mut self, code: ResultCode, retry_after: Duration) -> Response<AnswerBody> {
        let left = self.deadline.left().as_millis();
        let (list_ms, control_ms) = self.core.ages();
        info!(request = self.id(), route = self.route.name.as_str(), code:%, left,
            tried = self.tries.made(), returned = self.returned, version = self.version,
            list_ms, control_ms, retry_after_ms = retry_after.as_millis(); "refused");
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        if self.tries.may_have_run() > 0 {
            return own(ResultCode::EndpointLost, None);
        }
        own(code, Some(retry_after))
    }

    fn note(&self, what: &'static str, endpoint: &EndpointId) {
        let left = self.deadline.left().as_millis();
        let route = self.route.name.as_str();
        info!(request = self.id(), route, endpoint:%, left, ran = self.tries.may_have_run(),
            tried = self.tries.made(), version = self.version; "{what}");
    }

    fn id(&self) -> &str {
        text(&self.head.headers, &self.core.protocol.request_id)
    }
}
