//! A stand-in for an endpoint of the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::Line;
use crate::standin::{AnswerBody, Payload};

/// An answer that is a short text, or as many bytes as the request names.
type SiteBody = Either<Full<Bytes>, AnswerBody>;

/// Length of an answer that is to break off, unless the request names one.
const DEFAULT_TRUNCATED_BYTES: u64 = 100;

/// Lines of a request's head that it reads, far above what hyper reads by itself, so that
/// what a gateway lets pass isn't refused here.
const MAX_HEADERS: usize = 1024;

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs a request and answers.
    #[default]
    Serves,
    /// It says that it did not run the request.
    Sheds,
    /// It runs the request and closes the connection without an answer.
    LosesAnswer,
    /// It runs the request and answers 500.
    Fails,
    /// It runs the request and answers under another request's id.
    WrongRequestId,
    /// It takes the request and never answers.
    Hangs,
    /// It runs the request and breaks off in the middle of the answer.
    Truncates,
    /// It runs the request and sends its answer at so many bytes a second.
    Paced(u64),
    /// Somebody else has its address, and answers 404 to whatever comes.
    ForeignServer,
}

/// A request that an endpoint began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// Its method and path.
    pub request_line: String,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    /// Unix millisecond of its start.
    started_ms: u64,
    proxy_addr: Option<SocketAddr>,
    behaviour: Behaviour,
    run_time: Duration,
    draining: bool,
    gone: bool,
    cold_ms: u64,
    ran: Vec<Run>,
    /// Time left that each request named.
    deadlines: Vec<u64>,
    /// Requests whose connection closed while they ran.
    dropped: Vec<String>,
}

/// An endpoint; it ends with the process.
#[derive(Clone, Debug)]
pub struct SiteEndpoint {
    addr: SocketAddr,
    service: String,
    domain: String,
    state: Arc<Mutex<State>>,
    closed: Arc<Notify>,
    restarted: Arc<Notify>,
}

impl SiteEndpoint {
    pub(super) fn start(id: &str, service: &str, domain: &str) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listener = listener.expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("a bound port is known");
        listener
            .set_nonblocking(true)
            .expect("a socket can be made non-blocking");
        let endpoint = Self {
            addr,
            service: service.to_owned(),
            domain: domain.to_owned(),
            state: Arc::new(Mutex::new(State {
                id: id.to_owned(),
                started_ms: next_start(0),
                ..State::default()
            })),
            closed: Arc::new(Notify::new()),
            restarted: Arc::new(Notify::new()),
        };
        crate::runtime::handle().spawn(accept(listener, endpoint.clone()));
        endpoint
    }

    /// Its line on the list.
    pub fn line(&self) -> Line {
        let state = self.lock();
        Line {
            id: state.id.clone(),
            born: state.started_ms,
            service: self.service.clone(),
            address: state.proxy_addr.unwrap_or(self.addr),
            zone: self.domain.clone(),
            version: "v1".to_owned(),
            slots: 3,
            state: if state.draining { "draining" } else { "ready" }.to_owned(),
            warmup_left_ms: state.cold_ms,
        }
    }

    /// Changes how it answers.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Changes how long a request runs.
    pub fn set_run_time(&self, run_time: Duration) {
        self.lock().run_time = run_time;
    }

    /// Says on the list that it is to go.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Says on the list that it stays cold for so long.
    pub fn set_warmup_left(&self, ms: u64) {
        self.lock().cold_ms = ms;
    }

    /// Begins anew under another identity, at the same address.
    pub fn replace_instance(&self, id: &str) {
        let mut state = self.lock();
        state.id = id.to_owned();
        state.started_ms = next_start(state.started_ms);
    }

    /// Begins anew under the identity that it had: requests break off, it is to stay, and is
    /// cold for so long.
    pub fn restart(&self, id: &str, cold_ms: u64) {
        self.replace_instance(id);
        let mut state = self.lock();
        state.behaviour = Behaviour::default();
        state.draining = false;
        state.gone = false;
        state.cold_ms = cold_ms;
        drop(state);
        self.restarted.notify_waiters();
    }

    /// Leaves the list.
    pub fn leave(&self) {
        self.lock().gone = true;
    }

    /// Whether it has left the list.
    pub fn is_gone(&self) -> bool {
        self.lock().gone
    }

    /// Ids of the requests that it ran, in order.
    pub fn ran(&self) -> Vec<String> {
        let ran = &self.lock().ran;
        ran.iter().map(|run| run.id.clone()).collect()
    }

    /// The requests that it ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().ran.clone()
    }

    /// Has the list name this address, that of a proxy before the endpoint.
    pub(super) fn set_proxy_addr(&self, addr: SocketAddr) {
        self.lock().proxy_addr = Some(addr);
    }

    /// Where it listens itself.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its identity.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Whether the list says that it is to go.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Its failure domain.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Time left that requests named, in milliseconds.
    pub fn deadlines(&self) -> Vec<u64> {
        self.lock().deadlines.clone()
    }

    /// Ids of requests whose connection closed while they ran.
    pub fn dropped(&self) -> Vec<String> {
        self.lock().dropped.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The moment of a start that follows another one.
fn next_start(before: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    now.max(before + 1)
}

async fn accept(listener: std::net::TcpListener, endpoint: SiteEndpoint) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    while let Ok((stream, _)) = listener.accept().await {
        let endpoint = endpoint.clone();
        tokio::spawn(async move {
            let restarted = Arc::clone(&endpoint.restarted);
            let service = service_fn(move |req| handle(endpoint.clone(), req));
            let served = http1::Builder::new()
                .max_headers(MAX_HEADERS)
                .serve_connection(TokioIo::new(stream), service);
            // An error is how a behaviour closes the connection.
            tokio::select! {
                _ = served => {}
                () = restarted.notified() => {}
            }
        });
    }
}

/// Notes a request whose connection closes before it is done.
struct Running {
    endpoint: SiteEndpoint,
    id: String,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.done {
            self.endpoint.lock().dropped.push(self.id.clone());
            self.endpoint.closed.notify_waiters();
        }
    }
}

async fn handle(endpoint: SiteEndpoint, req: Request<Incoming>) -> io::Result<Response<SiteBody>> {
    let (head, body) = req.into_parts();
    let text = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text(&head.headers, "x-request-id");
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let (instance_id, behaviour, run_time) = {
        let state = endpoint.lock();
        (state.id.clone(), state.behaviour, state.run_time)
    };
    let answer = |status: StatusCode, body: SiteBody| {
        Response::builder()
            .status(status)
            .header("x-request-id", &id)
            .header("x-instance-id", &instance_id)
            .header("x-server-load", "0,0,3")
            .body(body)
            .map_err(io::Error::other)
    };
    if behaviour == Behaviour::ForeignServer {
        let mut answer = Response::new(short(Bytes::new()));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return Ok(answer);
    }
    if text(&head.headers, "x-target-instance") != instance_id {
        return answer(StatusCode::MISDIRECTED_REQUEST, short(Bytes::new()));
    }
    if behaviour == Behaviour::Sheds {
        let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, short(Bytes::new()))?;
        answer
            .headers_mut()
            .insert("x-not-executed", http::HeaderValue::from_static("1"));
        return Ok(answer);
    }
    {
        let mut state = endpoint.lock();
        state.ran.push(Run {
            id: id.clone(),
            request_line: format!("{} {}", head.method, head.uri),
        });
        let deadline_ms = text(&head.headers, "x-deadline-ms").parse::<u64>();
        state.deadlines.extend(deadline_ms);
    }
    let mut running = Running {
        endpoint: endpoint.clone(),
        id: id.clone(),
        done: false,
    };
    tokio::time::sleep(run_time).await;
    match behaviour {
        Behaviour::Hangs => std::future::pending().await,
        Behaviour::LosesAnswer => {
            running.done = true;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        _ => {}
    }
    running.done = true;
    let body = answer_body(&head, &body, behaviour);
    let status = match behaviour {
        Behaviour::Fails => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut answer = answer(status, body)?;
    let headers = answer.headers_mut();
    headers.insert(
        "x-response-signature",
        http::HeaderValue::from_static("signed"),
    );
    if behaviour == Behaviour::WrongRequestId {
        let other = http::HeaderValue::from_static("somebody-elses");
        headers.insert("x-request-id", other);
    }
    Ok(answer)
}

fn short(body: Bytes) -> SiteBody {
    Either::Left(Full::new(body))
}

/// As many bytes as the query `bytes=N` names, or a text that names the request.
fn answer_body(head: &http::request::Parts, body: &[u8], behaviour: Behaviour) -> SiteBody {
    let (method, uri) = (head.method.as_str(), head.uri.to_string());
    let bytes = requested_bytes(&uri);
    if bytes.is_none() && behaviour != Behaviour::Truncates {
        return short(Bytes::from(format!("{method} {uri} {}", body.len())));
    }
    let bytes = bytes.unwrap_or(DEFAULT_TRUNCATED_BYTES);
    let payload = Payload::of_answer(method, &uri, body);
    let cut = (behaviour == Behaviour::Truncates).then_some(bytes / 2);
    let pace = match behaviour {
        Behaviour::Paced(pace) => Some(pace),
        _ => None,
    };
    let body = AnswerBody::new(payload, 0, bytes).cut_after(cut).pace(pace);
    Either::Right(body)
}

fn requested_bytes(uri: &str) -> Option<u64> {
    uri.split_once("?bytes=")?.1.parse().ok()
}

/// Whether this is the whole answer to a request.
pub fn is_answer(method: &str, path: &str, body: &[u8], answer: &[u8]) -> bool {
    match requested_bytes(path) {
        Some(bytes) => {
            answer.len() as u64 == bytes
                && Payload::of_answer(method, path, body).matches(0, answer)
        }
        None => answer == format!("{method} {path} {}", body.len()).as_bytes(),
    }
}
