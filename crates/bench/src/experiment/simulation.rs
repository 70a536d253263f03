//! The event loop that drives the policies of all entries of a deployment.
//!
//! It knows nothing of a policy but the [`Steering`] border. Arrivals and the plain
//! length of each request are drawn from a source of their own, so that every policy
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
use super::endpoint::EndpointFake;
use super::metrics::{End, Figures};
use super::policy::PolicyKind;
use super::scenario::{LENGTH, Scene};

pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Where the control leader runs.
const CONTROL_DOMAIN: usize = 2;
const SAMPLE: Duration = Duration::from_secs(1);

/// What happens next.
#[derive(Debug)]
pub(crate) enum Happening {
    Arrival {
        service: usize,
    },
    AtEntry {
        req: usize,
        entry: usize,
        via: Option<usize>,
    },
    AtEndpoint {
        req: usize,
        endpoint: usize,
        entry: usize,
    },
    Done {
        req: usize,
        endpoint: usize,
    },
    Back {
        req: usize,
        entry: usize,
        kind: filberthead_steer::FinishKind,
    },
    Relayed {
        req: usize,
        origin: usize,
        end: End,
    },
    AtCaller {
        req: usize,
        end: End,
    },
    Deadline {
        req: usize,
    },
    Tick {
        entry: usize,
    },
    Probed {
        entry: usize,
        endpoint: usize,
        reading: Option<Reading>,
    },
    Delivered {
        to: usize,
        from: NodeName,
        message: Message,
    },
    AtControl {
        from: usize,
        message: Message,
    },
    Members,
    Sample,
    Step(usize),
}

#[derive(Debug)]
struct Timed {
    at: Moment,
    order: u64,
    what: Happening,
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

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) service: usize,
    pub(crate) caller: usize,
    pub(crate) born: Moment,
    pub(crate) hold: Duration,
    /// Entries of the caller's answer, the next one last.
    pub(crate) entries: Vec<usize>,
    pub(crate) tried: Vec<NodeName>,
    pub(crate) attempts: u32,
    /// Entries whose policy counts it, the first one in front.
    pub(crate) counted_by: Vec<usize>,
    pub(crate) endpoint: Option<usize>,
    /// When its latest attempt set out for an endpoint.
    pub(crate) sent: Moment,
    pub(crate) settled: bool,
}

/// An entry with its policy.
pub(crate) struct EntryFake {
    pub(crate) info: EntryInfo,
    pub(crate) domain: usize,
    pub(crate) policy: Box<dyn Steering>,
    pub(crate) up: bool,
    /// Cut off from peers and control.
    pub(crate) cut: bool,
}

/// A caller with the answers that it keeps.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) addr: IpAddr,
    pub(crate) answers: HashMap<usize, (Vec<usize>, Moment)>,
    /// Entries that it couldn't reach, and until when it passes them over.
    pub(crate) avoided: HashMap<usize, Moment>,
    /// Region of its first answer for the first service.
    pub(crate) home: Option<usize>,
}

fn control(view: &Arc<View>) -> Lessor {
    let mut keeper = Lessor::new(Moment::ZERO, Epoch(1), LONGEST_RUN);
    keeper.set_table(Arc::clone(view));
    keeper
}

/// Longest deadline of a request.
const LONGEST_RUN: Duration = Duration::from_secs(10);

/// A deployment under a policy, in a scene.
pub(crate) struct Simulation {
    pub(crate) kind: PolicyKind,
    pub(crate) deployment: Deployment,
    pub(crate) scene: Scene,
    pub(crate) now: Moment,
    queue: BinaryHeap<Reverse<Timed>>,
    order: u64,
    pub(crate) entries: Vec<EntryFake>,
    pub(crate) endpoints: Vec<EndpointFake>,
    pub(crate) by_name: BTreeMap<NodeName, usize>,
    pub(crate) entry_by_name: BTreeMap<NodeName, usize>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) requests: Vec<Request>,
    pub(crate) view: Arc<View>,
    pub(crate) surge: f64,
    pub(crate) reports: bool,
    pub(crate) control: Lessor,
    pub(crate) control_cut: bool,
    pub(crate) arrivals: StdRng,
    pub(crate) figures: Figures,
}

impl Simulation {
    pub(crate) fn empty(
        kind: PolicyKind,
        deployment: Deployment,
        scene: Scene,
        view: View,
        arrivals: StdRng,
    ) -> Self {
        let view = Arc::new(view);
        Self {
            kind,
            figures: Figures::new(&deployment),
            deployment,
            scene,
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            entries: Vec::new(),
            endpoints: Vec::new(),
            by_name: BTreeMap::new(),
            entry_by_name: BTreeMap::new(),
            callers: Vec::new(),
            requests: Vec::new(),
            surge: 0.0,
            reports: true,
            control: control(&view),
            control_cut: false,
            view,
            arrivals,
        }
    }

    /// Runs the scene to its end.
    pub(crate) fn run(mut self) -> Figures {
        self.schedule_start();
        while let Some(Reverse(timed)) = self.queue.pop() {
            if timed.at > LENGTH {
                break;
            }
            self.now = timed.at;
            self.happen(timed.what);
        }
        self.figures
    }

    fn schedule_start(&mut self) {
        for service in 0..self.deployment.services.len() {
            self.after(Duration::ZERO, Happening::Arrival { service });
        }
        for entry in 0..self.entries.len() {
            // Entries don't tick in step.
            let offset = TICK * entry as u32 / self.entries.len() as u32;
            self.after(offset, Happening::Tick { entry });
        }
        self.after(SAMPLE, Happening::Sample);
        for index in 0..self.scene.steps.len() {
            let (at, _) = self.scene.steps[index];
            self.after(at, Happening::Step(index));
        }
    }

    pub(crate) fn after(&mut self, delay: Duration, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Timed {
            at: self.now + delay,
            order: self.order,
            what,
        }));
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival { service } => self.arrive(service),
            Happening::AtEntry { req, entry, via } => self.at_entry(req, entry, via),
            Happening::AtEndpoint {
                req,
                endpoint,
                entry,
            } => self.at_endpoint(req, endpoint, entry),
            Happening::Done { req, endpoint } => self.done(req, endpoint),
            Happening::Back { req, entry, kind } => self.back(req, entry, kind),
            Happening::Relayed { req, origin, end } => self.relayed(req, origin, end),
            Happening::AtCaller { req, end } => self.at_caller(req, end),
            Happening::Deadline { req } => self.deadline(req),
            Happening::Tick { entry } => self.tick(entry),
            Happening::Probed {
                entry,
                endpoint,
                reading,
            } => self.probed(entry, endpoint, reading),
            Happening::Delivered { to, from, message } => {
                self.observe(to, Event::Received { from, message });
            }
            Happening::AtControl { from, message } => self.at_control(from, &message),
            Happening::Members => self.announce_members(),
            Happening::Sample => self.sample(),
            Happening::Step(index) => self.step(index),
        }
    }

    fn tick(&mut self, entry: usize) {
        self.after(TICK, Happening::Tick { entry });
        if entry == 0 {
            for endpoint in &mut self.endpoints {
                endpoint.note(self.now);
            }
        }
        self.observe(entry, Event::Tick);
    }

    /// Hands an event to an entry's policy and does what it asks for.
    pub(crate) fn observe(&mut self, entry: usize, event: Event) {
        if !self.entries[entry].up {
            return;
        }
        let actions = self.entries[entry].policy.observe(self.now, event);
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Place { id, decision } => self.placed(id.0 as usize, entry, decision),
            Action::Probe { endpoint } => self.probe(entry, &endpoint),
            Action::Send { to, message } => self.send(entry, &to, message),
            Action::SendControl(message) => self.send_control(entry, message),
        }
    }

    fn probe(&mut self, entry: usize, info: &EndpointInfo) {
        let endpoint = self.by_name[&info.name];
        let delay = self.deployment.probe;
        let reading = self.endpoints[endpoint].read(self.now);
        self.after(
            delay,
            Happening::Probed {
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
        if !self.reports || !self.linked(from, to) {
            return;
        }
        let from_name = self.entries[from].info.name.clone();
        let delay = self.delay(self.entries[from].domain, self.entries[to].domain);
        let delivered = Happening::Delivered {
            to,
            from: from_name,
            message,
        };
        self.after(delay, delivered);
    }

    fn send_control(&mut self, from: usize, message: Message) {
        if self.control_reached(from) {
            let delay = self.delay(self.entries[from].domain, CONTROL_DOMAIN);
            self.after(delay, Happening::AtControl { from, message });
        }
    }

    fn control_reached(&self, entry: usize) -> bool {
        let entry = &self.entries[entry];
        entry.up && !entry.cut && !self.control_cut
    }

    fn at_control(&mut self, from: usize, message: &Message) {
        let Message::Renew(renew) = message else {
            return;
        };
        let name = &self.entries[from].info.name;
        let grant = self.control.renew(self.now, name, renew);
        if self.control_reached(from) {
            let delay = self.delay(self.entries[from].domain, CONTROL_DOMAIN);
            let granted = Happening::Delivered {
                to: from,
                from: super::build::parse("control"),
                message: Message::Grant(grant),
            };
            self.after(delay, granted);
        }
    }

    /// Whether two entries reach each other.
    pub(crate) fn linked(&self, one: usize, two: usize) -> bool {
        let (one, two) = (&self.entries[one], &self.entries[two]);
        one.up && two.up && !one.cut && !two.cut
    }

    /// One-way delay between two failure domains.
    pub(crate) fn delay(&self, one: usize, two: usize) -> Duration {
        let region = |domain| domain / super::deployment::DOMAINS_A_REGION;
        if one == two {
            self.deployment.near
        } else if region(one) == region(two) {
            self.deployment.region
        } else {
            self.deployment.far
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE, Happening::Sample);
        let mut slots = [0; DOMAINS];
        for endpoint in &self.endpoints {
            if endpoint.service == 0 && endpoint.up && !endpoint.leaving {
                slots[endpoint.domain] += endpoint.info.slots;
            }
        }
        self.figures.sample(self.now, SAMPLE, slots);
    }

    /// Takes stock after the number of requests at an endpoint has changed.
    pub(crate) fn changed(&mut self, endpoint: usize) {
        let service = self.endpoints[endpoint].service;
        if service == 0 {
            let domain = self.endpoints[endpoint].domain;
            let at_domain = self
                .endpoints
                .iter()
                .filter(|e| e.service == 0 && e.domain == domain);
            let running = at_domain.map(|e| e.running.len() as u32).sum();
            self.figures.running(self.now, domain, running);
        }
        self.check_limits(service);
    }

    fn check_limits(&mut self, service: usize) {
        let mut running = [0; REGIONS];
        for endpoint in self.endpoints.iter().filter(|e| e.service == service) {
            let region = endpoint.domain / super::deployment::DOMAINS_A_REGION;
            running[region] += endpoint.in_progress();
        }
        let limits = std::array::from_fn(|region| self.deployment.row(service, region).limit);
        self.figures.in_progress(running, limits);
    }
}
