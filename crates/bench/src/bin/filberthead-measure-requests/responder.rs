//! A bare hyper server on one thread: a lower bound on the cost of a look-up, and the
//! fastest possible endpoint.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::mpsc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::process::Thread;

/// Health answer, for use as an endpoint.
const HEALTH: &[u8] = br#"{"ready":true,"leaving":false,"load":0.0,"incarnation":1}"#;

/// A running responder.
#[derive(Debug)]
pub(crate) struct Responder {
    addr: SocketAddr,
    thread: Thread,
}

impl Responder {
    /// Starts a responder that answers every request except the health check with `body`.
    pub(crate) fn start(body: Bytes) -> Self {
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime can be started");
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let addr = listener.local_addr().expect("a bound port");
                tx.send((addr, Thread::current()))
                    .expect("a waiting caller");
                serve(listener, body).await;
            });
        });
        let (addr, thread) = rx.recv().expect("a started responder");
        Self { addr, thread }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn thread(&self) -> Thread {
        self.thread.clone()
    }
}

async fn serve(listener: TcpListener, body: Bytes) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        stream.set_nodelay(true).expect("a socket option");
        let body = body.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let body = match req.uri().path() {
                "/health" => Bytes::from_static(HEALTH),
                _ => body.clone(),
            };
            let mut response = Response::new(Full::new(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            // The load closes its connections at the end of each run.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
