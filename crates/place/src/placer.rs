//! The placer: what a gateway knows of all endpoints, and the decision.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::Endpoint;
use filberthead_route::Service;
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::cost::{self, Times};
use crate::endpoint::State;
use crate::mix::{Leave, Mix};
use crate::{Budget, BudgetConfig, EndpointId, Load, Outcome, rank};

/// Probability that an endpoint knows an object which this gateway hasn't sent there, by
/// the endpoint's place in the object's order: other gateways send it to the first one as
/// long as that has room, and else to the second.
const KNOWN_BY_RANK: [f64; 2] = [0.6, 0.2];
/// Cost in seconds of each further place in the order, between endpoints that are alike
/// otherwise: less than any difference that a caller would notice.
const RANK_COST: f64 = 0.0005;
/// Cost of crossing to another failure domain for a large answer, in seconds: what a slot
/// must be worth before a download leaves its failure domain.
const LARGE_CROSSING: f64 = 0.05;
/// Way to another failure domain of the region and back, until measured, in seconds.
const NEAR: f64 = 0.003;
/// Way to another region and back, in seconds, as both deployments have it.
const FAR: f64 = 0.075;
/// Gateways that share a cold endpoint as long as nobody has said how many there are.
const UNTOLD_GATEWAYS: u32 = 4;
/// Shortest and longest time that a refused caller is told to stay away.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(60), Duration::from_secs(2));

/// Where a gateway is and what bounds it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Bounds on further attempts.
    pub budget: BudgetConfig,
    /// Part of a region's requests that may change regions from one window to the next.
    pub max_shift: f64,
}

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that its route sends it to.
    pub service: &'a ServiceName,
    /// Name of the object that it concerns, if endpoints remember objects.
    pub object: Option<&'a [u8]>,
    /// Whether its answer is large.
    pub large: bool,
    /// Time within which its answer is worth most.
    pub objective: Duration,
    /// Time until its caller has left.
    pub left: Duration,
    /// Whether it has been refused before: then it is better served late than not at all.
    pub returned: bool,
    /// The only regions where it may run; empty allows all.
    pub regions: &'a [Region],
    /// Endpoints that have had it.
    pub tried: &'a [EndpointId],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity that the endpoint must have.
    pub id: EndpointId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Time that its answer should take.
    pub expected: Duration,
    /// Whether it is believed to know the object.
    pub known: bool,
    /// Time that goes by besides: the way there and back, and the wait for a slot.
    pub overhead: Duration,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service may get it.
    NoEndpoint,
    /// Every endpoint has so much to do that it would answer too late.
    Overloaded,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it there.
    Send(Target),
    /// Refuse it; nothing has run.
    Refuse {
        /// Why.
        why: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// A candidate and its price in seconds.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    total: f64,
    wait: f64,
    way: f64,
    answer: f64,
    known: bool,
}

/// What a gateway knows of endpoints.
#[derive(Clone, Debug)]
pub struct Placer {
    cfg: Config,
    endpoints: Vec<State>,
    services: HashMap<ServiceName, Service>,
    times: HashMap<ServiceName, Times>,
    evacuated: BTreeSet<FailureDomain>,
    gateways: BTreeMap<FailureDomain, u32>,
    mix: Mix,
    budget: Budget,
}

impl Placer {
    /// A placer that knows no endpoint.
    pub fn new(cfg: Config) -> Self {
        Self {
            endpoints: Vec::new(),
            services: HashMap::new(),
            times: HashMap::new(),
            evacuated: BTreeSet::new(),
            gateways: BTreeMap::new(),
            mix: Mix::new(cfg.max_shift),
            budget: Budget::new(cfg.budget),
            cfg,
        }
    }

    /// Takes in the services of the routes in force.
    pub fn set_services(&mut self, services: &[Service]) {
        let named = services.iter().map(|s| (s.name.clone(), s.clone()));
        self.services = named.collect();
    }

    /// Takes in the platform's list. What is known of endpoints that are still on it stays.
    pub fn set_endpoints(&mut self, now: Moment, list: Vec<Endpoint>) {
        let held = std::mem::take(&mut self.endpoints);
        let mut held: HashMap<_, _> = held.into_iter().map(|e| (e.id.clone(), e)).collect();
        for listed in list {
            let state = match held.remove(listed.id.as_str()) {
                Some(mut state) => {
                    state.listed(now, &listed);
                    state
                }
                None => {
                    let region = self.cfg.regions.get(&listed.domain).cloned();
                    State::new(now, listed, region)
                }
            };
            self.endpoints.push(state);
        }
        // A request may still be at an endpoint that has left the list; it isn't counted
        // for anything any more.
    }

    /// Takes in the evacuated failure domains. Endpoints of one that comes back may have
    /// become cold meanwhile.
    pub fn set_evacuated(&mut self, now: Moment, domains: BTreeSet<FailureDomain>) {
        let back: BTreeSet<_> = self.evacuated.difference(&domains).cloned().collect();
        for endpoint in self
            .endpoints
            .iter_mut()
            .filter(|e| back.contains(&e.domain))
        {
            if let Some(service) = self.services.get(&endpoint.service) {
                endpoint.cold.cold_until(now + service.cold_for);
            }
        }
        self.evacuated = domains;
    }

    /// Takes in how many gateways there are in each failure domain.
    pub fn set_gateways(&mut self, counts: &[(FailureDomain, u32)]) {
        self.gateways = counts.iter().cloned().collect();
    }

    /// Notes a request of a caller.
    pub fn arrived(&mut self, now: Moment, service: &ServiceName) {
        self.budget.first(now, service);
    }

    /// Takes a further attempt out of the budget, if there is one left.
    pub fn may_repeat(&mut self, now: Moment, service: &ServiceName) -> bool {
        let gateways = self.gateways.values().sum::<u32>().max(1);
        self.budget.spend(now, service, gateways)
    }

    /// Decides where a request goes, and counts it as sent there.
    pub fn place(&mut self, now: Moment, req: Request<'_>) -> Decision {
        let object = req.object.map(rank::object);
        let best = self.best_by_region(now, &req, object);
        let Some(chosen) = self.choose(now, &best) else {
            return Decision::Refuse {
                why: Refusal::NoEndpoint,
                retry_after: self.come_back(req.objective),
            };
        };
        if self.is_hopeless(&req, &chosen) {
            let wait = Duration::from_secs_f64(chosen.wait);
            return Decision::Refuse {
                why: Refusal::Overloaded,
                retry_after: self.come_back(wait),
            };
        }
        self.send(now, &req, object, &chosen)
    }

    fn come_back(&self, after: Duration) -> Duration {
        after.clamp(COME_BACK.0, COME_BACK.1)
    }

    /// Whether sending it would only take room from others. With a slot free it is sent
    /// in any case; otherwise a first try must still meet its objective, and one that has
    /// come back its caller's deadline.
    fn is_hopeless(&self, req: &Request<'_>, chosen: &Candidate) -> bool {
        if chosen.wait <= 0.0 {
            return false;
        }
        let patience = if req.returned {
            req.left
        } else {
            req.objective.min(req.left)
        };
        chosen.total > patience.as_secs_f64()
    }

    fn send(
        &mut self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        chosen: &Candidate,
    ) -> Decision {
        let state = &mut self.endpoints[chosen.index];
        state.sent(now, object);
        let service = self.services.get(&state.service);
        let per_s = service.map_or(1.0, |service| service.cold_per_s);
        let region = state.region.clone();
        let sharers = sharers(&self.gateways, &self.cfg.regions, region.as_ref());
        state.cold.sent(now, per_s, sharers);
        let target = Target {
            id: state.id.clone(),
            addr: state.addr,
            expected: Duration::from_secs_f64(chosen.answer),
            known: chosen.known,
            overhead: Duration::from_secs_f64(chosen.way + chosen.wait),
        };
        // A further attempt changes no region's part of callers' requests.
        if let Some(region) = region.filter(|_| req.tried.is_empty()) {
            self.mix.note(now, &region);
        }
        Decision::Send(target)
    }

    /// The cheapest candidate of each region.
    fn best_by_region(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
    ) -> BTreeMap<Region, Candidate> {
        let mut open = self.open(now, req, false);
        if open.is_empty() {
            // Everything that could run it has failed lately. Trying one of those is
            // better than certain failure.
            open = self.open(now, req, true);
        }
        let times = self.times(req);
        let mut best: BTreeMap<Region, Candidate> = BTreeMap::new();
        for (region, indices) in by_region(&self.endpoints, &open) {
            for (place, index) in self.in_order(&indices, object).into_iter().enumerate() {
                let candidate = self.price(now, req, object, &times, place, index);
                let held = best.get(&region);
                if held.is_none_or(|held| candidate.total < held.total) {
                    best.insert(region.clone(), candidate);
                }
            }
        }
        best
    }

    fn open(&self, now: Moment, req: &Request<'_>, paused_too: bool) -> Vec<usize> {
        let open = |e: &State| {
            e.service == *req.service
                && (e.is_usable(now) || (paused_too && e.is_usable(Moment::MAX)))
                && !self.evacuated.contains(&e.domain)
                && !req.tried.contains(&e.id)
                && self.may_run_in(req, e.region.as_ref())
                && self.may_warm(now, e)
        };
        let all = self.endpoints.iter().enumerate();
        all.filter(|(_, e)| open(e)).map(|(i, _)| i).collect()
    }

    fn may_run_in(&self, req: &Request<'_>, region: Option<&Region>) -> bool {
        req.regions.is_empty() || region.is_some_and(|region| req.regions.contains(region))
    }

    fn may_warm(&self, now: Moment, e: &State) -> bool {
        let near = e.region.as_ref() == Some(&self.cfg.region);
        e.cold.is_open(now) && (near || !e.cold.is_cold(now))
    }

    fn times(&self, req: &Request<'_>) -> Times {
        let learned = self.times.get(req.service).copied();
        learned.unwrap_or_else(|| Times::new(req.objective))
    }

    /// Endpoints in the order in which the object prefers them.
    fn in_order(&self, indices: &[usize], object: Option<u64>) -> Vec<usize> {
        let mut order = indices.to_vec();
        if let Some(object) = object {
            let key =
                |i: &usize| std::cmp::Reverse(rank::preference(object, &self.endpoints[*i].id));
            order.sort_by_cached_key(key);
        }
        order
    }

    fn price(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        times: &Times,
        place: usize,
        index: usize,
    ) -> Candidate {
        let e = &self.endpoints[index];
        let sent = object.is_some_and(|object| e.knows(now, object));
        let known = match object {
            Some(_) if sent => 1.0,
            Some(_) => KNOWN_BY_RANK.get(place).copied().unwrap_or(0.0),
            None => 0.0,
        };
        let answer = times.expected(known) * e.slowness;
        let each = times.expected(0.7) * e.slowness;
        let wait = cost::wait(e.load(now), e.slots, each);
        let failing = e.failing * req.objective.as_secs_f64();
        let way = self.way(e);
        let crossing = self.crossing(e, req.large);
        let preference = match object {
            Some(_) => RANK_COST * place as f64,
            // Without an object the emptiest goes first.
            None => RANK_COST * e.load(now),
        };
        Candidate {
            index,
            total: way + crossing + wait + answer + failing + preference,
            wait,
            way,
            answer,
            known: sent,
        }
    }

    /// Seconds that the way there and back takes.
    fn way(&self, e: &State) -> f64 {
        if e.domain == self.cfg.domain {
            0.0
        } else if e.region.as_ref() == Some(&self.cfg.region) {
            NEAR
        } else {
            FAR
        }
    }

    /// What the bytes of a large answer are worth, in seconds.
    fn crossing(&self, e: &State, large: bool) -> f64 {
        if !large || e.domain == self.cfg.domain {
            0.0
        } else if e.region.as_ref() == Some(&self.cfg.region) {
            LARGE_CROSSING
        } else {
            2.0 * LARGE_CROSSING
        }
    }

    fn choose(&self, now: Moment, best: &BTreeMap<Region, Candidate>) -> Option<Candidate> {
        let here = best.get(&self.cfg.region).copied();
        let mut others = best
            .iter()
            .filter(|(region, _)| **region != self.cfg.region);
        let owed = others.find(|(region, _)| self.mix.is_owed(now, region));
        if let Some((_, owed)) = owed {
            return Some(*owed);
        }
        let Some(here) = here else {
            // Nothing of this region may run it: the step protects nobody any more.
            return cheapest(best.values());
        };
        let allowed = |region: &Region| self.mix.leave(now, region) == Leave::Allowed;
        let others = best
            .iter()
            .filter(|(region, c)| **region != self.cfg.region && c.total < here.total);
        let away = cheapest(others.filter(|(region, _)| allowed(region)).map(|(_, c)| c));
        Some(away.unwrap_or(here))
    }

    /// Notes the load that an endpoint has reported with an answer.
    pub fn reported(&mut self, now: Moment, id: &EndpointId, load: Load) {
        if let Some(state) = self.state(id) {
            state.reported(now, load);
        }
    }

    /// Notes that an endpoint says that it is cold for so much longer.
    pub fn is_cold(&mut self, now: Moment, id: &EndpointId, left: Duration) {
        if let Some(state) = self.state(id) {
            state.cold.cold_until(now + left);
        }
    }

    /// Notes how a request that was placed has ended.
    pub fn ended(&mut self, now: Moment, service: &ServiceName, target: &Target, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Served(took) => Outcome::Served(took.saturating_sub(target.overhead)),
            other => other,
        };
        if let Some(state) = self.state(&target.id) {
            state.ended(now, outcome, target.expected);
        }
        if let Outcome::Served(took) = outcome {
            let objective = target.expected;
            let times = self.times.entry(service.clone());
            let times = times.or_insert_with(|| Times::new(objective));
            times.observe(target.known, took);
        }
    }

    fn state(&mut self, id: &EndpointId) -> Option<&mut State> {
        self.endpoints.iter_mut().find(|e| e.id == *id)
    }

    /// Endpoints that may be sent requests of a service at this moment.
    pub fn usable(&self, now: Moment, service: &ServiceName) -> usize {
        let usable = |e: &&State| e.service == *service && e.is_usable(now);
        self.endpoints.iter().filter(usable).count()
    }
}

fn cheapest<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Candidate> {
    candidates
        .min_by(|a, b| a.total.total_cmp(&b.total))
        .copied()
}

fn by_region(endpoints: &[State], open: &[usize]) -> BTreeMap<Region, Vec<usize>> {
    let mut regions: BTreeMap<Region, Vec<usize>> = BTreeMap::new();
    for index in open {
        if let Some(region) = &endpoints[*index].region {
            regions.entry(region.clone()).or_default().push(*index);
        }
    }
    regions
}

/// How many gateways share the cold endpoints of a region: all of that region.
fn sharers(
    gateways: &BTreeMap<FailureDomain, u32>,
    regions: &BTreeMap<FailureDomain, Region>,
    region: Option<&Region>,
) -> u32 {
    let there = gateways
        .iter()
        .filter(|(domain, _)| regions.get(*domain) == region);
    let sum: u32 = there.map(|(_, count)| *count).sum();
    if sum == 0 { UNTOLD_GATEWAYS } else { sum }
}
