//! A TCP proxy that injects faults between real processes.
//!
//! It binds to port 0 once and keeps that port, while the process behind it may restart on
//! another one. Bytes are never dropped from the middle of a connection, because TCP doesn't
//! lose them either: a cut link holds them back, and they arrive late if the link heals before
//! either side gives up.

mod connections;
mod inodes;
mod link;
mod network;
mod owner;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use connections::Connections;
pub use connections::ProxiedConnection;
pub use network::Network;
use owner::Owners;

use crate::runtime;

/// How bytes in one direction are forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwarded at once.
    #[default]
    Pass,
    /// Forwarded after this delay.
    Delay(Duration),
    /// Held back, along with the ends of connections: the other side receives nothing.
    Hold,
    /// Forwarded at this rate, in bytes per second.
    Throttle(u64),
    /// Connections are reset, open ones and new ones.
    Reset,
    /// New connections are reset; on open ones bytes are forwarded at once.
    Refuse,
}

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the process behind the proxy.
    ToServer,
    /// From the process behind the proxy to the connecting side.
    ToClient,
}

/// The flows of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Flows {
    pub(crate) to_server: Flow,
    pub(crate) to_client: Flow,
}

impl Flows {
    pub(crate) fn get(self, direction: Direction) -> Flow {
        match direction {
            Direction::ToServer => self.to_server,
            Direction::ToClient => self.to_client,
        }
    }

    fn set(&mut self, direction: Direction, flow: Flow) {
        match direction {
            Direction::ToServer => self.to_server = flow,
            Direction::ToClient => self.to_client = flow,
        }
    }
}

/// The rules that a proxy currently applies to its connections.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    target: Option<SocketAddr>,
    refuse: bool,
    /// Number of calls of [`FaultProxy::cut`]; connections older than the last call are reset.
    cuts: u64,
    /// Number of calls of [`FaultProxy::silence`]; connections older than the last call forward
    /// nothing any more.
    silences: u64,
    flows: Flows,
    /// Flows of connections from the process with this name; they take precedence over `flows`.
    links: Vec<(Arc<str>, Flows)>,
}

impl Rules {
    /// The flows of a connection made by `client`.
    ///
    /// While links have rules, connections from an unidentified client are held: it may be a
    /// process that is cut off and has closed its socket since.
    pub(crate) fn flows(&self, client: Option<&str>) -> Flows {
        if self.links.is_empty() {
            return self.flows;
        }
        let Some(client) = client else {
            return Flows {
                to_server: Flow::Hold,
                to_client: Flow::Hold,
            };
        };
        let of_client = |(name, _): &&(Arc<str>, Flows)| name.as_ref() == client;
        self.links
            .iter()
            .find(of_client)
            .map_or(self.flows, |(_, flows)| *flows)
    }
}

/// A running proxy; dropping it stops it and resets its connections.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
    connections: Connections,
    accepting: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port, without a target yet.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        Self::start_with(Owners::default())
    }

    /// Starts a proxy in front of `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn before(target: SocketAddr) -> Self {
        let proxy = Self::start();
        proxy.retarget(target);
        proxy
    }

    pub(crate) fn start_with(owners: Owners) -> Self {
        let rules = Arc::new(watch::Sender::new(Rules {
            target: None,
            refuse: false,
            cuts: 0,
            silences: 0,
            flows: Flows::default(),
            links: Vec::new(),
        }));
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("a bound port is known");
        listener
            .set_nonblocking(true)
            .expect("a socket can be made non-blocking");
        let connections = Connections::default();
        let accepting = accept(listener, Arc::clone(&rules), owners, connections.clone());
        let accepting = runtime::handle().spawn(accepting);
        Self {
            addr,
            rules,
            connections,
            accepting,
        }
    }

    /// The address that the proxy listens on; it never changes.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Directs new connections to `target`.
    pub fn retarget(&self, target: SocketAddr) {
        self.rules.send_modify(|rules| rules.target = Some(target));
    }

    /// Removes the target: new connections are reset until the proxy is
    /// [retargeted](Self::retarget). This is needed because the port of a process that has ended
    /// may be reused at once by a process of another test.
    pub fn clear_target(&self) {
        self.rules.send_modify(|rules| rules.target = None);
    }

    /// Sets how bytes in `direction` are forwarded, on existing and new connections.
    pub fn set(&self, direction: Direction, flow: Flow) {
        self.rules
            .send_modify(|rules| rules.flows.set(direction, flow));
    }

    /// Holds back all bytes in both directions, like a link that is down.
    pub fn hold(&self) {
        self.set(Direction::ToServer, Flow::Hold);
        self.set(Direction::ToClient, Flow::Hold);
    }

    /// Forwards bytes in both directions again, and accepts connections again.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            rules.flows = Flows::default();
            rules.refuse = false;
        });
    }

    /// Resets new connections at once, until [`heal`](Self::heal).
    pub fn refuse(&self) {
        self.rules.send_modify(|rules| rules.refuse = true);
    }

    /// Resets all existing connections.
    pub fn cut(&self) {
        self.rules.send_modify(|rules| rules.cuts += 1);
    }

    /// Holds back all bytes of existing connections permanently, while new connections pass: a
    /// middlebox that has lost its connection state does the same.
    pub fn silence(&self) {
        self.rules.send_modify(|rules| rules.silences += 1);
    }

    /// The connections to processes behind it that it has opened, in order.
    pub fn connections(&self) -> Vec<ProxiedConnection> {
        self.connections.all()
    }

    pub(crate) fn rules(&self) -> &Arc<watch::Sender<Rules>> {
        &self.rules
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut();
    }
}

async fn accept(
    listener: std::net::TcpListener,
    rules: Arc<watch::Sender<Rules>>,
    owners: Owners,
    connections: Connections,
) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let forward = link::forward(
            client,
            rules.subscribe(),
            owners.clone(),
            connections.clone(),
        );
        tokio::spawn(forward);
    }
}

/// Makes closing the socket send a reset, so that the other side detects it at once, as from a
/// machine that has lost the connection's state.
fn reset_on_drop(stream: &TcpStream) {
    // Fails only for a connection that has already ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
