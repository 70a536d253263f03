//! Handles a stand-in's requests.

use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use sha2::{Digest, Sha256};

use super::body::AnswerBody;
use super::payload::Payload;
use super::record::{ObservedRequest, Stage};
use super::script::{Fault, WhenFull};
use super::slot::SlotGuard;
use super::state::{AnswerContent, State, lock};
use super::{admin, download};
use crate::cut::{AnswerCut, CutAnswer, RawAnswer};
use crate::endless::{Endless, EndlessAnswer};

pub(super) type Answer = Response<UnsyncBoxBody<Bytes, io::Error>>;

const DEFAULT_ANSWER_BYTES: u64 = 64;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const REQUEST_ID: &str = "filberthead-request-id";
/// A transfer coding other than chunks, to which hyper adds them.
pub(crate) const OTHER_CODING: &str = "gzip";

/// An answer that is sent in place of hyper's, and the slot that its request holds meanwhile, if it isn't free yet.
#[derive(Debug)]
pub(super) struct RawReply {
    pub(super) answer: RawAnswer,
    _slot: Option<SlotGuard>,
}

/// The answer that goes on once a handler's error has ended hyper's part of a connection.
pub(super) type RawSlot = Arc<Mutex<Option<RawReply>>>;

/// Handles a request. An error resets its connection, unless an answer was put into `raw`.
pub(super) async fn handle(
    req: Request<Incoming>,
    state: Arc<State>,
    raw: RawSlot,
) -> io::Result<Answer> {
    match req.uri().path() {
        "/health" => Ok(health(&state).await),
        path if path.starts_with(admin::PREFIX) => admin::handle(req, &state).await,
        _ => execute(req, &state, &raw).await,
    }
}

async fn health(state: &State) -> Answer {
    let (delay, fails) = state.read(|script| (script.health_delay, script.health_fails));
    tokio::time::sleep(delay).await;
    if fails {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let frozen = state.read(|script| script.frozen);
    let mut last = lock(&state.last_health);
    let text = match last.take().filter(|_| frozen) {
        Some(text) => text,
        None => current_health(state),
    };
    *last = Some(text.clone());
    json(text)
}

fn current_health(state: &State) -> String {
    let running = f64::from(state.recorder.running.get());
    let incarnation = state.incarnation();
    state.read(|script| {
        let load = running / f64::from(script.slots.max(1));
        serde_json::json!({
            "ready": script.ready,
            "leaving": script.leaving,
            "load": script.load.unwrap_or(load.min(1.0)),
            "incarnation": incarnation,
        })
        .to_string()
    })
}

async fn execute(req: Request<Incoming>, state: &Arc<State>, raw: &RawSlot) -> io::Result<Answer> {
    let (parts, body) = req.into_parts();
    let request = Arc::new(observe(&parts.method, &parts.uri, &parts.headers));
    let recorded = state.read(|script| script.record);
    if recorded {
        state.recorder.push(Stage::Received, &request);
    }
    let body = read_body(body).await?;
    let fault = state.fault(&request, &body);
    match fault {
        Some(Fault::CrashBefore) => return crash(state),
        Some(Fault::ResetBefore) => return Err(io::ErrorKind::ConnectionReset.into()),
        Some(Fault::Shed) => return Ok(shed(state, &request, recorded)),
        Some(Fault::ShedForRest(time)) => {
            let mut answer = shed(state, &request, recorded);
            let time = header::HeaderValue::try_from(time).map_err(io::Error::other)?;
            answer.headers_mut().insert(header::RETRY_AFTER, time);
            return Ok(answer);
        }
        _ => {}
    }
    let Some(slot) = take_slot(state, &request, recorded).await else {
        return Ok(shed(state, &request, recorded));
    };
    slot.record_executed();
    tokio::time::sleep(state.read(|script| script.service_time)).await;
    match fault {
        Some(Fault::CrashAfter) => return crash(state),
        Some(Fault::ResetAfter) => return Err(io::ErrorKind::ConnectionReset.into()),
        Some(Fault::Silent) => std::future::pending().await,
        Some(Fault::Late(delay)) => tokio::time::sleep(delay).await,
        Some(Fault::Endless(kind)) => {
            let answer = endless_answer(state, &request, kind);
            *lock(raw) = Some(RawReply {
                answer: RawAnswer::Endless(answer),
                _slot: Some(slot),
            });
            return Err(io::ErrorKind::InvalidData.into());
        }
        _ => {}
    }
    let cut = match fault {
        Some(Fault::Cut(cut)) => Some(cut),
        _ => None,
    };
    let answer = if parts.uri.path().starts_with(download::PREFIX) && parts.method == Method::GET {
        let truncated = truncate_after(fault.as_ref());
        download::answer(&parts.uri, &parts.headers, state, slot, truncated)
    } else {
        answer(state, &request, &body, fault, slot)?
    };
    match cut {
        Some(cut) => Err(cut_answer(answer, cut, raw).await?),
        None => Ok(answer),
    }
}

/// Sends a part of an answer in place of all of it.
async fn cut_answer(answer: Answer, cut: AnswerCut, raw: &RawSlot) -> io::Result<io::Error> {
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    *lock(raw) = Some(RawReply {
        answer: RawAnswer::Cut(CutAnswer::new(cut, &head, &body)),
        _slot: None,
    });
    Ok(io::ErrorKind::InvalidData.into())
}

fn endless_answer(state: &State, request: &ObservedRequest, kind: Endless) -> EndlessAnswer {
    let own_id = format!("{REQUEST_ID}: {}\r\n", request.request_id);
    EndlessAnswer::new(kind, &own_id).pace(state.read(|script| script.pace))
}

async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let body = http_body_util::Limited::new(body, MAX_BODY_BYTES);
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

fn observe(method: &Method, uri: &http::Uri, headers: &HeaderMap) -> ObservedRequest {
    let text = |name| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    ObservedRequest {
        method: method.as_str().to_owned(),
        path: path.to_owned(),
        key: text("idempotency-key"),
        request_id: text(REQUEST_ID),
        deadline_ms: text("filberthead-deadline-ms").parse().ok(),
    }
}

async fn take_slot(
    state: &Arc<State>,
    request: &Arc<ObservedRequest>,
    recorded: bool,
) -> Option<SlotGuard> {
    loop {
        // Registered before the attempt, so that a slot freed in between isn't missed.
        let freed = state.freed.notified();
        let (slots, when_full) = state.read(|script| (script.slots, script.when_full));
        if let Some(slot) = SlotGuard::acquire(state, request, slots, recorded) {
            return Some(slot);
        }
        match when_full {
            WhenFull::Shed => return None,
            WhenFull::Wait => freed.await,
        }
    }
}

fn answer(
    state: &Arc<State>,
    request: &ObservedRequest,
    body: &[u8],
    fault: Option<Fault>,
    slot: SlotGuard,
) -> io::Result<Answer> {
    let hash = Sha256::digest(body);
    let own = AnswerContent {
        payload: Payload::of_hashed_answer(&request.method, &request.path, &hash),
        bytes: query(&request.path, "bytes").unwrap_or(DEFAULT_ANSWER_BYTES),
        request_id: request.request_id.clone(),
    };
    let last = lock(&state.last_answer).replace(own.clone());
    // The last answer may be that to an earlier attempt of the same request. Requests without an
    // id can't be distinguished.
    let is_other = |id: &str| id.is_empty() || id != own.request_id;
    let other = last.filter(|last| is_other(&last.request_id));
    let given = match fault {
        Some(Fault::Crossed) => other.unwrap_or_else(fallback_answer),
        _ => own,
    };
    let status = match fault {
        Some(Fault::Status(status)) => StatusCode::from_u16(status).unwrap_or_default(),
        _ => StatusCode::OK,
    };
    let is_coded = fault == Some(Fault::TransferCoded);
    let body = AnswerBody::new(given.payload, 0, given.bytes)
        .cut_after(truncate_after(fault.as_ref()))
        .pace(state.read(|script| script.pace))
        .chunked(is_coded || fault == Some(Fault::Chunked))
        .slot(slot);
    let mut answer = Response::builder()
        .status(status)
        .header(REQUEST_ID, given.request_id)
        .header("standin", &state.name);
    if is_coded {
        answer = answer.header(header::TRANSFER_ENCODING, OTHER_CODING);
    }
    let answer = answer.body(body.boxed_unsync());
    answer.map_err(io::Error::other)
}

fn fallback_answer() -> AnswerContent {
    AnswerContent {
        payload: Payload::new("nobody's"),
        bytes: DEFAULT_ANSWER_BYTES,
        request_id: "0123456789abcdef0123456789abcdef".to_owned(),
    }
}

fn truncate_after(fault: Option<&Fault>) -> Option<u64> {
    match fault {
        Some(Fault::Truncate(bytes)) => Some(*bytes),
        _ => None,
    }
}

fn crash(state: &Arc<State>) -> io::Result<Answer> {
    let restart_after = state.read(|script| script.restart_after);
    state.crash();
    if let Some(delay) = restart_after {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            state.restart();
        });
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

fn shed(state: &State, request: &ObservedRequest, recorded: bool) -> Answer {
    if recorded {
        state.recorder.push(Stage::Shed, request);
    }
    status(StatusCode::SERVICE_UNAVAILABLE)
}

/// The number of the parameter `name` in the query of a path.
pub(super) fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?;
    value.1.parse().ok()
}

pub(super) fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

pub(super) fn json(text: String) -> Answer {
    let mut answer = Response::new(full(text.into()));
    let value = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

fn full(bytes: Bytes) -> UnsyncBoxBody<Bytes, io::Error> {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}
