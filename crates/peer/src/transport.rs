//! nng sockets: one `pull` socket to receive, one `push` socket per destination.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_types::ClusterId;
use log::{debug, warn};
use nng::options::{Options, RecvMaxSize, RecvTimeout, SendBufferSize};
use nng::options::{ReconnectMaxTime, ReconnectMinTime};
use nng::{Protocol, Socket};
use snafu::{ResultExt, Snafu};

use crate::liveness::{Acknowledgements, ConnectionMonitor, Liveness};
use crate::{Body, Envelope, MAX_MESSAGE_LEN, Origin, decode, encode};

/// Messages queued for a destination whose connection is slow or down. Further ones are
/// dropped: each protocol retries the messages that it needs.
const SEND_BUFFER_MESSAGES: i32 = 64;
/// Bounds of nng's delay between attempts to connect.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(400);
/// Maximum message length that nng accepts. It closes the connection of a longer one without
/// an error; slightly oversized messages are accepted, so that they can be counted.
const RECV_MAX_LEN: usize = 2 * MAX_MESSAGE_LEN;
/// A connection unused for this long is closed. Otherwise a node that occasionally sends to a
/// randomly chosen node would eventually keep a connection to every node.
const IDLE_CLOSE: Duration = Duration::from_secs(15);
/// Receive timeout, after which the receiving thread checks whether it must stop.
const RECV_TIMEOUT: Duration = Duration::from_millis(200);

/// Why the transport failed to start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum TransportError {
    /// Listening on the address failed.
    #[snafu(display("can't listen for peers on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// nng's error.
        source: nng::Error,
    },
    /// The receiving thread can't be started.
    #[snafu(display("can't start the thread that receives from peers"))]
    Thread {
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Callback for received messages, called on the receiving thread. Must not block: messages
/// that it can't pass on at once are dropped, because every protocol retries those that need a
/// reply.
pub trait Deliver: Send {
    /// Handles one message.
    fn deliver(&mut self, origin: Origin, body: Body);
}

/// Counts of messages since the transport's start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages passed to nng.
    pub sent: AtomicU64,
    /// Bytes of those.
    pub sent_bytes: AtomicU64,
    /// Messages dropped because the destination's buffer was full.
    pub dropped: AtomicU64,
    /// Messages received and accepted.
    pub received: AtomicU64,
    /// Bytes of those.
    pub received_bytes: AtomicU64,
    sent_bytes_by_protocol: Mutex<HashMap<&'static str, u64>>,
    received_bytes_by_kind: Mutex<HashMap<&'static str, u64>>,
    rejected: Mutex<HashMap<&'static str, u64>>,
}

impl Counters {
    /// Bytes of messages passed to nng, by protocol.
    pub fn sent_bytes_by_protocol(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.sent_bytes_by_protocol)
    }

    /// Bytes of messages received and accepted, by kind of message.
    pub fn received_bytes_by_kind(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.received_bytes_by_kind)
    }

    /// Messages rejected, by reason.
    pub fn rejected(&self) -> HashMap<&'static str, u64> {
        snapshot(&self.rejected)
    }

    fn sent(&self, protocol: &'static str, len: u64) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(len, Ordering::Relaxed);
        add_to(&self.sent_bytes_by_protocol, protocol, len);
    }

    fn received(&self, kind: &'static str, len: u64) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(len, Ordering::Relaxed);
        add_to(&self.received_bytes_by_kind, kind, len);
    }

    fn reject(&self, reason: &'static str) {
        add_to(&self.rejected, reason, 1);
    }
}

fn snapshot(totals: &Mutex<HashMap<&'static str, u64>>) -> HashMap<&'static str, u64> {
    totals.lock().map(|map| map.clone()).unwrap_or_default()
}

fn add_to(totals: &Mutex<HashMap<&'static str, u64>>, label: &'static str, by: u64) {
    if let Ok(mut map) = totals.lock() {
        *map.entry(label).or_default() += by;
    }
}

/// A listening transport; stops its receiving thread when dropped.
#[derive(Debug)]
pub struct Transport {
    addr: SocketAddr,
    counters: Arc<Counters>,
    acknowledgements: Arc<Acknowledgements>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Transport {
    /// Listens on `addr` and passes every accepted message to `deliver`.
    ///
    /// # Errors
    ///
    /// Fails if listening on the address fails or no thread can be started.
    pub fn listen(
        addr: SocketAddr,
        cluster: ClusterId,
        deliver: impl Deliver + 'static,
    ) -> Result<Self, TransportError> {
        let (socket, addr) = open(addr).context(ListenSnafu { addr })?;
        let counters = Arc::new(Counters::default());
        let acknowledgements = Arc::new(Acknowledgements::default());
        let stop = Arc::new(AtomicBool::new(false));
        let receiver = Receiver {
            socket,
            cluster,
            counters: Arc::clone(&counters),
            acknowledgements: Arc::clone(&acknowledgements),
            stop: Arc::clone(&stop),
        };
        let thread = std::thread::Builder::new()
            .name("peer-recv".to_owned())
            .spawn(move || receiver.run(deliver))
            .context(ThreadSnafu)?;
        Ok(Self {
            addr,
            counters,
            acknowledgements,
            stop,
            thread: Some(thread),
        })
    }

    /// The address listened on, with the actual port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The counters, which stay shared with the transport.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Creates a sender that puts `origin` into each of its messages.
    pub fn outbox(&self, cluster: ClusterId, origin: Origin) -> Outbox {
        Outbox {
            cluster,
            origin,
            destinations: HashMap::new(),
            last_sweep: Instant::now(),
            counters: Arc::clone(&self.counters),
            acknowledgements: Arc::clone(&self.acknowledgements),
        }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            warn!("the thread that receives from peers panicked");
        }
    }
}

fn open(addr: SocketAddr) -> nng::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(RECV_MAX_LEN)?;
    socket.set_opt::<RecvTimeout>(Some(RECV_TIMEOUT))?;
    let builder = nng::ListenerBuilder::new(&socket, &url(addr))?;
    let listener = builder.start().map_err(|(_, e)| e)?;
    let mut bound = addr;
    // nng returns the port in network byte order.
    match listener.get_opt::<nng::options::LocalAddr>()? {
        nng::SocketAddr::Inet(v4) => bound.set_port(u16::from_be(v4.port())),
        nng::SocketAddr::Inet6(v6) => bound.set_port(u16::from_be(v6.port())),
        _ => {}
    }
    Ok((socket, bound))
}

fn url(addr: SocketAddr) -> String {
    format!("tcp://{addr}")
}

struct Receiver {
    socket: Socket,
    cluster: ClusterId,
    counters: Arc<Counters>,
    acknowledgements: Arc<Acknowledgements>,
    stop: Arc<AtomicBool>,
}

impl Receiver {
    fn run(self, mut deliver: impl Deliver) {
        while !self.stop.load(Ordering::Acquire) {
            match self.socket.recv() {
                Ok(buf) => self.handle_message(&buf, &mut deliver),
                Err(nng::Error::TimedOut) => {}
                Err(e) => {
                    warn!(error:% = e; "receiving from peers failed");
                    std::thread::sleep(RECV_TIMEOUT);
                }
            }
        }
        self.socket.close();
    }

    fn handle_message(&self, buf: &[u8], deliver: &mut impl Deliver) {
        match decode(self.cluster, buf) {
            Ok(envelope) => {
                self.counters
                    .received(envelope.body.kind(), buf.len() as u64);
                let from = envelope.origin.addr;
                self.acknowledgements
                    .received(Instant::now(), from, envelope.received);
                deliver.deliver(envelope.origin, envelope.body);
            }
            Err(e) => {
                self.counters.reject(e.reason());
                debug!(error:% = e; "rejected a message from a peer");
            }
        }
    }
}

/// The connection to a peer.
#[derive(Debug)]
struct Destination {
    socket: Socket,
    last_used: Instant,
    monitor: ConnectionMonitor,
}

/// Sends messages to peers without blocking.
#[derive(Debug)]
pub struct Outbox {
    cluster: ClusterId,
    origin: Origin,
    destinations: HashMap<SocketAddr, Destination>,
    last_sweep: Instant,
    counters: Arc<Counters>,
    acknowledgements: Arc<Acknowledgements>,
}

impl Outbox {
    /// The sender as named in each message's envelope.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Sends a message, or drops and counts it if the destination's buffer is full.
    pub fn send(&mut self, to: SocketAddr, body: Body) {
        let protocol = body.protocol();
        let envelope = Envelope {
            origin: self.origin.clone(),
            received: self.acknowledgements.received_count(to),
            body,
        };
        let buf = match encode(self.cluster, &envelope) {
            Ok(buf) => buf,
            Err(e) => {
                warn!(error:% = e; "encoding a message to a peer failed");
                return;
            }
        };
        let len = buf.len() as u64;
        if self.try_send(to, &buf) {
            self.counters.sent(protocol, len);
        } else {
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn try_send(&mut self, to: SocketAddr, buf: &[u8]) -> bool {
        let now = Instant::now();
        self.close_idle(now);
        let destination = match self.destinations.entry(to) {
            Entry::Occupied(e) => e.into_mut(),
            Entry::Vacant(e) => match dial(to) {
                Ok(socket) => e.insert(Destination {
                    socket,
                    last_used: now,
                    monitor: ConnectionMonitor::default(),
                }),
                Err(error) => {
                    warn!(to:%, error:%; "connecting to a peer failed");
                    return false;
                }
            },
        };
        destination.last_used = now;
        let liveness = destination
            .monitor
            .before_send(now, to, &self.acknowledgements);
        if liveness == Liveness::Stalled {
            debug!(to:%; "messages to a peer aren't acknowledged, reconnecting");
            match dial(to) {
                Ok(socket) => destination.socket = socket,
                Err(error) => warn!(to:%, error:%; "connecting to a peer failed"),
            }
        }
        destination.socket.try_send(buf).is_ok()
    }

    fn close_idle(&mut self, now: Instant) {
        if now < self.last_sweep + IDLE_CLOSE {
            return;
        }
        self.last_sweep = now;
        self.acknowledgements.remove_expired(now);
        self.destinations
            .retain(|_, destination| now < destination.last_used + IDLE_CLOSE);
    }
}

fn dial(to: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&url(to))?;
    Ok(socket)
}
