//! The HTTP server that callers connect to.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use filberthead_ring::{PushError, Sender};
use filberthead_types::{Incarnation, Meaning, RequestId, ResultCode, ServiceName, header};
use http::header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::Instant;

use crate::answer::insert_result_headers;
use crate::connection::{ConnectionState, Connections, ServedConnection};
use crate::route::{self, Route};
use crate::{
    Answer, AnswerBody, Call, CallerGroup, Directory, Execution, ForwardedBy, Heartbeat, Refusal,
};

/// How often unused connections are looked for.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// After so many sweeps without a whole request's head a connection is ended, be its
/// caller idle, gone or slow on purpose.
const MAX_UNUSED_SWEEPS: u32 = 12;
/// How often a server that closes looks whether its last connection has ended.
const CLOSING_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Bytes that a connection holds at most of what its caller hasn't read yet; also the
/// bound of a request's head. 16 KiB keeps a thousand slow readers within tens of MB.
const MAX_BUF: usize = 16 * 1024;
/// Pause after an accept that failed for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A caller that is refused for want of room is asked to come back after this.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most that a caller may ask for as its timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Where the server stands on its way to a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Takes requests of callers that still hold an older look-up's answer, and asks
    /// each to close its connection.
    Leaving,
    /// Takes no more connections, finishes what is running.
    Closing,
}

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at the same time. Further ones wait in the system's own bounded
    /// queue of connections.
    pub connections: usize,
    /// Deadline of a request that names none.
    pub request_timeout: Duration,
}

/// The other end of a connection.
#[derive(Clone, Copy, Debug)]
struct Peer {
    addr: IpAddr,
    group: CallerGroup,
}

/// Who sends a request.
struct Source {
    id: RequestId,
    caller: Option<IpAddr>,
    forwarded_by: Option<ForwardedBy>,
}

/// Takes note of look-ups. Called on the thread that answers them, so it must not wait.
pub trait LookupObserver: fmt::Debug + Send + Sync {
    /// A look-up was answered.
    fn looked_up(&self, code: ResultCode, took: Duration);
}

/// What a server is made of; [`Server::run`] makes one of it on its own thread.
#[derive(Debug)]
pub struct Server {
    bounds: Bounds,
    incarnation: Incarnation,
    directory: watch::Receiver<Arc<Directory>>,
    phase: watch::Receiver<Phase>,
    heartbeat: Heartbeat,
    calls: Sender<Call>,
    observer: Option<Arc<dyn LookupObserver>>,
}

/// A server that runs.
#[derive(Debug)]
struct RunningServer {
    server: Server,
    /// The phase as it was followed last.
    phase: Cell<Phase>,
    connections: Rc<Connections>,
    next_id: Cell<u64>,
}

impl Server {
    /// A server that answers look-ups from the newest `directory` and puts requests
    /// into `calls`, and refuses both unless the
    /// `heartbeat` vouches for the directory.
    pub fn new(
        bounds: Bounds,
        incarnation: Incarnation,
        directory: watch::Receiver<Arc<Directory>>,
        phase: watch::Receiver<Phase>,
        heartbeat: Heartbeat,
        calls: Sender<Call>,
    ) -> Self {
        Self {
            bounds,
            incarnation,
            directory,
            phase,
            heartbeat,
            calls,
            observer: None,
        }
    }

    /// Tells an observer of each look-up. Default none.
    #[must_use]
    pub fn observer(mut self, observer: Arc<dyn LookupObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Serves until [`Phase::Closing`] and the end of the last connection. Must run
    /// within a `LocalSet`.
    pub async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.bounds.connections));
        let phase = *self.phase.borrow();
        let server = Rc::new(RunningServer {
            server: self,
            phase: Cell::new(phase),
            connections: Rc::default(),
            next_id: Cell::new(0),
        });
        let mut closing = pin!(server.follow_phase());
        loop {
            let accepted = tokio::select! {
                accepted = accept(&listener, &permits) => accepted,
                () = &mut closing => break,
            };
            match accepted {
                Ok((stream, from, permit)) => {
                    let server = Rc::clone(&server);
                    tokio::task::spawn_local(async move {
                        server.serve(stream, from.ip()).await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    warn!(error:% = e; "accepting a caller failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        while !server.connections.is_empty() {
            // Also reaches connections whose task had not begun when they were told.
            server.connections.close_all();
            tokio::time::sleep(CLOSING_POLL_PERIOD).await;
        }
    }
}

impl RunningServer {
    /// Follows the phase and ends unused connections, until [`Phase::Closing`].
    async fn follow_phase(&self) {
        let mut phase = self.server.phase.clone();
        let mut sweep = tokio::time::interval(SWEEP_PERIOD);
        loop {
            let now = *phase.borrow_and_update();
            self.phase.set(now);
            if now == Phase::Closing {
                return;
            }
            tokio::select! {
                changed = phase.changed() => if changed.is_err() {
                    // Nobody is left to change the phase: the process ends.
                    return;
                },
                _ = sweep.tick() => self.connections.sweep(MAX_UNUSED_SWEEPS),
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, from: IpAddr) {
        // Answers are written in one piece; waiting for more would only add latency.
        if let Err(e) = stream.set_nodelay(true) {
            debug!(error:% = e; "a caller went away");
            return;
        }
        let registration = self.connections.register();
        let service = CallerService {
            server: self,
            state: Rc::clone(&registration.state),
            from: Peer {
                addr: from,
                group: CallerGroup::of(from),
            },
        };
        let connection = http1::Builder::new()
            .max_buf_size(MAX_BUF)
            .serve_connection(TokioIo::new(stream), service);
        ServedConnection::new(connection, registration).await;
    }

    /// Asks for the end of the connection while a planned stop is under way.
    fn close_if_stopping(&self, mut response: Response<AnswerBody>) -> Response<AnswerBody> {
        if matches!(self.phase.get(), Phase::Leaving | Phase::Closing) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn is_up_to_date(&self) -> bool {
        let start = self.server.directory.borrow().start();
        self.server.heartbeat.is_valid_for(start)
    }

    fn lookup(&self, from: Peer, service: &str) -> Response<AnswerBody> {
        let Some(observer) = &self.server.observer else {
            return self.lookup_with_code(from, service).1;
        };
        let begun = Instant::now();
        let (code, response) = self.lookup_with_code(from, service);
        observer.looked_up(code, begun.elapsed());
        response
    }

    fn lookup_with_code(&self, from: Peer, service: &str) -> (ResultCode, Response<AnswerBody>) {
        match self.lookup_response(from, service) {
            Ok(response) => (ResultCode::LookedUp, response),
            Err(refusal) => (refusal.code, refusal.into_response(self.next_request_id())),
        }
    }

    fn lookup_response(&self, from: Peer, service: &str) -> Result<Response<AnswerBody>, Refusal> {
        if !self.is_up_to_date() {
            return Err(refusal_before_key_check(ResultCode::NotReady, false));
        }
        let directory = self.server.directory.borrow();
        let answer = directory.answer(service, from.group);
        let body = answer
            .ok_or_else(|| refusal_before_key_check(directory.unknown_service_code(), false))?;
        drop(directory);
        if body.is_empty() {
            return Err(Refusal::new(ResultCode::NoEntry).retry_after(RETRY_AFTER));
        }
        let mut response = Response::new(AnswerBody::Buffered(body));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // The time to live stands in the body; caches between us and the caller know
        // nothing of planned stops.
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    async fn request(
        &self,
        from: IpAddr,
        service: ServiceName,
        target: PathAndQuery,
        req: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let needs_key = !req.method().is_safe();
        let mut response = self.forward(from, service, target, req).await;
        if needs_key {
            self.insert_key_prefix(&mut response);
        }
        response
    }

    async fn forward(
        &self,
        from: IpAddr,
        service: ServiceName,
        target: PathAndQuery,
        mut req: Request<Incoming>,
    ) -> Response<AnswerBody> {
        *req.uri_mut() = Uri::from(target);
        let keyed = matches!(route::execution(&req), Ok(Execution::Keyed(_)));
        let source = match self.source(from, req.headers()) {
            Ok(source) => source,
            Err(code) => {
                return refusal_before_key_check(code, keyed).into_response(self.next_request_id());
            }
        };
        let id = source.id;
        if !self.is_up_to_date() {
            return refusal_before_key_check(ResultCode::NotReady, keyed).into_response(id);
        }
        let (tx, rx) = oneshot::channel();
        let call = match self.call(source, service, req, tx) {
            Ok(call) => call,
            Err(code) => return refusal_before_key_check(code, keyed).into_response(id),
        };
        let answer = match self.server.calls.push(call) {
            Ok(()) => receive_answer(rx).await,
            // The thread that talks to endpoints is behind by the whole ring. Nothing
            // of the request has left this thread.
            Err(PushError::Full(_)) => Err(refusal_before_key_check(ResultCode::Overloaded, keyed)),
            Err(PushError::Closed(_)) => Err(refusal_before_key_check(ResultCode::Stopping, keyed)),
        };
        match answer {
            Ok(mut response) => {
                if !response.headers().contains_key(header::RESULT) {
                    insert_result_headers(&mut response, id, ResultCode::Answered);
                }
                response
            }
            Err(refusal) => refusal.into_response(id),
        }
    }

    /// Brings a caller that sends keys the prefix for its next one: of the entry that it
    /// uses, so that its next request finds its home here.
    fn insert_key_prefix(&self, response: &mut Response<AnswerBody>) {
        let directory = self.server.directory.borrow();
        let prefix = Some(directory.key_prefix()).filter(|prefix| !prefix.is_empty());
        if let Some(Ok(prefix)) = prefix.map(HeaderValue::from_str) {
            response.headers_mut().insert(header::KEY_PREFIX, prefix);
        }
    }

    /// Who sends a request: a caller, or an entry that proves to be one.
    ///
    /// A caller that could pass for an entry would skip the forwarding that a caller's
    /// request gets. An entry that restarted a moment ago and isn't known yet is
    /// refused as well; nothing has run, so it may ask elsewhere.
    fn source(&self, from: IpAddr, headers: &HeaderMap) -> Result<Source, ResultCode> {
        if !headers.contains_key(header::FORWARDED_BY) {
            return Ok(Source {
                id: self.next_request_id(),
                caller: Some(from),
                forwarded_by: None,
            });
        }
        let forwarded = route::parse_forwarded(headers).ok_or(ResultCode::BadRequest)?;
        let by = forwarded.by;
        if !self
            .server
            .directory
            .borrow()
            .is_entry(&by.name, by.incarnation)
        {
            return Err(ResultCode::NotReady);
        }
        Ok(Source {
            id: forwarded.id,
            caller: forwarded.caller,
            forwarded_by: Some(by),
        })
    }

    fn call(
        &self,
        source: Source,
        service: ServiceName,
        request: Request<Incoming>,
        answer: oneshot::Sender<Answer>,
    ) -> Result<Call, ResultCode> {
        let (execution, key_hops) = match source.forwarded_by {
            Some(_) => route::forwarded_execution(&request)?,
            None => (route::execution(&request)?, 0),
        };
        // What became of a key is asked first; a service that is gone was there when an
        // earlier send may have run.
        let keyed = matches!(execution, Execution::Keyed(_));
        let directory = self.server.directory.borrow();
        if !keyed && !directory.has_service(&service) {
            return Err(directory.unknown_service_code());
        }
        drop(directory);
        let timeout = route::timeout(request.headers())?;
        let timeout = timeout.unwrap_or(self.server.bounds.request_timeout);
        Ok(Call {
            id: source.id,
            service,
            execution,
            deadline: Instant::now() + timeout.min(MAX_TIMEOUT),
            caller: source.caller,
            key_hops,
            forwarded_by: source.forwarded_by,
            request,
            answer,
        })
    }

    fn next_request_id(&self) -> RequestId {
        let next = self.next_id.get();
        self.next_id.set(next.wrapping_add(1));
        RequestId(u128::from(self.server.incarnation.0) << 64 | u128::from(next))
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    // The semaphore is never closed, so this only waits for room.
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(std::io::Error::other)?;
    let (stream, from) = listener.accept().await?;
    Ok((stream, from, permit))
}

/// Answers the requests of one connection.
struct CallerService {
    server: Rc<RunningServer>,
    state: Rc<ConnectionState>,
    from: Peer,
}

/// An answer that is there, as to a look-up, or one to wait for. Only the latter needs
/// memory of its own.
enum ResponseFuture {
    Ready(Option<Response<AnswerBody>>),
    Pending(Pin<Box<dyn Future<Output = Response<AnswerBody>>>>),
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn call(&self, req: Request<Incoming>) -> ResponseFuture {
        let server = &self.server;
        server.connections.begin_request(&self.state);
        let response = match route::route(req.method(), req.uri()) {
            Route::Lookup(service) => server.lookup(self.from, service),
            Route::Refuse(code) => Refusal::new(code).into_response(server.next_request_id()),
            Route::Service(service, target) => {
                let server = Rc::clone(server);
                let state = Rc::clone(&self.state);
                let from = self.from.addr;
                return ResponseFuture::Pending(Box::pin(async move {
                    let response = server.request(from, service, target, req).await;
                    server.connections.end_request(&state);
                    server.close_if_stopping(response)
                }));
            }
        };
        server.connections.end_request(&self.state);
        ResponseFuture::Ready(Some(server.close_if_stopping(response)))
    }
}

impl Future for ResponseFuture {
    type Output = Result<Response<AnswerBody>, Infallible>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.get_mut() {
            Self::Ready(response) => match response.take() {
                Some(response) => Poll::Ready(Ok(response)),
                // Polled again after its end, which no executor does.
                None => Poll::Pending,
            },
            Self::Pending(response) => response.as_mut().poll(cx).map(Ok),
        }
    }
}

/// A refusal before the home of the request's key was asked, if it has a key: then
/// nobody here can say that an earlier send of it didn't run.
fn refusal_before_key_check(code: ResultCode, keyed: bool) -> Refusal {
    let code = match code.meaning() {
        Meaning::NotRun if keyed => ResultCode::KeyNotChecked,
        _ => code,
    };
    match code {
        ResultCode::KeyNotChecked | ResultCode::Overloaded | ResultCode::NotReady => {
            Refusal::new(code).retry_after(RETRY_AFTER)
        }
        _ => Refusal::new(code),
    }
}

async fn receive_answer(rx: oneshot::Receiver<Answer>) -> Answer {
    // The carrying task ended without an answer: a fault of ours after the request
    // left this thread, so nothing may be claimed about its execution.
    let lost = Refusal::new(ResultCode::EndpointLost);
    rx.await.unwrap_or(Err(lost))
}
