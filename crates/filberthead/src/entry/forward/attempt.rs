//! One attempt: selects a target, sends the request there and reads the answer's head.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_caller::Refusal;
use filberthead_endpoint::{
    Answer, AnswerCheck, Connection, RequestBody, SendOutcome, Unsent, answer_headers,
};
use filberthead_ledger::quarantine::{Check, Fingerprint};
use filberthead_steer::FinishKind;
use filberthead_types::{Meaning, ResultCode, header};
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use log::debug;
use tokio::time::timeout_at;

use super::context::RequestContext;
use super::core::{Core, Placement, Slot, Target};
use crate::fingerprint::fingerprint;

/// Maximum length, in bytes, of an answer that is read completely before the caller
/// receives a byte, so that a cut answer can be retried elsewhere and so that it passes
/// between threads in one piece.
const MAX_BUFFERED_ANSWER: u64 = 64 * 1024;

/// Retry-After of a refused request whose wait for a slot timed out before its deadline,
/// or whose designated entry can't be used.
const PLACEMENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A complete answer, small enough to be buffered.
    Buffered(Parts, Bytes),
    /// The head of an answer whose body is still to come.
    Streaming(Box<Upstream>),
    /// Steering has no target for it, or it is quarantined; it wasn't sent.
    Refused(Refusal),
    /// The target refused it and states that it didn't run.
    NotRun(Refusal),
    /// No byte was sent; the body can be sent again.
    NotSent(RequestBody),
    /// The connection was lost; the request may have run.
    Lost,
    /// Another entry reports that it may have run at an endpoint that was lost there.
    LostElsewhere,
    /// The deadline passed while the request may have been running.
    TimedOut,
    /// The caller is gone.
    Abandoned,
}

/// An answer that is being read.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its head, with the headers of the hop removed.
    pub(crate) head: Parts,
    /// Its unread body.
    pub(crate) body: Incoming,
    /// The connection that it is read from.
    pub(crate) connection: Connection,
    /// The slot that it occupies; `None` if the request was forwarded to its key's home.
    pub(crate) slot: Option<Slot>,
}

impl Upstream {
    /// Waits for the next frame of the body; `None` after the last one.
    pub(crate) async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.connection.next_frame(&mut self.body).await
    }

    /// Finishes an answer whose body was read to its end: the connection may be reused.
    pub(crate) fn complete(self) {
        self.connection.release();
        if let Some(slot) = self.slot {
            slot.finish(finish_kind(self.head.status));
        }
    }

    /// Finishes an answer whose body was cut or isn't needed: the connection is closed.
    pub(crate) fn broken(mut self) {
        self.lost();
    }

    /// Releases the slot of an answer whose endpoint was lost.
    pub(crate) fn lost(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.finish(FinishKind::Broken);
        }
    }
}

/// Makes one attempt. `abandoned` resolves once the caller is gone.
pub(crate) async fn attempt(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    body: RequestBody,
    abandoned: impl Future<Output = ()>,
) -> Attempt {
    let mut abandoned = std::pin::pin!(abandoned);
    let fingerprint = fingerprint(&ctx.service, &ctx.parts, &body, &[]);
    if let Some(blocked) = block(core, ctx, fingerprint) {
        return match blocked {
            Blocked::Refused(refusal) => Attempt::Refused(refusal),
            Blocked::Elsewhere(target) => {
                ctx.tried.push(target.name().clone());
                let slot = core.untracked_slot();
                send(core, ctx, body, target, slot, abandoned).await
            }
        };
    }
    let mut info = ctx.request_info(core);
    let (target, mut slot) = match core.place(&mut info, &mut abandoned).await {
        Placement::Placed(target, slot) => (target, slot),
        // Only the bounded wait for a slot has ended, not the caller's deadline.
        Placement::Refused(ResultCode::DeadlineBeforeRun, _) if !ctx.remaining_time().is_zero() => {
            let refusal = Refusal::new(ResultCode::Overloaded).retry_after(PLACEMENT_RETRY_AFTER);
            return Attempt::Refused(refusal);
        }
        Placement::Refused(code, after) => {
            // A service can't be reported as unknown while a newer table may exist.
            let code = match code {
                ResultCode::UnknownService if !core.is_current() => ResultCode::NotReady,
                code => code,
            };
            return Attempt::Refused(Refusal::new(code).retry_after(after));
        }
        Placement::Abandoned => return Attempt::Abandoned,
    };
    ctx.tried.push(target.name().clone());
    if let Target::Endpoint(name, _) = &target {
        // It may have been quarantined while it waited for its slot.
        if let Check::Refuse { retry_after } = core.check_quarantine(fingerprint) {
            return Attempt::Refused(quarantined(retry_after));
        }
        slot.set_run(core.start_run(fingerprint, name));
    }
    send(core, ctx, body, target, slot, abandoned).await
}

/// Why a request isn't placed by steering.
enum Blocked {
    /// It is quarantined.
    Refused(Refusal),
    /// It may be sent only to this other entry.
    Elsewhere(Target),
}

/// Keeps a request that may crash endpoints away from them; `None` if it may be placed.
fn block(core: &Core, ctx: &RequestContext, fingerprint: Fingerprint) -> Option<Blocked> {
    let entry = match core.check_quarantine(fingerprint) {
        Check::Run => return None,
        Check::Refuse { retry_after } => {
            return Some(Blocked::Refused(quarantined(retry_after)));
        }
        Check::RunAt { entry } => entry,
    };
    let cluster = core.cluster.borrow();
    let mut entries = cluster.entries.iter();
    let member = entries.find(|member| member.name == entry);
    // A request that came from another entry isn't forwarded again.
    Some(match member.filter(|_| !ctx.is_forwarded()) {
        Some(member) => Blocked::Elsewhere(Target::Entry(entry, member.caller_addr)),
        None => Blocked::Refused(quarantined(PLACEMENT_RETRY_AFTER)),
    })
}

fn quarantined(retry_after: Duration) -> Refusal {
    Refusal::new(ResultCode::Quarantined).retry_after(retry_after)
}

/// Sends the request to its target and receives the answer.
async fn send(
    core: &Rc<Core>,
    ctx: &RequestContext,
    body: RequestBody,
    target: Target,
    mut slot: Slot,
    abandoned: impl Future<Output = ()>,
) -> Attempt {
    let mut abandoned = std::pin::pin!(abandoned);
    let req = ctx.build_request(core, &target, body);
    let sending = core.client.send_if(
        target.addr(),
        AnswerCheck::Id(ctx.id),
        ctx.connection_reuse(),
        ctx.deadline,
        req,
        || core.may_send(&target),
    );
    let sent = tokio::select! {
        sent = sending => sent,
        // Dropping the future closes its connection, which the other side detects.
        () = &mut abandoned => return Attempt::Abandoned,
    };
    match sent {
        SendOutcome::NotSent(req, Unsent::Withdrawn) => {
            slot.finish(FinishKind::Cancelled);
            Attempt::NotSent(req.into_body())
        }
        SendOutcome::NotSent(req, _) => {
            slot.finish(FinishKind::ConnectFailed);
            Attempt::NotSent(req.into_body())
        }
        // Counts as one that may have run, which is safe for a key that is sent again.
        SendOutcome::Unwritten(Unsent::DeadlinePassed) => Attempt::TimedOut,
        SendOutcome::Unwritten(_) | SendOutcome::Lost | SendOutcome::Invalid => {
            slot.finish(FinishKind::Broken);
            Attempt::Lost
        }
        SendOutcome::TimedOut => Attempt::TimedOut,
        SendOutcome::Answer(answer) => {
            slot.answered();
            core.record_rest(&target, &answer.response);
            receive(ctx, &target, answer, slot).await
        }
    }
}

/// Reads an answer, completely if it is small enough.
async fn receive(ctx: &RequestContext, target: &Target, answer: Answer, slot: Slot) -> Attempt {
    let (mut head, body) = answer.response.into_parts();
    match execution_claim(target, &head) {
        ExecutionClaim::NotRun(refusal) => {
            debug!(request:% = ctx.id, by:% = target.name(), code:% = refusal.code; "not run there");
            answer.connection.drain_and_release(body);
            slot.finish(FinishKind::Shed);
            return Attempt::NotRun(refusal);
        }
        ExecutionClaim::MayHaveRun if ctx.is_repeatable() => {
            answer.connection.drain_and_release(body);
            slot.finish(FinishKind::Broken);
            return Attempt::LostElsewhere;
        }
        ExecutionClaim::MayHaveRun | ExecutionClaim::Ran => {}
    }
    clean_headers(target, &mut head);
    if !ctx.resuming && fits_buffer(&body) {
        return read_buffered(ctx, head, body, answer.connection, slot).await;
    }
    let upstream = Upstream {
        head,
        body,
        connection: answer.connection,
        slot: Some(slot),
    };
    Attempt::Streaming(Box::new(upstream))
}

/// What the target states about execution.
enum ExecutionClaim {
    /// It refused the request, which didn't run.
    NotRun(Refusal),
    /// Another entry can't tell whether the request ran.
    MayHaveRun,
    /// Neither of these: the answer goes to the caller.
    Ran,
}

/// Reads the meaning header. An endpoint sets it to refuse for lack of capacity, which by
/// its documentation guarantees that the request did not run; an entry always sets it.
fn execution_claim(target: &Target, head: &Parts) -> ExecutionClaim {
    let meaning = head.headers.get(header::MEANING);
    let is = |wanted: Meaning| meaning.is_some_and(|value| value == wanted.as_str());
    if is(Meaning::NotRun) {
        let code = match target {
            Target::Endpoint(..) => ResultCode::Overloaded,
            Target::Entry(..) => result_code(&head.headers).unwrap_or(ResultCode::Overloaded),
        };
        let mut refusal = Refusal::new(code);
        refusal.retry_after = retry_after(&head.headers);
        return ExecutionClaim::NotRun(refusal);
    }
    match target {
        Target::Entry(..) if is(Meaning::MayHaveRun) => ExecutionClaim::MayHaveRun,
        _ => ExecutionClaim::Ran,
    }
}

/// The result code of another entry's refusal, if it means "not run".
fn result_code(headers: &HeaderMap) -> Option<ResultCode> {
    let number = headers.get(header::RESULT)?.to_str().ok()?.parse().ok()?;
    ResultCode::from_number(number).filter(|code| code.meaning() == Meaning::NotRun)
}

/// The Retry-After header in seconds; dates aren't supported.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Removes the headers of the hop between `target` and this entry.
pub(super) fn clean_headers(target: &Target, head: &mut Parts) {
    let from_entry = matches!(target, Target::Entry(..));
    answer_headers(&mut head.headers, from_entry);
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        // It states the length of a body that isn't sent.
        head.headers.remove(CONTENT_LENGTH);
    }
}

/// Whether the body's length is known and small enough to be buffered.
pub(super) fn fits_buffer(body: &Incoming) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|len| len <= MAX_BUFFERED_ANSWER)
}

async fn read_buffered(
    ctx: &RequestContext,
    head: Parts,
    body: Incoming,
    connection: Connection,
    slot: Slot,
) -> Attempt {
    match timeout_at(ctx.deadline, body.collect()).await {
        Ok(Ok(body)) => {
            connection.release();
            slot.finish(finish_kind(head.status));
            Attempt::Buffered(head, body.to_bytes())
        }
        Ok(Err(_)) => {
            slot.finish(FinishKind::Broken);
            Attempt::Lost
        }
        Err(_) => Attempt::TimedOut,
    }
}

/// How steering counts a complete answer with this status.
pub(crate) fn finish_kind(status: StatusCode) -> FinishKind {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => FinishKind::Shed,
        _ => FinishKind::Answered,
    }
}
