//! Hundreds of nodes in this process, each with its own transport.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_peer::{Body, Counters, Deliver, Origin, Outbox, Transport, cluster_id};
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_spread::node::{Action, Contacts, Event, Node};
use filberthead_spread::{Config, MemberInfo, Message, Sender as From};
use filberthead_types::{Incarnation, Moment};

use crate::args::Options;

const DRIVERS: usize = 4;
const TICK: Duration = Duration::from_millis(100);
/// Messages that are queued for a driver thread; further ones are dropped, as on a network.
const QUEUE_CAPACITY: usize = 65_536;

/// For each version, when each node first had it in force.
pub(crate) type InForce = BTreeMap<u64, Vec<Instant>>;

/// The running nodes and the threads that drive them.
pub(crate) struct Nodes {
    stop: Arc<AtomicBool>,
    drivers: Vec<JoinHandle<Vec<NodeResult>>>,
    /// When versions came into force.
    pub(crate) in_force: Arc<Mutex<InForce>>,
    /// Counters of each node's transport.
    pub(crate) counters: Vec<Arc<Counters>>,
}

/// State of a node when it was stopped.
pub(crate) struct NodeResult {
    /// Index in [`Nodes::counters`].
    pub(crate) index: usize,
    /// Whether it reported to control for its failure domain.
    pub(crate) relay: bool,
}

type MessageSender = Sender<(usize, Origin, Body)>;

/// Passes messages for the node `index` to its driver.
struct DriverQueue {
    index: usize,
    tx: MessageSender,
}

impl Deliver for DriverQueue {
    fn deliver(&mut self, origin: Origin, body: Body) {
        // The protocol repeats dropped messages.
        let _ = self.tx.push((self.index, origin, body));
    }
}

/// A node and its transport, which must stay open while the node runs.
struct DrivenNode {
    index: usize,
    node: Node,
    outbox: Outbox,
    _transport: Transport,
}

impl Nodes {
    /// Starts all nodes.
    pub(crate) fn start(options: &Options, controls: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let in_force = Arc::new(Mutex::new(InForce::new()));
        let mut counters = Vec::new();
        let mut drivers = Vec::new();
        let share = options.nodes.div_ceil(DRIVERS);
        for first in (0..options.nodes).step_by(share) {
            let (tx, rx) = ring(QUEUE_CAPACITY);
            let indices = first..options.nodes.min(first + share);
            let driven: Vec<_> = indices
                .map(|index| start_node(options, index, controls, tx.clone()))
                .collect();
            let count = |node: &DrivenNode| node._transport.counters();
            counters.extend(driven.iter().map(count));
            let driver = Driver {
                nodes: driven,
                first,
                rx,
                started: Instant::now(),
                in_force: Arc::clone(&in_force),
            };
            let stop = Arc::clone(&stop);
            drivers.push(std::thread::spawn(move || driver.run(&stop)));
        }
        Self {
            stop,
            drivers,
            in_force,
            counters,
        }
    }

    /// How many nodes have had `version` in force.
    pub(crate) fn count_in_force(&self, version: u64) -> usize {
        let in_force = self
            .in_force
            .lock()
            .expect("no driver panics with the lock");
        in_force.get(&version).map_or(0, Vec::len)
    }

    /// Stops all nodes.
    pub(crate) fn stop(self) -> Vec<NodeResult> {
        self.stop.store(true, Ordering::Release);
        let join =
            |driver: JoinHandle<Vec<NodeResult>>| driver.join().expect("a driver doesn't panic");
        self.drivers.into_iter().flat_map(join).collect()
    }
}

fn start_node(
    options: &Options,
    index: usize,
    controls: &[SocketAddr],
    tx: MessageSender,
) -> DrivenNode {
    let cluster = cluster_id("fleet");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let transport = Transport::listen(listen, cluster, DriverQueue { index, tx })
        .expect("a free port on the loopback interface");
    let domain = index % options.domains;
    let name = |text: String| text.parse().expect("a valid name");
    let member = MemberInfo {
        name: format!("entry-{index:03}").parse().expect("a valid name"),
        incarnation: Incarnation(rand::random()),
        peer_addr: transport.addr(),
        caller_addr: transport.addr(),
        region: name(format!("region-{}", domain % 9)),
        failure_domain: format!("domain-{domain}").parse().expect("a valid name"),
        leaving: false,
    };
    let origin = Origin {
        name: member.name.clone(),
        incarnation: member.incarnation,
        addr: member.peer_addr,
        replica: None,
    };
    let contacts = Contacts {
        controls: controls.to_vec(),
        seeds: Vec::new(),
    };
    let cfg = Config::builder().seed(index as u64).build();
    DrivenNode {
        index,
        node: Node::new(cfg, member, contacts),
        outbox: transport.outbox(cluster, origin),
        _transport: transport,
    }
}

/// A thread that runs the nodes from index `first` on.
struct Driver {
    nodes: Vec<DrivenNode>,
    first: usize,
    rx: Receiver<(usize, Origin, Body)>,
    started: Instant,
    in_force: Arc<Mutex<InForce>>,
}

impl Driver {
    fn run(mut self, stop: &AtomicBool) -> Vec<NodeResult> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime can be started");
        runtime.block_on(self.drive(stop));
        self.nodes.iter().map(node_result).collect()
    }

    async fn drive(&mut self, stop: &AtomicBool) {
        let mut ticks = tokio::time::interval(TICK / 10);
        let mut group = 0;
        while !stop.load(Ordering::Acquire) {
            tokio::select! {
                _ = ticks.tick() => {
                    // Each interval ticks a tenth of the nodes, because real entries don't
                    // tick at the same time.
                    self.tick(group);
                    group = (group + 1) % 10;
                }
                Some((index, origin, body)) = self.rx.recv() => self.receive(index, origin, body),
            }
        }
    }

    fn tick(&mut self, group: usize) {
        for i in (group..self.nodes.len()).step_by(10) {
            self.step_node(i, Event::Tick);
        }
    }

    fn receive(&mut self, index: usize, origin: Origin, body: Body) {
        let Body::Spread(message) = body else {
            return;
        };
        let from = From {
            name: origin.name,
            incarnation: origin.incarnation,
            addr: origin.addr,
        };
        self.step_node(index - self.first, Event::Received { from, message });
    }

    fn step_node(&mut self, i: usize, event: Event) {
        let now: Moment = self.started.elapsed();
        for action in self.nodes[i].node.step(now, event) {
            match action {
                Action::Send { to, message } => self.send(i, to, message),
                Action::InForce(view) => self.record_in_force(view.version.0),
                Action::Entries(_) | Action::Readiness(_) | Action::Diverged => {}
            }
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, message: Message) {
        self.nodes[i].outbox.send(to, Body::Spread(message));
    }

    fn record_in_force(&self, version: u64) {
        let mut in_force = self
            .in_force
            .lock()
            .expect("no driver panics with the lock");
        in_force.entry(version).or_default().push(Instant::now());
    }
}

fn node_result(node: &DrivenNode) -> NodeResult {
    NodeResult {
        index: node.index,
        relay: node.node.status().relay.is_none(),
    }
}
