//! The duty that selects targets for requests and talks to endpoints.

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

use super::dispatch::IncomingMessage;
use super::forward::{Core, CoreParts, forward_call};
use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Interval of steering's ticks.
const TICK: Duration = Duration::from_millis(50);
/// How often the platform's list is fetched.
const PLATFORM_PERIOD: Duration = Duration::from_secs(1);
/// How often the answers to look-ups are rebuilt, besides on each change, so that they
/// follow steering's measurements.
const DIRECTORY_PERIOD: Duration = Duration::from_secs(1);
/// How often the slots in use are recorded, for metrics and samples.
const MEASURE_PERIOD: Duration = Duration::from_millis(500);
/// How long a VM must be missing from the platform's list before it is removed; a list
/// that lags may omit it for less.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Inputs and outputs of the duty.
pub(crate) struct EndpointsDuty {
    /// Parts of the core that all requests share.
    pub(crate) core: CoreParts,
    /// Settings of the entry.
    pub(crate) cfg: Arc<EntrySettings>,
    /// Requests of callers.
    pub(crate) calls: Receiver<Call>,
    /// Received steering and quarantine messages.
    pub(crate) rx: Receiver<IncomingMessage>,
    /// The prepared answers to look-ups.
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
    let mut state = EndpointsState::new(Rc::clone(&core), cfg, directory);
    let mut lists = state.start_polling();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut refresh = tokio::time::interval(DIRECTORY_PERIOD);
    refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut measure = tokio::time::interval(MEASURE_PERIOD);
    measure.set_missed_tick_behavior(MissedTickBehavior::Delay);
    state.endpoints_changed();
    state.cluster_changed();
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => {
                    tokio::task::spawn_local(forward_call(Rc::clone(&core), call));
                }
                None => return,
            },
            _ = tick.tick() => {
                state.report_connections();
                core.observe(Event::Tick);
            }
            _ = refresh.tick() => {
                core.tick_quarantine();
                state.publish();
            }
            _ = measure.tick() => core.record_usage(),
            message = rx.recv() => match message {
                Some(message) => receive(&core, message),
                None => return,
            },
            Ok(()) = cluster.changed() => state.cluster_changed(),
            Ok(()) = leaving.changed() => core.observe(Event::Stop),
            Ok(()) = ledger.prefix_changed() => state.publish(),
            Some(list) = lists.recv() => state.apply_list(list),
            () = stop.wait() => return,
        }
    }
}

fn receive(core: &Rc<Core>, message: IncomingMessage) {
    let from = message.origin.name;
    match message.body {
        Body::Steer(message) => core.observe(Event::Received { from, message }),
        Body::Quarantine(message) => core.receive_quarantine(message),
        _ => {}
    }
}

/// A VM of the platform's list and the time of the last list that contained it.
#[derive(Debug)]
struct ListedVm {
    vm: Vm,
    last_seen: Instant,
}

/// The known endpoints, from settings and the platform's list, and the directory of
/// look-up answers built from them and from the live entries.
#[derive(Debug)]
struct EndpointsState {
    core: Rc<Core>,
    cfg: Arc<EntrySettings>,
    listed: BTreeMap<NodeName, ListedVm>,
    /// Addresses of the endpoints that steering was last given.
    addresses: Vec<(NodeName, SocketAddr)>,
    directory: watch::Sender<Arc<Directory>>,
    /// Start whose table steering was last given. The start of the current cluster may be
    /// newer than that, so it isn't used when look-ups are prepared.
    start: Cell<Option<StartNumber>>,
}

impl EndpointsState {
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

    /// Starts to fetch the platform's list periodically. The channel holds one list;
    /// fetching pauses until it is received.
    fn start_polling(&self) -> tokio::sync::mpsc::Receiver<Vec<Vm>> {
        let (tx, rx) = tokio::sync::mpsc::channel(1);
        let Some(url) = &self.cfg.platform_url else {
            // Without a platform the receiver waits forever.
            tokio::task::spawn_local(async move { tx.closed().await });
            return rx;
        };
        match Poller::new(url) {
            Ok(poller) => {
                tokio::task::spawn_local(fetch(poller, tx));
            }
            Err(e) => warn!(error:% = e; "can't set up fetching of the platform's list"),
        }
        rx
    }

    /// Adds the VMs of a new list, and removes those that were missing for too long.
    fn apply_list(&mut self, list: Vec<Vm>) {
        let now = Instant::now();
        for vm in list {
            self.listed
                .insert(vm.name.clone(), ListedVm { vm, last_seen: now });
        }
        self.listed
            .retain(|_, listed| now.duration_since(listed.last_seen) < REMOVE_AFTER);
        self.endpoints_changed();
    }

    fn report_connections(&self) {
        self.core.report_connections(&self.addresses);
    }

    /// Passes the endpoints and the leaving VMs to steering, and rebuilds the look-ups.
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

    /// Passes table and entries to steering, and rebuilds the look-ups.
    fn cluster_changed(&self) {
        let cluster = Arc::clone(&self.core.cluster.borrow());
        // Version 0 is a process's initial, empty table, not one from operators: steering
        // must treat the weights as unknown.
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

    /// Names of the VMs that the platform's list shows as leaving.
    fn leaving(&self) -> BTreeSet<NodeName> {
        self.listed
            .values()
            .filter(|listed| listed.vm.state == State::Leaving)
            .map(|listed| listed.vm.name.clone())
            .collect()
    }

    /// Endpoints of this failure domain. For an endpoint in both settings and platform's
    /// list, the list takes precedence because it is newer.
    fn endpoints(&self) -> Vec<EndpointInfo> {
        let configured = self.cfg.endpoints.iter().map(|endpoint| EndpointInfo {
            name: endpoint.name.clone(),
            service: endpoint.service.clone(),
            addr: endpoint.addr,
            region: self.cfg.region.clone(),
            failure_domain: self.cfg.failure_domain.clone(),
            slots: endpoint.slots,
            connections: endpoint.connections,
        });
        let listed = self
            .listed
            .values()
            .filter_map(|listed| endpoint_info(&listed.vm));
        let listed = listed.filter(|info| info.failure_domain == self.cfg.failure_domain);
        let by_name: BTreeMap<_, _> = configured
            .chain(listed)
            .map(|info| (info.name.clone(), info))
            .collect();
        by_name.into_values().collect()
    }

    /// Services in the table, in the settings, or on any listed VM.
    fn services(&self) -> BTreeSet<ServiceName> {
        let cluster = self.core.cluster.borrow();
        let rows = cluster.view.rows.keys().map(|key| key.service.clone());
        let configured = self
            .cfg
            .endpoints
            .iter()
            .map(|endpoint| endpoint.service.clone());
        let listed = self
            .listed
            .values()
            .filter_map(|listed| listed.vm.service.clone());
        rows.chain(configured).chain(listed).collect()
    }

    /// Builds and publishes the answers to look-ups from the current state.
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
            let preferences = CallerGroup::all().map(|group| self.core.look_up(&service, group));
            builder = builder.service(service.clone(), preferences.collect());
        }
        self.directory.send_replace(Arc::new(builder.build()));
    }
}

/// Converts a VM for steering; `None` unless it is an endpoint with a service.
fn endpoint_info(vm: &Vm) -> Option<EndpointInfo> {
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

/// Fetches the platform's list periodically until the receiver is dropped.
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
            Err(e) => warn!(error:% = e; "can't fetch the platform's list; using the last one"),
        }
    }
}
