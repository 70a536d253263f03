//! The duty that serves the platform's readiness probe and the process's metrics.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;

use bytes::Bytes;
use filberthead_observe::GatewayMetrics;
use filberthead_peer::Counters;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, error};
use tokio::sync::watch;

use super::stop::Phase;
use crate::peers::totals;
use crate::stop::Stop;
use crate::{Duty, DutyError};

const METRICS_PATH: &str = "/metrics";

/// What the duty listens on and reports.
pub(crate) struct Probes {
    pub(crate) readiness: TcpListener,
    pub(crate) status: TcpListener,
    /// Path of the readiness probe.
    pub(crate) path: &'static str,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) peers: Arc<Counters>,
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
    loop {
        let accepted = tokio::select! {
            accepted = readiness.accept() => accepted,
            accepted = status.accept() => accepted,
            () = stop.wait() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let (path, phase) = (probes.path, probes.phase.clone());
        let metrics = Arc::clone(&probes.metrics);
        let peers = Arc::clone(&probes.peers);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| {
                let response = respond(path, *phase.borrow(), (&metrics, &peers), &req);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(e) = serving.await {
                debug!(error:% = e; "connection for a probe closed with an error");
            }
        });
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
