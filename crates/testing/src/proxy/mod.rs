//! A TCP proxy that injects faults between real processes.
//!
//! It is bound to port 0 once and keeps that port for its whole life, while the process
//! behind it may be restarted on another one. Bytes are never dropped from the middle of
//! a connection, because no network does that to TCP: a cut link holds them back, and
//! they come late if the link heals before either side gives up.

mod link;
mod network;
mod owner;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use network::Network;
use owner::Owners;

use crate::runtime;

/// What happens to bytes that go one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Pass,
    /// They pass this much later.
    Delay(Duration),
    /// They are held back, ends of connections included: the other side sees silence.
    Hold,
    /// They pass at this many bytes a second.
    Throttle(u64),
}

/// A way through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected to the process behind the proxy.
    ToServer,
    /// Back.
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

/// What the connections of a proxy are subject to at the moment.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    target: Option<SocketAddr>,
    refuse: bool,
    /// Counts calls of [`FaultProxy::cut`]; a connection older than the last one ends.
    cuts: u64,
    /// Counts calls of [`FaultProxy::silence`]; a connection older than the last one
    /// carries nothing any more.
    silences: u64,
    flows: Flows,
    /// Flows of connections made by a process of this name; they go before `flows`.
    links: Vec<(Arc<str>, Flows)>,
}

impl Rules {
    /// The flows of a connection made by `client`.
    ///
    /// While links have rules, a client that can't be told is held: it may have been a
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

/// A running proxy; it ends, and its connections are reset, when this is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    rules: Arc<watch::Sender<Rules>>,
    accepting: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port, with nothing behind it yet.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start() -> Self {
        Self::start_with(Owners::default())
    }

    /// Starts a proxy before `target`.
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
        let accepting = runtime::handle().spawn(accept(listener, Arc::clone(&rules), owners));
        Self {
            addr,
            rules,
            accepting,
        }
    }

    /// The address that the proxy takes connections on, for good.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends connections made from now on to `target`.
    pub fn retarget(&self, target: SocketAddr) {
        self.rules.send_modify(|rules| rules.target = Some(target));
    }

    /// Has nothing behind the proxy any more: connections are reset until it is
    /// [retargeted](Self::retarget). The port of a process that has ended may belong to
    /// a process of another test at once.
    pub fn clear_target(&self) {
        self.rules.send_modify(|rules| rules.target = None);
    }

    /// Sets what happens to bytes that go `direction`, on old and new connections.
    pub fn set(&self, direction: Direction, flow: Flow) {
        self.rules
            .send_modify(|rules| rules.flows.set(direction, flow));
    }

    /// Holds back all bytes in both directions: a link that is down.
    pub fn hold(&self) {
        self.set(Direction::ToServer, Flow::Hold);
        self.set(Direction::ToClient, Flow::Hold);
    }

    /// Lets bytes pass again in both directions, and connections be made.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            rules.flows = Flows::default();
            rules.refuse = false;
        });
    }

    /// Resets connections as soon as they are made, until [`heal`](Self::heal).
    pub fn refuse(&self) {
        self.rules.send_modify(|rules| rules.refuse = true);
    }

    /// Resets all connections made so far.
    pub fn cut(&self) {
        self.rules.send_modify(|rules| rules.cuts += 1);
    }

    /// Holds back all bytes of the connections made so far, for good, while new ones pass:
    /// what a device on the way does that has forgotten them.
    pub fn silence(&self) {
        self.rules.send_modify(|rules| rules.silences += 1);
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

async fn accept(listener: std::net::TcpListener, rules: Arc<watch::Sender<Rules>>, owners: Owners) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(link::forward(client, rules.subscribe(), owners.clone()));
    }
}

/// Makes the socket's end a reset: the other side learns of it at once, as from a
/// machine that no longer knows the connection.
fn reset_on_drop(stream: &TcpStream) {
    // Fails only for a connection that has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
