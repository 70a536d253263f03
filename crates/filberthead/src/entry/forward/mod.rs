//! Forwards requests from callers to endpoints and returns their answers.
//!
//! Each request is one task of the endpoints duty. It makes attempts until one has an
//! answer or no further one is allowed: a repeatable request may be retried after a lost
//! attempt, any other request only while it is certain that no byte of it reached an
//! endpoint. All retries draw on one budget.
//!
//! Invariants relied on elsewhere:
//!
//! - a refusal that means "not run" is returned only while no attempt may have run the
//!   request ([`context::RequestContext::restrict_refusal`]);
//! - an answer is either read completely before its caller receives a byte, or streamed
//!   with an explicit end, so that a cut answer shows as a broken connection.

mod attempt;
mod context;
mod core;
mod crash_tracking;
mod keyed;
mod read_on;
mod stream;
mod takeover;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::{AnswerBody, Call, Execution, Refusal};
use filberthead_endpoint::RequestBody;
use filberthead_limits::{BodyError, HeldBody, read_body};
use filberthead_steer::FinishKind;
use filberthead_types::{NodeName, ResultCode};
use http::Response;
use http::response::Parts;
use log::info;
use tokio::time::Instant;

use self::attempt::{Attempt, Upstream, attempt, finish_kind};
use self::context::{Reply, RequestContext};
pub(crate) use self::core::{Core, CoreParts, Identity};
use self::keyed::AnswerRecorder;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// Delay of the refusal of a request that may have run: it may have crashed an endpoint,
/// and by the caller's next send every entry has received the quarantine message.
const QUARANTINE_SPREAD_TIME: Duration = Duration::from_millis(100);
/// Maximum body length of a request with an idempotency key, in bytes. The body is
/// buffered until the request may start.
const MAX_KEYED_BODY: usize = 1024 * 1024;

/// `Retry-After` of a request whose body found no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Debug)]
enum Outcome {
    /// Head and body of a complete answer.
    Answer(Parts, Bytes),
    /// An answer whose body is still to be read, recorded for the ledger if the request
    /// has a key and started here.
    Streaming(Box<Upstream>, Option<AnswerRecorder>),
    /// No endpoint's answer: the caller gets a refusal.
    Refused(Refusal),
    /// The caller is gone.
    Abandoned,
}

/// The step after an attempt.
#[derive(Debug)]
enum Next {
    /// Make another attempt with this body at once.
    Retry(RequestBody),
    /// Make another attempt after a pause: no entry admits requests to the endpoints of a
    /// lost entry until another one has taken them over.
    RetryAfterTakeover(RequestBody),
    /// Return the outcome.
    Done(Outcome),
}

/// Forwards one request, returns its answer to the caller and records it in the metrics.
pub(crate) async fn forward_call(core: Rc<Core>, call: Call) {
    let _running = core.start_request();
    let started_at = Instant::now();
    let (mut ctx, body, mut reply) = RequestContext::new(call);
    let outcome = run(&core, &mut ctx, body, &mut reply).await;
    if let Some(code) = finish(&core, &mut ctx, outcome, reply).await {
        core.count_finished(&ctx, code, started_at.elapsed());
    }
}

/// Sends the outcome to the caller. Returns the result code, or `None` if the caller was
/// gone before.
async fn finish(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    outcome: Outcome,
    reply: Reply,
) -> Option<ResultCode> {
    // A send fails if the caller is gone; there is nothing left to do then.
    match outcome {
        Outcome::Answer(head, body) => {
            let _ = reply.send(Ok(Response::from_parts(head, AnswerBody::Buffered(body))));
            Some(ResultCode::Answered)
        }
        Outcome::Refused(refusal) => {
            if ctx.may_have_run {
                tokio::time::sleep(QUARANTINE_SPREAD_TIME).await;
            }
            let why = refusal.code;
            let refusal = ctx.restrict_refusal(refusal);
            info!(request:% = ctx.id, code:% = refusal.code, why:% = why,
                touched = ctx.may_have_run, tried = ctx.tried.len(),
                last = ctx.tried.last().map_or("", NodeName::as_str), budget = core.retries_left();
                "refused");
            let code = refusal.code;
            let _ = reply.send(Err(refusal));
            Some(code)
        }
        Outcome::Streaming(upstream, recorder) => {
            stream::stream_answer(core, ctx, *upstream, reply, recorder).await
        }
        Outcome::Abandoned => None,
    }
}

/// Asks the ledger first if the request has a key; otherwise makes attempts at once.
async fn run(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let Execution::Keyed(key) = ctx.execution.clone() else {
        return run_attempts(core, ctx, body, reply).await;
    };
    match buffer_body(core, ctx, body).await {
        Ok((body, _held)) => keyed::run(core, ctx, &key, body, reply).await,
        Err(outcome) => outcome,
    }
}

/// Makes attempts until one of them decides the outcome.
async fn run_attempts(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    mut body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let mut fallback = None;
    let mut wait_logged = false;
    loop {
        let body_copy = body.try_clone();
        let cancellable = ctx.is_repeatable();
        let caller_gone = async {
            if !cancellable {
                // A request that isn't repeatable runs to its end, since it may have
                // started.
                std::future::pending::<()>().await;
            }
            reply.closed().await;
        };
        let attempt = attempt(core, ctx, body, caller_gone).await;
        match next(core, ctx, attempt, body_copy, &mut fallback) {
            Next::Retry(retry_body) => body = retry_body,
            Next::RetryAfterTakeover(retry_body) => {
                if !std::mem::replace(&mut wait_logged, true) {
                    info!(request:% = ctx.id; "waits for the next owner of its endpoints");
                }
                tokio::select! {
                    () = tokio::time::sleep(takeover::RETRY_PAUSE) => {}
                    () = reply.closed() => return Outcome::Abandoned,
                }
                // By now an entry that refused it may have taken over the endpoints, and
                // the one that was lost may have restarted.
                ctx.tried.clear();
                body = retry_body;
            }
            Next::Done(outcome) => return outcome,
        }
    }
}

/// Reads the whole body of a request with a key: a request whose start is recorded must
/// not fail because its caller disconnected in the middle of the body.
async fn buffer_body(
    core: &Core,
    ctx: &RequestContext,
    body: RequestBody,
) -> Result<(RequestBody, HeldBody), Outcome> {
    // Not a "not run" refusal: an earlier send of the key may have run.
    let not_checked = || Refusal::new(ResultCode::KeyNotChecked).retry_after(RETRY_AFTER);
    let Some(mut held) = core.bodies.hold_body(0) else {
        return Err(Outcome::Refused(not_checked()));
    };
    let body = read_body(body, MAX_KEYED_BODY, &mut held);
    match tokio::time::timeout_at(ctx.deadline, body).await {
        Ok(Ok(body)) => Ok((RequestBody::Buffered(body), held)),
        Ok(Err(BodyError::TooLong { .. })) => Err(refused(ResultCode::BodyTooLarge)),
        Ok(Err(BodyError::Revoked)) => Err(Outcome::Refused(not_checked())),
        Ok(Err(BodyError::Broken { .. })) => Err(Outcome::Abandoned),
        Err(_) => Err(refused(ResultCode::KeyNotChecked)),
    }
}

fn refused(code: ResultCode) -> Outcome {
    Outcome::Refused(Refusal::new(code))
}

/// The step after `attempt`. `body_copy` is the body for a retry, if it can be sent again;
/// `fallback` is the answer of an endpoint that shed load, for when no other has capacity.
fn next(
    core: &Core,
    ctx: &mut RequestContext,
    attempt: Attempt,
    body_copy: Option<RequestBody>,
    fallback: &mut Option<(Parts, Bytes)>,
) -> Next {
    match attempt {
        Attempt::Buffered(head, body) if finish_kind(head.status) == FinishKind::Shed => {
            shed(core, ctx, body_copy, fallback, (head, body))
        }
        Attempt::Buffered(head, body) => Next::Done(Outcome::Answer(head, body)),
        Attempt::Streaming(upstream) => Next::Done(Outcome::Streaming(upstream, None)),
        Attempt::Refused(refusal) => match (fallback.take(), body_copy) {
            // The last endpoint's answer is more specific than "no endpoint has capacity".
            (Some((head, body)), _) => Next::Done(Outcome::Answer(head, body)),
            (None, Some(body)) if lost_its_owner(core, ctx, &refusal) => {
                Next::RetryAfterTakeover(body)
            }
            (None, _) => Next::Done(Outcome::Refused(refusal)),
        },
        Attempt::NotRun(refusal) if refusal.code == ResultCode::Quarantined => {
            Next::Done(Outcome::Refused(refusal))
        }
        Attempt::NotRun(refusal) => retry_or_refuse(core, ctx, body_copy, refusal),
        Attempt::NotSent(body) => {
            let refusal = Refusal::new(ResultCode::RetryBudgetSpent);
            retry_or_refuse(core, ctx, Some(body), refusal)
        }
        Attempt::Lost => {
            ctx.record_lost(core);
            let body_copy = body_copy.filter(|_| ctx.is_repeatable());
            retry_or_refuse(core, ctx, body_copy, Refusal::new(ResultCode::EndpointLost))
        }
        // It may have crashed endpoints there. Sent to further entries, it could crash
        // as many at each.
        Attempt::LostElsewhere => {
            ctx.may_have_run = true;
            Next::Done(refused(ResultCode::EndpointLost))
        }
        Attempt::TimedOut => {
            ctx.may_have_run = true;
            Next::Done(refused(ResultCode::DeadlineWhileRunning))
        }
        Attempt::Abandoned => Next::Done(Outcome::Abandoned),
    }
}

/// Whether there is no endpoint because the entry that owned them was lost while it had
/// this request, and another entry may still take them over in time.
fn lost_its_owner(core: &Core, ctx: &RequestContext, refusal: &Refusal) -> bool {
    refusal.code == ResultCode::NoEndpoint && ctx.awaits_takeover(core)
}

/// Retries if there is a body to send, an attempt left and budget; otherwise refuses.
fn retry_or_refuse(
    core: &Core,
    ctx: &RequestContext,
    body: Option<RequestBody>,
    refusal: Refusal,
) -> Next {
    match body {
        Some(body) if ctx.tried.len() < MAX_ATTEMPTS && core.try_spend_retry() => Next::Retry(body),
        body => {
            info!(request:% = ctx.id, code:% = refusal.code, tried = ctx.tried.len(),
                repeatable = body.is_some(), budget = core.retries_left(); "not retried");
            Next::Done(Outcome::Refused(refusal))
        }
    }
}

/// Handles an endpoint that sheds load without stating whether it ran the request. A
/// repeatable request is retried elsewhere; any other returns this answer.
fn shed(
    core: &Core,
    ctx: &mut RequestContext,
    body_copy: Option<RequestBody>,
    fallback: &mut Option<(Parts, Bytes)>,
    answer: (Parts, Bytes),
) -> Next {
    let may_retry = ctx.is_repeatable() && ctx.tried.len() < MAX_ATTEMPTS;
    match body_copy.filter(|_| may_retry && core.try_spend_retry()) {
        Some(body) => {
            ctx.may_have_run = true;
            *fallback = Some(answer);
            Next::Retry(body)
        }
        None => Next::Done(Outcome::Answer(answer.0, answer.1)),
    }
}
