//! The duty that serves the platform's readiness probe and the process's metrics.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filberthead_limits::{Clients, Port, ServeBounds, VmLimits, accept, serve_connection};
use filberthead_observe::GatewayMetrics;
use filberthead_peer::Counters;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use log::error;
use tokio::sync::watch;

use super::stop::Phase;
use crate::peers::totals;
use crate::stop::Stop;
use crate::{Duty, DutyError};

const METRICS_PATH: &str = "/metrics";
/// Bounds of each connection. Probes come each second; metrics are mostly read at least each minute.
const PROBE_BOUNDS: ServeBounds = ServeBounds {
    head_bytes: 16 * 1024,
    head_timeout: Some(Duration::from_secs(75)),
};

/// What the duty listens on and reports.
pub(crate) struct Probes {
    pub(crate) readiness: TcpListener,
    pub(crate) status: TcpListener,
    /// Path of the readiness probe.
    pub(crate) path: &'static str,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) peers: Arc<Counters>,
    /// What the VM gives the process.
    pub(crate) vm: VmLimits,
}

/// Starts the duty.
pub(crate) fn spawn(probes: Probes, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("readiness", move || run(probes, stop))
}

async fn run(probes: Probes, mut stop: Stop) {
    let listeners = (
        tokio::net::TcpListener::from_std(probes.readiness),
        tokio::net::TcpListener::from_std(probes.status),
    );
    let (readiness, status) = match listeners {
        (Ok(readiness), Ok(status)) => (readiness, status),
        (Err(e), _) | (_, Err(e)) => {
            error!(error:% = e; "can't listen for readiness probes");
            return;
        }
    };
    // Each port has its own bounds, so that nobody who reads metrics keeps the platform from its probes.
    let clients = [Port::Readiness, Port::Status].map(|port| {
        let counters = probes.metrics.clients().port(port);
        Clients::new(port, probes.vm.probes(), counters)
    });
    loop {
        let (stream, _, admitted) = tokio::select! {
            accepted = accept(&readiness, &clients[0]) => accepted,
            accepted = accept(&status, &clients[1]) => accepted,
            () = stop.wait() => return,
        };
        let (path, phase) = (probes.path, probes.phase.clone());
        let metrics = Arc::clone(&probes.metrics);
        let peers = Arc::clone(&probes.peers);
        let answer = move |req| {
            let response = respond(path, *phase.borrow(), (&metrics, &peers), &req);
            std::future::ready(response)
        };
        let serving = serve_connection(stream, Rc::new(admitted), PROBE_BOUNDS, answer);
        tokio::task::spawn_local(serving);
    }
}

fn respond(
    path: &str,
    phase: Phase,
    (metrics, peers): (&GatewayMetrics, &Counters),
    req: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    if req.method() == Method::GET && req.uri().path() == METRICS_PATH {
        metrics.peers().record(&totals(peers));
        return Response::new(Full::new(Bytes::from(metrics.encode())));
    }
    let (status, text) = match (req.method(), req.uri().path()) {
        (&Method::GET, requested) if requested == path => match phase {
            Phase::Serving => (StatusCode::OK, "ready\n"),
            Phase::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
            Phase::Leaving | Phase::Ending => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        },
        _ => (StatusCode::NOT_FOUND, ""),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
