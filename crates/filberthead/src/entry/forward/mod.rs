//! Carries requests from callers to endpoints and their answers back.
//!
//! A request lives in one task of the endpoints duty. It makes attempts until one has
//! an answer or until it may make no more: a repeatable request may try again after a
//! loss, any other one only while it is proved that no byte of it reached an endpoint.
//! All retries come out of one budget.
//!
//! Invariants relied on elsewhere:
//!
//! - a refusal that means "not run" is given only while no attempt may have run the
//!   request ([`context::RequestContext::restrict_refusal`]);
//! - an answer is either read whole before its caller gets a byte, or streamed with an
//!   explicit end, so a cut answer shows as a broken connection.

mod attempt;
mod budget;
mod context;
mod core;
mod crash_tracking;
mod keyed;
mod stream;
mod takeover;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::{AnswerBody, Call, Execution, Refusal};
use filberthead_endpoint::RequestBody;
use filberthead_steer::FinishKind;
use filberthead_types::ResultCode;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use log::info;
use tokio::time::Instant;

use self::attempt::{Attempt, Upstream, attempt, finish_kind};
use self::context::{Reply, RequestContext};
pub(crate) use self::core::{Core, CoreParts, Identity};
use self::keyed::AnswerRecorder;

/// Attempts that one request makes at most.
const MAX_ATTEMPTS: usize = 4;
/// How long the answer to a request that may crash endpoints is held back, so that its
/// next send finds every entry informed.
const QUARANTINE_SPREAD_TIME: Duration = Duration::from_millis(100);
/// Longest body of a request under a key, which is held until the request may start.
const MAX_KEYED_BODY: usize = 1024 * 1024;

/// How a request ended.
#[derive(Debug)]
enum Outcome {
    Answer(Parts, Bytes),
    Streaming(Box<Upstream>, Option<AnswerRecorder>),
    Refused(Refusal),
    Abandoned,
}

/// What to do after an attempt.
#[derive(Debug)]
enum Next {
    Retry(RequestBody),
    /// It has no place until endpoints have their next owner.
    RetryAfterTakeover(RequestBody),
    Done(Outcome),
}

/// Carries one request to its end.
pub(crate) async fn forward_call(core: Rc<Core>, call: Call) {
    let _running = core.start_request();
    let started_at = Instant::now();
    let (mut ctx, body, mut reply) = RequestContext::new(call);
    let outcome = run(&core, &mut ctx, body, &mut reply).await;
    if let Some(code) = finish(&core, &mut ctx, outcome, reply).await {
        core.count_finished(&ctx, code, started_at.elapsed());
    }
}

/// Brings the outcome to the caller. Says how the request ended, or nothing if its
/// caller went away first.
async fn finish(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    outcome: Outcome,
    reply: Reply,
) -> Option<ResultCode> {
    // A caller that is gone at this moment takes no answer; nothing is left to do.
    match outcome {
        Outcome::Answer(head, body) => {
            let _ = reply.send(Ok(Response::from_parts(head, AnswerBody::Whole(body))));
            Some(ResultCode::Answered)
        }
        Outcome::Refused(refusal) => {
            if ctx.may_have_run {
                tokio::time::sleep(QUARANTINE_SPREAD_TIME).await;
            }
            let why = refusal.code;
            let refusal = ctx.restrict_refusal(refusal);
            info!(request:% = ctx.id, code:% = refusal.code, why:% = why,
                touched = ctx.may_have_run, tried = ctx.tried.len(), budget = core.retries_left();
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

async fn run(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let Execution::Keyed(key) = ctx.execution.clone() else {
        return run_attempts(core, ctx, body, reply).await;
    };
    match buffer_body(ctx, body).await {
        Ok(body) => keyed::run(core, ctx, &key, body, reply).await,
        Err(outcome) => outcome,
    }
}

async fn run_attempts(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    mut body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let mut fallback = None;
    let mut wait_logged = false;
    loop {
        let body_copy = body.again();
        let cancellable = ctx.is_repeatable();
        let caller_gone = async {
            if !cancellable {
                // Once it may have started, what a caller asked for runs to its end.
                std::future::pending::<()>().await;
            }
            reply.closed().await;
        };
        let attempt = attempt(core, ctx, body, caller_gone).await;
        match next(core, ctx, attempt, body_copy, &mut fallback) {
            Next::Retry(unsent) => body = unsent,
            Next::RetryAfterTakeover(unsent) => {
                if !std::mem::replace(&mut wait_logged, true) {
                    info!(request:% = ctx.id; "waits for the next owner of its endpoints");
                }
                tokio::select! {
                    () = tokio::time::sleep(takeover::RETRY_PAUSE) => {}
                    () = reply.closed() => return Outcome::Abandoned,
                }
                // Whoever refused it may have the endpoints by then, and whoever lost it
                // may be back.
                ctx.tried.clear();
                body = unsent;
            }
            Next::Done(outcome) => return outcome,
        }
    }
}

/// Holds the body of a request under a key: a start that is on record must not fail
/// because its caller went away in the middle of the body.
async fn buffer_body(ctx: &RequestContext, body: RequestBody) -> Result<RequestBody, Outcome> {
    let body = Limited::new(body, MAX_KEYED_BODY).collect();
    match tokio::time::timeout_at(ctx.deadline, body).await {
        Ok(Ok(body)) => Ok(RequestBody::Whole(body.to_bytes())),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(refused(ResultCode::BodyTooLarge)),
        Ok(Err(_)) => Err(Outcome::Abandoned),
        // An earlier send of the key may have run.
        Err(_) => Err(refused(ResultCode::KeyNotChecked)),
    }
}

fn refused(code: ResultCode) -> Outcome {
    Outcome::Refused(Refusal::new(code))
}

fn next(
    core: &Core,
    ctx: &mut RequestContext,
    attempt: Attempt,
    body_copy: Option<RequestBody>,
    fallback: &mut Option<(Parts, Bytes)>,
) -> Next {
    match attempt {
        Attempt::Whole(head, body) if finish_kind(head.status) == FinishKind::Shed => {
            shed(core, ctx, body_copy, fallback, (head, body))
        }
        Attempt::Whole(head, body) => Next::Done(Outcome::Answer(head, body)),
        Attempt::Streaming(upstream) => Next::Done(Outcome::Streaming(upstream, None)),
        Attempt::Refused(refusal) => match (fallback.take(), body_copy) {
            // What the last endpoint said tells more than that no other has room.
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
        // It has lost endpoints there; were it sent on, each entry might lose as many.
        Attempt::LostElsewhere => {
            ctx.may_have_run = true;
            Next::Done(refused(ResultCode::EndpointLost))
        }
        Attempt::Late => {
            ctx.may_have_run = true;
            Next::Done(refused(ResultCode::DeadlineWhileRunning))
        }
        Attempt::Abandoned => Next::Done(Outcome::Abandoned),
    }
}

/// Whether there is no place because of an entry that was lost with the request.
fn lost_its_owner(core: &Core, ctx: &RequestContext, refusal: &Refusal) -> bool {
    refusal.code == ResultCode::NoEndpoint && ctx.awaits_takeover(core)
}

/// Another attempt if there is a body for it and budget, or else the refusal.
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
                repeatable = body.is_some(), budget = core.retries_left(); "not tried again");
            Next::Done(Outcome::Refused(refusal))
        }
    }
}

/// An endpoint that sheds load without saying whether it ran the request. A repeatable
/// one may find room elsewhere; for any other one this is the answer.
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
