//! Cost of the distribution protocol: bytes per second, CPU time and memory per node.
//!
//! Runs nodes and sources at several cluster sizes in one process, encodes and decodes each
//! message in its envelope, and prints `name: value unit` lines. Bytes count the encoded
//! envelopes, sent and received, without the framing of the transport and TCP. CPU time covers the
//! step functions and the codec.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberthead_peer::{Body, Envelope, Origin, decode, encode};
use filberthead_spread::node::{self, Contacts, Node};
use filberthead_spread::source::{self, Source};
use filberthead_spread::{Config, MemberInfo, Message, Sender};
use filberthead_table::{Objective, Row, RowKey, RowValues, View};
use filberthead_types::{ClusterId, Epoch, Incarnation, Moment, Revision};

const STEP: Duration = Duration::from_millis(100);
const LEASE: Duration = Duration::from_millis(500);
const WARMUP: Duration = Duration::from_secs(30);
const IDLE: Duration = Duration::from_secs(60);
const CHANGES: u32 = 60;
const CHANGES_A_DAY: f64 = 1300.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const CONTROLS: usize = 3;
const CLUSTER: ClusterId = ClusterId(0x9e37_79b9_7f4a_7c15);

/// A cluster size.
struct Size {
    nodes: usize,
    domains: usize,
    services: usize,
    regions: usize,
}

/// Resources that a process has used.
#[derive(Clone, Copy, Default)]
struct Usage {
    bytes: u64,
    messages: u64,
    /// CPU time for messages, codec included, and for ticks.
    time: Duration,
    /// CPU time for messages only.
    message_time: Duration,
}

impl Usage {
    fn add_message(&mut self, time: Duration) {
        self.time += time;
        self.message_time += time;
    }

    fn add_step(&mut self, is_tick: bool, time: Duration) {
        self.time += time;
        if !is_tick {
            self.message_time += time;
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            bytes: self.bytes - before.bytes,
            messages: self.messages - before.messages,
            time: self.time - before.time,
            message_time: self.message_time - before.message_time,
        }
    }
}

enum Process {
    Entry(Box<Node>),
    Control(Box<Source>),
}

struct Peer {
    process: Process,
    origin: Origin,
    usage: Usage,
}

struct Cluster {
    now: Moment,
    peers: Vec<Peer>,
    index_by_addr: HashMap<SocketAddr, usize>,
    queue: Vec<(SocketAddr, Vec<u8>)>,
    view: View,
    regions: usize,
    /// Number of entries that act on the newest version.
    in_force: usize,
}

fn main() {
    let sizes = [
        (11, 3, 6, 3),
        (11, 6, 6, 3),
        (200, 9, 20, 9),
        (600, 22, 61, 9),
    ];
    for (nodes, domains, services, regions) in sizes {
        measure(&Size {
            nodes,
            domains,
            services,
            regions,
        });
    }
}

fn measure(size: &Size) {
    let prefix = format!("spread_{}_nodes_{}_domains", size.nodes, size.domains);
    let print = |name: &str, value: f64, unit: &str| println!("{prefix}_{name}: {value:.1} {unit}");
    let rss = resident_bytes();
    let mut cluster = Cluster::new(size);
    cluster.run(WARMUP);
    assert_eq!(
        cluster.in_force, size.nodes,
        "every entry acts on the table"
    );
    let memory_growth = resident_bytes().saturating_sub(rss);
    let before = cluster.usage();
    cluster.run(IDLE);
    let idle = cluster.costs(&before);
    let seconds = IDLE.as_secs_f64();
    for (role, usage) in [
        ("entry", idle.entry),
        ("relay", idle.relay),
        ("leader", idle.leader),
    ] {
        print(&format!("{role}_idle"), usage.bytes as f64 / seconds, "B/s");
        let share = usage.time.as_secs_f64() / seconds * 100.0;
        println!("{prefix}_{role}_idle_core: {share:.4} %");
        let each = usage.message_time.as_nanos() as f64 / usage.messages.max(1) as f64;
        print(&format!("{role}_message"), each, "ns");
    }
    let before = cluster.usage();
    for _ in 0..CHANGES {
        cluster.change();
        cluster.run(Duration::from_secs(1));
    }
    assert_eq!(cluster.in_force, size.nodes, "every change is in force");
    let busy = cluster.costs(&before);
    let pairs = [
        ("entry", busy.entry, idle.entry),
        ("relay", busy.relay, idle.relay),
        ("leader", busy.leader, idle.leader),
    ];
    for (role, busy, idle) in pairs {
        let idle = idle.bytes as f64 / seconds;
        let change = busy.bytes as f64 / f64::from(CHANGES) - idle;
        print(&format!("{role}_change"), change, "B");
        let day = idle + change * CHANGES_A_DAY / SECONDS_A_DAY;
        print(&format!("{role}_at_1300_changes_a_day"), day, "B/s");
    }
    // With few nodes the allocator's granularity hides the memory of a node.
    if size.nodes >= 200 {
        print(
            "memory_a_node",
            memory_growth as f64 / size.nodes as f64 / 1024.0,
            "KiB",
        );
    }
}

/// Usage by role: the mean of the entries that aren't relays, the relay that sent and received
/// most, and the leader.
struct Costs {
    entry: Usage,
    relay: Usage,
    leader: Usage,
}

impl Cluster {
    fn new(size: &Size) -> Self {
        let mut cluster = Self {
            now: Moment::ZERO,
            peers: Vec::new(),
            index_by_addr: HashMap::new(),
            queue: Vec::new(),
            view: first_view(size),
            regions: size.regions,
            in_force: 0,
        };
        let controls: Vec<_> = (0..CONTROLS).map(|index| addr(1, index)).collect();
        for (index, own) in controls.iter().enumerate() {
            let others = controls.iter().copied().filter(|addr| addr != own);
            let source = Source::new(Config::builder().build(), others.collect());
            let name = format!("control-{index}");
            cluster.add(Process::Control(Box::new(source)), &name, *own);
        }
        for index in 0..size.nodes {
            cluster.add_entry(size, index, &controls);
        }
        cluster.commit();
        cluster
    }

    fn add_entry(&mut self, size: &Size, index: usize, controls: &[SocketAddr]) {
        let domain = index % size.domains;
        let region = domain * size.regions / size.domains;
        let member = MemberInfo {
            name: format!("region-{region}-d{domain}-entry-{index:03}")
                .parse()
                .expect("valid name"),
            incarnation: Incarnation(
                CLUSTER
                    .0
                    .rotate_left(u32::try_from(index % 64).unwrap_or(0)),
            ),
            peer_addr: addr(2, index),
            caller_addr: addr(3, index),
            region: format!("region-{region}").parse().expect("valid name"),
            failure_domain: format!("region-{region}-d{domain}")
                .parse()
                .expect("valid name"),
            leaving: false,
        };
        let contacts = Contacts {
            controls: controls.to_vec(),
            seeds: (0..size.domains).map(|index| addr(2, index)).collect(),
        };
        let cfg = Config::builder().seed(index as u64).build();
        let (name, at) = (member.name.to_string(), member.peer_addr);
        let node = Node::new(cfg, member, contacts);
        self.add(Process::Entry(Box::new(node)), &name, at);
    }

    fn add(&mut self, process: Process, name: &str, addr: SocketAddr) {
        let origin = Origin {
            name: name.parse().expect("valid name"),
            incarnation: Incarnation(CLUSTER.0 ^ u64::from(addr.port())),
            addr,
            replica: None,
        };
        self.index_by_addr.insert(addr, self.peers.len());
        self.peers.push(Peer {
            process,
            origin,
            usage: Usage::default(),
        });
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (to, buf) in std::mem::take(&mut self.queue) {
                self.deliver(to, &buf);
            }
            for index in 0..self.peers.len() {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if index == 0 {
            let until = self.now + LEASE;
            let term = Epoch(1);
            self.control_step(0, source::Event::Lead { term, until });
        }
        match self.peers[index].process {
            Process::Entry(_) => self.entry_step(index, node::Event::Tick),
            Process::Control(_) => self.control_step(index, source::Event::Tick),
        }
    }

    fn deliver(&mut self, to: SocketAddr, buf: &[u8]) {
        let Some(index) = self.index_by_addr.get(&to).copied() else {
            return;
        };
        let start = Instant::now();
        let envelope = decode(CLUSTER, buf).expect("what was encoded can be decoded");
        let usage = &mut self.peers[index].usage;
        usage.add_message(start.elapsed());
        usage.bytes += buf.len() as u64;
        usage.messages += 1;
        let Body::Spread(message) = envelope.body else {
            return;
        };
        let from = Sender {
            name: envelope.origin.name,
            incarnation: envelope.origin.incarnation,
            addr: envelope.origin.addr,
        };
        match self.peers[index].process {
            Process::Entry(_) => self.entry_step(index, node::Event::Received { from, message }),
            Process::Control(_) => {
                self.control_step(index, source::Event::Received { from, message });
            }
        }
    }

    fn entry_step(&mut self, index: usize, event: node::Event) {
        let Process::Entry(node) = &mut self.peers[index].process else {
            return;
        };
        let is_tick = matches!(event, node::Event::Tick);
        let start = Instant::now();
        let actions = node.step(self.now, event);
        self.peers[index].usage.add_step(is_tick, start.elapsed());
        for action in actions {
            match action {
                node::Action::Send { to, message } => self.send(index, to, message),
                node::Action::InForce(view) => {
                    self.in_force += usize::from(view.version == self.view.version);
                }
                node::Action::Entries(_) | node::Action::Readiness(_) | node::Action::Diverged => {}
            }
        }
    }

    fn control_step(&mut self, index: usize, event: source::Event) {
        let Process::Control(source) = &mut self.peers[index].process else {
            return;
        };
        let is_tick = !matches!(event, source::Event::Received { .. });
        let start = Instant::now();
        let actions = source.step(self.now, event);
        self.peers[index].usage.add_step(is_tick, start.elapsed());
        for action in actions {
            if let source::Action::Send { to, message } = action {
                self.send(index, to, message);
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: Message) {
        let peer = &mut self.peers[index];
        let start = Instant::now();
        let envelope = Envelope {
            origin: peer.origin.clone(),
            // Encoded in two bytes, as after some hundred messages.
            received: 1000,
            body: Body::Spread(message),
        };
        let buf = encode(CLUSTER, &envelope).expect("every message can be encoded");
        peer.usage.add_message(start.elapsed());
        peer.usage.bytes += buf.len() as u64;
        peer.usage.messages += 1;
        self.queue.push((to, buf));
    }

    fn change(&mut self) {
        self.view.version = self.view.version.next();
        let service = usize::try_from(self.view.version.0).unwrap_or(0) % 6;
        let revision = Revision(self.view.version.0);
        let key = row_key(service, self.regions - 1);
        let row = Row {
            values: row_values(u32::try_from(self.view.version.0 % 100).unwrap_or(0)),
            revision,
        };
        self.view.rows.insert(key, row);
        self.commit();
    }

    fn commit(&mut self) {
        self.in_force = 0;
        let view = Arc::new(self.view.clone());
        for index in 0..CONTROLS {
            self.control_step(index, source::Event::Committed(Arc::clone(&view)));
        }
    }

    fn usage(&self) -> Vec<Usage> {
        self.peers.iter().map(|peer| peer.usage).collect()
    }

    fn costs(&self, before: &[Usage]) -> Costs {
        let mut costs = Costs {
            entry: Usage::default(),
            relay: Usage::default(),
            leader: self.peers[0].usage.since(before[0]),
        };
        let mut entry_count = 0;
        for (peer, before) in self.peers.iter().zip(before) {
            let Process::Entry(node) = &peer.process else {
                continue;
            };
            let usage = peer.usage.since(*before);
            if node.status().relay.is_none() {
                if usage.bytes > costs.relay.bytes {
                    costs.relay = usage;
                }
                continue;
            }
            entry_count += 1;
            costs.entry.bytes += usage.bytes;
            costs.entry.messages += usage.messages;
            costs.entry.time += usage.time;
            costs.entry.message_time += usage.message_time;
        }
        costs.entry.bytes /= entry_count;
        costs.entry.messages /= entry_count;
        costs.entry.message_time /= u32::try_from(entry_count).unwrap_or(u32::MAX);
        costs.entry.time /= u32::try_from(entry_count).unwrap_or(u32::MAX);
        costs
    }
}

fn addr(kind: u8, index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap_or(0).to_be_bytes();
    SocketAddr::from(([10, kind, high, low], 7400 + u16::from(kind)))
}

fn first_view(size: &Size) -> View {
    let keys = (0..size.services).flat_map(|s| (0..size.regions).map(move |r| row_key(s, r)));
    let row = Row {
        values: row_values(100),
        revision: Revision(1),
    };
    View {
        version: filberthead_types::Version(1),
        rows: keys.map(|key| (key, row)).collect(),
    }
}

fn row_key(service: usize, region: usize) -> RowKey {
    RowKey {
        service: format!("service-{service}").parse().expect("valid name"),
        region: format!("region-{region}").parse().expect("valid name"),
    }
}

fn row_values(weight: u32) -> RowValues {
    RowValues {
        weight,
        limit: 4000,
        shift_cap: 400,
        objective: Objective::Latency,
    }
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).map(str::parse::<u64>);
    pages.and_then(Result::ok).unwrap_or(0) * 4096
}
