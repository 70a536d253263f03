//! One attempt: a place, a request sent there, the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::Refusal;
use filberthead_endpoint::{
    Answer, AnswerCheck, Connection, RequestBody, SendOutcome, answer_headers,
};
use filberthead_ledger::quarantine::{Check, Fingerprint};
use filberthead_steer::FinishKind;
use filberthead_types::{Meaning, ResultCode, header};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use log::debug;
use tokio::time::timeout_at;

use super::core::{Core, Placement, Slot, Target};
use super::job::Job;
use super::suspicion::fingerprint;

/// Answers up to this length are read whole before the caller gets a byte, so that a
/// cut one can still be had elsewhere, and so that they cross threads in one piece.
const WHOLE_ANSWER: u64 = 64 * 1024;

/// A caller whose request found no place for a further attempt may come back after this.
const COME_BACK: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A whole answer, small enough to be held.
    Whole(Parts, Bytes),
    /// The head of an answer whose body is still to come.
    Streaming(Box<Upstream>),
    /// Steering has no place for it.
    Refused(Refusal),
    /// Its place refused it; nothing ran.
    NotRun(Refusal),
    /// No byte was sent; the body is untouched.
    NotSent(RequestBody),
    /// It may have run.
    Lost,
    /// It may have run at another entry's endpoints, which were lost.
    LostElsewhere,
    /// Its deadline passed while it may have been running.
    Late,
    /// Its caller is gone.
    Abandoned,
}

/// An answer that is being read.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its head, fit for the caller.
    pub(crate) head: Parts,
    /// Its unread body.
    pub(crate) body: Incoming,
    /// The connection that it comes from.
    pub(crate) connection: Connection,
    /// The place that it holds, if steering gave it one.
    pub(crate) slot: Option<Slot>,
}

impl Upstream {
    /// The body was read to its end.
    pub(crate) fn complete(self) {
        self.connection.release();
        if let Some(slot) = self.slot {
            slot.finish(finish_kind(self.head.status));
        }
    }

    /// The body was cut, or isn't wanted.
    pub(crate) fn broken(self) {
        if let Some(slot) = self.slot {
            slot.finish(FinishKind::Broken);
        }
    }
}

/// Makes one attempt. `abandoned` resolves once the caller is gone.
pub(crate) async fn attempt(
    core: &Rc<Core>,
    job: &mut Job,
    body: RequestBody,
    abandoned: impl Future<Output = ()>,
) -> Attempt {
    let mut abandoned = std::pin::pin!(abandoned);
    let fingerprint = fingerprint(job, &body);
    if let Some(barred) = bar(core, job, fingerprint) {
        return match barred {
            Barred::Refused(refusal) => Attempt::Refused(refusal),
            Barred::Elsewhere(target) => {
                job.tried.push(target.name().clone());
                let slot = core.unplaced();
                send(core, job, body, target, slot, abandoned).await
            }
        };
    }
    let mut info = job.info(core);
    let (target, mut slot) = match core.place(&mut info, &mut abandoned).await {
        Placement::Placed(target, slot) => (target, slot),
        // Only the wait for a place has ended, not the caller's patience.
        Placement::Refused(ResultCode::DeadlineBeforeRun, _) if !job.left().is_zero() => {
            let refusal = Refusal::new(ResultCode::Overloaded).retry_after(COME_BACK);
            return Attempt::Refused(refusal);
        }
        Placement::Refused(code, after) => {
            // A table that may have been overtaken can't deny a service.
            let code = match code {
                ResultCode::UnknownService if !core.is_current() => ResultCode::NotReady,
                code => code,
            };
            return Attempt::Refused(Refusal::new(code).retry_after(after));
        }
        Placement::Abandoned => return Attempt::Abandoned,
    };
    job.tried.push(target.name().clone());
    if let Target::Endpoint(name, _) = &target {
        // What has been learned while it waited for its place counts.
        if let Check::Refuse { retry_after } = core.check(fingerprint) {
            return Attempt::Refused(quarantined(retry_after));
        }
        slot.run(core.run(fingerprint, name));
    }
    send(core, job, body, target, slot, abandoned).await
}

/// Why a request isn't placed by steering.
enum Barred {
    Refused(Refusal),
    Elsewhere(Target),
}

/// Holds a request off endpoints if it may crash them.
fn bar(core: &Core, job: &Job, fingerprint: Fingerprint) -> Option<Barred> {
    let entry = match core.check(fingerprint) {
        Check::Run => return None,
        Check::Refuse { retry_after } => {
            return Some(Barred::Refused(quarantined(retry_after)));
        }
        Check::Elsewhere { entry } => entry,
    };
    let cluster = core.cluster.borrow();
    let mut entries = cluster.entries.iter();
    let member = entries.find(|member| member.name == entry);
    // An entry that was sent it by another one doesn't send it on.
    Some(match member.filter(|_| !job.is_forwarded()) {
        Some(member) => Barred::Elsewhere(Target::Entry(entry, member.caller_addr)),
        None => Barred::Refused(quarantined(COME_BACK)),
    })
}

fn quarantined(retry_after: Duration) -> Refusal {
    Refusal::new(ResultCode::Quarantined).retry_after(retry_after)
}

async fn send(
    core: &Rc<Core>,
    job: &Job,
    body: RequestBody,
    target: Target,
    mut slot: Slot,
    abandoned: impl Future<Output = ()>,
) -> Attempt {
    let mut abandoned = std::pin::pin!(abandoned);
    let req = job.request(core, &target, body);
    let sending = core.client.send(
        target.addr(),
        AnswerCheck::Id(job.id),
        job.reuse(),
        job.deadline,
        req,
    );
    let sent = tokio::select! {
        sent = sending => sent,
        // Dropping the exchange closes its connection, which tells the other side.
        () = &mut abandoned => return Attempt::Abandoned,
    };
    match sent {
        SendOutcome::NotSent(req) => {
            slot.finish(FinishKind::ConnectFailed);
            Attempt::NotSent(req.into_body())
        }
        SendOutcome::Lost => {
            slot.finish(FinishKind::Broken);
            Attempt::Lost
        }
        SendOutcome::TimedOut => Attempt::Late,
        SendOutcome::Answer(answer) => {
            slot.answered();
            receive(job, &target, answer, slot).await
        }
    }
}

async fn receive(job: &Job, target: &Target, answer: Answer, slot: Slot) -> Attempt {
    let (mut head, body) = answer.response.into_parts();
    match claim(target, &head) {
        Claim::NotRun(refusal) => {
            debug!(request:% = job.id, by:% = target.name(), code:% = refusal.code; "not run there");
            answer.connection.drain_and_release(body);
            slot.finish(FinishKind::Shed);
            return Attempt::NotRun(refusal);
        }
        Claim::MayHaveRun if job.is_repeatable() => {
            answer.connection.drain_and_release(body);
            slot.finish(FinishKind::Broken);
            return Attempt::LostElsewhere;
        }
        Claim::MayHaveRun | Claim::Ran => {}
    }
    clean(target, &mut head);
    if !job.resuming && is_small(&body) {
        return read_whole(job, head, body, answer.connection, slot).await;
    }
    let upstream = Upstream {
        head,
        body,
        connection: answer.connection,
        slot: Some(slot),
    };
    Attempt::Streaming(Box::new(upstream))
}

/// What the other side says about execution.
enum Claim {
    NotRun(Refusal),
    MayHaveRun,
    Ran,
}

/// Reads the meaning header. An endpoint uses it to refuse for want of room, which its
/// documentation calls a promise that the request did not run; an entry sets it always.
fn claim(target: &Target, head: &Parts) -> Claim {
    let meaning = head.headers.get(header::MEANING);
    let is = |wanted: Meaning| meaning.is_some_and(|value| value == wanted.as_str());
    if is(Meaning::NotRun) {
        let code = match target {
            Target::Endpoint(..) => ResultCode::Overloaded,
            Target::Entry(..) => code(&head.headers).unwrap_or(ResultCode::Overloaded),
        };
        let mut refusal = Refusal::new(code);
        refusal.retry_after = retry_after(&head.headers);
        return Claim::NotRun(refusal);
    }
    match target {
        Target::Entry(..) if is(Meaning::MayHaveRun) => Claim::MayHaveRun,
        _ => Claim::Ran,
    }
}

fn code(headers: &HeaderMap) -> Option<ResultCode> {
    let number = headers.get(header::RESULT)?.to_str().ok()?.parse().ok()?;
    ResultCode::from_number(number).filter(|code| code.meaning() == Meaning::NotRun)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

pub(super) fn clean(target: &Target, head: &mut Parts) {
    let from_entry = matches!(target, Target::Entry(..));
    answer_headers(&mut head.headers, from_entry);
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        // A length that belongs to a body which isn't sent.
        head.headers.remove(CONTENT_LENGTH);
    }
}

pub(super) fn is_small(body: &Incoming) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|len| len <= WHOLE_ANSWER)
}

async fn read_whole(
    job: &Job,
    head: Parts,
    body: Incoming,
    connection: Connection,
    slot: Slot,
) -> Attempt {
    match timeout_at(job.deadline, body.collect()).await {
        Ok(Ok(body)) => {
            connection.release();
            slot.finish(finish_kind(head.status));
            Attempt::Whole(head, body.to_bytes())
        }
        Ok(Err(_)) => {
            slot.finish(FinishKind::Broken);
            Attempt::Lost
        }
        Err(_) => Attempt::Late,
    }
}

/// What a whole answer tells about its endpoint.
pub(crate) fn finish_kind(status: StatusCode) -> FinishKind {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FinishKind::Shed,
        _ => FinishKind::Answered,
    }
}
