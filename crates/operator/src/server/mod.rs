//! The HTTP server of the API.

mod access;
mod connection;
mod operations;
mod queries;
mod reply;
mod route;

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::{Administration, BoxFuture, TokenSource};

/// Maximum size of a request body, in bytes: large enough for a change with the maximum
/// number of edits and the longest names.
pub const MAX_BODY_BYTES: usize = 512 * 1024;

/// Maximum number of concurrent connections. Further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 64;

/// Pause after `accept` failed, as it does when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A page of the daemon that is served besides the API, such as `/metrics`. Requires the
/// role `read`.
pub trait Page: Send + Sync {
    /// Its content type.
    fn content_type(&self) -> &'static str;

    /// Renders the content for the query of the request (empty if there is none).
    fn render<'a>(&'a self, query: &'a str) -> BoxFuture<'a, Bytes>;
}

pub(crate) struct Shared {
    pub(crate) administration: Arc<dyn Administration>,
    pub(crate) tokens: Option<TokenSource>,
    pub(crate) pages: BTreeMap<String, Arc<dyn Page>>,
    pub(crate) require_review: bool,
    rejection_log: access::RejectionLog,
    pub(crate) head_timeout: Duration,
    pub(crate) body_timeout: Duration,
    pub(crate) answer_timeout: Duration,
    pub(crate) stop_timeout: Duration,
}

/// Serves the administration API.
pub struct Server {
    shared: Arc<Shared>,
}

/// Builds a [`Server`].
pub struct ServerBuilder {
    shared: Shared,
}

impl Server {
    /// Creates a builder with the defaults documented on its methods.
    pub fn builder(administration: Arc<dyn Administration>) -> ServerBuilder {
        ServerBuilder {
            shared: Shared {
                administration,
                tokens: None,
                pages: BTreeMap::new(),
                require_review: false,
                rejection_log: access::RejectionLog::default(),
                head_timeout: Duration::from_secs(10),
                body_timeout: Duration::from_secs(10),
                answer_timeout: Duration::from_secs(10),
                stop_timeout: Duration::from_secs(5),
            },
        }
    }

    /// Serves until `stop` completes, then waits up to the stop timeout for requests in
    /// progress.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let (stop_tx, stop_rx) = watch::channel(false);
        let mut connections = JoinSet::new();
        tokio::pin!(stop);
        loop {
            let next = async {
                // Fails only if the semaphore is closed, which never happens.
                let permit = Arc::clone(&permits).acquire_owned().await.ok();
                (permit, accept(&listener).await)
            };
            let (permit, (stream, peer)) = tokio::select! {
                () = &mut stop => break,
                next = next => next,
            };
            while connections.try_join_next().is_some() {}
            let shared = Arc::clone(&self.shared);
            let mut stop = stop_rx.clone();
            connections.spawn(async move {
                let stopping = async move {
                    // An error means that the sender was dropped, which is a stop too.
                    let _ = stop.wait_for(|stop| *stop).await;
                };
                connection::serve(shared, stream, peer, stopping).await;
                drop(permit);
            });
        }
        drop(listener);
        stop_tx.send_replace(true);
        let finish = async { while connections.join_next().await.is_some() {} };
        if time::timeout(self.shared.stop_timeout, finish)
            .await
            .is_err()
        {
            warn!("stop timeout reached: closing administration connections in progress");
        }
    }
}

async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(e) => {
                warn!("can't accept an administration connection: {e}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl ServerBuilder {
    /// Tokens that clients authenticate with. Default none: then only clients on the
    /// loopback are served, with the role `accept` and for all services.
    #[must_use]
    pub fn tokens(mut self, tokens: Option<TokenSource>) -> Self {
        self.shared.tokens = tokens;
        self
    }

    /// Adds a page that is served by `GET` at a path, such as `/metrics`. Default none.
    #[must_use]
    pub fn page(mut self, path: &str, page: Arc<dyn Page>) -> Self {
        self.shared.pages.insert(path.to_owned(), page);
        self
    }

    /// Whether every change requires a review by another operator: direct changes and
    /// allowing `own-review` are then refused. Default no.
    #[must_use]
    pub fn require_review(mut self, require: bool) -> Self {
        self.shared.require_review = require;
        self
    }

    /// Maximum wait for the head of a request. Default 10 s.
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.shared.head_timeout = timeout;
        self
    }

    /// Maximum wait for the complete body of a request. Default 10 s.
    #[must_use]
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.shared.body_timeout = timeout;
        self
    }

    /// Maximum wait for the daemon; after it, the answer to an operation is that the
    /// outcome is not known. Default 10 s.
    #[must_use]
    pub fn answer_timeout(mut self, timeout: Duration) -> Self {
        self.shared.answer_timeout = timeout;
        self
    }

    /// Maximum wait for requests in progress at a stop. Default 5 s.
    #[must_use]
    pub fn stop_timeout(mut self, timeout: Duration) -> Self {
        self.shared.stop_timeout = timeout;
        self
    }

    /// Builds the server.
    pub fn build(self) -> Server {
        Server {
            shared: Arc::new(self.shared),
        }
    }
}
