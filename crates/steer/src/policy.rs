//! The policy: combines the state of endpoints, other entries and the table.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::View;
use filberthead_types::{Moment, NodeName, RequestId, ResultCode, ServiceName};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::Config;
use crate::contact::Contact;
use crate::lease::RENEW_INTERVAL;
use crate::ownership::Ownership;
use crate::peers::{Peer, Peers};
use crate::pool::Pool;
use crate::region::Regions;
use crate::shares::LeasedShares;
use crate::shift::ShiftWindow;
use crate::{
    Action, Availability, Decision, EndpointInfo, EntryInfo, Event, FinishKind, Message,
    RequestInfo, ServiceReport, ServiceUsage, Steering,
};

/// Time for which endpoints without an owner are expected to get one: the members of a roster
/// follow a change of it with their renewals, one after the other, and report their slots.
const OWNER_CHANGE_TIME: Duration = RENEW_INTERVAL.saturating_mul(4);

/// Longest time until the end of a rest that callers are told.
pub(crate) const MAX_REST_TOLD: Duration = Duration::from_secs(60);

/// Where a placed request was sent.
#[derive(Debug)]
pub(crate) enum Location {
    Endpoint(NodeName),
    Entry(NodeName),
}

/// A placed request that hasn't ended.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) service: ServiceName,
    pub(crate) location: Location,
    pub(crate) started_at: Moment,
    pub(crate) shifted: bool,
}

/// Whether a request's home region under the stable weights is this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    /// It is, or the home region is unknown.
    Home,
    Shifted,
}

/// Steering of an entry, by exact counts at its own endpoints and reports of other entries.
#[derive(Debug)]
pub struct Policy {
    pub(crate) cfg: Config,
    pub(crate) pools: HashMap<ServiceName, Pool>,
    pub(crate) windows: HashMap<ServiceName, ShiftWindow>,
    pub(crate) peers: Peers,
    pub(crate) regions: Regions,
    pub(crate) ownership: Ownership,
    pub(crate) contact: Contact,
    pub(crate) shares: LeasedShares,
    pub(crate) running: HashMap<RequestId, Running>,
    /// When this entry or another one of the failure domain last had slots, by service.
    pub(crate) last_available: HashMap<ServiceName, Moment>,
    pub(crate) rng: StdRng,
    pub(crate) stopping: bool,
    pub(crate) last_tick: Moment,
    next_report: Moment,
    pub(crate) next_renewal: Moment,
}

impl Policy {
    /// A policy without any observations.
    pub fn new(now: Moment, cfg: Config) -> Self {
        Self {
            pools: HashMap::new(),
            windows: HashMap::new(),
            peers: Peers::default(),
            regions: Regions::default(),
            ownership: Ownership::new(now, cfg.node.clone(), cfg.leased),
            contact: Contact::new(now),
            shares: LeasedShares::default(),
            running: HashMap::new(),
            last_available: HashMap::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
            stopping: false,
            last_tick: now,
            next_report: Moment::ZERO,
            next_renewal: Moment::ZERO,
            cfg,
        }
    }

    /// Whether this entry owns the service's endpoints in its failure domain and may admit to
    /// them now.
    pub fn owns(&self, now: Moment, service: &ServiceName) -> bool {
        self.ownership.owns(now, service.as_str())
    }

    /// Whether a request counts as shifted; `None` unless it runs at an own endpoint.
    pub fn is_shifted(&self, id: RequestId) -> Option<bool> {
        let run = self.running.get(&id)?;
        matches!(run.location, Location::Endpoint(_)).then_some(run.shifted)
    }

    pub(crate) fn class(&self, req: &RequestInfo) -> Class {
        let home = self.regions.home_region(&req.service, req.caller);
        match home {
            Some(region) if *region != self.cfg.region => Class::Shifted,
            _ => Class::Home,
        }
    }

    fn set_endpoints(&mut self, now: Moment, infos: Vec<EndpointInfo>) {
        let mut by_service: HashMap<ServiceName, Vec<Arc<EndpointInfo>>> = HashMap::new();
        for info in infos {
            let list = by_service.entry(info.service.clone()).or_default();
            list.push(Arc::new(info));
        }
        for service in by_service.keys() {
            let pool = self.pools.entry(service.clone());
            pool.or_insert_with(Pool::new);
        }
        for (service, pool) in &mut self.pools {
            let list = by_service.get(service).map_or(&[][..], Vec::as_slice);
            pool.set_endpoints(list, &self.cfg);
        }
        self.refresh_owned_slots(now);
    }

    /// Whether this entry serves without a lease or promises, because it has reached neither
    /// control nor a majority for long and is configured to do so.
    pub(crate) fn is_isolated(&self, now: Moment) -> bool {
        self.cfg.serve_isolated && self.ownership.is_isolated(now)
    }

    /// Sets the slots that this entry may fill at each endpoint, by its current membership.
    pub(crate) fn refresh_owned_slots(&mut self, now: Moment) {
        let isolated = self.is_isolated(now);
        for endpoint in self.pools.values_mut().flat_map(|p| &mut p.endpoints) {
            // An isolated entry can't rule out an owner that is alive but unreachable. So it
            // uses one slot, and only while the endpoint itself reports a free one, the least
            // that serves callers. If there is an owner, the endpoint gets at most one request
            // more than it has slots, and refuses it.
            let slots = if isolated {
                u32::from(endpoint.reports_free_slot(now, self.cfg.reading_ttl))
            } else {
                self.ownership.slots(now, &endpoint.info, &self.cfg)
            };
            endpoint.set_owned_slots(now, slots, self.cfg.max_request_duration);
        }
    }

    fn set_leaving(&mut self, names: &[NodeName]) {
        for name in names {
            for pool in self.pools.values_mut() {
                if let Some(endpoint) = pool.find_mut(name) {
                    endpoint.health.mark_leaving();
                }
            }
        }
    }

    fn set_entries(&mut self, now: Moment, entries: Vec<EntryInfo>) {
        self.ownership.set_entries(&entries, &self.cfg);
        self.peers.set_entries(entries, &self.cfg);
        self.refresh_owned_slots(now);
    }

    fn set_table(&mut self, now: Moment, view: Arc<View>) {
        self.regions.set_table(now, view);
        // A new row admits nothing before its parts are granted, so renew at once.
        self.next_renewal = now;
    }

    fn finish(
        &mut self,
        now: Moment,
        id: RequestId,
        kind: FinishKind,
        first_byte: Duration,
    ) -> Vec<Action> {
        let Some(run) = self.running.remove(&id) else {
            self.remove_queued(id);
            return Vec::new();
        };
        match run.location {
            Location::Entry(name) => {
                self.peers
                    .record_finished(&name, &run.service, run.started_at);
                match kind {
                    FinishKind::Shed => self.peers.record_refusal(now, &name, &run.service),
                    FinishKind::ConnectFailed => self.peers.mark_unreachable(&name),
                    _ => {}
                }
                Vec::new()
            }
            Location::Endpoint(name) => {
                let Some(pool) = self.pools.get_mut(&run.service) else {
                    return Vec::new();
                };
                if matches!(kind, FinishKind::Answered | FinishKind::Shed) {
                    self.contact.record_answer(now);
                }
                let hold_time = now.saturating_sub(run.started_at);
                pool.finish(now, &name, run.shifted, kind, first_byte, hold_time);
                if let Some(window) = self.windows.get_mut(&run.service) {
                    match kind {
                        FinishKind::Answered => window.record_answer(first_byte),
                        FinishKind::Shed => window.record_refusal(),
                        _ => {}
                    }
                }
                self.dispatch(now, &run.service)
            }
        }
    }

    fn remove_queued(&mut self, id: RequestId) {
        for pool in self.pools.values_mut() {
            pool.home_queue.remove(id);
            pool.shifted_queue.remove(id);
        }
    }

    /// Places queued requests of the service while slots are free.
    pub(crate) fn dispatch(&mut self, now: Moment, service: &ServiceName) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((req, class)) = self.next_queued(now, service) {
            let Some(decision) = self.place_locally(now, &req, class) else {
                break;
            };
            if let Some(pool) = self.pools.get_mut(service) {
                pool.home_queue.remove(req.id);
                pool.shifted_queue.remove(req.id);
            }
            actions.push(Action::Place {
                id: req.id,
                decision,
            });
        }
        actions
    }

    /// The queued request with the earliest deadline that may start: a shifted one only if
    /// the shift window has room.
    fn next_queued(&self, now: Moment, service: &ServiceName) -> Option<(RequestInfo, Class)> {
        let pool = self.pools.get(service)?;
        let home = pool.home_queue.front();
        let shifted = pool
            .shifted_queue
            .front()
            .filter(|_| self.shift_room(now, service) > 0);
        let (req, class) = match (home, shifted) {
            (Some(home), Some(shifted)) if shifted.deadline < home.deadline => {
                (shifted, Class::Shifted)
            }
            (Some(home), _) => (home, Class::Home),
            (None, Some(shifted)) => (shifted, Class::Shifted),
            (None, None) => return None,
        };
        Some((req.clone(), class))
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.last_tick = now;
        self.contact.tick(now);
        self.regions.tick(now);
        self.refresh_owned_slots(now);
        self.record_availability(now);
        self.update_windows(now);
        self.update_loads(now);
        let mut actions = self.expire_queued(now);
        for service in self.waiting_services() {
            actions.extend(self.dispatch(now, &service));
        }
        actions.extend(self.probes(now));
        if self.cfg.leased && now >= self.next_renewal {
            self.next_renewal = now + RENEW_INTERVAL;
            actions.extend(self.renew(now));
        }
        if now >= self.next_report {
            self.next_report = now + self.cfg.report_interval;
            actions.extend(self.reports(now));
        }
        actions
    }

    fn record_availability(&mut self, now: Moment) {
        for (service, pool) in &self.pools {
            if pool.capacity(now, &self.cfg) > 0 || self.has_neighbour_with_slots(now, service) {
                self.last_available.insert(service.clone(), now);
            }
        }
    }

    fn has_neighbour_with_slots(&self, now: Moment, service: &ServiceName) -> bool {
        let is_neighbour = |peer: &&Peer| peer.info.failure_domain == self.cfg.failure_domain;
        let mut neighbours = self.peers.iter().filter(is_neighbour);
        neighbours.any(|peer| peer.load(now, service, self.cfg.report_ttl).is_some())
    }

    /// Whether the service's healthy endpoints have had slots at an entry of the failure domain
    /// until just now, so that another owner is probably about to admit to them.
    pub(crate) fn awaits_owner(&self, now: Moment, service: &ServiceName) -> bool {
        let pool = self.pools.get(service);
        let is_healthy = pool.is_some_and(|pool| pool.has_usable(now, &self.cfg));
        let last_available = self.last_available.get(service);
        is_healthy && last_available.is_some_and(|last| now < *last + OWNER_CHANGE_TIME)
    }

    fn update_windows(&mut self, now: Moment) {
        for (service, pool) in &self.pools {
            let capacity = pool.capacity(now, &self.cfg);
            let load = f64::from(pool.running) / f64::from(capacity.max(1));
            let cap = self.shift_share(now, service);
            let window = self.windows.entry(service.clone());
            window
                .or_insert_with(ShiftWindow::new)
                .tick(now, load, cap, pool.hold_time.seconds());
        }
    }

    fn waiting_services(&self) -> Vec<ServiceName> {
        let waiting = self.pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        waiting.map(|(service, _)| service.clone()).collect()
    }

    fn expire_queued(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            let wait = Duration::from_secs_f64(pool.wait_seconds(now, &self.cfg));
            // With all endpoints at rest, those that can't wait until the first is back have no chance.
            let (code, retry_after, until) = match pool.rest_left(now) {
                Some(left) => {
                    let told = left.min(MAX_REST_TOLD);
                    (ResultCode::Overloaded, told, now.saturating_add(left))
                }
                None => (ResultCode::DeadlineBeforeRun, wait, now),
            };
            for queue in [&mut pool.home_queue, &mut pool.shifted_queue] {
                while let Some(req) = queue.pop_expired(until) {
                    let decision = Decision::Refuse { code, retry_after };
                    actions.push(Action::Place {
                        id: req.id,
                        decision,
                    });
                }
            }
        }
        actions
    }

    /// Probes that are due. Every entry of the failure domain probes all endpoints, owner or
    /// not, so that it has a reading when it becomes the owner.
    fn probes(&mut self, now: Moment) -> Vec<Action> {
        let every = self.cfg.probe_interval;
        let endpoints = self.pools.values_mut().flat_map(|p| &mut p.endpoints);
        let due = endpoints.filter(|e| !e.delisted && now >= e.next_probe);
        due.map(|e| {
            e.next_probe = now + every;
            Action::Probe {
                endpoint: Arc::clone(&e.info),
            }
        })
        .collect()
    }

    fn reports(&self, now: Moment) -> Vec<Action> {
        let reports: Vec<_> = self
            .pools
            .iter()
            .map(|(service, pool)| ServiceReport {
                service: service.clone(),
                slots: if self.stopping { 0 } else { pool.slots() },
                capacity: self.capacity(now, service),
                running: pool.running,
                waiting: pool.waiting(),
                shift_room: self.shift_room(now, service),
                hold_micros: (pool.hold_time.seconds() * 1e6) as u32,
            })
            .collect();
        let targets = self.peers.report_targets(&self.cfg).into_iter();
        targets
            .map(|to| Action::Send {
                to,
                message: Message::Report(reports.clone()),
            })
            .collect()
    }

    fn handle_message(&mut self, now: Moment, from: NodeName, message: Message) -> Vec<Action> {
        match message {
            Message::Report(reports) => self.peers.record_reports(now, &from, reports),
            Message::Grant(grant) => self.handle_grant(now, &grant),
            Message::Ask { serial, epoch } => {
                return self.handle_promise_request(now, from, epoch, serial);
            }
            Message::Promise { serial } => {
                self.ownership.record_promise(from, serial);
                self.refresh_owned_slots(now);
            }
            Message::Renew(_) => {}
        }
        Vec::new()
    }

    fn with_endpoint(&mut self, name: &NodeName, f: impl FnOnce(&mut crate::endpoint::Endpoint)) {
        if let Some(endpoint) = self.pools.values_mut().find_map(|pool| pool.find_mut(name)) {
            f(endpoint);
        }
    }
}

impl Steering for Policy {
    fn place(&mut self, now: Moment, req: &RequestInfo) -> Decision {
        self.decide(now, req)
    }

    fn look_up(
        &mut self,
        _now: Moment,
        service: &ServiceName,
        caller: Option<IpAddr>,
    ) -> Vec<NodeName> {
        self.list_entries(service, caller)
    }

    fn may_send(&self, now: Moment, endpoint: &NodeName) -> bool {
        let endpoints = self.pools.values().flat_map(|pool| &pool.endpoints);
        let mut of_name = endpoints.filter(|e| e.info.name == *endpoint);
        of_name.all(|e| e.health.rest_left(now).is_none())
    }

    fn usage(&self) -> Vec<ServiceUsage> {
        self.in_use()
    }

    fn explain(&self, now: Moment, service: &ServiceName) -> Availability {
        self.availability(now, service)
    }

    fn observe(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => return self.tick(now),
            Event::Table(view) => self.set_table(now, view),
            Event::NoTable => self.regions.suspend(),
            Event::Endpoints(infos) => self.set_endpoints(now, infos),
            Event::Leaving(names) => self.set_leaving(&names),
            Event::Entries(entries) => self.set_entries(now, entries),
            Event::Reading { endpoint, reading } => {
                self.contact.record_answer(now);
                let slow_start = self.cfg.slow_start;
                self.with_endpoint(&endpoint, |e| e.record_reading(reading, slow_start));
            }
            Event::ProbeFailed { endpoint } => {
                self.with_endpoint(&endpoint, |e| e.health.record_probe_failure());
            }
            Event::RestAsked { endpoint, time } => {
                self.with_endpoint(&endpoint, |e| e.health.record_rest(now, time));
                return self.expire_queued(now);
            }
            Event::Finished {
                id,
                kind,
                first_byte,
            } => return self.finish(now, id, kind, first_byte),
            Event::Connections {
                endpoint,
                open,
                idle,
            } => self.with_endpoint(&endpoint, |e| e.set_connections(open, idle)),
            Event::Stop => self.stopping = true,
            Event::Received { from, message } => return self.handle_message(now, from, message),
        }
        Vec::new()
    }
}
