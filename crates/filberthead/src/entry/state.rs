//! The duty that tracks the table in force and the live entries: runs [`Node`] on the
//! transport's messages.
//!
//! Invariant: a view is published to the other duties only when the node reports it in
//! force, and never while the node reports that it isn't proven.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_caller::{Heartbeat, StartNumber};
use filberthead_peer::Body;
use filberthead_ring::{Receiver, Sender};
use filberthead_settings::EntrySettings;
use filberthead_spread::node::{Action, Contacts, Event, Node, Readiness};
use filberthead_spread::{Config, MemberInfo, Message};
use filberthead_types::Version;
use log::{error, info, warn};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::cluster::Cluster;
use super::dispatch::IncomingMessage;
use super::watermark::Watermark;
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Clock, Duty, DutyError};

/// Interval of the node's ticks.
const TICK: Duration = Duration::from_millis(100);

/// Inputs and outputs of the duty.
#[derive(Debug)]
pub(crate) struct StateDuty {
    /// This entry.
    pub(crate) me: MemberInfo,
    /// Settings of the entry.
    pub(crate) cfg: Arc<EntrySettings>,
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// Received messages.
    pub(crate) rx: Receiver<IncomingMessage>,
    /// Messages to be sent.
    pub(crate) out: Sender<Outgoing>,
    /// The snapshot that the other duties read.
    pub(crate) cluster: watch::Sender<Arc<Cluster>>,
    /// Beaten after each step; a gap shows that the process was suspended.
    pub(crate) heartbeat: Heartbeat,
    /// Set when a planned stop begins.
    pub(crate) leaving: watch::Receiver<bool>,
}

/// Starts the duty.
pub(crate) fn spawn(duty: StateDuty, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("state", move || State::new(duty).run(stop))
}

/// State of the duty's thread.
struct State {
    node: Node,
    watermark: Watermark,
    duty: StateDuty,
}

impl State {
    fn new(duty: StateDuty) -> Self {
        let watermark = Watermark::new(duty.cfg.data.clone());
        let cfg = Config::builder()
            .watermark(watermark.load())
            .seed(rand::random())
            .build();
        let replicas = duty.cfg.replicas.iter();
        let contacts = Contacts {
            controls: replicas.map(|replica| replica.peer_addr).collect(),
            seeds: duty.cfg.seeds.clone(),
        };
        Self {
            node: Node::new(cfg, duty.me.clone(), contacts),
            watermark,
            duty,
        }
    }

    async fn run(mut self, mut stop: Stop) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.step(Event::Tick),
                message = self.duty.rx.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                Ok(()) = self.duty.leaving.changed() => self.step(Event::Leave),
                () = stop.wait() => return self.step(Event::Stop),
            }
        }
    }

    fn receive(&mut self, incoming: IncomingMessage) {
        if let Body::Spread(message) = incoming.body {
            let origin = incoming.origin;
            let from = filberthead_spread::Sender {
                name: origin.name,
                incarnation: origin.incarnation,
                addr: origin.addr,
            };
            self.step(Event::Received { from, message });
        }
    }

    fn step(&mut self, event: Event) {
        let mut cluster = Cluster::clone(&self.duty.cluster.borrow());
        let mut changed = false;
        let now = self.duty.clock.now();
        for action in self.node.step(now, event) {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::InForce(view) => {
                    self.record_in_force(view.version);
                    cluster.view = view;
                    changed = true;
                }
                Action::Entries(entries) => {
                    cluster.entries = entries;
                    changed = true;
                }
                Action::Diverged => {
                    error!(version:% = cluster.view.version; "another node holds other rows");
                }
                Action::Readiness(readiness) => {
                    cluster.start = self.start_number(readiness);
                    cluster.readiness = readiness;
                    changed = true;
                }
            }
        }
        let control = self.node.leader().map(|leader| leader.addr);
        changed |= cluster.control != control;
        cluster.control = control;
        let current = self.node.is_current(now);
        if cluster.current != current {
            cluster.current = current;
            changed = true;
            match current {
                true => info!(version:% = cluster.view.version; "the table is the newest"),
                false => warn!(version:% = cluster.view.version;
                    "a newer table may exist: no service is answered as unknown"),
            }
        }
        if changed {
            self.duty.cluster.send_replace(Arc::new(cluster));
        }
        // After the step: the step may have detected that the process was suspended and
        // begun a new start.
        self.duty.heartbeat.beat();
    }

    /// Drops the message if the ring is full, which means that the transport is starved:
    /// the spread protocol resends what it needs.
    fn send(&self, to: SocketAddr, message: Message) {
        let body = Body::Spread(message);
        let _ = self.duty.out.push(Outgoing { to, body });
    }

    fn record_in_force(&self, version: Version) {
        self.watermark.store(version);
        info!(version:%; "table in force");
    }

    /// The start under which callers may be answered; begins a new one and returns `None`
    /// if the node is starting.
    fn start_number(&self, readiness: Readiness) -> Option<StartNumber> {
        match readiness {
            Readiness::Proven => info!("the table is proven"),
            Readiness::Cautious => warn!("no proven table: serving this failure domain only"),
            // The process was suspended. Callers are refused until the table is known to
            // include the changes that it may have missed.
            Readiness::Starting => {
                warn!("requesting the newest table");
                self.duty.heartbeat.start_over();
                return None;
            }
        }
        Some(self.duty.heartbeat.start())
    }
}
