//! Connections that are kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::RequestBody;

/// Bytes that a connection holds at most of an answer that isn't read yet; also the
/// bound of an answer's head.
const MAX_BUF: usize = 16 * 1024;
/// Connections kept without a request, for each address.
const MAX_IDLE: usize = 64;
/// Connections idle for longer may be half closed; they aren't used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A place that takes longer to accept a connection counts as one that doesn't.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer that is read only to keep its connection.
const MAX_DRAINED_LEN: usize = 16 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a kept connection will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A kept connection, or else a new one.
    Allowed,
    /// A new one. The other side may close a kept connection at the moment it is used;
    /// a request that may run only once could then not be told from one that ran.
    Never,
    /// A kept connection that was used this lately, or else a new one: the other side
    /// closes those that lie idle for longer, and may do so while a request is on its way.
    Within(Duration),
}

impl Reuse {
    fn idle_limit(self) -> Duration {
        match self {
            Self::Allowed => IDLE_TIMEOUT,
            Self::Never => Duration::ZERO,
            Self::Within(limit) => limit.min(IDLE_TIMEOUT),
        }
    }
}

/// Why no connection can be had; nothing was sent.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum ConnectError {
    /// No connection in time.
    #[snafu(display("no connection to {addr} in time"))]
    Late {
        /// Where to.
        addr: SocketAddr,
        /// The clock's word.
        source: tokio::time::error::Elapsed,
    },
    /// The connection is refused.
    #[snafu(display("no connection to {addr}"))]
    Refused {
        /// Where to.
        addr: SocketAddr,
        /// The system's word.
        source: std::io::Error,
    },
    /// The connection ended before its first request.
    #[snafu(display("the connection to {addr} ended at once"))]
    Ended {
        /// Where to.
        addr: SocketAddr,
        /// hyper's word.
        source: hyper::Error,
    },
}

/// A connection in use. Closes when dropped, unless given back.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    pub(crate) sender: SendRequest<RequestBody>,
    task: JoinHandle<()>,
    pool: Rc<Pool>,
    idle_since: Instant,
    /// How long the other side said it keeps the connection without a request.
    peer_idle_timeout: Duration,
}

/// Connections that wait for the next request, by address.
#[derive(Debug)]
pub(crate) struct Pool {
    connect_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    open: RefCell<HashMap<SocketAddr, u32>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(CONNECT_TIMEOUT)
    }
}

impl Connection {
    /// Notes how long the other side says that it keeps the connection without a request.
    pub fn set_idle_timeout(&mut self, peer_idle_timeout: Duration) {
        self.peer_idle_timeout = peer_idle_timeout;
    }

    /// Gives the connection back for the next request. Only for a connection whose
    /// last answer was read to its end.
    pub fn release(mut self) {
        let pool = Rc::clone(&self.pool);
        if self.sender.is_closed() {
            return;
        }
        self.idle_since = Instant::now();
        let mut idle = pool.idle.borrow_mut();
        let kept = idle.entry(self.addr).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(self);
        }
    }

    /// Reads an answer that nobody wants to its end and then gives the connection back,
    /// or closes it if the answer is long or late.
    pub fn drain_and_release(self, body: Incoming) {
        tokio::task::spawn_local(async move {
            let body = Limited::new(body, MAX_DRAINED_LEN).collect();
            if let Ok(Ok(_)) = timeout(DRAIN_TIMEOUT, body).await {
                self.release();
            }
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Ends the connection with whatever may still arrive on it: an answer that
        // nobody waits for must not be taken for the answer to a later request.
        self.task.abort();
        self.pool.record_closed(self.addr);
    }
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: RefCell::default(),
            open: RefCell::default(),
        }
    }

    /// A kept connection if that will do and there is one, or else a new one.
    pub(crate) async fn connection(
        self: &Rc<Self>,
        addr: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        if reuse != Reuse::Never
            && let Some(kept) = self.take_idle(addr, reuse.idle_limit())
        {
            return Ok(kept);
        }
        timeout(self.connect_timeout, self.connect(addr))
            .await
            .context(LateSnafu { addr })?
    }

    /// The connection that was used last: the longer one lies idle, the more likely it
    /// is closed on the other side. Those that lay idle for too long stand before it and
    /// go when they are met.
    fn take_idle(&self, addr: SocketAddr, idle_limit: Duration) -> Option<Connection> {
        let mut unsuitable = Vec::new();
        let mut found = None;
        while let Some(conn) = self.pop(addr) {
            let idle = conn.idle_since.elapsed();
            if conn.sender.is_closed() || idle >= IDLE_TIMEOUT.min(conn.peer_idle_timeout) {
                continue;
            }
            if idle >= idle_limit {
                // Too old for this request, and so are all below it; it may do for others.
                unsuitable.push(conn);
                break;
            }
            if conn.sender.is_ready() {
                found = Some(conn);
                break;
            }
            // Its answer was read, but its task hasn't run since.
            unsuitable.push(conn);
        }
        if !unsuitable.is_empty() {
            let mut idle = self.idle.borrow_mut();
            idle.entry(addr).or_default().extend(unsuitable);
        }
        found
    }

    fn pop(&self, addr: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    async fn connect(self: &Rc<Self>, addr: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = TcpStream::connect(addr)
            .await
            .context(RefusedSnafu { addr })?;
        stream.set_nodelay(true).context(RefusedSnafu { addr })?;
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_BUF)
            .handshake(TokioIo::new(stream))
            .await
            .context(EndedSnafu { addr })?;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = conn.await {
                debug!(addr:%, error:% = e; "a connection broke");
            }
        });
        *self.open.borrow_mut().entry(addr).or_default() += 1;
        Ok(Connection {
            addr,
            sender,
            task,
            pool: Rc::clone(self),
            idle_since: Instant::now(),
            peer_idle_timeout: IDLE_TIMEOUT,
        })
    }

    /// Closes the kept connections to an address that is gone.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        let gone = self.idle.borrow_mut().remove(&addr);
        drop(gone);
    }

    pub(crate) fn open_count(&self, addr: SocketAddr) -> u32 {
        self.open.borrow().get(&addr).copied().unwrap_or(0)
    }

    pub(crate) fn idle_count(&self, addr: SocketAddr) -> u32 {
        let idle = self.idle.borrow();
        idle.get(&addr).map_or(0, |kept| kept.len() as u32)
    }

    fn record_closed(&self, addr: SocketAddr) {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get_mut(&addr) {
            *count -= 1;
            if *count == 0 {
                open.remove(&addr);
            }
        }
    }
}
