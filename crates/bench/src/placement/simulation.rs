//! Plays a pattern: what happens, in its order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use filberthead_place::{
    Attempts, Decision, EndpointId, Load, Mechanism, NextAttempt, Object, Outcome, Placer, Request,
    Target,
};
use filberthead_types::{Region, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::callers::{Callers, Wish};
use super::endpoint::{Endpoint, Job, Taken};
use super::figures::{End, Figures};
use super::pattern::{Change, Pattern};
use super::site::{self, FAR_MS, KNOWN};

/// Milliseconds between reports to control; what it tells of them is one such time old.
const REPORT_MS: u64 = 500;
/// Milliseconds between a caller and its gateway, there and back.
const CALLER_MS: u64 = 16;
/// Milliseconds to an endpoint of the same region and back.
const NEAR_MS: u64 = 2;
/// When a caller may come back whose request an endpoint refused.
const SOON: Duration = Duration::from_millis(50);
/// Time that a caller has, as a multiple of its route's.
const PATIENCE: u64 = 2;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// A caller of this failure domain asks for something.
    Arrive(usize),
    /// A request has come back to its gateway.
    Come(usize),
    /// An attempt reaches its endpoint.
    Reach(EndpointId, Job),
    /// An endpoint is done with an attempt.
    Done(EndpointId, Job),
    /// Its answer has come.
    Answer(usize, u32, Load),
    /// Its refusal has come.
    Refusal(usize, u32, Load),
    /// The route's time is up.
    TimeUp(usize, u32),
    /// Gateways report, and are told.
    Report,
    /// The pattern changes something.
    Change(Change),
}

struct Asked {
    wish: Wish,
    came: u64,
    returned: bool,
    /// When it came, or came back.
    placed: u64,
    sent: u64,
    attempt: u32,
    tries: Attempts,
    target: Option<Target>,
    over: bool,
}

struct Simulation {
    now: u64,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    at: HashMap<u64, Event>,
    number: u64,
    without: BTreeSet<Mechanism>,
    gateways: Vec<Placer>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    homes: HashMap<EndpointId, Region>,
    callers: Callers,
    requests: Vec<Asked>,
    /// Demand as gateways told it last, by their region.
    told: Vec<(Region, ServiceName, u32)>,
    figures: Figures,
}

/// Plays a pattern without some mechanisms, and returns what callers got.
pub fn play(pattern: &Pattern, without: &BTreeSet<Mechanism>, seed: u64) -> Figures {
    let mut simulation = Simulation::new(pattern, without, seed);
    for domain in 0..simulation.callers.domains().len() {
        simulation.arrive_after(domain);
    }
    simulation.add(0, Event::Report);
    for (at, change) in &pattern.changes {
        simulation.add(*at, Event::Change(*change));
    }
    simulation.run(pattern.seconds * 1000);
    simulation.figures
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Simulation {
    fn new(pattern: &Pattern, without: &BTreeSet<Mechanism>, seed: u64) -> Self {
        let regions = site::regions();
        let listed = site::endpoints();
        let endpoint = |e: &filberthead_fleet::Endpoint| {
            let service = e.service.as_str();
            let slots = site::slots(service) as usize;
            let made = Endpoint::new(slots, site::remembers(service), KNOWN);
            (EndpointId::from(e.id.as_str()), made)
        };
        let home = |e: &filberthead_fleet::Endpoint| {
            (EndpointId::from(e.id.as_str()), regions[&e.domain].clone())
        };
        let mut simulation = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            at: HashMap::new(),
            number: 0,
            without: without.clone(),
            gateways: Vec::new(),
            endpoints: listed.iter().map(endpoint).collect(),
            homes: listed.iter().map(home).collect(),
            callers: Callers::new(pattern),
            requests: Vec::new(),
            told: Vec::new(),
            figures: Figures::default(),
        };
        simulation.start_gateways();
        simulation
    }

    fn start_gateways(&mut self) {
        let domains = site::domains();
        let each = self.callers.gateways;
        let counts: Vec<_> = domains.iter().map(|d| (d.clone(), each as u32)).collect();
        self.gateways.clear();
        for number in 0..domains.len() * each {
            let mut cfg = site::config(number, &domains[number / each]);
            cfg.disabled = self.without.clone();
            let mut placer = Placer::new(cfg);
            placer.set_routes(&site::table());
            placer.set_endpoints(ms(self.now), site::endpoints());
            placer.set_gateways(&counts);
            placer.update_plans(ms(self.now));
            self.gateways.push(placer);
        }
    }

    fn add(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number)));
        self.at.insert(self.number, event);
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= until {
                return;
            }
            self.now = at;
            if let Some(event) = self.at.remove(&number) {
                self.happen(event);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(domain) => self.arrive(domain),
            Event::Come(request) => self.come(request),
            Event::Reach(id, job) => self.reach(id, job),
            Event::Done(id, job) => self.done(id, job),
            Event::Answer(request, attempt, load) => self.answer(request, attempt, load),
            Event::Refusal(request, attempt, load) => self.refusal(request, attempt, load),
            Event::TimeUp(request, attempt) => self.time_up(request, attempt),
            Event::Report => self.report(),
            Event::Change(change) => self.change(change),
        }
    }

    fn arrive_after(&mut self, domain: usize) {
        let gap = self.callers.gap(&mut self.rng, self.now, domain);
        self.add(self.now + (gap.ceil() as u64).max(1), Event::Arrive(domain));
    }

    fn arrive(&mut self, domain: usize) {
        self.arrive_after(domain);
        let wish = self.callers.wish(&mut self.rng, domain);
        self.requests.push(Asked {
            wish,
            came: self.now,
            returned: false,
            placed: self.now,
            sent: self.now,
            attempt: 0,
            tries: Attempts::new(2),
            target: None,
            over: false,
        });
        self.come(self.requests.len() - 1);
    }

    /// A request comes to its gateway.
    fn come(&mut self, request: usize) {
        let asked = &self.requests[request];
        let service = asked.wish.kind.service();
        self.gateways[asked.wish.gateway].record_request(ms(self.now), &service);
        self.place(request);
    }

    fn place(&mut self, request: usize) {
        let now = self.now;
        let asked = &mut self.requests[request];
        let kind = asked.wish.kind;
        let service = kind.service();
        let prefix = kind.prefix();
        let left = (asked.placed + kind.timeout_ms)
            .min(asked.came + PATIENCE * kind.timeout_ms)
            .saturating_sub(now);
        let wanted = Request {
            service: &service,
            object: Some(Object {
                prefix: &prefix,
                name: asked.wish.name.as_bytes(),
            }),
            large: false,
            objective: ms(kind.objective_ms),
            remaining: ms(left),
            is_caller_retry: asked.returned,
            regions: &[],
            excluded: asked.tries.excluded(),
        };
        match self.gateways[asked.wish.gateway].place(ms(now), wanted) {
            Decision::Refuse { retry_after, .. } => self.turn_away(request, retry_after),
            Decision::Send(target) => self.send(request, target, left),
        }
    }

    fn send(&mut self, request: usize, target: Target, left: u64) {
        let there = self.way(request, &target.id) / 2;
        let asked = &mut self.requests[request];
        asked.attempt += 1;
        asked.sent = self.now;
        asked.tries.record_sent(target.id.clone());
        let job = Job {
            request,
            attempt: asked.attempt,
            object: asked.wish.object,
            work_ms: asked.wish.work_ms,
        };
        let id = target.id.clone();
        asked.target = Some(target);
        self.add(self.now + there, Event::Reach(id, job));
        self.add(self.now + left, Event::TimeUp(request, job.attempt));
    }

    /// Milliseconds from the request's gateway to an endpoint and back.
    fn way(&self, request: usize, id: &EndpointId) -> u64 {
        let gateway = self.requests[request].wish.gateway;
        let domain = &self.callers.domains()[gateway / self.callers.gateways];
        if site::regions()[domain] == self.homes[id] {
            NEAR_MS
        } else {
            FAR_MS
        }
    }

    fn reach(&mut self, id: EndpointId, job: Job) {
        let back = self.way(job.request, &id) / 2;
        let draw = self.rng.random::<f64>();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        match endpoint.take(job, draw) {
            Taken::Yes => self.begin(id),
            Taken::Refused => {
                let load = endpoint.load();
                let event = Event::Refusal(job.request, job.attempt, load);
                self.add(self.now + back, event);
            }
            Taken::Silent => {}
        }
    }

    fn begin(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        for (job, takes) in endpoint.begin() {
            let end = self.now + (takes.round() as u64).max(1);
            self.add(end, Event::Done(id.clone(), job));
        }
    }

    fn done(&mut self, id: EndpointId, job: Job) {
        let back = self.way(job.request, &id) / 2;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if !endpoint.end(job.request, job.attempt) {
            return;
        }
        let event = Event::Answer(job.request, job.attempt, endpoint.load());
        self.add(self.now + back, event);
        self.begin(id);
    }

    /// The target of an attempt that nobody has ended yet.
    fn open(&mut self, request: usize, attempt: u32) -> Option<Target> {
        let asked = &mut self.requests[request];
        if asked.over || asked.attempt != attempt {
            return None;
        }
        asked.target.take()
    }

    fn answer(&mut self, request: usize, attempt: u32, load: Load) {
        let Some(target) = self.open(request, attempt) else {
            return;
        };
        let asked = &self.requests[request];
        let took = ms(self.now - asked.sent);
        let placer = &mut self.gateways[asked.wish.gateway];
        placer.record_load(ms(self.now), &target, load);
        let service = asked.wish.kind.service();
        placer.record_outcome(ms(self.now), &service, &target, Outcome::Served(took));
        let in_time = self.now - asked.came + CALLER_MS <= asked.wish.kind.objective_ms;
        self.finish(request, if in_time { End::InTime } else { End::Late });
    }

    fn refusal(&mut self, request: usize, attempt: u32, load: Load) {
        let Some(target) = self.open(request, attempt) else {
            return;
        };
        let asked = &mut self.requests[request];
        let service = asked.wish.kind.service();
        let placer = &mut self.gateways[asked.wish.gateway];
        placer.record_load(ms(self.now), &target, load);
        placer.record_outcome(ms(self.now), &service, &target, Outcome::Full);
        let further = asked
            .tries
            .record_refused(placer.may_retry_same_endpoint(true));
        if further == NextAttempt::Allowed && placer.try_spend_retry(ms(self.now), &service) {
            self.place(request);
        } else {
            self.turn_away(request, SOON);
        }
    }

    /// A caller is told to come back, and does so once.
    fn turn_away(&mut self, request: usize, after: Duration) {
        let asked = &mut self.requests[request];
        let at = self.now + CALLER_MS + after.as_millis() as u64;
        if asked.returned || at >= asked.came + PATIENCE * asked.wish.kind.timeout_ms {
            self.finish(request, End::Refused);
            return;
        }
        asked.returned = true;
        asked.placed = at;
        asked.tries = Attempts::new(2);
        self.add(at, Event::Come(request));
    }

    fn time_up(&mut self, request: usize, attempt: u32) {
        let Some(target) = self.open(request, attempt) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&target.id) {
            endpoint.end(request, attempt);
        }
        self.begin(target.id.clone());
        let asked = &self.requests[request];
        let outcome = Outcome::Abandoned(ms(self.now - asked.sent));
        let service = asked.wish.kind.service();
        self.gateways[asked.wish.gateway].record_outcome(ms(self.now), &service, &target, outcome);
        self.finish(request, End::Lost);
    }

    fn finish(&mut self, request: usize, end: End) {
        let asked = &mut self.requests[request];
        asked.over = true;
        let (wish, second) = (&asked.wish, (asked.came / 1000) as usize);
        self.figures.note(&wish.region, wish.kind.name, second, end);
    }

    fn report(&mut self) {
        self.add(self.now + REPORT_MS, Event::Report);
        let domains = site::domains();
        let regions = site::regions();
        let each = self.callers.gateways;
        let mut told = Vec::new();
        for (number, placer) in self.gateways.iter_mut().enumerate() {
            if !self.told.is_empty() {
                placer.set_demand(ms(self.now), &self.told);
            }
            placer.update_plans(ms(self.now));
            let region = &regions[&domains[number / each]];
            let demand = placer.take_demand(ms(self.now)).into_iter();
            told.extend(demand.map(|d| (region.clone(), d.service, d.busy_milli)));
        }
        self.told = told;
    }

    fn change(&mut self, change: Change) {
        let region = |name: &str| -> Region { name.parse().expect("a name") };
        match change {
            Change::Rate(rate) => self.callers.rate = rate,
            Change::Move(from, to, part) => {
                self.callers.moved = Some((region(from), region(to), part));
            }
            Change::MoveBack => self.callers.moved = None,
            Change::Slow(nth, times) => self.each(nth, "", |e| e.slow = times),
            Change::Shed(service, nth, part) => self.each(nth, service, |e| e.sheds = part),
            Change::Down(nth) => self.each(nth, "", |e| e.down = true),
            Change::DomainDown(domain) => self.each(1, domain, |e| e.down = true),
            Change::Up => self.each(1, "", |e| {
                if std::mem::take(&mut e.down) {
                    e.restart();
                }
            }),
            Change::Evacuate(domain) => {
                let domains: BTreeSet<_> = [domain.parse().expect("a name")].into();
                for placer in &mut self.gateways {
                    placer.set_evacuated(ms(self.now), domains.clone());
                }
            }
            Change::TakeBack => {
                for placer in &mut self.gateways {
                    placer.set_evacuated(ms(self.now), BTreeSet::new());
                }
            }
            Change::Restart => self.restart_gateways(),
        }
    }

    /// Changes each n-th endpoint whose identity holds a text.
    fn each(&mut self, nth: usize, holds: &str, change: impl Fn(&mut Endpoint)) {
        let named = self
            .endpoints
            .iter_mut()
            .filter(|(id, _)| id.contains(holds));
        for (_, endpoint) in named.step_by(nth) {
            change(endpoint);
        }
    }

    fn restart_gateways(&mut self) {
        for request in 0..self.requests.len() {
            let asked = &mut self.requests[request];
            if asked.over {
                continue;
            }
            if let Some(target) = asked.target.take() {
                let attempt = asked.attempt;
                if let Some(endpoint) = self.endpoints.get_mut(&target.id) {
                    endpoint.end(request, attempt);
                }
                self.finish(request, End::Lost);
            }
        }
        self.start_gateways();
    }
}
