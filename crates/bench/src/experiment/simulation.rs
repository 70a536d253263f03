//! The event loop that drives the policies of all entries of a deployment.
//!
//! It uses policies only through the [`Steering`] trait. Arrivals and the warm service time
//! of each request are drawn from a random generator of their own, so that every policy
//! gets the same requests at the same moments.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::{
    Action, EndpointInfo, EntryInfo, Event, Lessor, Message, Reading, Steering,
};
use filberthead_table::View;
use filberthead_types::{Epoch, Moment, NodeName};
use rand::rngs::StdRng;

use super::deployment::{DOMAINS, Deployment, REGIONS};
use super::endpoint::SimulatedEndpoint;
use super::metrics::{Figures, RequestEnd};
use super::policy::PolicyKind;
use super::scenario::{LENGTH, Scenario};

pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Failure domain of the control leader.
const CONTROL_DOMAIN: usize = 2;
const SAMPLE: Duration = Duration::from_secs(1);

/// A scheduled event. Numbers are indices of requests, endpoints, entries and services.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A caller sends a request to a service.
    Arrival { service: usize },
    /// A request arrives at an entry, forwarded by `via` if that is set.
    AtEntry {
        req: usize,
        entry: usize,
        via: Option<usize>,
    },
    /// A request arrives at an endpoint, sent by `entry`.
    AtEndpoint {
        req: usize,
        endpoint: usize,
        entry: usize,
    },
    /// An endpoint completes a request.
    Completed { req: usize, endpoint: usize },
    /// The result of an attempt arrives at the entry that made it.
    AttemptEnded {
        req: usize,
        entry: usize,
        kind: filberthead_steer::FinishKind,
    },
    /// The result of a forwarded request arrives at the entry that forwarded it.
    ForwardEnded {
        req: usize,
        origin: usize,
        end: RequestEnd,
    },
    /// A result arrives at the caller.
    AtCaller { req: usize, end: RequestEnd },
    /// The caller's timeout expires.
    Deadline { req: usize },
    /// An entry's policy gets its periodic tick.
    Tick { entry: usize },
    /// The result of a probe arrives at the entry; `None` means that the probe failed.
    Probed {
        entry: usize,
        endpoint: usize,
        reading: Option<Reading>,
    },
    /// A message from another entry or control arrives at the entry `to`.
    Delivered {
        to: usize,
        from: NodeName,
        message: Message,
    },
    /// A message from an entry arrives at control.
    AtControl { from: usize, message: Message },
    /// Entries learn which other entries they can reach.
    MembersChanged,
    /// The end of a window over which headroom is measured.
    Sample,
    /// The scenario's step with this index.
    Step(usize),
}

/// A scheduled event. Events of the same moment run in the order in which they were
/// scheduled.
#[derive(Debug)]
struct Timed {
    at: Moment,
    order: u64,
    event: SimEvent,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) service: usize,
    pub(crate) caller: usize,
    pub(crate) created: Moment,
    /// Time that it takes at a warm endpoint.
    pub(crate) service_time: Duration,
    /// Entries from the caller's look-up that it hasn't tried yet, the next one last.
    pub(crate) entries: Vec<usize>,
    /// Endpoints and entries at which an attempt has failed.
    pub(crate) tried: Vec<NodeName>,
    pub(crate) attempts: u32,
    /// Entries whose policy counts it as in progress; the first one received it from the
    /// caller.
    pub(crate) counted_by: Vec<usize>,
    /// Endpoint at which it runs or waits; `None` when it is at none.
    pub(crate) endpoint: Option<usize>,
    /// When its latest attempt was sent to an endpoint.
    pub(crate) sent: Moment,
    /// Whether the caller has a result or has given up.
    pub(crate) finished: bool,
}

/// A simulated entry with its policy.
pub(crate) struct SimulatedEntry {
    pub(crate) info: EntryInfo,
    pub(crate) domain: usize,
    pub(crate) policy: Box<dyn Steering>,
    pub(crate) up: bool,
    /// Whether it is cut off from peers and control.
    pub(crate) isolated: bool,
}

/// A caller with its cached look-ups.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) addr: IpAddr,
    /// Entries from its last look-up of each service, the first one last, and when they
    /// expire.
    pub(crate) cached_lookups: HashMap<usize, (Vec<usize>, Moment)>,
    /// Entries that it couldn't reach or that had no endpoint, and until when it avoids
    /// each.
    pub(crate) avoided_until: HashMap<usize, Moment>,
    /// Home region: that of the first entry in its first look-up of the first service.
    /// `None` before that.
    pub(crate) home: Option<usize>,
}

fn lessor(view: &Arc<View>) -> Lessor {
    let mut lessor = Lessor::new(Moment::ZERO, Epoch(1), MAX_REQUEST_DURATION);
    lessor.set_table(Arc::clone(view));
    lessor
}

/// Longest timeout of a caller, for the lessor.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(10);

/// A deployment under a policy, in a scenario.
pub(crate) struct Simulation {
    pub(crate) kind: PolicyKind,
    pub(crate) deployment: Deployment,
    pub(crate) scenario: Scenario,
    pub(crate) now: Moment,
    queue: BinaryHeap<Reverse<Timed>>,
    order: u64,
    pub(crate) entries: Vec<SimulatedEntry>,
    pub(crate) endpoints: Vec<SimulatedEndpoint>,
    pub(crate) endpoint_by_name: BTreeMap<NodeName, usize>,
    pub(crate) entry_by_name: BTreeMap<NodeName, usize>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) requests: Vec<Request>,
    pub(crate) view: Arc<View>,
    /// Load that a surge adds to the first service, as a share of its slots.
    pub(crate) surge: f64,
    /// Whether messages between entries are delivered.
    pub(crate) reports_delivered: bool,
    /// Grants leases to entries, as the control leader does.
    pub(crate) control: Lessor,
    /// Whether control is cut off from all entries.
    pub(crate) control_isolated: bool,
    /// Generator for arrivals and service times; policies have their own.
    pub(crate) arrivals: StdRng,
    pub(crate) figures: Figures,
}

impl Simulation {
    pub(crate) fn empty(
        kind: PolicyKind,
        deployment: Deployment,
        scenario: Scenario,
        view: View,
        arrivals: StdRng,
    ) -> Self {
        let view = Arc::new(view);
        Self {
            kind,
            figures: Figures::new(&deployment),
            deployment,
            scenario,
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            entries: Vec::new(),
            endpoints: Vec::new(),
            endpoint_by_name: BTreeMap::new(),
            entry_by_name: BTreeMap::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            surge: 0.0,
            reports_delivered: true,
            control: lessor(&view),
            control_isolated: false,
            view,
            arrivals,
        }
    }

    /// Runs the scenario to its end.
    pub(crate) fn run(mut self) -> Figures {
        self.schedule_start();
        while let Some(Reverse(timed)) = self.queue.pop() {
            if timed.at > LENGTH {
                break;
            }
            self.now = timed.at;
            self.handle(timed.event);
        }
        self.figures
    }

    fn schedule_start(&mut self) {
        for service in 0..self.deployment.services.len() {
            self.after(Duration::ZERO, SimEvent::Arrival { service });
        }
        for entry in 0..self.entries.len() {
            // Ticks of the entries are spread over the interval.
            let offset = TICK * entry as u32 / self.entries.len() as u32;
            self.after(offset, SimEvent::Tick { entry });
        }
        self.after(SAMPLE, SimEvent::Sample);
        for index in 0..self.scenario.steps.len() {
            let (at, _) = self.scenario.steps[index];
            self.after(at, SimEvent::Step(index));
        }
    }

    pub(crate) fn after(&mut self, delay: Duration, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Timed {
            at: self.now + delay,
            order: self.order,
            event,
        }));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { service } => self.arrive(service),
            SimEvent::AtEntry { req, entry, via } => self.at_entry(req, entry, via),
            SimEvent::AtEndpoint {
                req,
                endpoint,
                entry,
            } => self.at_endpoint(req, endpoint, entry),
            SimEvent::Completed { req, endpoint } => self.completed(req, endpoint),
            SimEvent::AttemptEnded { req, entry, kind } => self.attempt_ended(req, entry, kind),
            SimEvent::ForwardEnded { req, origin, end } => self.forward_ended(req, origin, end),
            SimEvent::AtCaller { req, end } => self.at_caller(req, end),
            SimEvent::Deadline { req } => self.deadline(req),
            SimEvent::Tick { entry } => self.tick(entry),
            SimEvent::Probed {
                entry,
                endpoint,
                reading,
            } => self.probed(entry, endpoint, reading),
            SimEvent::Delivered { to, from, message } => {
                self.observe(to, Event::Received { from, message });
            }
            SimEvent::AtControl { from, message } => self.at_control(from, &message),
            SimEvent::MembersChanged => self.send_members(),
            SimEvent::Sample => self.sample(),
            SimEvent::Step(index) => self.step(index),
        }
    }

    fn tick(&mut self, entry: usize) {
        self.after(TICK, SimEvent::Tick { entry });
        if entry == 0 {
            for endpoint in &mut self.endpoints {
                endpoint.record_load(self.now);
            }
        }
        self.observe(entry, Event::Tick);
    }

    /// Passes an event to an entry's policy and performs the actions that it returns.
    pub(crate) fn observe(&mut self, entry: usize, event: Event) {
        if !self.entries[entry].up {
            return;
        }
        let actions = self.entries[entry].policy.observe(self.now, event);
        for action in actions {
            self.perform(entry, action);
        }
    }

    fn perform(&mut self, entry: usize, action: Action) {
        match action {
            Action::Place { id, decision } => self.apply_decision(id.0 as usize, entry, decision),
            Action::Probe { endpoint } => self.probe(entry, &endpoint),
            Action::Send { to, message } => self.send(entry, &to, message),
            Action::SendControl(message) => self.send_control(entry, message),
        }
    }

    fn probe(&mut self, entry: usize, info: &EndpointInfo) {
        let endpoint = self.endpoint_by_name[&info.name];
        let delay = self.deployment.probe_delay;
        let reading = self.endpoints[endpoint].probe(self.now);
        self.after(
            delay,
            SimEvent::Probed {
                entry,
                endpoint,
                reading,
            },
        );
    }

    fn probed(&mut self, entry: usize, endpoint: usize, reading: Option<Reading>) {
        let endpoint = self.endpoints[endpoint].info.name.clone();
        let event = match reading {
            Some(reading) => Event::Reading { endpoint, reading },
            None => Event::ProbeFailed { endpoint },
        };
        self.observe(entry, event);
    }

    fn send(&mut self, from: usize, to: &NodeName, message: Message) {
        let to = self.entry_by_name[to];
        if !self.reports_delivered || !self.are_connected(from, to) {
            return;
        }
        let from_name = self.entries[from].info.name.clone();
        let delay = self.delay(self.entries[from].domain, self.entries[to].domain);
        let delivered = SimEvent::Delivered {
            to,
            from: from_name,
            message,
        };
        self.after(delay, delivered);
    }

    fn send_control(&mut self, from: usize, message: Message) {
        if self.reaches_control(from) {
            let delay = self.delay(self.entries[from].domain, CONTROL_DOMAIN);
            self.after(delay, SimEvent::AtControl { from, message });
        }
    }

    fn reaches_control(&self, entry: usize) -> bool {
        let entry = &self.entries[entry];
        entry.up && !entry.isolated && !self.control_isolated
    }

    fn at_control(&mut self, from: usize, message: &Message) {
        let Message::Renew(renew) = message else {
            return;
        };
        let name = &self.entries[from].info.name;
        let grant = self.control.renew(self.now, name, renew);
        if self.reaches_control(from) {
            let delay = self.delay(self.entries[from].domain, CONTROL_DOMAIN);
            let granted = SimEvent::Delivered {
                to: from,
                from: super::build::parse("control"),
                message: Message::Grant(grant),
            };
            self.after(delay, granted);
        }
    }

    /// Whether two entries can exchange messages.
    pub(crate) fn are_connected(&self, one: usize, two: usize) -> bool {
        let (one, two) = (&self.entries[one], &self.entries[two]);
        one.up && two.up && !one.isolated && !two.isolated
    }

    /// One-way delay between two failure domains.
    pub(crate) fn delay(&self, one: usize, two: usize) -> Duration {
        let region = |domain| domain / super::deployment::DOMAINS_PER_REGION;
        if one == two {
            self.deployment.domain_delay
        } else if region(one) == region(two) {
            self.deployment.region_delay
        } else {
            self.deployment.inter_region_delay
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE, SimEvent::Sample);
        let mut slots = [0; DOMAINS];
        for endpoint in &self.endpoints {
            if endpoint.service == 0 && endpoint.up && !endpoint.leaving {
                slots[endpoint.domain] += endpoint.info.slots;
            }
        }
        self.figures.sample(self.now, SAMPLE, slots);
    }

    /// Updates the figures after the number of requests at an endpoint has changed.
    pub(crate) fn record_request_count(&mut self, endpoint: usize) {
        let service = self.endpoints[endpoint].service;
        if service == 0 {
            let domain = self.endpoints[endpoint].domain;
            let at_domain = self
                .endpoints
                .iter()
                .filter(|e| e.service == 0 && e.domain == domain);
            let running = at_domain.map(|e| e.running.len() as u32).sum();
            self.figures.set_running(self.now, domain, running);
        }
        self.check_limits(service);
    }

    fn check_limits(&mut self, service: usize) {
        let mut running = [0; REGIONS];
        for endpoint in self.endpoints.iter().filter(|e| e.service == service) {
            let region = endpoint.domain / super::deployment::DOMAINS_PER_REGION;
            running[region] += endpoint.in_progress();
        }
        let limits = std::array::from_fn(|region| self.deployment.row(service, region).limit);
        self.figures.record_in_progress(running, limits);
    }
}
