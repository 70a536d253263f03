//! The transport: a listening socket, and the thread that receives from it.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use filberthead_limits::{Clients, Port, PortBounds, PortCounters, VmLimits};
use filberthead_types::ClusterId;
use log::warn;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::Origin;
use crate::counters::Counters;
use crate::inbound::{Deliver, Inbound};
use crate::liveness::Acknowledgements;
use crate::outbox::Outbox;

/// Memory of the process that default bounds are made for, in bytes.
const DEFAULT_MEMORY: u64 = 256 * 1024 * 1024;

/// Why the transport failed to start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum TransportError {
    /// Listening on the address failed.
    #[snafu(display("can't listen for peers on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The receiving thread can't be started.
    #[snafu(display("can't start the thread that receives from peers"))]
    Thread {
        /// The operating system's error.
        source: io::Error,
    },
}

/// A listening transport; stops its receiving thread when dropped.
#[derive(Debug)]
pub struct Transport {
    addr: SocketAddr,
    runtime: Handle,
    counters: Arc<Counters>,
    acknowledgements: Arc<Acknowledgements>,
    /// Dropped to stop the thread.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Transport {
    /// Listens on `addr` and passes every accepted message to `deliver`. The bounds are those of a process with
    /// 256 MiB of memory.
    ///
    /// # Errors
    ///
    /// Fails if listening on the address fails or no thread can be started.
    pub fn listen(
        addr: SocketAddr,
        cluster: ClusterId,
        deliver: impl Deliver + 'static,
    ) -> Result<Self, TransportError> {
        let bounds = VmLimits::new(DEFAULT_MEMORY, None).peers();
        Self::listen_within(addr, cluster, (bounds, Arc::default()), deliver)
    }

    /// Like [`listen`](Self::listen), with these bounds on what peers make the process hold.
    ///
    /// # Errors
    ///
    /// As [`listen`](Self::listen).
    pub fn listen_within(
        addr: SocketAddr,
        cluster: ClusterId,
        (bounds, held): (PortBounds, Arc<PortCounters>),
        deliver: impl Deliver + 'static,
    ) -> Result<Self, TransportError> {
        let (listener, addr) = bind(addr).context(ListenSnafu { addr })?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let handle = runtime.handle().clone();
        let counters = Arc::new(Counters::default());
        let acknowledgements = Arc::new(Acknowledgements::default());
        let inbound = Inbound {
            cluster,
            counters: Arc::clone(&counters),
            acknowledgements: Arc::clone(&acknowledgements),
            deliver: RefCell::new(deliver),
        };
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("peer-recv".to_owned())
            .spawn(move || {
                let clients = Clients::new(Port::Peers, bounds, held);
                run(&runtime, listener, (inbound, clients), stopped);
            })
            .context(ThreadSnafu)?;
        Ok(Self {
            addr,
            runtime: handle,
            counters,
            acknowledgements,
            stop: Some(stop),
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

    /// Creates a sender that puts `origin` into each of its messages. Its connections are closed
    /// with the transport, unless it is given [another runtime](Outbox::set_runtime).
    pub fn outbox(&self, cluster: ClusterId, origin: Origin) -> Outbox {
        Outbox::new(
            cluster,
            origin,
            self.runtime.clone(),
            Arc::clone(&self.counters),
            Arc::clone(&self.acknowledgements),
        )
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            warn!("the thread that receives from peers panicked");
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

fn run(
    runtime: &Runtime,
    listener: std::net::TcpListener,
    (inbound, clients): (Inbound<impl Deliver + 'static>, Rc<Clients>),
    stopped: oneshot::Receiver<()>,
) {
    LocalSet::new().block_on(runtime, async {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                warn!(error:% = e; "the socket that listens for peers can't be registered");
                return;
            }
        };
        tokio::select! {
            () = Rc::new(inbound).accept(listener, clients) => {}
            _ = stopped => {}
        }
    });
}
