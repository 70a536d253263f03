//! A stand-in for an endpoint of the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, Socket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, broadcast};

use super::Line;
use super::journal::Journal;
use super::rest::{Rest, RestScope};
use super::slots::{Entry, Slots};
use crate::cut::{AnswerCut, CutAnswer, RawAnswer, status_of_path};
use crate::endless::{Endless, EndlessAnswer};
use crate::standin::{AnswerBody, OTHER_CODING, Payload};

/// A short text, or a payload of the length that the request asks for.
type SiteBody = Either<Full<Bytes>, AnswerBody>;

/// Full length of an answer that is truncated, if the request asks for none.
const DEFAULT_TRUNCATED_BYTES: u64 = 100;

/// Limit on the number of request headers. It is far above hyper's default, so that requests
/// that a gateway accepts aren't rejected here.
const MAX_HEADERS: usize = 1024;

/// Path of the health check, which is no request of a caller.
const HEALTH_PATH: &str = "/healthz";

/// A request whose path has a last segment with this beginning crashes the endpoint that runs it.
pub const CRASHING_PATH: &str = "crash-";
/// Exit status of an endpoint that has crashed.
const CRASHED: i32 = 70;

/// How an endpoint handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs the request and answers.
    #[default]
    Serves,
    /// It answers 503 with the header that says that the request did not run.
    Sheds,
    /// It runs the request and closes the connection without an answer.
    LosesAnswer,
    /// It runs the request and answers 500.
    Fails,
    /// It runs the request and answers with another request's id.
    WrongRequestId,
    /// It runs the request and never answers.
    Hangs,
    /// It runs the request and closes the connection in the middle of the answer.
    Truncates,
    /// It runs the request and sends the answer at this rate, in bytes per second.
    Paced(u64),
    /// It runs the request and answers with a transfer coding within chunks.
    TransferCoded,
    /// Another server has taken its address, and answers 404 to every request.
    ForeignServer,
    /// It runs the request and sends header lines without end, also to health checks, as with all below.
    EndlessHead,
    /// It sends interim answers without end.
    EndlessInterim,
    /// It sends bytes that are no HTTP without end.
    EndlessGarbage,
    /// It sends a head, and chunks without end.
    EndlessBody,
    /// It sends a head, and chunks of one byte without end.
    EndlessSmallChunks,
    /// It sends a head, and digits of a chunk's size without end.
    EndlessChunkSize,
    /// It sends a head without a length, and a body without end.
    EndlessUnframed,
}

impl Behaviour {
    /// What has no end in its answers, if something hasn't.
    fn endless(self) -> Option<Endless> {
        Some(match self {
            Self::EndlessHead => Endless::Head,
            Self::EndlessInterim => Endless::Interim,
            Self::EndlessGarbage => Endless::Garbage,
            Self::EndlessBody => Endless::Body,
            Self::EndlessSmallChunks => Endless::SmallChunks,
            Self::EndlessChunkSize => Endless::ChunkSize,
            Self::EndlessUnframed => Endless::Unframed,
            _ => return None,
        })
    }
}

/// A request that an endpoint started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// Its method and path.
    pub request_line: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// When it started to run.
    pub at: Instant,
}

/// A request that reached an endpoint, whether it ran or was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// When its head had been read.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    /// Start time in Unix milliseconds.
    started_ms: u64,
    proxy_addr: Option<SocketAddr>,
    behaviour: Behaviour,
    run_time: Duration,
    draining: bool,
    gone: bool,
    cold_ms: u64,
    arrived: Vec<Arrival>,
    ran: Vec<Run>,
    /// The `x-deadline-ms` of each request that had one.
    deadlines: Vec<u64>,
    /// Ids of requests whose connection closed while they ran.
    dropped: Vec<String>,
    /// Share of the requests that `behaviour` applies to, others being served; `None` for all.
    share: Option<f64>,
    /// The limits on what runs at once; `None` for none.
    slots: Option<Arc<Slots>>,
    /// The rate in requests per second that it names.
    named_limit: Option<f64>,
    /// How it asks for rest; `None` while it doesn't.
    rest: Option<Rest>,
    /// Which of its answers say that it is leaving; `None` for none.
    says_leaving: Option<RestScope>,
    /// Whether its process ends when it runs a request that crashes it.
    exits_on_crash: bool,
    /// Receives what arrives and runs, instead of `arrived` and `ran`.
    journal: Option<Journal>,
    /// Answers without end that were begun, and those of them that the other side has ended.
    endless: (u32, u32),
}

impl State {
    /// How the next request is handled.
    fn next_behaviour(&self) -> Behaviour {
        match self.share {
            Some(share) if !rand::random_bool(share) => Behaviour::Serves,
            _ => self.behaviour,
        }
    }

    /// Records what arrived on a connection with these addresses.
    fn record_arrival(&mut self, arrival: Arrival, (from, to): (SocketAddr, SocketAddr)) {
        match &mut self.journal {
            Some(journal) => {
                journal.record_arrival(&arrival);
                journal.record_origin(&arrival, from, to);
            }
            None => self.arrived.push(arrival),
        }
    }

    fn record_run(&mut self, run: Run) {
        match &mut self.journal {
            Some(journal) => journal.record_run(&run),
            None => self.ran.push(run),
        }
    }
}

/// An endpoint of a [`Site`](super::Site); it runs until the process ends.
#[derive(Clone, Debug)]
pub struct SiteEndpoint {
    addr: SocketAddr,
    service: String,
    domain: String,
    state: Arc<Mutex<State>>,
    closed: Arc<Notify>,
    restarted: Arc<Notify>,
    unasked: broadcast::Sender<Bytes>,
}

impl SiteEndpoint {
    pub(crate) fn start(id: &str, service: &str, domain: &str) -> Self {
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
            unasked: broadcast::channel(1).0,
        };
        crate::runtime::handle().spawn(accept(listener, endpoint.clone()));
        endpoint
    }

    /// Its entry for the list.
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

    /// Sets how it handles requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets how it handles this share of the requests; it serves the others.
    pub fn set_behaviour_of_share(&self, behaviour: Behaviour, share: f64) {
        let mut state = self.lock();
        state.behaviour = behaviour;
        state.share = Some(share.clamp(0.0, 1.0));
    }

    /// Runs at most `slots` requests at once, lets `queue` wait and rejects those beyond.
    pub fn limit(&self, slots: u32, queue: u32) {
        self.lock().slots = Some(Arc::new(Slots::new(slots, queue)));
    }

    /// Records what arrives and runs in a journal, instead of in memory.
    pub fn journal_to(&self, journal: Journal) {
        self.lock().journal = Some(journal);
    }

    /// Names this many requests per second as the rate that it takes, or none, in all answers.
    pub fn name_limit(&self, per_s: Option<f64>) {
        self.lock().named_limit = per_s;
    }

    /// Rejects all requests of callers with 503 and asks for this time of rest, or stops doing so.
    pub fn ask_for_rest(&self, time: Option<Duration>) {
        self.set_rest(time.map(Rest::of));
    }

    /// Rejects requests and asks for rest in this way, or stops doing so.
    pub fn set_rest(&self, rest: Option<Rest>) {
        self.lock().rest = rest;
    }

    /// Sends an answer that asks for rest on all of its connections, where nobody has asked. None of them may have
    /// a request under way.
    pub fn ask_unasked_for_rest(&self, time: Duration) {
        let seconds = time.as_secs_f64();
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
        );
        // Fails if there is no connection.
        let _ = self.unasked.send(Bytes::from(head));
    }

    /// Says in all answers that it is leaving, or stops saying so. Its health checks fail meanwhile.
    pub fn say_leaving(&self, leaving: bool) {
        self.lock().says_leaving = leaving.then_some(RestScope::All);
    }

    /// Says that it is leaving in its answers to callers' requests only.
    pub fn say_leaving_to_callers(&self) {
        self.lock().says_leaving = Some(RestScope::Requests);
    }

    /// Ends the process when a request is run that crashes it.
    pub fn exit_on_crash(&self) {
        self.lock().exits_on_crash = true;
    }

    /// Sets how long a request runs. Initially no time.
    pub fn set_run_time(&self, run_time: Duration) {
        self.lock().run_time = run_time;
    }

    /// Marks it as draining in its list entry, from the next update of the list on.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Sets the remaining warm-up time in its list entry, in milliseconds.
    pub fn set_warmup_left(&self, ms: u64) {
        self.lock().cold_ms = ms;
    }

    /// Continues as another instance at the same address, with a new id and start time. Open
    /// connections stay.
    pub fn replace_instance(&self, id: &str) {
        let mut state = self.lock();
        state.id = id.to_owned();
        state.started_ms = next_start(state.started_ms);
    }

    /// Restarts as the instance `id` at the same address: running requests are aborted, the
    /// behaviour is reset, it neither asks for rest nor is draining or leaving any more, and its
    /// warm-up takes `cold_ms`.
    pub fn restart(&self, id: &str, cold_ms: u64) {
        self.replace_instance(id);
        let mut state = self.lock();
        state.behaviour = Behaviour::default();
        state.rest = None;
        state.says_leaving = None;
        state.draining = false;
        state.gone = false;
        state.cold_ms = cold_ms;
        drop(state);
        self.restarted.notify_waiters();
    }

    /// Leaves the list at its next update.
    pub fn leave(&self) {
        self.lock().gone = true;
    }

    /// Whether it has left the list.
    pub fn is_gone(&self) -> bool {
        self.lock().gone
    }

    /// Ids of the requests that it started to run, in order.
    pub fn ran(&self) -> Vec<String> {
        let ran = &self.lock().ran;
        ran.iter().map(|run| run.id.clone()).collect()
    }

    /// The requests that it started to run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().ran.clone()
    }

    /// Whether it started to run a request of this method and path.
    pub fn has_run(&self, request_line: &str) -> bool {
        let ran = &self.lock().ran;
        ran.iter().any(|run| run.request_line == request_line)
    }

    /// The requests that reached it, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrived.clone()
    }

    /// The service that it runs.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Sets the address in its list entry to that of a proxy in front of it.
    pub(super) fn set_proxy_addr(&self, addr: SocketAddr) {
        self.lock().proxy_addr = Some(addr);
    }

    /// Its own listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its instance id.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Whether it is marked as draining.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Its failure domain.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// The `x-deadline-ms` of the requests that it ran, in milliseconds.
    pub fn deadlines(&self) -> Vec<u64> {
        self.lock().deadlines.clone()
    }

    /// Ids of requests whose connection closed while they ran.
    pub fn dropped(&self) -> Vec<String> {
        self.lock().dropped.clone()
    }

    /// Number of answers without end that it has begun, and of those that the other side has ended.
    pub fn endless_answers(&self) -> (u32, u32) {
        self.lock().endless
    }

    async fn send_endless(&self, answer: &EndlessAnswer, mut stream: TcpStream) {
        self.lock().endless.0 += 1;
        answer.send(&mut stream).await;
        self.lock().endless.1 += 1;
    }

    /// The rate that an answer names.
    fn named_limit(&self, id: &str, is_health_check: bool) -> Option<f64> {
        let mut state = self.lock();
        let per_s = state.named_limit;
        if let Some(journal) = state.journal.as_mut().filter(|_| !is_health_check) {
            journal.record_named(id, per_s);
        }
        per_s
    }

    /// How it rejects this request to ask for rest; `None` if it doesn't.
    fn next_rest(&self, id: &str, is_health_check: bool) -> Option<Rest> {
        let mut state = self.lock();
        let rest = state.rest.clone();
        let rest = rest.filter(|rest| rest.rejects_next(is_health_check))?;
        if let Some(journal) = state.journal.as_mut().filter(|_| !is_health_check)
            && let Some(seconds) = rest.seconds()
        {
            journal.record_rest(id, seconds);
        }
        Some(rest)
    }

    /// Whether an answer says that it is leaving.
    fn says_leaving(&self, id: &str, is_health_check: bool) -> bool {
        let mut state = self.lock();
        let scope = state.says_leaving;
        let leaving = scope.is_some_and(|scope| scope.concerns(is_health_check));
        if let Some(journal) = state.journal.as_mut()
            && leaving
            && !is_health_check
        {
            journal.record_leaving(id);
        }
        leaving
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The current Unix time in milliseconds, but later than `before`, the previous start time.
fn next_start(before: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    now.max(before + 1)
}

async fn accept(listener: std::net::TcpListener, endpoint: SiteEndpoint) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    while let Ok((stream, from)) = listener.accept().await {
        let endpoint = endpoint.clone();
        tokio::spawn(async move {
            let restarted = Arc::clone(&endpoint.restarted);
            let unasked = endpoint.unasked.subscribe();
            // A second handle on the socket, since hyper serves the first.
            let Ok(socket) = SockRef::from(&stream).try_clone() else {
                return;
            };
            let raw = RawSlot::default();
            let (endpoint_of_requests, raw_to_set) = (endpoint.clone(), Arc::clone(&raw));
            let service = service_fn(move |req| {
                handle(
                    endpoint_of_requests.clone(),
                    from,
                    req,
                    Arc::clone(&raw_to_set),
                )
            });
            let mut connection = http1::Builder::new()
                .max_headers(MAX_HEADERS)
                .serve_connection(TokioIo::new(stream), service);
            let served = async {
                // A handler returns an error to close the connection, or to answer without hyper.
                if (&mut connection).await.is_ok() {
                    return;
                }
                let answer = raw.lock().unwrap_or_else(PoisonError::into_inner).take();
                if let Some(answer) = answer {
                    let stream = connection.into_parts().io.into_inner();
                    match answer {
                        RawAnswer::Endless(answer) => endpoint.send_endless(&answer, stream).await,
                        RawAnswer::Cut(answer) => answer.send(stream).await,
                    }
                }
            };
            tokio::select! {
                () = served => {}
                () = restarted.notified() => {}
                () = send_unasked(unasked, &socket) => {}
            }
        });
    }
}

/// Sends answers that nobody has asked for.
async fn send_unasked(mut unasked: broadcast::Receiver<Bytes>, socket: &Socket) {
    while let Ok(answer) = unasked.recv().await {
        // Fails only for a connection that has already ended.
        let _ = socket.send(&answer);
    }
}

/// Records the end of a run, and the request as dropped if its connection closes before `done` is set.
struct Running {
    endpoint: SiteEndpoint,
    id: String,
    done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.endpoint.lock();
        if let Some(journal) = &mut state.journal {
            journal.record_end(&self.id, self.done);
        }
        if !self.done {
            state.dropped.push(self.id.clone());
            drop(state);
            self.endpoint.closed.notify_waiters();
        }
    }
}

fn is_crashing(head: &http::request::Parts) -> bool {
    let name = head.uri.path().rsplit('/').next();
    name.is_some_and(|name| name.starts_with(CRASHING_PATH))
}

/// The answer that is sent in place of hyper's, which an error of the handler ends.
type RawSlot = Arc<Mutex<Option<RawAnswer>>>;

async fn handle(
    endpoint: SiteEndpoint,
    from: SocketAddr,
    req: Request<Incoming>,
    raw: RawSlot,
) -> io::Result<Response<SiteBody>> {
    let (head, body) = req.into_parts();
    let text = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text(&head.headers, "x-request-id");
    let is_health_check = head.method == Method::GET && head.uri.path() == HEALTH_PATH;
    if !is_health_check {
        let arrival = Arrival {
            id: id.clone(),
            at: Instant::now(),
        };
        let addrs = (from, endpoint.addr);
        endpoint.lock().record_arrival(arrival, addrs);
    }
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let (instance_id, behaviour, run_time, slots) = {
        let state = endpoint.lock();
        let behaviour = state.next_behaviour();
        (
            state.id.clone(),
            behaviour,
            state.run_time,
            state.slots.clone(),
        )
    };
    let load = slots
        .as_ref()
        .map_or_else(|| "0,0,3".to_owned(), |s| s.load());
    let answer = |status: StatusCode, body: SiteBody| {
        let mut builder = Response::builder();
        if let Some(per_s) = endpoint.named_limit(&id, is_health_check) {
            builder = builder.header("server-limit", per_s.to_string());
        }
        if endpoint.says_leaving(&id, is_health_check) {
            builder = builder.header("server-leaving", "1");
        }
        builder
            .status(status)
            .header("x-request-id", &id)
            .header("x-instance-id", &instance_id)
            .header("x-server-load", &load)
            .body(body)
            .map_err(io::Error::other)
    };
    if behaviour == Behaviour::ForeignServer {
        let mut answer = Response::new(short(Bytes::new()));
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return Ok(answer);
    }
    let reject_for_rest = |rest: Rest| {
        let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, short(Bytes::new()))?;
        let headers = answer.headers_mut();
        for value in rest.values() {
            let value = http::HeaderValue::from_str(value).map_err(io::Error::other)?;
            headers.append("retry-after", value);
        }
        if rest.says_not_executed() {
            headers.insert("x-not-executed", http::HeaderValue::from_static("1"));
        }
        Ok(answer)
    };
    let own_headers = format!("x-request-id: {id}\r\nx-instance-id: {instance_id}\r\n");
    let endless_answer = behaviour
        .endless()
        .map(|kind| EndlessAnswer::new(kind, &own_headers));
    let answer_raw = |answer: RawAnswer| {
        *raw.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
        io::Error::from(io::ErrorKind::InvalidData)
    };
    if is_health_check && let Some(answer) = endless_answer {
        return Err(answer_raw(RawAnswer::Endless(answer)));
    }
    if is_health_check {
        // It need not name an endpoint.
        let named = text(&head.headers, "x-target-instance");
        if !named.is_empty() && named != instance_id {
            return answer(StatusCode::MISDIRECTED_REQUEST, short(Bytes::new()));
        }
        if let Some(rest) = endpoint.next_rest(&id, true) {
            return reject_for_rest(rest);
        }
        // It waits for a slot like a request, and says nothing about how requests fare.
        let _slot = match &slots {
            Some(slots) => match slots.enter().await {
                Entry::Running(slot) => Some(slot),
                Entry::Full => return answer(StatusCode::SERVICE_UNAVAILABLE, short(Bytes::new())),
            },
            None => None,
        };
        let is_leaving = endpoint.says_leaving(&id, true);
        let status = match endpoint.is_draining() || is_leaving {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        return answer(status, short(Bytes::new()));
    }
    if text(&head.headers, "x-target-instance") != instance_id {
        if let Some(journal) = &mut endpoint.lock().journal {
            journal.record_misdirected(&id);
        }
        return answer(StatusCode::MISDIRECTED_REQUEST, short(Bytes::new()));
    }
    if let Some(rest) = endpoint.next_rest(&id, false) {
        return reject_for_rest(rest);
    }
    let not_executed = || {
        let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, short(Bytes::new()))?;
        answer
            .headers_mut()
            .insert("x-not-executed", http::HeaderValue::from_static("1"));
        Ok(answer)
    };
    if behaviour == Behaviour::Sheds {
        return not_executed();
    }
    let _slot = match &slots {
        Some(slots) => match slots.enter().await {
            Entry::Running(slot) => Some(slot),
            Entry::Full => return not_executed(),
        },
        None => None,
    };
    {
        let mut state = endpoint.lock();
        state.record_run(Run {
            id: id.clone(),
            request_line: format!("{} {}", head.method, head.uri),
            headers: head.headers.clone(),
            at: Instant::now(),
        });
        let deadline_ms = text(&head.headers, "x-deadline-ms").parse::<u64>();
        state.deadlines.extend(deadline_ms);
    }
    let mut running = Running {
        endpoint: endpoint.clone(),
        id: id.clone(),
        done: false,
    };
    if is_crashing(&head) {
        tokio::time::sleep(run_time / 4).await;
        if endpoint.lock().exits_on_crash {
            std::process::exit(CRASHED);
        }
    }
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
    if let Some(answer) = endless_answer {
        return Err(answer_raw(RawAnswer::Endless(answer)));
    }
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
    if behaviour == Behaviour::TransferCoded {
        let coding = http::HeaderValue::from_static(OTHER_CODING);
        headers.insert(http::header::TRANSFER_ENCODING, coding);
    }
    if let Some(cut) = AnswerCut::of_path(head.uri.path()) {
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        return Err(answer_raw(RawAnswer::Cut(CutAnswer::new(
            cut, &head, &body,
        ))));
    }
    if let Some(status) = status_of_path(head.uri.path()) {
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let answer = CutAnswer::of_status(status, &head, &body);
        return Err(answer_raw(RawAnswer::Cut(answer)));
    }
    Ok(answer)
}

fn short(body: Bytes) -> SiteBody {
    Either::Left(Full::new(body))
}

/// A payload of the length in the query `bytes=N`, or else a text that repeats the request line
/// and the length of its body.
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

/// Whether `answer` is the complete body that an endpoint sends for this request.
pub fn is_answer(method: &str, path: &str, body: &[u8], answer: &[u8]) -> bool {
    match requested_bytes(path) {
        Some(bytes) => {
            answer.len() as u64 == bytes
                && Payload::of_answer(method, path, body).matches(0, answer)
        }
        None => answer == format!("{method} {path} {}", body.len()).as_bytes(),
    }
}
