//! Runs a pattern as a discrete-event simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use filberthead_place::{
    Attempts, Decision, EndpointId, Homes, Load, Mechanism, NextAttempt, Object, Outcome, Placer,
    Request, RetryDecision, RetryEnd, RouteKey, Target,
};
use filberthead_types::{Moment, Region, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::callers::{Callers, RequestSpec};
use super::endpoint::{Admission, Endpoint, Job};
use super::figures::{Figures, RequestEnd};
use super::pattern::{Change, Pattern};
use super::site::{self, CACHED_WORK_FACTOR, INTER_REGION_RTT_MS};

/// Milliseconds between the gateways' reports to control. The demand that control returns
/// is one interval old.
const REPORT_MS: u64 = 500;
/// Round trip between a caller and its gateway, in milliseconds.
const CALLER_RTT_MS: u64 = 16;
/// Round trip to an endpoint of the same region, in milliseconds.
const INTRA_REGION_RTT_MS: u64 = 2;
/// Retry-after that a caller receives when an endpoint refused its request.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(50);
/// A caller's deadline, its retry included, as a multiple of the route's timeout.
const CALLER_DEADLINE_FACTOR: u64 = 2;

/// A scheduled event. `usize` values are request indices unless said otherwise, `u32`
/// attempt numbers.
#[derive(Clone, Debug)]
enum Event {
    /// A caller of the failure domain with this index sends a request.
    NextCaller(usize),
    /// A caller's retry arrives at its gateway.
    AtGateway(usize),
    /// An attempt reaches its endpoint.
    AtEndpoint(EndpointId, Job),
    /// An endpoint completes an attempt.
    Completed(EndpointId, Job),
    /// An endpoint's answer arrives at the gateway, with the endpoint's load.
    Answer(usize, u32, Load),
    /// An endpoint's refusal arrives at the gateway, with the endpoint's load.
    Refusal(usize, u32, Load),
    /// The request's timeout expires.
    Timeout(usize, u32),
    /// Gateways send their demand to control and receive the demand of the previous
    /// reports.
    Report,
    /// A change that the pattern has scheduled.
    Change(Change),
}

/// A request and its current attempt. Times are in milliseconds since the start.
struct RequestState {
    spec: RequestSpec,
    /// When its caller first sent it.
    arrived: u64,
    /// Whether the caller has retried it.
    is_retry: bool,
    /// When it arrived at the gateway; for a retry, when the retry did.
    gateway_arrival: u64,
    /// When the latest attempt was sent.
    sent: u64,
    /// Number of the latest attempt; 0 before the first one.
    attempt: u32,
    attempts: Attempts,
    /// Target of the open attempt; `None` when no attempt is open.
    target: Option<Target>,
    /// Whether its caller has the final result.
    finished: bool,
}

struct Simulation {
    now: u64,
    rng: StdRng,
    /// Time and number of each scheduled event; equal times run in the order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events, by number.
    pending: HashMap<u64, Event>,
    /// Number of the event that was scheduled last.
    last_event: u64,
    /// Mechanisms that the placers run without.
    disabled: BTreeSet<Mechanism>,
    gateways: Vec<Placer>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoint_regions: HashMap<EndpointId, Region>,
    callers: Callers,
    requests: Vec<RequestState>,
    /// Demand from the gateways' last reports, each with the gateway's region.
    reported_demand: Vec<(Region, ServiceName, u32)>,
    figures: Figures,
}

/// Runs a pattern with some mechanisms disabled, and returns how requests ended.
pub fn simulate(pattern: &Pattern, disabled: &BTreeSet<Mechanism>, seed: u64) -> Figures {
    let mut simulation = Simulation::new(pattern, disabled, seed);
    for domain in 0..simulation.callers.domains().len() {
        simulation.schedule_next_caller(domain);
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
    fn new(pattern: &Pattern, disabled: &BTreeSet<Mechanism>, seed: u64) -> Self {
        let regions = site::regions();
        let listed = site::endpoints();
        let endpoint = |e: &filberthead_fleet::Endpoint| {
            let service = e.service.as_str();
            let slots = site::slots(service) as usize;
            let endpoint = Endpoint::new(slots, site::cache_capacity(service), CACHED_WORK_FACTOR);
            (EndpointId::from(e.id.as_str()), endpoint)
        };
        let region_of = |e: &filberthead_fleet::Endpoint| {
            (EndpointId::from(e.id.as_str()), regions[&e.domain].clone())
        };
        let mut simulation = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            last_event: 0,
            disabled: disabled.clone(),
            gateways: Vec::new(),
            endpoints: listed.iter().map(endpoint).collect(),
            endpoint_regions: listed.iter().map(region_of).collect(),
            callers: Callers::new(pattern),
            requests: Vec::new(),
            reported_demand: Vec::new(),
            figures: Figures::default(),
        };
        simulation.start_gateways();
        simulation
    }

    fn start_gateways(&mut self) {
        let domains = site::domains();
        let per_domain = self.callers.gateways;
        let counts: Vec<_> = domains
            .iter()
            .map(|d| (d.clone(), per_domain as u32))
            .collect();
        self.gateways.clear();
        for number in 0..domains.len() * per_domain {
            let mut cfg = site::config(number, &domains[number / per_domain]);
            cfg.disabled = self.disabled.clone();
            let mut placer = Placer::new(cfg);
            placer.set_routes(&site::table());
            placer.set_endpoints(ms(self.now), site::endpoints());
            placer.set_gateways(ms(self.now), &counts);
            placer.update_plans(ms(self.now));
            self.gateways.push(placer);
        }
    }

    /// Schedules an event at a time in milliseconds.
    fn add(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event)));
        self.pending.insert(self.last_event, event);
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= until {
                return;
            }
            self.now = at;
            if let Some(event) = self.pending.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextCaller(domain) => self.next_caller(domain),
            Event::AtGateway(request) => self.at_gateway(request),
            Event::AtEndpoint(id, job) => self.at_endpoint(id, job),
            Event::Completed(id, job) => self.completed(id, job),
            Event::Answer(request, attempt, load) => self.answer(request, attempt, load),
            Event::Refusal(request, attempt, load) => self.refusal(request, attempt, load),
            Event::Timeout(request, attempt) => self.time_out(request, attempt),
            Event::Report => self.report(),
            Event::Change(change) => self.change(change),
        }
    }

    fn schedule_next_caller(&mut self, domain: usize) {
        let interarrival_ms = self
            .callers
            .interarrival_ms(&mut self.rng, self.now, domain);
        self.add(
            self.now + (interarrival_ms.ceil() as u64).max(1),
            Event::NextCaller(domain),
        );
    }

    fn next_caller(&mut self, domain: usize) {
        self.schedule_next_caller(domain);
        let spec = self.callers.draw_request(&mut self.rng, domain);
        self.requests.push(RequestState {
            spec,
            arrived: self.now,
            is_retry: false,
            gateway_arrival: self.now,
            sent: self.now,
            attempt: 0,
            attempts: Attempts::new(2),
            target: None,
            finished: false,
        });
        self.at_gateway(self.requests.len() - 1);
    }

    /// A request, or its caller's retry, arrives at the gateway.
    fn at_gateway(&mut self, request: usize) {
        let state = &self.requests[request];
        let service = state.spec.kind.service();
        let priority = state.spec.priority;
        self.gateways[state.spec.gateway].record_request(ms(self.now), &service, priority);
        self.place(request);
    }

    fn place(&mut self, request: usize) {
        let now = self.now;
        let state = &mut self.requests[request];
        let kind = state.spec.kind;
        let service = kind.service();
        let prefix = kind.prefix();
        let remaining_ms = (state.gateway_arrival + kind.timeout_ms)
            .min(state.arrived + CALLER_DEADLINE_FACTOR * kind.timeout_ms)
            .saturating_sub(now);
        let request_info = Request {
            service: &service,
            route: RouteKey::new(&prefix),
            object: Some(Object {
                prefix: &prefix,
                name: state.spec.name.as_bytes(),
            }),
            large: false,
            objective: ms(kind.objective_ms),
            remaining: ms(remaining_ms),
            priority: state.spec.priority,
            is_caller_retry: state.is_retry,
            homes: Homes::default(),
            excluded: state.attempts.excluded(),
        };
        match self.gateways[state.spec.gateway].place(ms(now), request_info) {
            Decision::Refuse { retry_after, .. } => self.reject(request, retry_after),
            Decision::Send(target) => self.send(request, target, remaining_ms),
        }
    }

    fn send(&mut self, request: usize, target: Target, remaining_ms: u64) {
        let one_way = self.rtt_ms(request, &target.id) / 2;
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.sent = self.now;
        state.attempts.record_sent(target.id.clone());
        let job = Job {
            request,
            attempt: state.attempt,
            object: state.spec.object,
            work_ms: state.spec.work_ms,
        };
        let id = target.id.clone();
        state.target = Some(target);
        self.add(self.now + one_way, Event::AtEndpoint(id, job));
        self.add(
            self.now + remaining_ms,
            Event::Timeout(request, job.attempt),
        );
    }

    /// Round trip from the request's gateway to an endpoint, in milliseconds.
    fn rtt_ms(&self, request: usize, id: &EndpointId) -> u64 {
        let gateway = self.requests[request].spec.gateway;
        let domain = &self.callers.domains()[gateway / self.callers.gateways];
        if site::regions()[domain] == self.endpoint_regions[id] {
            INTRA_REGION_RTT_MS
        } else {
            INTER_REGION_RTT_MS
        }
    }

    fn at_endpoint(&mut self, id: EndpointId, job: Job) {
        let one_way = self.rtt_ms(job.request, &id) / 2;
        let sample = self.rng.random::<f64>();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        match endpoint.admit(job, sample) {
            Admission::Accepted => self.start_waiting(id),
            Admission::Refused => {
                let load = endpoint.load();
                let event = Event::Refusal(job.request, job.attempt, load);
                self.add(self.now + one_way, event);
            }
            Admission::NoAnswer => {}
        }
    }

    fn start_waiting(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        for (job, duration_ms) in endpoint.start_waiting() {
            let end = self.now + (duration_ms.round() as u64).max(1);
            self.add(end, Event::Completed(id.clone(), job));
        }
    }

    fn completed(&mut self, id: EndpointId, job: Job) {
        let one_way = self.rtt_ms(job.request, &id) / 2;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if !endpoint.remove(job.request, job.attempt) {
            return;
        }
        let event = Event::Answer(job.request, job.attempt, endpoint.load());
        self.add(self.now + one_way, event);
        self.start_waiting(id);
    }

    /// Takes the target of an attempt, or returns `None` if the attempt has already ended.
    fn take_target(&mut self, request: usize, attempt: u32) -> Option<Target> {
        let state = &mut self.requests[request];
        if state.finished || state.attempt != attempt {
            return None;
        }
        state.target.take()
    }

    fn answer(&mut self, request: usize, attempt: u32, load: Load) {
        let Some(target) = self.take_target(request, attempt) else {
            return;
        };
        let state = &self.requests[request];
        let took = ms(self.now - state.sent);
        let placer = &mut self.gateways[state.spec.gateway];
        placer.record_load(ms(self.now), &target, load);
        let service = state.spec.kind.service();
        placer.record_outcome(ms(self.now), &service, &target, Outcome::Served(took));
        let in_time = self.now - state.arrived + CALLER_RTT_MS <= state.spec.kind.objective_ms;
        self.finish(
            request,
            if in_time {
                RequestEnd::InTime
            } else {
                RequestEnd::Late
            },
        );
    }

    fn refusal(&mut self, request: usize, attempt: u32, load: Load) {
        let Some(target) = self.take_target(request, attempt) else {
            return;
        };
        let state = &mut self.requests[request];
        let service = state.spec.kind.service();
        let placer = &mut self.gateways[state.spec.gateway];
        placer.record_load(ms(self.now), &target, load);
        placer.record_outcome(ms(self.now), &service, &target, Outcome::Full);
        let next = state
            .attempts
            .record_refused(&target.id, placer.may_retry_same_endpoint(true));
        if next == NextAttempt::Allowed && spend_retry(placer, ms(self.now), &service) {
            self.place(request);
        } else {
            self.reject(request, REFUSAL_RETRY_AFTER);
        }
    }

    /// Rejects a request with a retry-after. The caller retries once, if its deadline
    /// allows.
    fn reject(&mut self, request: usize, after: Duration) {
        let state = &mut self.requests[request];
        let at = self.now + CALLER_RTT_MS + after.as_millis() as u64;
        if state.is_retry
            || at >= state.arrived + CALLER_DEADLINE_FACTOR * state.spec.kind.timeout_ms
        {
            self.finish(request, RequestEnd::Refused);
            return;
        }
        state.is_retry = true;
        state.gateway_arrival = at;
        state.attempts = Attempts::new(2);
        self.add(at, Event::AtGateway(request));
    }

    fn time_out(&mut self, request: usize, attempt: u32) {
        let Some(target) = self.take_target(request, attempt) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&target.id) {
            endpoint.remove(request, attempt);
        }
        self.start_waiting(target.id.clone());
        let state = &self.requests[request];
        let outcome = Outcome::Abandoned(ms(self.now - state.sent));
        let service = state.spec.kind.service();
        self.gateways[state.spec.gateway].record_outcome(ms(self.now), &service, &target, outcome);
        self.finish(request, RequestEnd::Lost);
    }

    fn finish(&mut self, request: usize, end: RequestEnd) {
        let state = &mut self.requests[request];
        state.finished = true;
        let (spec, second) = (&state.spec, (state.arrived / 1000) as usize);
        self.figures
            .record(&spec.region, spec.kind.name, second, end);
    }

    fn report(&mut self) {
        self.add(self.now + REPORT_MS, Event::Report);
        let domains = site::domains();
        let regions = site::regions();
        let per_domain = self.callers.gateways;
        let mut reported_demand = Vec::new();
        for (number, placer) in self.gateways.iter_mut().enumerate() {
            if !self.reported_demand.is_empty() {
                placer.set_demand(ms(self.now), &self.reported_demand);
            }
            placer.update_plans(ms(self.now));
            let region = &regions[&domains[number / per_domain]];
            let demand = placer.take_demand(ms(self.now)).into_iter();
            reported_demand.extend(demand.map(|d| (region.clone(), d.service, d.busy_milli)));
        }
        self.reported_demand = reported_demand;
    }

    fn change(&mut self, change: Change) {
        let region = |name: &str| -> Region { name.parse().expect("a valid name") };
        match change {
            Change::Rate(rate) => self.callers.rate_factor = rate,
            Change::MoveCallers(from, to, part) => {
                self.callers.moved = Some((region(from), region(to), part));
            }
            Change::RestoreCallers => self.callers.moved = None,
            Change::Slow(nth, times) => self.update(nth, "", |e| e.work_factor = times),
            Change::Shed(service, nth, part) => self.update(nth, service, |e| e.shed_ratio = part),
            Change::Down(nth) => self.update(nth, "", |e| e.down = true),
            Change::DomainDown(domain) => self.update(1, domain, |e| e.down = true),
            Change::Recover => self.update(1, "", |e| {
                if std::mem::take(&mut e.down) {
                    e.restart();
                }
            }),
            Change::Evacuate(domain) => {
                let domains: BTreeSet<_> = [domain.parse().expect("a valid name")].into();
                for placer in &mut self.gateways {
                    placer.set_evacuated(ms(self.now), domains.clone());
                }
            }
            Change::EndEvacuation => {
                for placer in &mut self.gateways {
                    placer.set_evacuated(ms(self.now), BTreeSet::new());
                }
            }
            Change::RestartGateways => self.restart_gateways(),
        }
    }

    /// Applies a change to each n-th endpoint whose identity contains `id_part`.
    fn update(&mut self, nth: usize, id_part: &str, change: impl Fn(&mut Endpoint)) {
        let named = self
            .endpoints
            .iter_mut()
            .filter(|(id, _)| id.contains(id_part));
        for (_, endpoint) in named.step_by(nth) {
            change(endpoint);
        }
    }

    /// Replaces all gateways by new ones. Attempts that are open are lost.
    fn restart_gateways(&mut self) {
        for request in 0..self.requests.len() {
            let state = &mut self.requests[request];
            if state.finished {
                continue;
            }
            if let Some(target) = state.target.take() {
                let attempt = state.attempt;
                if let Some(endpoint) = self.endpoints.get_mut(&target.id) {
                    endpoint.remove(request, attempt);
                }
                self.finish(request, RequestEnd::Lost);
            }
        }
        self.start_gateways();
    }
}

/// Takes a retry from the budget; it arrives at once.
fn spend_retry(placer: &mut Placer, now: Moment, service: &ServiceName) -> bool {
    match placer.try_spend_retry(now, service) {
        RetryDecision::Granted(id, _) => {
            placer.end_retry(now, service, id, RetryEnd::Settled);
            true
        }
        RetryDecision::Refused(_) => false,
    }
}
