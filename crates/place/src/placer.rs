//! The placer: what a gateway knows of all endpoints, and the decision.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{Demand, Endpoint};
use filberthead_route::{Service, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::cost::{self, Acquaintance, Times};
use crate::endpoint::State;
use crate::mix::{Leave, Mix};
use crate::plan::{self, Plan, Slots};
use crate::{Budget, BudgetConfig, EndpointId, Load, Outcome, rank};

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
/// Width of the edge between two parts of a plan, within which objects are divided.
const EDGE: f64 = 0.05;
/// Time over which demand is averaged: several reports, and well below the time in which
/// demand changes by itself.
const DEMAND_OVER: Duration = Duration::from_secs(2);
/// Utilisation of a region's endpoints below which a slot is worth nothing to others, and
/// above which it is worth the most.
const HALF: f64 = 0.5;
const FULL: f64 = 1.05;
/// The most that a second of a slot counts.
const MAX_PRESSURE: f64 = 4.0;
/// Callers that come this soon after a gateway knows endpoints were there before it.
const JOINED_WITHIN: Duration = Duration::from_secs(3);
/// Time after which all gateways that have started together are counted: two reports.
const COUNTED_AFTER: Duration = Duration::from_millis(1000);
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
    /// How it stands to the object.
    pub known: Acquaintance,
    /// Whether it concerns an object.
    pub concerns_object: bool,
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
    known: Acquaintance,
}

/// How far a gateway is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No caller has come yet: whatever the plan says moves nothing.
    Waiting,
    /// Callers were there already when it started, and not all gateways are counted yet.
    Beginning,
    /// It has just joined gateways that serve, or all have started anew: it takes up the
    /// plan that demand asks for, as the others have it.
    Joining,
    /// Callers have just begun to come to all gateways; demand isn't summed up yet.
    Settling,
    /// It follows demand in bounded steps.
    Running,
}

impl Stage {
    /// This stage while `holds`, and the last one afterwards.
    fn until(self, holds: bool) -> Self {
        if holds { self } else { Self::Running }
    }
}

/// What a gateway knows of endpoints.
#[derive(Clone, Debug)]
pub struct Placer {
    cfg: Config,
    endpoints: Vec<State>,
    services: HashMap<ServiceName, Service>,
    times: HashMap<ServiceName, Times>,
    plans: HashMap<ServiceName, Plan>,
    /// What gateways of each region were asked to carry, as control sums it up.
    demand: BTreeMap<ServiceName, Slots>,
    /// What this gateway was asked to carry since the last report.
    own_demand: HashMap<ServiceName, OwnDemand>,
    /// When endpoints were first known.
    informed: Option<Moment>,
    /// Whether others were serving when this gateway first heard of them.
    found_callers: Option<bool>,
    /// When callers first came.
    first_arrival: Option<Moment>,
    /// Turns of requests that concern no object.
    turns: u64,
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
            plans: HashMap::new(),
            demand: BTreeMap::new(),
            own_demand: HashMap::new(),
            informed: None,
            found_callers: None,
            first_arrival: None,
            turns: 0,
            evacuated: BTreeSet::new(),
            gateways: BTreeMap::new(),
            mix: Mix::new(cfg.max_shift),
            budget: Budget::new(cfg.budget),
            cfg,
        }
    }

    /// Takes in the routes in force. What is known of services that stay stays.
    pub fn set_routes(&mut self, table: &Table) {
        let services = table.services.iter();
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        self.times
            .retain(|service, _| self.services.contains_key(service));
        for (service, objective) in objectives(table) {
            let times = self.times.entry(service.clone());
            times.or_insert_with(|| Times::new(objective));
        }
    }

    /// Takes in the platform's list. What is known of endpoints that are still on it stays.
    pub fn set_endpoints(&mut self, now: Moment, list: Vec<Endpoint>) {
        self.informed.get_or_insert(now);
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

    /// Takes in what the gateways of each region were asked to carry, in thousandths of
    /// busy slots.
    pub fn set_demand(&mut self, demand: &[(Region, ServiceName, u32)]) {
        self.found_callers.get_or_insert(!demand.is_empty());
        self.demand.clear();
        for (region, service, busy_milli) in demand {
            let slots = self.demand.entry(service.clone()).or_default();
            *slots.entry(region.clone()).or_default() += f64::from(*busy_milli) / 1000.0;
        }
    }

    /// Notes a request of a caller.
    pub fn arrived(&mut self, now: Moment, service: &ServiceName) {
        self.budget.first(now, service);
        self.first_arrival.get_or_insert(now);
        if !self.own_demand.contains_key(service) {
            self.own_demand
                .insert(service.clone(), OwnDemand::default());
        }
        if let Some(own) = self.own_demand.get_mut(service) {
            own.since += 1;
        }
    }

    /// What this gateway was asked to carry lately, for its report.
    pub fn demand(&mut self, now: Moment) -> Vec<Demand> {
        let times = &self.times;
        let of = |(service, own): (&ServiceName, &mut OwnDemand)| {
            let per_s = own.take(now);
            let quick = times.get(service).map(Times::quick)?;
            Some(Demand {
                service: service.clone(),
                busy_milli: (per_s * quick * 1000.0).round() as u32,
            })
        };
        self.own_demand.iter_mut().filter_map(of).collect()
    }

    /// Moves the plan of each service towards what demand and capacity ask for.
    pub fn plan(&mut self, now: Moment) {
        let mut gateways: BTreeMap<Region, u32> = BTreeMap::new();
        for (domain, count) in &self.gateways {
            if let Some(region) = self.cfg.regions.get(domain) {
                *gateways.entry(region.clone()).or_default() += count;
            }
        }
        let stage = self.stage(now);
        let own = &self.cfg.region;
        for service in self.services.keys() {
            let capacity = self.capacity(now, service);
            if capacity.is_empty() {
                continue;
            }
            let plan = self.plans.entry(service.clone()).or_default();
            let told = self.demand.get(service).filter(|demand| !demand.is_empty());
            match (stage, told) {
                (Stage::Waiting, None) | (Stage::Beginning, _) => {
                    let demand = plan::assumed(&gateways, &capacity);
                    plan.begin(now, plan::aim(own, &demand, &capacity));
                }
                (Stage::Waiting | Stage::Joining, Some(demand)) => {
                    plan.begin(now, plan::aim(own, demand, &capacity));
                }
                (Stage::Running, Some(demand)) => {
                    let aim = plan::aim(own, demand, &capacity);
                    plan.update(now, self.cfg.max_shift, own, &aim);
                }
                (Stage::Joining | Stage::Settling | Stage::Running, _) => plan.hold(now),
            }
        }
    }

    /// How far this gateway is in its life, as plans go.
    fn stage(&self, now: Moment) -> Stage {
        let Some(first) = self.first_arrival else {
            return Stage::Waiting;
        };
        let informed = self.informed.unwrap_or(first);
        if self.found_callers == Some(true) {
            return Stage::Joining.until(now < first + 3 * DEMAND_OVER);
        }
        let joined = first < informed + JOINED_WITHIN;
        let age = now.saturating_sub(first);
        if age < COUNTED_AFTER && joined {
            Stage::Beginning
        } else if age < 3 * DEMAND_OVER && joined {
            Stage::Joining
        } else if age < 2 * DEMAND_OVER {
            Stage::Settling
        } else {
            Stage::Running
        }
    }

    /// Slots of a service in each region that requests may be sent to.
    fn capacity(&self, now: Moment, service: &ServiceName) -> Slots {
        let mut capacity = Slots::new();
        for e in self.endpoints.iter().filter(|e| e.service == *service) {
            let there = e.is_usable(now) && !self.evacuated.contains(&e.domain);
            if let Some(region) = e.region.as_ref().filter(|_| there) {
                *capacity.entry(region.clone()).or_default() += f64::from(e.slots);
            }
        }
        capacity
    }

    /// Takes a further attempt out of the budget, if there is one left.
    pub fn may_repeat(&mut self, now: Moment, service: &ServiceName) -> bool {
        let gateways = self.gateways.values().sum::<u32>().max(1);
        self.budget.spend(now, service, gateways)
    }

    /// Decides where a request goes, and counts it as sent there.
    pub fn place(&mut self, now: Moment, req: Request<'_>) -> Decision {
        let object = req.object.map(rank::object);
        let planned = self.planned(&req, object);
        let best = self.best_by_region(now, &req, object, planned.as_ref());
        let Some(chosen) = self.choose(now, &req, planned.as_ref(), &best) else {
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

    /// The region where the object lives, or whose turn it is.
    fn planned(&mut self, req: &Request<'_>, object: Option<u64>) -> Option<Region> {
        // A large answer takes many round trips and many bytes between regions.
        if req.large {
            return None;
        }
        let plan = self.plans.get(req.service)?;
        self.turns += 1;
        let turn = rank::place(rank::turn(self.turns));
        let place = match object {
            // Requests for an object near the edge of a part are divided, so that a few
            // objects that stand close together don't move at the same moment.
            Some(object) => (rank::place(object) + EDGE * (turn - 0.5)).clamp(0.0, 1.0),
            None => turn,
        };
        plan.region(place).cloned()
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
        chosen.way + chosen.wait + chosen.answer > patience.as_secs_f64()
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
            concerns_object: object.is_some(),
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
        planned: Option<&Region>,
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
            // Where all gateways of this region send the object.
            let shared = region == self.cfg.region || Some(&region) == planned;
            let pressure = self.pressure(now, &indices);
            for (place, index) in self.in_order(&indices, object).into_iter().enumerate() {
                let candidate = self.price(
                    now,
                    req,
                    object,
                    &times,
                    shared.then_some(place),
                    (index, pressure),
                );
                let held = best.get(&region);
                if held.is_none_or(|held| candidate.total < held.total) {
                    best.insert(region.clone(), candidate);
                }
            }
        }
        best
    }

    /// What a second of a slot is worth to others: nothing while half of the slots are
    /// free, and several seconds of waiting when all are taken. Under pressure objects stay
    /// where they are known; if they moved to wherever a slot is free, each would cost
    /// several times the work, and a short surge would become a lasting overload.
    fn pressure(&self, now: Moment, indices: &[usize]) -> f64 {
        let endpoints = indices.iter().map(|index| &self.endpoints[*index]);
        let (load, slots) = endpoints.fold((0.0, 0.0), |(load, slots), e| {
            (load + e.load(now), slots + f64::from(e.slots))
        });
        let busy: f64 = load / f64::max(slots, 1.0);
        if busy >= FULL {
            return MAX_PRESSURE;
        }
        ((busy - HALF).max(0.0) / (FULL - busy)).min(MAX_PRESSURE)
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
        // Its route has just gone.
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
        place: Option<usize>,
        (index, pressure): (usize, f64),
    ) -> Candidate {
        let e = &self.endpoints[index];
        let known = match (object, place) {
            (Some(object), _) if e.knows(now, object) => Acquaintance::Sent,
            (Some(_), Some(place)) => Acquaintance::Perhaps(place),
            _ => Acquaintance::Stranger,
        };
        let answer = times.expected(known) * e.slowness(now);
        // An object settles where all gateways will send it: its first request there is
        // slow, and all later ones are quick. Without this an endpoint that has just come
        // would get nothing as long as the others have room.
        let settles = place == Some(0) && e.load(now) < f64::from(e.slots);
        let settled = if settles {
            times.quick() * e.slowness(now)
        } else {
            answer
        };
        // What others wait longer for, if this one keeps a slot busy to learn the object.
        let learning = (answer - times.quick() * e.slowness(now)).max(0.0);
        let weighed = settled + pressure * learning;
        let each = times.expected(Acquaintance::Perhaps(0)) * e.slowness(now);
        let wait = cost::wait(e.load(now), e.slots, each);
        let failing = e.failing(now) * req.objective.as_secs_f64();
        let way = self.way(e);
        let crossing = self.crossing(e, req.large);
        let preference = match object {
            Some(_) => RANK_COST * place.unwrap_or(0) as f64,
            // Without an object the emptiest goes first.
            None => RANK_COST * e.load(now),
        };
        Candidate {
            index,
            total: way + crossing + wait + weighed + failing + preference,
            wait,
            way,
            answer,
            known,
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

    fn choose(
        &self,
        now: Moment,
        req: &Request<'_>,
        planned: Option<&Region>,
        best: &BTreeMap<Region, Candidate>,
    ) -> Option<Candidate> {
        let here = best.get(&self.cfg.region).copied();
        let planned = planned.and_then(|region| best.get(region)).copied();
        if let Some(planned) = planned.filter(|planned| self.is_worth_it(req, planned)) {
            return Some(planned);
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

    /// Whether a request goes where its object lives: as soon as the object is known
    /// there, the answer will be in time.
    fn is_worth_it(&self, req: &Request<'_>, planned: &Candidate) -> bool {
        let quick = self.times(req).quick();
        planned.way + planned.wait + quick <= req.objective.min(req.left).as_secs_f64()
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
        if let Outcome::Served(took) = outcome
            && let Some(times) = self.times.get_mut(service)
        {
            times.observe(target.known, target.concerns_object, took);
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

/// Requests of a service at this gateway.
#[derive(Clone, Copy, Debug, Default)]
struct OwnDemand {
    since: u32,
    per_s: f64,
    at: Moment,
}

impl OwnDemand {
    /// Requests a second, averaged; counts anew from now.
    fn take(&mut self, now: Moment) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let weight = (passed / DEMAND_OVER.as_secs_f64()).min(1.0);
        let per_s = f64::from(self.since) / passed.max(0.001);
        self.per_s += weight * (per_s - self.per_s);
        self.since = 0;
        self.at = now;
        self.per_s
    }
}

/// The shortest objective of each service's routes: routes that hardly anybody uses may
/// name any, and would set a wrong beginning.
fn objectives(table: &Table) -> HashMap<&ServiceName, Duration> {
    let mut shortest = HashMap::new();
    for route in &table.routes {
        for target in &route.targets {
            let held = shortest.entry(&target.service).or_insert(route.objective);
            *held = route.objective.min(*held);
        }
    }
    shortest
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

/// What a placer believes of a service, for logs.
#[derive(Clone, Debug)]
pub struct Belief {
    /// The service.
    pub service: ServiceName,
    /// Time of an answer where the object is known, and where it isn't.
    pub times: (Duration, Duration),
    /// Parts of its requests that run in other regions.
    pub away: BTreeMap<Region, f64>,
    /// Busy slots that each region is asked for, as told.
    pub demand: BTreeMap<Region, f64>,
    /// Slots that each region has.
    pub capacity: BTreeMap<Region, f64>,
}

impl Placer {
    /// What is believed of each service of the routes.
    pub fn beliefs(&self, now: Moment) -> Vec<Belief> {
        let belief = |service: &ServiceName| Belief {
            service: service.clone(),
            times: self.times.get(service).map(Times::both).unwrap_or_default(),
            away: self.plans.get(service).map(Plan::parts).unwrap_or_default(),
            demand: self.demand.get(service).cloned().unwrap_or_default(),
            capacity: self.capacity(now, service),
        };
        self.services.keys().map(belief).collect()
    }
}
