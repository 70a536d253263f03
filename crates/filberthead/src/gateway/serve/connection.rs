//! Serves one connection of a caller or of another gateway.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_limits::Admitted;
use filberthead_types::ResultCode;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use log::{debug, info};
use snafu::Report;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::ahead::{AnswerBody, RunningAhead, WaitingResponse};
use super::read_ahead::{Connection, ReadAhead, ReadProgress, linger};
use crate::gateway::attempt::TYPICAL_HEAD_BYTES;
use crate::gateway::bounds::{IdleTimer, MAX_HEADER_LINES, head_buffer_size, head_limit_raised};
use crate::gateway::core::{Core, InLine};
use crate::gateway::request::{ArrivingBody, forward};
use crate::gateway::response::ResponseBody;
use crate::gateway::source::RequestSource;
use crate::gateway::stop::Phase;

/// Bytes that the headers of a relayed request may add to its caller's.
const RELAY_HEAD_BYTES: usize = 1024;

/// Serves a connection until it is closed or has to be replaced.
pub(super) async fn serve_connection(
    core: Rc<Core>,
    stream: TcpStream,
    admitted: Admitted,
    (caller, from): (SocketAddr, RequestSource),
) {
    let _guard = core.track_connection();
    if let Err(e) = stream.set_nodelay(true) {
        debug!(caller:%, error:% = e; "can't set TCP_NODELAY on a caller's connection");
        return;
    }
    let mut bounds = core.bounds();
    let added = match from {
        RequestSource::Caller => 0,
        RequestSource::Gateway => RELAY_HEAD_BYTES,
    };
    let buffer_size = head_buffer_size(&bounds) + added;
    let mut phase = core.phase();
    let admitted = Rc::new(admitted);
    let connection = Connection::new(&core, stream, Rc::clone(&admitted), from);
    let (shared, on) = (Rc::clone(&core), Rc::clone(&connection));
    let service = service_fn(move |req| {
        let begun = begin(&on, req);
        let (core, connection) = (Rc::clone(&shared), Rc::clone(&on));
        async move { Ok::<_, Infallible>(respond(&core, (caller, from), connection, begun).await) }
    });
    let serving = http1::Builder::new()
        .timer(IdleTimer(bounds.clone()))
        // Counts from the end of the previous request, so it bounds idle connections too.
        // `IdleTimer` supplies the actual timeout.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(buffer_size)
        .max_headers(MAX_HEADER_LINES)
        .serve_connection(TokioIo::new(ReadAhead(Rc::clone(&connection))), service);
    let closing = async {
        tokio::select! {
            () = stopped_accepting(&mut phase) => {}
            () = head_limit_raised(&mut bounds, buffer_size) => {}
        }
    };
    let serving = serve(&core, caller, &connection, serving, closing);
    let ended = tokio::select! {
        biased;
        () = admitted.evicted() => Ended::Evicted,
        ended = serving => ended,
    };
    let ahead = std::mem::take(&mut connection.borrow_mut().running).len();
    match ended {
        Ended::Evicted => debug!(caller:%; "connection closed to make room for others"),
        Ended::Disconnected => {
            debug!(caller:%, ahead; "caller has disconnected before it was answered");
        }
        Ended::Closed(Ok(())) => linger(&connection).await,
        Ended::Closed(Err(e)) => {
            record_connection_error(&core, caller, &e);
            if e.is_parse() {
                linger(&connection).await;
            }
        }
    }
}

/// How serving a connection ended.
enum Ended {
    /// The server has closed it.
    Closed(hyper::Result<()>),
    /// The caller has, with requests running.
    Disconnected,
    /// It has to make room for others.
    Evicted,
}

/// Serves a connection until it is closed.
/// After `closing`, it is closed once all requests that were read are answered.
async fn serve<S>(
    core: &Rc<Core>,
    caller: SocketAddr,
    connection: &RefCell<Connection>,
    serving: http1::Connection<TokioIo<ReadAhead>, S>,
    closing: impl Future<Output = ()>,
) -> Ended
where
    S: HttpService<Incoming, ResBody = AnswerBody, Error = Infallible>,
{
    let mut serving = pin!(serving);
    let mut closing = pin!(closing);
    let (mut is_closing, mut is_last) = (false, false);
    let start = |head, arrived| start_ahead(core, caller, head, arrived);
    poll_fn(|cx| {
        loop {
            if !is_closing && closing.as_mut().poll(cx).is_ready() {
                is_closing = true;
                connection.borrow_mut().pipeline.stop();
            }
            if is_closing && !is_last && connection.borrow_mut().pipeline.is_at_last() {
                is_last = true;
                // Closes the connection after the request in progress.
                serving.as_mut().graceful_shutdown();
            }
            if let Poll::Ready(result) = serving.as_mut().poll(cx) {
                return Poll::Ready(Ended::Closed(result));
            }
            match connection.borrow_mut().read_ahead(cx, core, start) {
                ReadProgress::Continue => {}
                ReadProgress::Wait => return Poll::Pending,
                ReadProgress::Disconnected => return Poll::Ready(Ended::Disconnected),
            }
        }
    })
    .await
}

/// Logs why a connection broke. hyper itself responds to a head that it can't parse, before there
/// is a request; that response is counted too.
fn record_connection_error(core: &Core, caller: SocketAddr, error: &hyper::Error) {
    if !error.is_parse() {
        debug!(caller:%, error:% = Report::from_error(error); "caller's connection closed with an error");
        return;
    }
    let code = match error.is_parse_too_large() {
        true => ResultCode::HeadTooLarge,
        false => ResultCode::BadRequest,
    };
    core.metrics.record_request(None, code, Duration::ZERO);
    if let Some(omitted) = core.may_log(code) {
        info!(caller:%, error:%, code:%, omitted; "a head that can't be read");
    }
}

/// Waits until the gateway stops accepting connections.
///
/// `wait_for` returns a guard that holds a lock on the phase. Held while the last responses are
/// written, it would block the next change of phase and with it the whole thread, which cut every
/// request still running when the gateway stopped listening.
async fn stopped_accepting(phase: &mut watch::Receiver<Phase>) {
    // An error means that the process is about to end.
    drop(phase.wait_for(|phase| *phase >= Phase::Ending).await);
}

/// A request that the server has begun with.
struct BegunRequest {
    head: Rc<Parts>,
    body: RequestBody,
    arrived: Instant,
    /// Whether it was received before the previous one was answered.
    sent_ahead: bool,
    /// The same request, if it was started ahead.
    running: Option<RunningAhead>,
}

fn begin(connection: &RefCell<Connection>, req: Request<Incoming>) -> BegunRequest {
    let (head, body) = req.into_parts();
    let head = Rc::new(head);
    let body = RequestBody::from(body);
    let (begun, running) = connection
        .borrow_mut()
        .begin(&head, body.size_hint().exact());
    BegunRequest {
        head,
        body,
        arrived: begun.arrived.map_or_else(Instant::now, Instant::from_std),
        sent_ahead: begun.sent_ahead,
        running,
    }
}

/// Starts a request that the server hasn't reached.
fn start_ahead(
    core: &Rc<Core>,
    caller: SocketAddr,
    head: Rc<Parts>,
    arrived: std::time::Instant,
) -> RunningAhead {
    let (core, own) = (Rc::clone(core), Rc::clone(&head));
    let task = spawn_local(async move {
        let _guard = core.track_request();
        let source = (caller, RequestSource::Caller);
        let body = ArrivingBody::empty();
        let response = forward(&core, source, &own, body, Instant::from_std(arrived)).await;
        WaitingResponse::new(&core.ahead_memory, response)
    });
    RunningAhead::new(head, task)
}

/// Closes the connection of a caller that doesn't take its response.
fn close(connection: &Weak<RefCell<Connection>>) {
    if let Some(connection) = connection.upgrade()
        && let Ok(connection) = connection.try_borrow()
    {
        connection.close();
    }
}

/// Handles one request, and closes the connection after it if necessary.
async fn respond(
    core: &Rc<Core>,
    (caller, from): (SocketAddr, RequestSource),
    connection: Rc<RefCell<Connection>>,
    begun: BegunRequest,
) -> Response<AnswerBody> {
    // One that was started ahead is tracked by its task.
    let guard = begun.running.is_none().then(|| core.track_request());
    let reached = Instant::now();
    let started = begun.running.as_ref().map(RunningAhead::started);
    let response = match begun.running {
        Some(running) => running.response().await,
        None => None,
    };
    let (mut response, ready) = match response {
        Some((response, ready)) => (response, Some(ready)),
        None => {
            let source = (caller, from);
            let body = ArrivingBody::on(&connection.borrow().admitted, begun.body);
            let response = forward(core, source, &begun.head, body, begun.arrived);
            (response.await, None)
        }
    };
    drop(guard);
    if begun.sent_ahead {
        core.record_pipelined(
            &begun.head,
            InLine {
                before_start: started
                    .unwrap_or(reached)
                    .saturating_duration_since(begun.arrived),
                of_answer: ready.map(|ready| reached.saturating_duration_since(ready)),
            },
        );
    }
    if let ResponseBody::Buffered(body) = response.body() {
        core.record_sent(TYPICAL_HEAD_BYTES + body.len());
        let caller = Rc::downgrade(&connection);
        body.taken(move || close(&caller));
    }
    let is_ending = connection.borrow().admitted.is_ending();
    let should_close = || match from {
        _ if is_ending => true,
        RequestSource::Caller => core.should_close_connection(),
        RequestSource::Gateway => core.is_leaving(),
    };
    if connection.borrow_mut().closes(should_close) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| AnswerBody { body, connection })
}
