//! Serves one connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::TcpStream;

use super::{Shared, route};

/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

pub(super) async fn serve(
    shared: Arc<Shared>,
    stream: TcpStream,
    peer: SocketAddr,
    stopping: impl Future<Output = ()>,
) {
    let head_timeout = shared.head_timeout;
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(route::answer(&shared, peer, req).await) }
    });
    // The timeout also closes idle connections, which could otherwise use up the
    // maximum number of connections for good.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        debug!("administration connection of {peer} ended: {e}");
    }
}
