//! Takes callers' connections, and drives the requests duty.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use filberthead_ring::Receiver;
use filberthead_types::ResultCode;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, info, warn};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::Heard;
use super::answer::AnswerBody;
use super::attempt::HEAD_BYTES;
use super::bounds::{IdleTimer, MAX_LINES, outgrown, room};
use super::carry::carry;
use super::core::Core;
use super::stop::Phase;
use crate::stop::Stop;

/// How often it is looked whether a report is due.
const TICK: Duration = Duration::from_millis(100);
/// Pause after a connection couldn't be accepted, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runs until the process stops.
pub(crate) async fn run(
    core: Rc<Core>,
    callers: TcpListener,
    mut rx: Receiver<Heard>,
    mut stop: Stop,
) {
    let accepting = match tokio::net::TcpListener::from_std(callers) {
        Ok(listener) => tokio::task::spawn_local(accept(Rc::clone(&core), listener)),
        Err(e) => {
            log::error!(error:% = e; "can't listen for callers");
            return;
        }
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut phase = core.phase();
    loop {
        tokio::select! {
            _ = ticks.tick() => core.tick(),
            heard = rx.recv() => match heard {
                Some(heard) => core.heard(heard),
                None => break,
            },
            // A change of phase is reported at once: callers are to be sent elsewhere.
            _ = phase.changed() => {
                if *phase.borrow_and_update() >= Phase::Ending {
                    accepting.abort();
                }
                core.tick();
            }
            () = stop.wait() => break,
        }
    }
    accepting.abort();
}

async fn accept(core: Rc<Core>, listener: tokio::net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                tokio::task::spawn_local(connection(Rc::clone(&core), stream, caller));
            }
            Err(e) => {
                warn!(error:% = e; "a connection can't be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(core: Rc<Core>, stream: TcpStream, caller: SocketAddr) {
    let _open = core.connected();
    if let Err(e) = stream.set_nodelay(true) {
        debug!(caller:%, error:% = e; "a connection broke at its start");
        return;
    }
    let mut bounds = core.bounds();
    let room = room(&bounds);
    let mut phase = core.phase();
    let shared = Rc::clone(&core);
    let service = service_fn(move |req| {
        let core = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(&core, caller, req).await) }
    });
    let serving = http1::Builder::new()
        .timer(IdleTimer(bounds.clone()))
        // Counts from the end of the request before, so it bounds idle connections too. The
        // timer has the time itself.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(room)
        .max_headers(MAX_LINES)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => Some(result),
        () = ending(&mut phase) => None,
        () = outgrown(&mut bounds, room) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            // Ends the connection after the request that it is answering.
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = result {
        ended(&core, caller, &e);
    }
}

/// Notes how a connection broke. hyper answers a head that it can't read itself, before there
/// is a request: that, too, is an answer of ours, and counted.
fn ended(core: &Core, caller: SocketAddr, error: &hyper::Error) {
    if !error.is_parse() {
        debug!(caller:%, error:%; "a caller's connection ended");
        return;
    }
    let code = match error.is_parse_too_large() {
        true => ResultCode::HeadTooLarge,
        false => ResultCode::BadRequest,
    };
    core.metrics.finished(None, code, Duration::ZERO);
    if let Some(omitted) = core.may_tell(code) {
        info!(caller:%, error:%, code:%, omitted; "a head that can't be read");
    }
}

/// Waits until no new connections are taken.
///
/// What `wait_for` returns holds the phase locked. Kept while the last answers are written,
/// it would block the next change of phase, and with it this whole thread: every request
/// still running when the gateway stops listening was cut.
async fn ending(phase: &mut watch::Receiver<Phase>) {
    // An error means that the process is about to end.
    drop(phase.wait_for(|phase| *phase >= Phase::Ending).await);
}

async fn answer(
    core: &Rc<Core>,
    caller: SocketAddr,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let running = core.begin();
    let mut answer = carry(core, caller, req).await;
    drop(running);
    if let AnswerBody::Whole(body) = answer.body() {
        core.sends(HEAD_BYTES + body.len());
    }
    if core.ends_connection() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}
