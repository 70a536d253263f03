//! Requests under an idempotency key: to their home first, then at most one run.
//!
//! The ledger decides before anything else does, because only it can say what became of
//! earlier sends of the key. A request whose home is another entry goes there; one that
//! may start makes attempts like any other, and its end goes on record before its caller
//! hears of it. From an entry that only passes a request on, a resend is always safe:
//! the home knows the first one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use filberthead_caller::{Refusal, insert_result_headers};
use filberthead_endpoint::{AnswerCheck, RequestBody, Reuse, SendOutcome};
use filberthead_ledger::Digest;
use filberthead_types::{Meaning, NodeName, ResultCode, header};
use http::response::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3Default;

use super::attempt::{Upstream, clean, is_small};
use super::core::{Core, Target};
use super::job::{Job, Reply};
use super::{Outcome, refused};
use crate::entry::ledger::{Answer, Begin, Permit};

/// Entries that a request is passed on to, one after the other, before its caller is
/// told that the home can't be reached.
const MAX_FORWARDS: usize = 4;
/// Pause before the ledger is asked again after a failed forward.
const FORWARD_PAUSE: Duration = Duration::from_millis(100);

/// Carries a request under `key`, its body whole in `body`.
pub(super) async fn run(
    core: &Rc<Core>,
    job: &mut Job,
    key: &str,
    body: RequestBody,
    reply: &mut Reply,
) -> Outcome {
    let Some(digest) = digest(job, &body) else {
        return refused(ResultCode::KeyNotChecked);
    };
    let mut failed = None;
    for _ in 0..MAX_FORWARDS {
        let deadline = core.clock.now() + job.left();
        let begin = core
            .ledger
            .begin(key, digest, deadline, job.hops, failed.take())
            .await;
        match begin {
            Begin::Start(permit) => return start(core, job, body, permit, reply).await,
            Begin::Replay(answer) => return replay(job, answer),
            Begin::Refuse { code, retry_after } => {
                return Outcome::Refused(Refusal::new(code).retry_after(retry_after));
            }
            Begin::Forward { entry, addr } => {
                match forward(core, job, &entry, addr, body.try_clone()).await {
                    Some(outcome) => return outcome,
                    None => failed = Some(entry),
                }
                tokio::time::sleep(FORWARD_PAUSE.min(job.left())).await;
            }
        }
    }
    refused(ResultCode::HomeUnreachable)
}

/// What makes two sends of a key the same request.
fn digest(job: &Job, body: &RequestBody) -> Option<Digest> {
    let RequestBody::Buffered(body) = body else {
        return None;
    };
    let mut hash = Xxh3Default::new();
    let parts = [
        job.service.as_str().as_bytes(),
        job.parts.method.as_str().as_bytes(),
        job.parts.uri.path().as_bytes(),
        job.parts.uri.query().unwrap_or_default().as_bytes(),
        body,
    ];
    for part in parts {
        // With its length, so that no byte can pass from one part into the next.
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    Some(Digest(hash.digest128()))
}

async fn start(
    core: &Rc<Core>,
    job: &mut Job,
    body: RequestBody,
    permit: Permit,
    reply: &mut Reply,
) -> Outcome {
    job.start_at_home();
    match super::attempts(core, job, body, reply).await {
        Outcome::Answer(head, body) if ran(&head) => {
            permit.finish(&stored(&head, body.clone()));
            Outcome::Answer(head, body)
        }
        // Another entry that was to run it can't say whether it did.
        Outcome::Answer(head, body) => {
            permit.unknown();
            Outcome::Answer(head, body)
        }
        Outcome::Streaming(upstream, _) => {
            let keep = Keep::new(permit, &upstream.head);
            Outcome::Streaming(upstream, Some(keep))
        }
        Outcome::Refused(refusal) => {
            let refusal = job.truthful(refusal);
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

/// Only an entry's own refusal carries a meaning here, an endpoint's answer never.
fn ran(head: &Parts) -> bool {
    let meaning = head.headers.get(header::MEANING);
    meaning.is_none_or(|value| value == Meaning::Ran.as_str())
}

/// What a resend is to get: the answer without what belongs to this pass of it.
fn stored(head: &Parts, body: Bytes) -> Answer {
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

fn replay(job: &Job, answer: Answer) -> Outcome {
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
    insert_result_headers(&mut response, job.id, ResultCode::Replayed);
    let (head, ()) = response.into_parts();
    Outcome::Answer(head, answer.body)
}

/// Passes a request on to the entry that decides on its key; `None` if no whole answer
/// came back, or none that could be sent.
async fn forward(
    core: &Rc<Core>,
    job: &Job,
    entry: &NodeName,
    addr: SocketAddr,
    body: Option<RequestBody>,
) -> Option<Outcome> {
    let target = Target::Entry(entry.clone(), addr);
    let req = job.request(core, &target, body?);
    let sent = core
        .client
        .send(
            addr,
            AnswerCheck::Id(job.id),
            Reuse::Allowed,
            job.deadline,
            req,
        )
        .await;
    let answer = match sent {
        SendOutcome::Answer(answer) => answer,
        SendOutcome::NotSent(_) | SendOutcome::Lost => return None,
        SendOutcome::TimedOut => return Some(refused(ResultCode::DeadlineWhileRunning)),
    };
    let (mut head, body) = answer.response.into_parts();
    clean(&target, &mut head);
    if !is_small(&body) {
        let upstream = Upstream {
            head,
            body,
            connection: answer.connection,
            slot: None,
        };
        return Some(Outcome::Streaming(Box::new(upstream), None));
    }
    match timeout_at(job.deadline, body.collect()).await {
        Ok(Ok(body)) => {
            answer.connection.release();
            Some(Outcome::Answer(head, body.to_bytes()))
        }
        Ok(Err(_)) => None,
        Err(_) => Some(refused(ResultCode::DeadlineWhileRunning)),
    }
}

/// Collects a streamed answer for the ledger while its caller gets it.
#[derive(Debug)]
pub(super) struct Keep {
    permit: Permit,
    head: Answer,
    /// `None` once the answer is over the ledger's bound.
    body: Option<BytesMut>,
}

impl Keep {
    /// Longest body that is collected; the ledger bounds the whole answer once more.
    const MAX_BODY: usize = 64 * 1024;

    fn new(permit: Permit, head: &Parts) -> Self {
        Self {
            permit,
            head: stored(head, Bytes::new()),
            body: Some(BytesMut::new()),
        }
    }

    /// Another piece of the body.
    pub(super) fn push(&mut self, piece: &[u8]) {
        let fits = |body: &BytesMut| body.len() + piece.len() <= Self::MAX_BODY;
        self.body = self.body.take().filter(fits);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(piece);
        }
    }

    /// The whole answer came.
    pub(super) fn whole(self) {
        match self.body {
            Some(body) => self.permit.finish(&Answer {
                body: body.freeze(),
                ..self.head
            }),
            None => self.permit.finish_unstored(),
        }
    }

    /// The answer was cut.
    pub(super) fn cut(self) {
        self.permit.unknown();
    }
}
