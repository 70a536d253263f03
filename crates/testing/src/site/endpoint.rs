//! A stand-in for an endpoint of the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::Line;

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
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
    Crosses,
    /// It takes the request and never answers.
    Hangs,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    manner: Manner,
    takes: Duration,
    draining: bool,
    gone: bool,
    cold_ms: u64,
    ran: Vec<String>,
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
                ..State::default()
            })),
            closed: Arc::new(Notify::new()),
        };
        crate::runtime::handle().spawn(accept(listener, endpoint.clone()));
        endpoint
    }

    /// Its line on the list.
    pub fn line(&self) -> Line {
        let state = self.lock();
        Line {
            id: state.id.clone(),
            service: self.service.clone(),
            address: self.addr,
            zone: self.domain.clone(),
            version: "v1".to_owned(),
            slots: 3,
            state: if state.draining { "draining" } else { "ready" }.to_owned(),
            warmup_left_ms: state.cold_ms,
        }
    }

    /// Changes how it answers.
    pub fn manner(&self, manner: Manner) {
        self.lock().manner = manner;
    }

    /// Changes how long a request runs.
    pub fn takes(&self, takes: Duration) {
        self.lock().takes = takes;
    }

    /// Says on the list that it is to go.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Says on the list that it stays cold for so long.
    pub fn cool(&self, ms: u64) {
        self.lock().cold_ms = ms;
    }

    /// Begins anew under another identity, at the same address.
    pub fn reborn(&self, id: &str) {
        self.lock().id = id.to_owned();
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
        self.lock().ran.clone()
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

async fn accept(listener: std::net::TcpListener, endpoint: SiteEndpoint) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    while let Ok((stream, _)) = listener.accept().await {
        let endpoint = endpoint.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| handle(endpoint.clone(), req));
            // An error is how a manner closes the connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
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

async fn handle(
    endpoint: SiteEndpoint,
    req: Request<Incoming>,
) -> io::Result<Response<Full<Bytes>>> {
    let (head, body) = req.into_parts();
    let text = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text(&head.headers, "x-request-id");
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let (own, manner, takes) = {
        let state = endpoint.lock();
        (state.id.clone(), state.manner, state.takes)
    };
    let answer = |status: StatusCode, body: Bytes| {
        Response::builder()
            .status(status)
            .header("x-request-id", &id)
            .header("x-instance-id", &own)
            .header("x-server-load", "0,0,3")
            .body(Full::new(body))
            .map_err(io::Error::other)
    };
    if text(&head.headers, "x-target-instance") != own {
        return answer(StatusCode::MISDIRECTED_REQUEST, Bytes::new());
    }
    if manner == Manner::Sheds {
        let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())?;
        answer
            .headers_mut()
            .insert("x-not-executed", http::HeaderValue::from_static("1"));
        return Ok(answer);
    }
    {
        let mut state = endpoint.lock();
        state.ran.push(id.clone());
        let left = text(&head.headers, "x-deadline-ms").parse::<u64>();
        state.deadlines.extend(left);
    }
    let mut running = Running {
        endpoint: endpoint.clone(),
        id: id.clone(),
        done: false,
    };
    tokio::time::sleep(takes).await;
    match manner {
        Manner::Hangs => std::future::pending().await,
        Manner::LosesAnswer => {
            running.done = true;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        _ => {}
    }
    running.done = true;
    let whole = Bytes::from(format!("{} {} {}", head.method, head.uri, body.len()));
    let status = match manner {
        Manner::Fails => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut answer = answer(status, whole)?;
    let headers = answer.headers_mut();
    headers.insert(
        "x-response-signature",
        http::HeaderValue::from_static("signed"),
    );
    if manner == Manner::Crosses {
        let other = http::HeaderValue::from_static("somebody-elses");
        headers.insert("x-request-id", other);
    }
    Ok(answer)
}
