//! Pool of idle connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use log::debug;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::stream::{EndpointStream, Outstanding};
use crate::{RequestBody, Unsent};

/// Maximum number of bytes buffered per connection of an answer that isn't read yet; also the
/// maximum length of an answer's head.
const MAX_BUF: usize = 16 * 1024;
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 64;
/// Connections idle for longer may be half closed and aren't reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// An address that doesn't accept a connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of an unneeded answer that is read so that its connection can be reused.
const MAX_DRAINED_LEN: usize = 16 * 1024;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an idle connection may be reused for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Reuse an idle connection if there is one.
    Allowed,
    /// Always open a new one. The other side may close an idle connection just as it is reused;
    /// for a request that may run only once it would be unknown whether it ran.
    Never,
    /// Reuse a connection idle for less than this: the other side closes those that are idle
    /// for longer, and may do so while a request is in transit.
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

/// Why no connection is available; nothing was sent.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum ConnectError {
    /// Connecting timed out.
    #[snafu(display("connecting to {addr} timed out"))]
    TimedOut {
        /// The address.
        addr: SocketAddr,
        /// The timer's error.
        source: tokio::time::error::Elapsed,
    },
    /// Connecting failed.
    #[snafu(display("connecting to {addr} failed"))]
    Refused {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The connection closed before its first request.
    #[snafu(display("the connection to {addr} closed before its first request"))]
    Ended {
        /// The address.
        addr: SocketAddr,
        /// hyper's error.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// What it means for the request that the connection was for.
    pub(crate) fn unsent(&self) -> Unsent {
        match self {
            Self::TimedOut { .. } => Unsent::ConnectTimedOut,
            Self::Refused { source, .. } if source.kind() == ErrorKind::ConnectionRefused => {
                Unsent::ConnectRefused
            }
            Self::Refused { .. } => Unsent::ConnectFailed,
            Self::Ended { .. } => Unsent::ConnectionEnded,
        }
    }
}

/// A connection in use. Closed when dropped, unless released to the pool.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) outstanding: Outstanding,
    task: JoinHandle<()>,
    pub(crate) pool: Rc<Pool>,
    idle_since: Instant,
    /// How long the other side keeps the connection open without a request.
    peer_idle_timeout: Duration,
}

/// Idle connections, and counts of all open ones, by address.
#[derive(Debug)]
pub(crate) struct Pool {
    connect_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    open: RefCell<HashMap<SocketAddr, u32>>,
    /// Connections kept open for the answers to requests that were given up.
    pub(crate) late: Cell<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(CONNECT_TIMEOUT)
    }
}

impl Connection {
    /// Sets how long the other side keeps the connection open without a request, as it
    /// announced.
    pub fn set_idle_timeout(&mut self, peer_idle_timeout: Duration) {
        self.peer_idle_timeout = peer_idle_timeout;
    }

    /// Returns the connection to the pool. Only for a connection whose last answer was read to
    /// its end.
    pub fn release(mut self) {
        let pool = Rc::clone(&self.pool);
        self.outstanding.end();
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

    /// Reads and discards the rest of an answer, then returns the connection to the pool, or
    /// closes it if the answer is too long or too slow.
    pub fn drain_and_release(self, body: Incoming) {
        tokio::task::spawn_local(async move {
            let body = self.read_body(body, MAX_DRAINED_LEN, |_| {});
            if let Ok(Ok(_)) = timeout(DRAIN_TIMEOUT, body).await {
                self.release();
            }
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Ends the connection with any data that may still arrive on it: the answer to an
        // abandoned request must not be taken for the answer to a later one.
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
            late: Cell::new(0),
        }
    }

    /// An idle connection if there is one and `reuse` allows it, otherwise a new one.
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
            .context(TimedOutSnafu { addr })?
    }

    /// Takes the most recently used connection: the longer one is idle, the more likely the
    /// other side has closed it. Closed or expired ones found on the way are dropped.
    fn take_idle(&self, addr: SocketAddr, idle_limit: Duration) -> Option<Connection> {
        let mut unsuitable = Vec::new();
        let mut found = None;
        while let Some(conn) = self.pop(addr) {
            let idle = conn.idle_since.elapsed();
            if conn.sender.is_closed() || idle >= IDLE_TIMEOUT.min(conn.peer_idle_timeout) {
                continue;
            }
            if idle >= idle_limit {
                // Idle too long for this request, as are all below it; others may use it.
                unsuitable.push(conn);
                break;
            }
            if conn.sender.is_ready() {
                found = Some(conn);
                break;
            }
            // Its answer was read, but its task hasn't run since then.
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
        let outstanding = Outstanding::default();
        let stream = EndpointStream::new(stream, outstanding.clone());
        let stream = stream.context(RefusedSnafu { addr })?;
        let (sender, mut conn) = http1::Builder::new()
            .max_buf_size(MAX_BUF)
            .handshake(TokioIo::new(stream))
            .await
            .context(EndedSnafu { addr })?;
        let exchange = outstanding.clone();
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = (&mut conn).await {
                debug!(addr:%, error:% = e; "a connection failed");
                exchange.report_unasked(&conn.into_parts().read_buf);
            }
        });
        *self.open.borrow_mut().entry(addr).or_default() += 1;
        Ok(Connection {
            addr,
            sender,
            outstanding,
            task,
            pool: Rc::clone(self),
            idle_since: Instant::now(),
            peer_idle_timeout: IDLE_TIMEOUT,
        })
    }

    /// Closes the idle connections to an address that is no longer in use.
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
