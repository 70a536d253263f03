//! A stand-in for the platform's list of VMs, which entries poll.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// It runs requests.
    Endpoint,
    /// It runs `filberthead-entry`.
    Entry,
}

/// Whether a VM stays in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It stays in service.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// What runs on it.
    pub kind: VmKind,
    /// Its service; empty for an entry.
    pub service: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Limit on open connections.
    pub connections: u32,
    /// Whether it stays in service.
    pub state: VmState,
}

#[derive(Debug, Default)]
struct State {
    shown: Vec<Vm>,
    /// Lists that aren't shown yet, sorted by the time at which each will be.
    pending: Vec<(Instant, Vec<Vm>)>,
    lag: Duration,
    fails: bool,
}

impl State {
    fn shown(&mut self, now: Instant) -> &[Vm] {
        let due = self.pending.partition_point(|(at, _)| *at <= now);
        if let Some((_, vms)) = self.pending.drain(..due).next_back() {
            self.shown = vms;
        }
        &self.shown
    }
}

/// An HTTP server of the list; it stops when dropped.
#[derive(Debug)]
pub struct PlatformList {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    serving: JoinHandle<()>,
}

impl PlatformList {
    /// Starts with an empty list, on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("a bound port is known");
        listener
            .set_nonblocking(true)
            .expect("a socket can be made non-blocking");
        let state = Arc::new(Mutex::new(State::default()));
        let serving = crate::runtime::handle().spawn(serve(listener, Arc::clone(&state)));
        Self {
            addr,
            state,
            serving,
        }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the delay with which later calls of [`set`](Self::set) take effect. Initially zero.
    pub fn lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Replaces the list once the [lag](Self::lag) has passed.
    pub fn set(&self, vms: Vec<Vm>) {
        let mut state = lock(&self.state);
        let due = Instant::now() + state.lag;
        state.pending.push((due, vms));
        state.pending.sort_by_key(|(at, _)| *at);
    }

    /// Sets whether it answers 500 instead of the list.
    pub fn fail(&self, fails: bool) {
        lock(&self.state).fails = fails;
    }
}

impl Drop for PlatformList {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: std::net::TcpListener, state: Arc<Mutex<State>>) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = answer(&state);
            async { Ok::<_, Infallible>(answer) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn answer(state: &Mutex<State>) -> Response<Full<Bytes>> {
    let mut state = lock(state);
    if state.fails {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return answer;
    }
    let vms = state.shown(Instant::now());
    let text = serde_json::to_vec(vms).expect("the list is plain data");
    Response::new(Full::from(text))
}
