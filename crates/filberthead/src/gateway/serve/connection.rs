//! Serves one connection of a caller or of another gateway.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filberthead_types::ResultCode;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, info};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::gateway::attempt::TYPICAL_HEAD_BYTES;
use crate::gateway::bounds::{IdleTimer, MAX_HEADER_LINES, head_buffer_size, head_limit_raised};
use crate::gateway::core::Core;
use crate::gateway::request::forward;
use crate::gateway::response::ResponseBody;
use crate::gateway::source::RequestSource;
use crate::gateway::stop::Phase;

/// Bytes that the headers of a relayed request may add to its caller's.
const RELAY_HEAD_BYTES: usize = 1024;

/// Serves a connection until it is closed or has to be replaced.
pub(super) async fn serve_connection(
    core: Rc<Core>,
    stream: TcpStream,
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
    let shared = Rc::clone(&core);
    let service = service_fn(move |req| {
        let core = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(&core, (caller, from), req).await) }
    });
    let serving = http1::Builder::new()
        .timer(IdleTimer(bounds.clone()))
        // Counts from the end of the previous request, so it bounds idle connections too.
        // `IdleTimer` supplies the actual timeout.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(buffer_size)
        .max_headers(MAX_HEADER_LINES)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => Some(result),
        () = stopped_accepting(&mut phase) => None,
        () = head_limit_raised(&mut bounds, buffer_size) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            // Closes the connection after the request in progress.
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = result {
        record_connection_error(&core, caller, &e);
    }
}

/// Logs why a connection broke. hyper itself responds to a head that it can't parse, before there
/// is a request; that response is counted too.
fn record_connection_error(core: &Core, caller: SocketAddr, error: &hyper::Error) {
    if !error.is_parse() {
        debug!(caller:%, error:%; "caller's connection closed with an error");
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

/// Handles one request, and closes the connection after it if necessary.
async fn respond(
    core: &Rc<Core>,
    (caller, from): (SocketAddr, RequestSource),
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = core.track_request();
    let mut response = forward(core, (caller, from), req).await;
    drop(guard);
    if let ResponseBody::Buffered(body) = response.body() {
        core.record_sent(TYPICAL_HEAD_BYTES + body.len());
    }
    let closes = match from {
        RequestSource::Caller => core.should_close_connection(),
        RequestSource::Gateway => core.is_leaving(),
    };
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
