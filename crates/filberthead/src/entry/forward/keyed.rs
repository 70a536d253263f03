//! Requests with an idempotency key: run at most once, as the key's home decides.
//!
//! The ledger is asked first, because only it knows the result of earlier sends of the key.
//! A request whose home is another entry is forwarded there. One that may start here makes
//! attempts like any other, and its end is recorded before its caller gets the answer.
//! Forwarding a request to its home again is always safe: the home has a record of the
//! first send.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use filberthead_caller::{Refusal, insert_result_headers};
use filberthead_endpoint::{AnswerCheck, RequestBody, Reuse, SendOutcome, Unsent};
use filberthead_ledger::Digest;
use filberthead_types::{Meaning, NodeName, ResultCode, header};
use http::response::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3Default;

use super::attempt::{Upstream, clean_headers, fits_buffer};
use super::context::{Reply, RequestContext};
use super::core::{Core, Target};
use super::{Outcome, refused};
use crate::entry::ledger::{Answer, LedgerDecision, Permit};

/// Maximum number of forwards, one after the other, before the request is refused with
/// `HomeUnreachable`.
const MAX_FORWARDS: usize = 4;
/// Pause before the ledger is asked again after a failed forward.
const FORWARD_PAUSE: Duration = Duration::from_millis(100);

/// Processes a request with `key`, whose whole body is in `body`.
pub(super) async fn run(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    key: &str,
    body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let Some(digest) = digest(ctx, &body) else {
        return refused(ResultCode::KeyNotChecked);
    };
    let mut failed = None;
    for _ in 0..MAX_FORWARDS {
        let deadline = core.clock.now() + ctx.remaining_time();
        let decision = core
            .ledger
            .begin(key, digest, deadline, ctx.hops, failed.take())
            .await;
        match decision {
            LedgerDecision::Start(permit) => return start(core, ctx, body, permit, reply).await,
            LedgerDecision::Replay(answer) => return replay(ctx, answer),
            LedgerDecision::Refuse { code, retry_after } => {
                return Outcome::Refused(Refusal::new(code).retry_after(retry_after));
            }
            LedgerDecision::Forward { entry, addr } => {
                match forward(core, ctx, &entry, addr, body.try_clone()).await {
                    Some(outcome) => return outcome,
                    None => failed = Some(entry),
                }
                tokio::time::sleep(FORWARD_PAUSE.min(ctx.remaining_time())).await;
            }
        }
    }
    refused(ResultCode::HomeUnreachable)
}

/// Hash of the request: two sends of a key with the same digest are the same request.
/// `None` if the body isn't buffered.
fn digest(ctx: &RequestContext, body: &RequestBody) -> Option<Digest> {
    let RequestBody::Buffered(body) = body else {
        return None;
    };
    let mut hash = Xxh3Default::new();
    let parts = [
        ctx.service.as_str().as_bytes(),
        ctx.parts.method.as_str().as_bytes(),
        ctx.parts.uri.path().as_bytes(),
        ctx.parts.uri.query().unwrap_or_default().as_bytes(),
        body,
    ];
    for part in parts {
        // Prefixed with its length, so that different splits into parts differ in the hash.
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    Some(Digest(hash.digest128()))
}

/// Runs a request that the ledger permits, and reports its end through `permit`.
async fn start(
    core: &Rc<Core>,
    ctx: &mut RequestContext,
    body: RequestBody,
    permit: Permit,
    reply: &mut Reply,
) -> Outcome {
    ctx.mark_started();
    match super::run_attempts(core, ctx, body, reply).await {
        Outcome::Answer(head, body) if ran(&head) => {
            permit.finish(&to_stored(&head, body.clone()));
            Outcome::Answer(head, body)
        }
        // The entry that it was forwarded to can't tell whether it ran.
        Outcome::Answer(head, body) => {
            permit.unknown();
            Outcome::Answer(head, body)
        }
        Outcome::Streaming(upstream, _) => {
            let recorder = AnswerRecorder::new(permit, &upstream.head);
            Outcome::Streaming(upstream, Some(recorder))
        }
        Outcome::Refused(refusal) => {
            let refusal = ctx.restrict_refusal(refusal);
            if refusal.code.meaning() == Meaning::NotRun {
                permit.not_run(refusal.code);
            } else {
                permit.unknown();
            }
            Outcome::Refused(refusal)
        }
        Outcome::Abandoned => {
            permit.unknown();
            Outcome::Abandoned
        }
    }
}

/// Whether the answer comes from a run. Only an entry's refusal carries the meaning header
/// here; it is removed from endpoints' answers.
fn ran(head: &Parts) -> bool {
    let meaning = head.headers.get(header::MEANING);
    meaning.is_none_or(|value| value == Meaning::Ran.as_str())
}

/// The answer to store for resends, without `filberthead-` headers, which apply to this
/// send only.
fn to_stored(head: &Parts, body: Bytes) -> Answer {
    let headers = head.headers.iter();
    let headers = headers.filter(|(name, _)| !name.as_str().starts_with(header::PREFIX));
    Answer {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().to_owned(), value)
            })
            .collect(),
        body,
    }
}

/// Returns a stored answer, marked as replayed.
fn replay(ctx: &RequestContext, answer: Answer) -> Outcome {
    let mut response = Response::new(());
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        return refused(ResultCode::AnswerNotStored);
    };
    *response.status_mut() = status;
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    insert_result_headers(&mut response, ctx.id, ResultCode::Replayed);
    let (head, ()) = response.into_parts();
    Outcome::Answer(head, answer.body)
}

/// Forwards a request to the entry that decides on its key. `None` if it couldn't be sent
/// or its answer was lost, so that it may be forwarded again.
async fn forward(
    core: &Rc<Core>,
    ctx: &RequestContext,
    entry: &NodeName,
    addr: SocketAddr,
    body: Option<RequestBody>,
) -> Option<Outcome> {
    let target = Target::Entry(entry.clone(), addr);
    let req = ctx.build_request(core, &target, body?);
    let sent = core
        .client
        .send(
            addr,
            AnswerCheck::Id(ctx.id),
            Reuse::Allowed,
            ctx.deadline,
            req,
        )
        .await;
    let answer = match sent {
        SendOutcome::Answer(answer) => answer,
        SendOutcome::NotSent(..)
        | SendOutcome::Unwritten(Unsent::ConnectionEnded)
        | SendOutcome::Lost
        | SendOutcome::Invalid => return None,
        SendOutcome::Unwritten(_) | SendOutcome::TimedOut => {
            return Some(refused(ResultCode::DeadlineWhileRunning));
        }
    };
    let (mut head, body) = answer.response.into_parts();
    clean_headers(&target, &mut head);
    if !fits_buffer(&body) {
        let upstream = Upstream {
            head,
            body,
            connection: answer.connection,
            slot: None,
        };
        return Some(Outcome::Streaming(Box::new(upstream), None));
    }
    match timeout_at(ctx.deadline, body.collect()).await {
        Ok(Ok(body)) => {
            answer.connection.release();
            Some(Outcome::Answer(head, body.to_bytes()))
        }
        Ok(Err(_)) => None,
        Err(_) => Some(refused(ResultCode::DeadlineWhileRunning)),
    }
}

/// Collects a streamed answer for the ledger while it is sent to the caller.
#[derive(Debug)]
pub(super) struct AnswerRecorder {
    permit: Permit,
    head: Answer,
    /// The body so far; `None` once it exceeds [`AnswerRecorder::MAX_BODY`].
    body: Option<BytesMut>,
}

impl AnswerRecorder {
    /// Maximum body length that is collected, in bytes. The ledger has a limit of its own
    /// for the whole answer.
    const MAX_BODY: usize = 64 * 1024;

    fn new(permit: Permit, head: &Parts) -> Self {
        Self {
            permit,
            head: to_stored(head, Bytes::new()),
            body: Some(BytesMut::new()),
        }
    }

    /// Appends a piece of the body.
    pub(super) fn push(&mut self, piece: &[u8]) {
        let fits = |body: &BytesMut| body.len() + piece.len() <= Self::MAX_BODY;
        self.body = self.body.take().filter(fits);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(piece);
        }
    }

    /// Records the complete answer.
    pub(super) fn complete(self) {
        match self.body {
            Some(body) => self.permit.finish(&Answer {
                body: body.freeze(),
                ..self.head
            }),
            None => self.permit.finish_unstored(),
        }
    }

    /// Records that the request ran and that its answer, which may have no end, isn't stored.
    pub(super) fn too_long(self) {
        self.permit.finish_unstored();
    }

    /// Records that the answer was cut: the outcome is unknown.
    pub(super) fn abort(self) {
        self.permit.unknown();
    }
}
