//! Simulated network of nodes and sources, connected by a message queue.
//!
//! A message arrives one step after it was sent, unless its link is cut. Every message is
//! encoded and decoded, as on the wire.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_spread::node::{self, Contacts, Node, Readiness};
use filberthead_spread::source::{self, Source};
use filberthead_spread::{Config, Leader, MemberInfo, Message, Sender};
use filberthead_table::{Row, RowKey, RowValues, View};
use filberthead_types::{Epoch, Incarnation, Moment, NodeName, Revision, Version};

pub(crate) const STEP: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_millis(500);

/// An entry and the state from its actions.
pub(crate) struct Entry {
    pub(crate) node: Node,
    pub(crate) member: MemberInfo,
    pub(crate) in_force: Vec<Version>,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) readiness: Readiness,
    pub(crate) readiness_log: Vec<Readiness>,
    pub(crate) entries: Vec<MemberInfo>,
    pub(crate) diverged: bool,
}

/// A control replica's source.
pub(crate) struct Control {
    pub(crate) source: Source,
    pub(crate) name: NodeName,
    pub(crate) addr: SocketAddr,
    pub(crate) leads: Option<Epoch>,
    pub(crate) leader: Option<Leader>,
    /// Whether committed changes reach it.
    pub(crate) replicates: bool,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub(crate) struct Packet {
    pub(crate) from: SocketAddr,
    pub(crate) to: SocketAddr,
    pub(crate) message: Message,
}

/// Decides whether a message is delivered.
pub(crate) type Filter = Box<dyn FnMut(&Packet) -> bool>;

pub(crate) struct Network {
    pub(crate) now: Moment,
    pub(crate) entries: BTreeMap<String, Entry>,
    pub(crate) controls: Vec<Control>,
    /// The table with all accepted changes.
    pub(crate) table: View,
    pub(crate) queue: VecDeque<Packet>,
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
    pub(crate) filter: Option<Filter>,
    down: BTreeSet<SocketAddr>,
    start_count: u64,
    /// Versions that entries have persisted; `None` if they persist none.
    watermarks: Option<BTreeMap<String, Version>>,
    /// Processes that aren't stepped, as if stopped by a signal.
    pub(crate) suspended: BTreeSet<String>,
    /// Makes every entry act on the view it holds, proven or not.
    pub(crate) skip_proof: bool,
}

fn addr(kind: u8, index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, kind, 0, 1],
        7000 + u16::try_from(index).expect("few nodes"),
    ))
}

/// Failure domain of an entry named like `zagreb-1-a`: all but the last part.
fn domain_of(name: &str) -> &str {
    name.rsplit_once('-').map_or(name, |(domain, _)| domain)
}

impl Network {
    /// Three control replicas, of which the first leads, and these entries. An entry of the
    /// failure domain `zagreb-1` has a name like `zagreb-1-a`.
    pub(crate) fn new(names: &[&str]) -> Self {
        let mut network = Self {
            now: Moment::from_secs(1000),
            entries: BTreeMap::new(),
            controls: Vec::new(),
            table: View::default(),
            queue: VecDeque::new(),
            cut: BTreeSet::new(),
            filter: None,
            down: BTreeSet::new(),
            start_count: 0,
            watermarks: None,
            suspended: BTreeSet::new(),
            skip_proof: false,
        };
        let addrs: Vec<_> = (0..3).map(|index| addr(1, index)).collect();
        for (index, own) in addrs.iter().enumerate() {
            let others = addrs.iter().copied().filter(|addr| addr != own).collect();
            network.controls.push(Control {
                source: Source::new(Config::builder().build(), others),
                name: format!("control-{index}").parse().expect("valid name"),
                addr: *own,
                leads: None,
                leader: None,
                replicates: true,
            });
        }
        network.elect(0, 1);
        for name in names {
            network.start(name);
        }
        network
    }

    /// Starts or restarts an entry with nothing but its settings and persisted version.
    pub(crate) fn start(&mut self, name: &str) {
        self.start_count += 1;
        let index = self.index(name);
        let member = MemberInfo {
            name: name.parse().expect("valid name"),
            incarnation: Incarnation(self.start_count),
            peer_addr: addr(2, index),
            caller_addr: addr(3, index),
            region: domain_of(domain_of(name)).parse().expect("valid name"),
            failure_domain: domain_of(name).parse().expect("valid name"),
            leaving: false,
        };
        let contacts = Contacts {
            controls: self.controls.iter().map(|control| control.addr).collect(),
            seeds: self.entries.values().map(|e| e.member.peer_addr).collect(),
        };
        let watermark = self
            .watermarks
            .as_ref()
            .and_then(|watermarks| watermarks.get(name));
        let cfg = Config::builder().watermark(watermark.copied().unwrap_or_default());
        let cfg = cfg.seed(self.start_count).build();
        self.down.remove(&member.peer_addr);
        let entry = Entry {
            node: Node::new(cfg, member.clone(), contacts),
            member,
            in_force: Vec::new(),
            view: None,
            readiness: Readiness::Starting,
            readiness_log: Vec::new(),
            entries: Vec::new(),
            diverged: false,
        };
        self.entries.insert(name.to_owned(), entry);
    }

    fn index(&self, name: &str) -> usize {
        let existing = self.entries.get(name);
        existing.map_or(self.entries.len(), |entry| {
            usize::from(entry.member.peer_addr.port()) - 7000
        })
    }

    /// Kills an entry; it can be started again.
    pub(crate) fn kill(&mut self, name: &str) {
        let addr = self.entries[name].member.peer_addr;
        self.down.insert(addr);
        self.queue.retain(|packet| packet.to != addr);
    }

    /// Makes a replica the leader and announces it to the others.
    pub(crate) fn elect(&mut self, index: usize, term: u64) {
        let term = Epoch(term);
        let addr = self.controls[index].addr;
        for control in &mut self.controls {
            control.leads = None;
            control.leader = Some(Leader { term, addr });
        }
        self.controls[index].leads = Some(term);
    }

    /// Sets the weight of a row; the change is committed at all replicas.
    pub(crate) fn change(&mut self, region: &str, weight: u32) -> Version {
        self.edit(
            region,
            Some(RowValues {
                weight,
                ..RowValues::default()
            }),
        )
    }

    /// Removes a row.
    pub(crate) fn remove(&mut self, region: &str) -> Version {
        self.edit(region, None)
    }

    fn edit(&mut self, region: &str, set: Option<RowValues>) -> Version {
        let version = self.table.version.next();
        self.table.version = version;
        let revision = Revision(version.0);
        match set {
            Some(values) => self
                .table
                .rows
                .insert(key(region), Row { values, revision }),
            None => self.table.rows.remove(&key(region)),
        };
        let view = Arc::new(self.table.clone());
        for index in 0..self.controls.len() {
            if self.controls[index].replicates {
                self.step_control(index, source::Event::Committed(Arc::clone(&view)));
            }
        }
        version
    }

    /// Cuts the links between two groups of addresses, both ways.
    pub(crate) fn cut(&mut self, a: &[SocketAddr], b: &[SocketAddr]) {
        for (a, b) in a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))) {
            self.cut.extend([(a, b), (b, a)]);
        }
    }

    /// Cuts one direction of a link.
    pub(crate) fn cut_one_way(&mut self, from: &str, to: &str) {
        let addr = |name| self.entry(name).member.peer_addr;
        self.cut.insert((addr(from), addr(to)));
    }

    /// Cuts a failure domain off from everything else.
    pub(crate) fn cut_off(&mut self, domain: &str) {
        let inside = self.addrs_in(domain);
        let outside = self.addresses().filter(|addr| !inside.contains(addr));
        let outside: Vec<_> = outside.collect();
        self.cut(&inside, &outside);
    }

    /// Peer addresses of all processes.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let controls = self.controls.iter().map(|control| control.addr);
        controls.chain(self.entries.values().map(|entry| entry.member.peer_addr))
    }

    /// Delivers a message as if it had been in flight before any cut.
    pub(crate) fn deliver_ignoring_cuts(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) {
        let cut = std::mem::take(&mut self.cut);
        self.deliver(Packet { from, to, message });
        self.cut = cut;
    }

    /// Ends a process without dropping the messages queued from or to it.
    pub(crate) fn kill_keeping_packets(&mut self, name: &str) {
        let addr = self.entries[name].member.peer_addr;
        self.down.insert(addr);
    }

    /// Repairs every link and removes the filter.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        self.filter = None;
    }

    pub(crate) fn addrs_in(&self, domain: &str) -> Vec<SocketAddr> {
        let inside = self
            .entries
            .iter()
            .filter(|(name, _)| domain_of(name) == domain);
        inside.map(|(_, entry)| entry.member.peer_addr).collect()
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `done`, for as long as two minutes at most.
    pub(crate) fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < Duration::from_secs(120), "never: {what}");
            self.tick();
        }
        self.now - start
    }

    /// One step of time: all messages in flight arrive, then all processes tick.
    pub(crate) fn tick(&mut self) {
        self.now += STEP;
        let packets: Vec<_> = self.queue.drain(..).collect();
        for packet in packets {
            self.deliver(packet);
        }
        for index in 0..self.controls.len() {
            self.tick_control(index);
        }
        let names: Vec<_> = self.entries.keys().cloned().collect();
        for name in names {
            if !self.suspended.contains(&name) {
                self.step_entry(&name, node::Event::Tick);
            }
        }
    }

    /// From now on every entry persists the version that it acts on.
    pub(crate) fn persist_watermarks(&mut self) {
        self.watermarks = Some(BTreeMap::new());
    }

    /// Restarts a control replica, which loses all state but the table, which its log restores.
    pub(crate) fn restart_control(&mut self, index: usize) {
        let own = self.controls[index].addr;
        let others = self.controls.iter().map(|control| control.addr);
        let others = others.filter(|addr| *addr != own).collect();
        self.controls[index].source = Source::new(Config::builder().build(), others);
        let view = Arc::new(self.table.clone());
        self.step_control(index, source::Event::Committed(view));
    }

    fn tick_control(&mut self, index: usize) {
        let until = self.now + LEASE;
        let control = &self.controls[index];
        if self.suspended.contains(control.name.as_str()) {
            return;
        }
        let event = match control.leads {
            Some(term) => source::Event::Lead { term, until },
            None => source::Event::Follow {
                leader: control.leader,
            },
        };
        self.step_control(index, event);
        self.step_control(index, source::Event::Tick);
    }

    /// Delivers a packet to its receiver unless a cut or the filter drops it.
    pub(crate) fn deliver(&mut self, packet: Packet) {
        let link = [packet.from, packet.to];
        if self.cut.contains(&(link[0], link[1])) || self.down.contains(&link[1]) {
            return;
        }
        if let Some(filter) = &mut self.filter
            && !filter(&packet)
        {
            return;
        }
        let Some(from) = self.sender(packet.from) else {
            return;
        };
        let message = packet.message;
        let control = self.controls.iter().position(|c| c.addr == packet.to);
        if let Some(index) = control {
            return self.step_control(index, source::Event::Received { from, message });
        }
        let name = self.name_of(packet.to).expect("an address of the test");
        self.step_entry(&name, node::Event::Received { from, message });
    }

    fn sender(&self, addr: SocketAddr) -> Option<Sender> {
        if let Some(control) = self.controls.iter().find(|c| c.addr == addr) {
            let (name, incarnation) = (control.name.clone(), Incarnation(0));
            return Some(Sender {
                name,
                incarnation,
                addr,
            });
        }
        let member = &self.entries[&self.name_of(addr)?].member;
        Some(Sender {
            name: member.name.clone(),
            incarnation: member.incarnation,
            addr,
        })
    }

    fn name_of(&self, addr: SocketAddr) -> Option<String> {
        let mut entries = self.entries.iter();
        let found = entries.find(|(_, entry)| entry.member.peer_addr == addr);
        found.map(|(name, _)| name.clone())
    }

    pub(crate) fn step_control(&mut self, index: usize, event: source::Event) {
        let control = &mut self.controls[index];
        let from = control.addr;
        if self.suspended.contains(control.name.as_str()) {
            return;
        }
        for action in control.source.step(self.now, event) {
            if let source::Action::Send { to, message } = action {
                self.queue.push_back(packet(from, to, &message));
            }
        }
    }

    pub(crate) fn step_entry(&mut self, name: &str, event: node::Event) {
        let entry = self.entries.get_mut(name).expect("an entry of the test");
        let from = entry.member.peer_addr;
        if self.down.contains(&from) || self.suspended.contains(name) {
            return;
        }
        for action in entry.node.step(self.now, event) {
            match action {
                node::Action::Send { to, message } => {
                    self.queue.push_back(packet(from, to, &message));
                }
                other => entry.record(other),
            }
        }
        if self.skip_proof && entry.in_force.last() != Some(&entry.node.view().version) {
            entry.in_force.push(entry.node.view().version);
        }
        if let Some(watermarks) = &mut self.watermarks
            && let Some(version) = entry.in_force.last()
        {
            watermarks.insert(name.to_owned(), *version);
        }
    }

    /// Whether every entry that is up acts on this version.
    pub(crate) fn all_at(&self, version: Version) -> bool {
        let mut up = self.entries.values().filter(|entry| self.is_up(entry));
        up.all(|entry| entry.acts_on() == Some(version))
    }

    pub(crate) fn is_up(&self, entry: &Entry) -> bool {
        !self.down.contains(&entry.member.peer_addr)
    }

    pub(crate) fn entry(&self, name: &str) -> &Entry {
        &self.entries[name]
    }

    pub(crate) fn leader(&self) -> &Control {
        let mut leading = self.controls.iter().filter(|c| c.leads.is_some());
        leading.next().expect("a leader")
    }
}

impl Entry {
    /// Records an action, and checks that versions in force only increase.
    fn record(&mut self, action: node::Action) {
        match action {
            node::Action::Send { .. } => {}
            node::Action::InForce(view) => {
                let last = self.in_force.last().copied();
                assert!(last < Some(view.version), "{} went back", self.member.name);
                self.in_force.push(view.version);
                self.view = Some(view);
            }
            node::Action::Entries(entries) => self.entries = entries,
            node::Action::Diverged => self.diverged = true,
            node::Action::Readiness(readiness) => {
                self.readiness = readiness;
                self.readiness_log.push(readiness);
            }
        }
    }

    /// Version whose weights the entry uses now; `None` while it isn't proven.
    pub(crate) fn acts_on(&self) -> Option<Version> {
        let version = self.in_force.last().copied();
        version.filter(|_| self.readiness == Readiness::Proven)
    }

    /// Names of the entries that it lists as live or leaving.
    pub(crate) fn listed_names(&self) -> Vec<&str> {
        self.entries
            .iter()
            .map(|member| member.name.as_str())
            .collect()
    }
}

pub(crate) fn key(region: &str) -> RowKey {
    RowKey {
        service: "catalogue".parse().expect("valid name"),
        region: region.parse().expect("valid name"),
    }
}

fn packet(from: SocketAddr, to: SocketAddr, message: &Message) -> Packet {
    let buf = postcard::to_stdvec(message).expect("every message can be encoded");
    let message = postcard::from_bytes(&buf).expect("what was encoded can be decoded");
    Packet { from, to, message }
}
