//! The duty that decides where requests go and talks to endpoints.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_caller::{Call, CallerGroup, Directory, Entry, StartNumber};
use filberthead_peer::Body;
use filberthead_platform::{Kind, Poller, State, Vm};
use filberthead_ring::Receiver;
use filberthead_settings::EntrySettings;
use filberthead_spread::node::Readiness;
use filberthead_steer::{EndpointInfo, Event};
use filberthead_types::{NodeName, ServiceName, Version};
use log::warn;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

use super::carry::{Core, CoreParts, carry};
use super::incoming::Incoming;
use crate::stop::Stop;
use crate::{Duty, DutyError};

const TICK: Duration = Duration::from_millis(50);
const PLATFORM_PERIOD: Duration = Duration::from_secs(1);
/// Look-ups are prepared afresh this often, besides on each change, so that they follow
/// what steering has learned.
const DIRECTORY_PERIOD: Duration = Duration::from_secs(1);
/// How often slots in use are read, for metrics and samples.
const MEASURE_PERIOD: Duration = Duration::from_millis(500);
/// A VM that is missing from the list for less may just have been left out by a list
/// that lags.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What the duty is made of.
pub(crate) struct EndpointsDuty {
    /// What requests share.
    pub(crate) core: CoreParts,
    /// Settings of the entry.
    pub(crate) cfg: Arc<EntrySettings>,
    /// Requests of callers.
    pub(crate) calls: Receiver<Call>,
    /// Messages of steering in.
    pub(crate) rx: Receiver<Incoming>,
    /// What look-ups are answered from.
    pub(crate) directory: watch::Sender<Arc<Directory>>,
    /// Set when a planned stop begins.
    pub(crate) leaving: watch::Receiver<bool>,
}

/// Starts the duty.
pub(crate) fn spawn(duty: EndpointsDuty, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("endpoints", move || run(duty, stop))
}

async fn run(duty: EndpointsDuty, mut stop: Stop) {
    let EndpointsDuty {
        core,
        cfg,
        mut calls,
        mut rx,
        directory,
        mut leaving,
    } = duty;
    let core = Rc::new(Core::new(core));
    let mut cluster = core.cluster.clone();
    let mut ledger = core.ledger.clone();
    let mut known = Known::new(Rc::clone(&core), cfg, directory);
    let mut lists = known.poll();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut refresh = tokio::time::interval(DIRECTORY_PERIOD);
    refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut measure = tokio::time::interval(MEASURE_PERIOD);
    measure.set_missed_tick_behavior(MissedTickBehavior::Delay);
    known.endpoints_changed();
    known.cluster_changed();
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => {
                    tokio::task::spawn_local(carry(Rc::clone(&core), call));
                }
                None => return,
            },
            _ = tick.tick() => {
                known.count_connections();
                core.observe(Event::Tick);
            }
            _ = refresh.tick() => {
                core.tick_suspicion();
                known.publish();
            }
            _ = measure.tick() => core.measure(),
            message = rx.recv() => match message {
                Some(message) => received(&core, message),
                None => return,
            },
            Ok(()) = cluster.changed() => known.cluster_changed(),
            Ok(()) = leaving.changed() => core.observe(Event::Stop),
            Ok(()) = ledger.prefix_changed() => known.publish(),
            Some(list) = lists.recv() => known.listed(list),
            () = stop.wait() => return,
        }
    }
}

fn received(core: &Rc<Core>, message: Incoming) {
    let from = message.origin.name;
    match message.body {
        Body::Steer(message) => core.observe(Event::Received { from, message }),
        Body::Quarantine(message) => core.heard_of_crash(message),
        _ => {}
    }
}

/// A VM of the platform's list and when the list last had it.
#[derive(Debug)]
struct Listed {
    vm: Vm,
    seen: Instant,
}

/// What the duty knows of endpoints and entries, and the look-ups made of it.
#[derive(Debug)]
struct Known {
    core: Rc<Core>,
    cfg: Arc<EntrySettings>,
    listed: BTreeMap<NodeName, Listed>,
    /// Where the endpoints are that steering knows.
    addresses: Vec<(NodeName, SocketAddr)>,
    directory: watch::Sender<Arc<Directory>>,
    /// Start that steering has been given the table of. Not read from the cluster when
    /// look-ups are prepared: that may be ahead of steering.
    start: Cell<Option<StartNumber>>,
}

impl Known {
    fn new(
        core: Rc<Core>,
        cfg: Arc<EntrySettings>,
        directory: watch::Sender<Arc<Directory>>,
    ) -> Self {
        Self {
            core,
            cfg,
            listed: BTreeMap::new(),
            addresses: Vec::new(),
            directory,
            start: Cell::new(None),
        }
    }

    /// Starts to fetch the platform's list. One list waits at most; fetching pauses
    /// until it is taken.
    fn poll(&self) -> tokio::sync::mpsc::Receiver<Vec<Vm>> {
        let (tx, rx) = tokio::sync::mpsc::channel(1);
        let Some(url) = &self.cfg.platform_url else {
            // Without a list the receiver only ever waits.
            tokio::task::spawn_local(async move { tx.closed().await });
            return rx;
        };
        match Poller::new(url) {
            Ok(poller) => {
                tokio::task::spawn_local(fetch(poller, tx));
            }
            Err(e) => warn!(error:% = e; "the platform's list can't be fetched"),
        }
        rx
    }

    fn listed(&mut self, list: Vec<Vm>) {
        let seen = Instant::now();
        for vm in list {
            self.listed.insert(vm.name.clone(), Listed { vm, seen });
        }
        self.listed
            .retain(|_, listed| seen.duration_since(listed.seen) < FORGET_AFTER);
        self.endpoints_changed();
    }

    fn count_connections(&self) {
        self.core.count_connections(&self.addresses);
    }

    fn endpoints_changed(&mut self) {
        let leaving = self.leaving().into_iter().collect();
        let endpoints = self.endpoints();
        self.addresses = endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint.addr))
            .collect();
        self.core.observe(Event::Endpoints(endpoints));
        self.core.observe(Event::Leaving(leaving));
        self.publish();
    }

    fn cluster_changed(&self) {
        let cluster = Arc::clone(&self.core.cluster.borrow());
        // Version 0 is what a process starts with, not a table that operators made:
        // steering then knows that it knows no weights.
        let proven = cluster.readiness == Readiness::Proven;
        if proven && cluster.view.version > Version::default() {
            self.core.observe(Event::Table(Arc::clone(&cluster.view)));
        } else {
            self.core.observe(Event::NoTable);
        }
        self.core.observe(Event::Entries(cluster.entry_infos()));
        self.start.set(cluster.start);
        self.publish();
    }

    fn leaving(&self) -> BTreeSet<NodeName> {
        self.listed
            .values()
            .filter(|listed| listed.vm.state == State::Leaving)
            .map(|listed| listed.vm.name.clone())
            .collect()
    }

    /// Endpoints of the own failure domain; where settings and list name the same one,
    /// the list, which is newer, counts.
    fn endpoints(&self) -> Vec<EndpointInfo> {
        let set = self.cfg.endpoints.iter().map(|endpoint| EndpointInfo {
            name: endpoint.name.clone(),
            service: endpoint.service.clone(),
            addr: endpoint.addr,
            region: self.cfg.region.clone(),
            failure_domain: self.cfg.failure_domain.clone(),
            slots: endpoint.slots,
            connections: endpoint.connections,
        });
        let listed = self.listed.values().filter_map(|listed| info(&listed.vm));
        let listed = listed.filter(|info| info.failure_domain == self.cfg.failure_domain);
        let by_name: BTreeMap<_, _> = set
            .chain(listed)
            .map(|info| (info.name.clone(), info))
            .collect();
        by_name.into_values().collect()
    }

    /// Services that are in the table or run on endpoints anywhere.
    fn services(&self) -> BTreeSet<ServiceName> {
        let cluster = self.core.cluster.borrow();
        let rows = cluster.view.rows.keys().map(|key| key.service.clone());
        let set = self
            .cfg
            .endpoints
            .iter()
            .map(|endpoint| endpoint.service.clone());
        let listed = self
            .listed
            .values()
            .filter_map(|listed| listed.vm.service.clone());
        rows.chain(set).chain(listed).collect()
    }

    /// Makes the answers to look-ups from what is known now.
    fn publish(&self) {
        let leaving = self.leaving();
        let mut builder =
            Directory::builder(self.cfg.failure_domain.clone()).ttl(self.cfg.lookup_ttl);
        builder = builder.start(self.start.get());
        builder = builder.complete(self.core.cluster.borrow().current);
        if let Some(prefix) = self.core.ledger.prefix() {
            builder = builder.key_prefix(prefix.to_string());
        }
        for member in &self.core.cluster.borrow().entries {
            builder = builder.entry(Entry {
                name: member.name.clone(),
                incarnation: member.incarnation,
                addr: member.caller_addr,
                region: member.region.clone(),
                failure_domain: member.failure_domain.clone(),
                leaving: member.leaving || leaving.contains(&member.name),
            });
        }
        for service in self.services() {
            let orders = CallerGroup::all().map(|group| self.core.look_up(&service, group));
            builder = builder.service(service.clone(), orders.collect());
        }
        self.directory.send_replace(Arc::new(builder.build()));
    }
}

fn info(vm: &Vm) -> Option<EndpointInfo> {
    if vm.kind != Kind::Endpoint {
        return None;
    }
    Some(EndpointInfo {
        name: vm.name.clone(),
        service: vm.service.clone()?,
        addr: vm.address,
        region: vm.region.clone(),
        failure_domain: vm.failure_domain.clone(),
        slots: vm.slots,
        connections: vm.connections,
    })
}

async fn fetch(poller: Poller, tx: tokio::sync::mpsc::Sender<Vec<Vm>>) {
    let mut period = tokio::time::interval(PLATFORM_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        match poller.fetch().await {
            Ok(list) => {
                if tx.send(list).await.is_err() {
                    return;
                }
            }
            Err(e) => warn!(error:% = e; "the platform's list can't be had; the last one stands"),
        }
    }
}
