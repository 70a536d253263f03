//! Accepts and serves the connections of a port within its bounds.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::{Admitted, Clients, CountedStream};

/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of each connection.
#[derive(Clone, Copy, Debug)]
pub struct ServeBounds {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest wait for a complete head, also between requests; `None` for no bound.
    pub head_timeout: Option<Duration>,
}

/// Waits for a connection that is admitted. Others are closed at once.
pub async fn accept(
    listener: &TcpListener,
    clients: &Rc<Clients>,
) -> (TcpStream, SocketAddr, Admitted) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                if let Some(admitted) = clients.admit() {
                    return (stream, addr, admitted);
                }
            }
            Err(e) => {
                warn!(error:% = e; "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until its client closes it or it has to close.
pub async fn serve_connection<H, F, B>(
    stream: TcpStream,
    admitted: Rc<Admitted>,
    bounds: ServeBounds,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let of_requests = Rc::clone(&admitted);
    let service = service_fn(move |req| {
        of_requests.begin();
        let (response, admitted) = (handle(req), Rc::clone(&of_requests));
        async move {
            let mut response = response.await;
            if admitted.is_ending() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            admitted.finish();
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes);
    let stream = CountedStream::new(stream, Rc::clone(&admitted));
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut evicted = pin!(admitted.evicted());
    let result = poll_fn(|cx| {
        if let Poll::Ready(result) = serving.as_mut().poll(cx) {
            return Poll::Ready(result);
        }
        match evicted.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
        }
    });
    if let Err(e) = result.await {
        debug!(error:% = e; "connection closed with an error");
    }
}
