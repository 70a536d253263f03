//! The duty that shows an entry's state to operators and their tools.

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
/// Connections at the same time; further ones wait.
const CONNECTIONS: usize = 16;

/// What the duty shows.
#[derive(Debug)]
pub(crate) struct Status {
    /// This entry.
    pub(crate) node: NodeName,
    /// Table and entries.
    pub(crate) cluster: ClusterReader,
    /// Requests in progress.
    pub(crate) running: watch::Receiver<usize>,
    /// Whether a planned stop has begun.
    pub(crate) leaving: watch::Receiver<bool>,
    /// What is counted.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// What the transport counts.
    pub(crate) counters: Arc<Counters>,
    /// Requests on their way to the endpoints duty.
    pub(crate) calls: Sender<Call>,
    /// Messages on their way out.
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
    let permits = Arc::new(Semaphore::new(CONNECTIONS));
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
    let service = service_fn(|req| async move { Ok::<_, Infallible>(answer(status, &req)) });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        debug!(error:% = e; "a status connection broke");
    }
}

fn answer(status: &Status, req: &Request<Incoming>) -> Response<Full<Bytes>> {
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
