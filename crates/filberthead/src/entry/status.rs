//! The duty that serves an entry's state and metrics over HTTP, for operators and tools.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use filberthead_caller::Call;
use filberthead_observe::EntryMetrics;
use filberthead_peer::Counters;
use filberthead_ring::Sender;
use filberthead_spread::MemberInfo;
use filberthead_types::{NodeName, Version};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::cluster::ClusterReader;
use crate::peers::{Outgoing, totals};
use crate::stop::Stop;
use crate::{Duty, DutyError};

const JSON: &str = "application/json";
const METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of concurrent connections; further ones wait.
const MAX_CONNECTIONS: usize = 16;

/// Sources of the served state and metrics.
#[derive(Debug)]
pub(crate) struct Status {
    /// Name of this entry.
    pub(crate) node: NodeName,
    /// Table in force and live entries.
    pub(crate) cluster: ClusterReader,
    /// Number of requests in progress.
    pub(crate) running: watch::Receiver<usize>,
    /// Whether a planned stop has begun.
    pub(crate) leaving: watch::Receiver<bool>,
    /// Metrics of this entry.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Counters of the transport.
    pub(crate) counters: Arc<Counters>,
    /// Ring of requests for the endpoints duty; read for the items that it refused.
    pub(crate) calls: Sender<Call>,
    /// Ring of messages to be sent; read for the items that it refused.
    pub(crate) out: Sender<Outgoing>,
}

#[derive(Serialize)]
struct StatusBody<'a> {
    node: &'a NodeName,
    version: Version,
    readiness: &'a str,
    leaving: bool,
    running: usize,
    entries: &'a [MemberInfo],
}

/// Starts the duty.
pub(crate) fn spawn(
    status: Status,
    listener: std::net::TcpListener,
    mut stop: Stop,
) -> Result<Duty, DutyError> {
    Duty::spawn("status", move || async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!(error:% = e; "can't listen for status requests");
                return;
            }
        };
        tokio::select! {
            () = run(Rc::new(status), listener) => {}
            () = stop.wait() => {}
        }
    })
}

async fn run(status: Rc<Status>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => {
                let status = Rc::clone(&status);
                tokio::task::spawn_local(async move {
                    serve(&status, stream).await;
                    drop(permit);
                });
            }
            Err(e) => warn!(error:% = e; "accepting a status request failed"),
        }
    }
}

async fn serve(status: &Status, stream: TcpStream) {
    let service = service_fn(|req| async move { Ok::<_, Infallible>(respond(status, &req)) });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        debug!(error:% = e; "a status connection broke");
    }
}

fn respond(status: &Status, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match req.uri().path() {
        "/status" => page(JSON, status_page(status)),
        "/metrics" => page(METRICS, metrics_page(status).into()),
        _ => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn page(content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn status_page(status: &Status) -> Bytes {
    let cluster = Arc::clone(&status.cluster.borrow());
    let body = StatusBody {
        node: &status.node,
        version: cluster.view.version,
        readiness: cluster.readiness.as_str(),
        leaving: *status.leaving.borrow(),
        running: *status.running.borrow(),
        entries: &cluster.entries,
    };
    serde_json::to_vec(&body).unwrap_or_default().into()
}

fn metrics_page(status: &Status) -> String {
    let metrics = &status.metrics;
    metrics.set_table_version(status.cluster.borrow().view.version);
    let peers = metrics.peers();
    peers.record(&totals(&status.counters));
    peers.ring_refused("calls", status.calls.refused());
    peers.ring_refused("outgoing", status.out.refused());
    metrics.encode()
}
