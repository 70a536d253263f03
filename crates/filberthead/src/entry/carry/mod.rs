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
//!   request ([`job::Job::truthful`]);
//! - an answer is either read whole before its caller gets a byte, or streamed with an
//!   explicit end, so a cut answer shows as a broken connection.

mod attempt;
mod budget;
mod core;
mod job;
mod keyed;
mod stream;
mod suspicion;
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
pub(crate) use self::core::{Core, CoreParts, Identity};
use self::job::{Job, Reply};
use self::keyed::Keep;

/// Attempts that one request makes at most.
const MAX_ATTEMPTS: usize = 4;
/// How long the answer to a request that may crash endpoints is held back, so that its
/// next send finds every entry informed.
const INFORM_TIME: Duration = Duration::from_millis(100);
/// Longest body of a request under a key, which is held until the request may start.
const MAX_KEYED_BODY: usize = 1024 * 1024;

/// How a request ended.
#[derive(Debug)]
enum Outcome {
    Answer(Parts, Bytes),
    Streaming(Box<Upstream>, Option<Keep>),
    Refused(Refusal),
    Abandoned,
}

/// What to do after an attempt.
#[derive(Debug)]
enum Next {
    Again(RequestBody),
    /// It has no place until endpoints have their next owner.
    Later(RequestBody),
    Done(Outcome),
}

/// Carries one request to its end.
pub(crate) async fn carry(core: Rc<Core>, call: Call) {
    let _running = core.begin();
    let begun = Instant::now();
    let (mut job, body, mut reply) = Job::new(call);
    let outcome = run(&core, &mut job, body, &mut reply).await;
    if let Some(code) = finish(&core, &mut job, outcome, reply).await {
        core.count(&job, code, begun.elapsed());
    }
}

/// Brings the outcome to the caller. Says how the request ended, or nothing if its
/// caller went away first.
async fn finish(
    core: &Rc<Core>,
    job: &mut Job,
    outcome: Outcome,
    reply: Reply,
) -> Option<ResultCode> {
    // A caller that is gone at this moment takes no answer; nothing is left to do.
    match outcome {
        Outcome::Answer(head, body) => {
            let _ = reply.send(Ok(Response::from_parts(head, AnswerBody::Buffered(body))));
            Some(ResultCode::Answered)
        }
        Outcome::Refused(refusal) => {
            if job.touched {
                tokio::time::sleep(INFORM_TIME).await;
            }
            let why = refusal.code;
            let refusal = job.truthful(refusal);
            info!(request:% = job.id, code:% = refusal.code, why:% = why,
                touched = job.touched, tried = job.tried.len(), budget = core.retries_left();
                "refused");
            let code = refusal.code;
            let _ = reply.send(Err(refusal));
            Some(code)
        }
        Outcome::Streaming(upstream, keep) => stream::pump(core, job, *upstream, reply, keep).await,
        Outcome::Abandoned => None,
    }
}

async fn run(core: &Rc<Core>, job: &mut Job, body: RequestBody, reply: &mut Reply) -> Outcome {
    let Execution::Keyed(key) = job.execution.clone() else {
        return attempts(core, job, body, reply).await;
    };
    match hold(job, body).await {
        Ok(body) => keyed::run(core, job, &key, body, reply).await,
        Err(outcome) => outcome,
    }
}

async fn attempts(
    core: &Rc<Core>,
    job: &mut Job,
    mut body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let mut fallback = None;
    let mut waits = false;
    loop {
        let spare = body.try_clone();
        let cancellable = job.is_repeatable();
        let gone = async {
            if !cancellable {
                // Once it may have started, what a caller asked for runs to its end.
                std::future::pending::<()>().await;
            }
            reply.closed().await;
        };
        let attempt = attempt(core, job, body, gone).await;
        match next(core, job, attempt, spare, &mut fallback) {
            Next::Again(again) => body = again,
            Next::Later(again) => {
                if !std::mem::replace(&mut waits, true) {
                    info!(request:% = job.id; "waits for the next owner of its endpoints");
                }
                tokio::select! {
                    () = tokio::time::sleep(takeover::PAUSE) => {}
                    () = reply.closed() => return Outcome::Abandoned,
                }
                // Whoever refused it may have the endpoints by then, and whoever lost it
                // may be back.
                job.tried.clear();
                body = again;
            }
            Next::Done(outcome) => return outcome,
        }
    }
}

/// Holds the body of a request under a key: a start that is on record must not fail
/// because its caller went away in the middle of the body.
async fn hold(job: &Job, body: RequestBody) -> Result<RequestBody, Outcome> {
    let body = Limited::new(body, MAX_KEYED_BODY).collect();
    match tokio::time::timeout_at(job.deadline, body).await {
        Ok(Ok(body)) => Ok(RequestBody::Buffered(body.to_bytes())),
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
    job: &mut Job,
    attempt: Attempt,
    spare: Option<RequestBody>,
    fallback: &mut Option<(Parts, Bytes)>,
) -> Next {
    match attempt {
        Attempt::Whole(head, body) if finish_kind(head.status) == FinishKind::Shed => {
            shed(core, job, spare, fallback, (head, body))
        }
        Attempt::Whole(head, body) => Next::Done(Outcome::Answer(head, body)),
        Attempt::Streaming(upstream) => Next::Done(Outcome::Streaming(upstream, None)),
        Attempt::Refused(refusal) => match (fallback.take(), spare) {
            // What the last endpoint said tells more than that no other has room.
            (Some((head, body)), _) => Next::Done(Outcome::Answer(head, body)),
            (None, Some(body)) if has_no_owner(core, job, &refusal) => Next::Later(body),
            (None, _) => Next::Done(Outcome::Refused(refusal)),
        },
        Attempt::NotRun(refusal) if refusal.code == ResultCode::Quarantined => {
            Next::Done(Outcome::Refused(refusal))
        }
        Attempt::NotRun(refusal) => again(core, job, spare, refusal),
        Attempt::NotSent(body) => {
            let spent = Refusal::new(ResultCode::RetryBudgetSpent);
            again(core, job, Some(body), spent)
        }
        Attempt::Lost => {
            job.lost(core);
            let spare = spare.filter(|_| job.is_repeatable());
            again(core, job, spare, Refusal::new(ResultCode::EndpointLost))
        }
        // It has lost endpoints there; were it sent on, each entry might lose as many.
        Attempt::LostElsewhere => {
            job.touched = true;
            Next::Done(refused(ResultCode::EndpointLost))
        }
        Attempt::Late => {
            job.touched = true;
            Next::Done(refused(ResultCode::DeadlineWhileRunning))
        }
        Attempt::Abandoned => Next::Done(Outcome::Abandoned),
    }
}

/// Whether there is no place because of an entry that was lost with the request.
fn has_no_owner(core: &Core, job: &Job, refusal: &Refusal) -> bool {
    refusal.code == ResultCode::NoEndpoint && job.awaits_owner(core)
}

/// Another attempt if there is a body for it and budget, or else the refusal.
fn again(core: &Core, job: &Job, body: Option<RequestBody>, refusal: Refusal) -> Next {
    match body {
        Some(body) if job.tried.len() < MAX_ATTEMPTS && core.may_retry() => Next::Again(body),
        body => {
            info!(request:% = job.id, code:% = refusal.code, tried = job.tried.len(),
                repeatable = body.is_some(), budget = core.retries_left(); "not tried again");
            Next::Done(Outcome::Refused(refusal))
        }
    }
}

/// An endpoint that sheds load without saying whether it ran the request. A repeatable
/// one may find room elsewhere; for any other one this is the answer.
fn shed(
    core: &Core,
    job: &mut Job,
    spare: Option<RequestBody>,
    fallback: &mut Option<(Parts, Bytes)>,
    answer: (Parts, Bytes),
) -> Next {
    let may = job.is_repeatable() && job.tried.len() < MAX_ATTEMPTS;
    match spare.filter(|_| may && core.may_retry()) {
        Some(body) => {
            job.touched = true;
            *fallback = Some(answer);
            Next::Again(body)
        }
        None => Next::Done(Outcome::Answer(answer.0, answer.1)),
    }
}
