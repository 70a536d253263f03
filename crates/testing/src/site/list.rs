//! A stand-in for the platform's list of endpoints.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

/// Entries on a page: few, so that tests cover pagination.
const PAGE_SIZE: usize = 2;

/// An endpoint's entry on the list. Field names are those of the platform's JSON.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Line {
    /// Instance id of the endpoint.
    pub id: String,
    /// Start time in Unix milliseconds.
    pub born: u64,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Software version.
    pub version: String,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// Remaining warm-up time, in milliseconds.
    pub warmup_left_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<Line>,
    /// Raw entries from another writer, possibly invalid JSON.
    foreign: Vec<Vec<u8>>,
    calls: u64,
    fails: bool,
    domains_read: BTreeSet<String>,
}

/// An HTTP server of the list; it runs until the process ends.
#[derive(Debug)]
pub struct SiteList {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl SiteList {
    /// Starts an empty list on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listener = listener.expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("a bound port is known");
        listener
            .set_nonblocking(true)
            .expect("a socket can be made non-blocking");
        let state = Arc::new(Mutex::new(State::default()));
        crate::runtime::handle().spawn(accept(listener, Arc::clone(&state)));
        Self { addr, state }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces its entries.
    pub fn set(&self, lines: Vec<Line>) {
        self.lock().lines = lines;
    }

    /// Replaces the raw entries that each page has after its first entry, as if another writer
    /// had put them there.
    pub fn set_foreign(&self, entries: Vec<Vec<u8>>) {
        self.lock().foreign = entries;
    }

    /// Sets whether it answers 500 instead of the list.
    pub fn fail(&self, fails: bool) {
        self.lock().fails = fails;
    }

    /// Number of requests that it received.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Failure domains that were queried with the `zone` parameter.
    pub fn domains_read(&self) -> BTreeSet<String> {
        self.lock().domains_read.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: std::net::TcpListener, state: Arc<Mutex<State>>) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let answer = answer(&state, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            // An error only means that the client closed the connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(state: &Mutex<State>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    state.calls += 1;
    let mut answer = Response::new(Full::default());
    if state.fails || req.uri().path() != "/instances" {
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return answer;
    }
    let domain = parameter(req, "zone").map(str::to_owned);
    let token = parameter(req, "page_token");
    let from: usize = token.and_then(|t| t.parse().ok()).unwrap_or(0);
    state.domains_read.extend(domain.clone());
    let of_domain = |line: &&Line| domain.as_ref().is_none_or(|domain| line.zone == *domain);
    let lines: Vec<_> = state.lines.iter().filter(of_domain).collect();
    let page = lines.iter().skip(from).take(PAGE_SIZE);
    let mut page: Vec<_> = page.map(json).collect();
    let insert_at = page.len().min(1);
    page.splice(insert_at..insert_at, state.foreign.iter().cloned());
    let next = from + PAGE_SIZE;
    let token = (next < lines.len()).then(|| next.to_string());
    let body = [
        b"{\"instances\":[",
        &page.join(&b',')[..],
        b"],\"next_page_token\":",
        &json(&token),
        b"}",
    ];
    *answer.body_mut() = Full::new(Bytes::from(body.concat()));
    answer
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain values can be written")
}

fn parameter<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query().unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
