//! The HTTP server that callers connect to.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::net::IpAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use filberthead_limits::{Admitted, Clients, Port, PortBounds, PortCounters, accept};
use filberthead_ring::{PushError, Sender};
use filberthead_types::{Incarnation, Meaning, RequestId, ResultCode, ServiceName, header};
use http::header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::answer::insert_result_headers;
use crate::connection::{ConnectionState, Connections, ServedConnection};
use crate::route::{self, Route};
use crate::stream::{CallerStream, ServedBody};
use crate::{
    Answer, AnswerBody, Call, CallerGroup, Directory, Execution, ForwardedBy, Heartbeat, Refusal,
};

/// How often the server checks for idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// After this many sweeps without a complete request head a connection is closed, whether its
/// caller is idle, gone or deliberately slow.
const MAX_UNUSED_SWEEPS: u32 = 12;
/// How often a closing server checks whether its last connection has closed.
const CLOSING_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Maximum number of bytes buffered per connection that its caller hasn't read yet; also the
/// maximum length of a request head. 16 KiB keeps a thousand slow readers within tens of MB.
const MAX_BUF: usize = 16 * 1024;
/// `Retry-After` of refusals for lack of capacity or because this entry isn't ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum timeout; longer ones from callers are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests; no stop is planned.
    Serving,
    /// Still accepts requests, from callers that use an older answer to a look-up, and asks
    /// each caller to close its connection.
    Leaving,
    /// Accepts no more connections and finishes the running requests.
    Closing,
}

/// Limits of the server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// What callers can make the process hold.
    pub callers: PortBounds,
    /// Timeout of a request that sends none.
    pub request_timeout: Duration,
}

/// The remote end of a connection.
#[derive(Clone, Copy, Debug)]
struct Peer {
    addr: IpAddr,
    group: CallerGroup,
}

/// The verified origin of a request.
struct Source {
    id: RequestId,
    caller: Option<IpAddr>,
    forwarded_by: Option<ForwardedBy>,
}

/// Receives an event per look-up. Called on the thread that answers look-ups, so it must not
/// block.
pub trait LookupObserver: fmt::Debug + Send + Sync {
    /// A look-up was answered with `code` after the time `took`.
    fn looked_up(&self, code: ResultCode, took: Duration);
}

/// The configured server; [`Server::run`] starts it on the calling thread.
#[derive(Debug)]
pub struct Server {
    bounds: Bounds,
    incarnation: Incarnation,
    directory: watch::Receiver<Arc<Directory>>,
    phase: watch::Receiver<Phase>,
    heartbeat: Heartbeat,
    calls: Sender<Call>,
    observer: Option<Arc<dyn LookupObserver>>,
    counters: Arc<PortCounters>,
}

/// A server that is running, with its state.
#[derive(Debug)]
struct RunningServer {
    server: Server,
    /// The last phase read from the server's channel.
    phase: Cell<Phase>,
    connections: Rc<Connections>,
    next_id: Cell<u64>,
}

impl Server {
    /// Creates a server that answers look-ups from the newest `directory` and pushes requests
    /// into `calls`. It refuses both if the directory isn't valid under the `heartbeat`.
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
            counters: Arc::default(),
        }
    }

    /// Sets the counters of callers' connections. Default some that nobody reads.
    #[must_use]
    pub fn counters(mut self, counters: Arc<PortCounters>) -> Self {
        self.counters = counters;
        self
    }

    /// Sets an observer that is called after each look-up. Default none.
    #[must_use]
    pub fn observer(mut self, observer: Arc<dyn LookupObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Serves until [`Phase::Closing`], then until the last connection has closed. Must run
    /// within a `LocalSet`.
    pub async fn run(self, listener: TcpListener) {
        let clients = Clients::new(
            Port::Callers,
            self.bounds.callers,
            Arc::clone(&self.counters),
        );
        let phase = *self.phase.borrow();
        let server = Rc::new(RunningServer {
            server: self,
            phase: Cell::new(phase),
            connections: Rc::default(),
            next_id: Cell::new(0),
        });
        let mut closing = pin!(server.follow_phase());
        loop {
            let (stream, from, admitted) = tokio::select! {
                accepted = accept(&listener, &clients) => accepted,
                () = &mut closing => break,
            };
            tokio::task::spawn_local(Rc::clone(&server).serve(stream, from.ip(), admitted));
        }
        drop(listener);
        while !server.connections.is_empty() {
            // Repeated, to include connections whose task hadn't registered them yet.
            server.connections.close_all();
            tokio::time::sleep(CLOSING_POLL_PERIOD).await;
        }
    }
}

impl RunningServer {
    /// Tracks the phase and closes idle connections, until [`Phase::Closing`].
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
                    // The sender of the phase was dropped: the process is ending.
                    return;
                },
                _ = sweep.tick() => self.connections.sweep(MAX_UNUSED_SWEEPS),
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, from: IpAddr, admitted: Admitted) {
        // Answers are written at once; waiting for more data would only add latency.
        if let Err(e) = stream.set_nodelay(true) {
            debug!(error:% = e; "setting TCP_NODELAY on a caller's connection failed");
            return;
        }
        let registration = self.connections.register(admitted);
        let state = Rc::clone(&registration.state);
        let service = CallerService {
            server: self,
            state: Rc::clone(&registration.state),
            from: Peer {
                addr: from,
                group: CallerGroup::of(from),
            },
        };
        let stream = CallerStream::new(stream, Rc::clone(&registration.state));
        let connection = http1::Builder::new()
            .max_buf_size(MAX_BUF)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            biased;
            () = state.admitted.evicted() => {}
            () = ServedConnection::new(connection, registration) => {}
        }
    }

    /// Adds `Connection: close` during a planned stop.
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
        // The TTL is in the body; caches between this entry and the caller don't learn of
        // planned stops.
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
            // The ring to the thread that sends requests to endpoints is full. Nothing of the
            // request has left this thread.
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

    /// Sends a caller that uses idempotency keys this entry's prefix for its next key, so that
    /// the key's home is this entry.
    fn insert_key_prefix(&self, response: &mut Response<AnswerBody>) {
        let directory = self.server.directory.borrow();
        let prefix = Some(directory.key_prefix()).filter(|prefix| !prefix.is_empty());
        if let Some(Ok(prefix)) = prefix.map(HeaderValue::from_str) {
            response.headers_mut().insert(header::KEY_PREFIX, prefix);
        }
    }

    /// The origin of a request: a caller, or an entry that is authenticated by its incarnation.
    ///
    /// A caller that could impersonate an entry would bypass the forwarding that applies to
    /// callers' requests. A request of an entry that has just restarted and whose new
    /// incarnation isn't known here is refused too; nothing has run, so it may try elsewhere.
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
        // A request with a key isn't checked here: the key's outcome comes first, because a
        // service that was removed existed when an earlier send may have run.
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

/// Answers the requests of one connection.
struct CallerService {
    server: Rc<RunningServer>,
    state: Rc<ConnectionState>,
    from: Peer,
}

/// A response that is ready, as to a look-up, or one that is awaited. Only the latter is
/// allocated.
enum ResponseFuture {
    Ready(Option<Response<ServedBody>>),
    Pending(Pin<Box<dyn Future<Output = Response<ServedBody>>>>),
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<ServedBody>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn call(&self, req: Request<Incoming>) -> ResponseFuture {
        let server = &self.server;
        server.connections.begin_request(&self.state);
        let version = req.version();
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
                    ServedBody::of(server.close_if_stopping(response), version, &state)
                }));
            }
        };
        server.connections.end_request(&self.state);
        let response = server.close_if_stopping(response);
        ResponseFuture::Ready(Some(ServedBody::of(response, version, &self.state)))
    }
}

impl Future for ResponseFuture {
    type Output = Result<Response<ServedBody>, Infallible>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.get_mut() {
            Self::Ready(response) => match response.take() {
                Some(response) => Poll::Ready(Ok(response)),
                // Polled again after completion, which no executor does.
                None => Poll::Pending,
            },
            Self::Pending(response) => response.as_mut().poll(cx).map(Ok),
        }
    }
}

/// A refusal before the home of the request's idempotency key was asked. `keyed` is whether the
/// request has a key: if so, an earlier send with the key may have run, so the answer must not
/// claim that nothing did.
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
    // The task that handled the request ended without an answer: an internal fault after the
    // request left this thread, so the answer must claim nothing about its execution.
    let lost = Refusal::new(ResultCode::EndpointLost);
    rx.await.unwrap_or(Err(lost))
}
