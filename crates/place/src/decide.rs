//! The decision: which endpoint a request goes to, or that it goes to none.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::cold::ColdShare;
use crate::cost::{self, Affinity, ResponseTimes};
use crate::endpoint::TrackedEndpoint;
use crate::plan::SHIFT_FRACTION;
use crate::shift::RegionShares;
use crate::{Decision, Mechanism, Placer, Refusal, Request, Target, rank};

/// Cost in seconds of each further place in the order, between endpoints that are alike
/// otherwise: less than any difference that a caller would notice.
const RANK_COST: f64 = 0.0005;
/// Cost of crossing to another failure domain for a large answer, in seconds: what a slot
/// must be worth before a download leaves its failure domain.
const LARGE_CROSSING: f64 = 0.05;
/// Way to another failure domain of the region and back, in seconds: regions are places
/// that such a way is short in.
const NEAR: f64 = 0.003;
/// Way to another region and back, in seconds, until answers from there have been seen: a
/// usual distance on a continent.
pub(crate) const FAR: f64 = 0.06;
/// Width of the edge between two parts of a plan, within which objects are divided.
const EDGE: f64 = 0.05;
/// Utilisation of a region's endpoints below which a slot is worth nothing to others, and
/// above which it is worth the most.
const HALF: f64 = 0.5;
const FULL: f64 = 1.05;
/// The most that a second of a slot counts.
const MAX_PRESSURE: f64 = 4.0;
/// Gateways that share a cold endpoint as long as nobody has said how many there are.
const UNTOLD_GATEWAYS: u32 = 4;
/// Shortest and longest time that a refused caller is told to stay away.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(60), Duration::from_secs(2));

/// A candidate and its price in seconds.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    total: f64,
    wait: f64,
    way: f64,
    answer: f64,
    affinity: Affinity,
}

/// How the endpoints of a region are on the whole.
#[derive(Clone, Copy)]
struct Around {
    /// What a second of a slot is worth to others.
    pressure: f64,
    /// Part of requests that end badly. Only what an endpoint fails beyond it speaks against
    /// it: where all refuse a part of their requests, leaving one for another gains nothing,
    /// and the object has to be learned there.
    failing: f64,
}

impl Placer {
    /// Decides where a request goes, and counts it as sent there.
    pub fn place(&mut self, now: Moment, req: Request<'_>) -> Decision {
        self.turns = self.turns.wrapping_add(1);
        let object = self.object(&req);
        let planned = self.planned(&req, object);
        let best = self.best_by_region(now, &req, object, planned.as_ref());
        let is_kept = planned.as_ref().is_some_and(|r| !self.may_decrease(&req, r));
        let Some(chosen) = self.choose(&req, planned.as_ref(), &best, is_kept) else {
            return Decision::Refuse {
                reason: Refusal::NoEndpoint,
                retry_after: self.come_back(req.objective),
            };
        };
        if self.is_hopeless(&req, &chosen, is_kept) {
            let wait = Duration::from_secs_f64(chosen.wait);
            return Decision::Refuse {
                reason: Refusal::Overloaded,
                retry_after: self.come_back(wait),
            };
        }
        self.record_region(now, req.service, &chosen);
        self.send(now, object, &chosen)
    }

    /// Whether fewer requests may run in this region than did.
    fn may_decrease(&self, req: &Request<'_>, region: &Region) -> bool {
        let shares = self.region_shares.get(req.service);
        shares.is_none_or(|shares| shares.may_decrease(region))
    }

    fn record_region(&mut self, now: Moment, service: &ServiceName, chosen: &Candidate) {
        let Some(region) = &self.endpoints[chosen.index].region else {
            return;
        };
        if !self.region_shares.contains_key(service) {
            self.region_shares.insert(service.clone(), RegionShares::default());
        }
        if let Some(shares) = self.region_shares.get_mut(service) {
            shares.record_sent(now, region, SHIFT_FRACTION * self.cfg.max_shift);
        }
    }

    fn object(&self, req: &Request<'_>) -> Option<u64> {
        let object = req.object.filter(|_| self.cfg.uses(Mechanism::Objects))?;
        if self.cfg.uses(Mechanism::Routes) {
            Some(rank::hash_object(object))
        } else {
            Some(rank::hash_name(object.name))
        }
    }

    /// The region where the object lives, or whose turn it is.
    fn planned(&mut self, req: &Request<'_>, object: Option<u64>) -> Option<Region> {
        // A large answer takes many round trips and many bytes between regions.
        if req.large || !self.cfg.uses(Mechanism::Plan) {
            return None;
        }
        let plan = self.plans.get(req.service)?;
        let turn = rank::unit_position(rank::spread_sequence(self.turns));
        let place = match object {
            // Requests for an object near the edge of a part are divided, so that a few
            // objects that stand close together don't move at the same moment.
            Some(object) => (rank::unit_position(object) + EDGE * (turn - 0.5)).clamp(0.0, 1.0),
            None => turn,
        };
        plan.region_at(place).cloned()
    }

    fn come_back(&self, after: Duration) -> Duration {
        after.clamp(COME_BACK.0, COME_BACK.1)
    }

    /// Whether sending it would only take room from others. With a slot free it is sent
    /// in any case; otherwise a first try must still meet its objective, and one that has
    /// come back, or is kept where the plan has it, its caller's deadline.
    fn is_hopeless(&self, req: &Request<'_>, chosen: &Candidate, is_kept: bool) -> bool {
        if chosen.wait <= 0.0 || !self.cfg.uses(Mechanism::Refusing) {
            return false;
        }
        let has_returned = req.is_caller_retry && self.cfg.uses(Mechanism::Patience);
        let patience = if has_returned || is_kept {
            req.remaining
        } else {
            req.objective.min(req.remaining)
        };
        chosen.way + chosen.wait + chosen.answer > patience.as_secs_f64()
    }

    fn send(&mut self, now: Moment, object: Option<u64>, chosen: &Candidate) -> Decision {
        let share = self.cold_share(&self.endpoints[chosen.index]);
        let state = &mut self.endpoints[chosen.index];
        state.record_sent(
            now,
            object,
            Duration::from_secs_f64(chosen.answer + chosen.wait),
        );
        state.cold.record_sent(now, share);
        let target = Target {
            id: state.id.clone(),
            incarnation: state.incarnation,
            addr: state.addr,
            expected: Duration::from_secs_f64(chosen.answer),
            affinity: chosen.affinity,
            has_object: object.is_some(),
            rtt: Duration::from_secs_f64(chosen.way),
            overhead: Duration::from_secs_f64(chosen.way + chosen.wait),
        };
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
        let times = self.response_times(req);
        // Requests that concern no object go round, or all gateways would send them to the
        // first of the idle endpoints on the list.
        let key = object.unwrap_or_else(|| rank::spread_sequence(self.turns));
        let mut best: BTreeMap<Region, Candidate> = BTreeMap::new();
        for (region, indices) in by_region(&self.endpoints, &open) {
            // Where all gateways of this region send the object.
            let is_shared = region == self.cfg.region || Some(&region) == planned;
            let is_ordered = is_shared && object.is_some();
            let state = Around {
                pressure: self.pressure(now, &indices),
                failing: self.failing(now, &indices),
            };
            let order = self.in_order(&indices, key, req.large);
            let count = order.len() as f64;
            for (place, index) in order.into_iter().enumerate() {
                let candidate = self.price(
                    now,
                    req,
                    object,
                    &times,
                    is_ordered.then_some(place),
                    (index, state),
                );
                // The emptiest goes first, and of those that are alike whichever it is the
                // turn of, or one that has failed once would be avoided for good.
                let turn = match object {
                    Some(_) => 0.0,
                    None => RANK_COST * place as f64 / count,
                };
                let total = candidate.total + turn;
                let candidate = Candidate { total, ..candidate };
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
        if !self.cfg.uses(Mechanism::Pressure) {
            return 0.0;
        }
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

    fn failing(&self, now: Moment, indices: &[usize]) -> f64 {
        if !self.cfg.uses(Mechanism::SharedFailing) {
            return 0.0;
        }
        let all = indices
            .iter()
            .map(|index| self.endpoints[*index].failure_rate(now));
        all.sum::<f64>() / indices.len().max(1) as f64
    }

    fn open(&self, now: Moment, req: &Request<'_>, paused_too: bool) -> Vec<usize> {
        let open = |e: &TrackedEndpoint| {
            e.service == *req.service
                && (e.is_usable(now) || (paused_too && e.is_usable(Moment::MAX)))
                && !self.evacuated.contains(&e.domain)
                && !req.excluded.contains(&e.id)
                && self.may_run_in(req, e.region.as_ref())
                && self.may_warm(now, e)
        };
        let all = self.endpoints.iter().enumerate();
        all.filter(|(_, e)| open(e)).map(|(i, _)| i).collect()
    }

    fn may_run_in(&self, req: &Request<'_>, region: Option<&Region>) -> bool {
        req.regions.is_empty() || region.is_some_and(|region| req.regions.contains(region))
    }

    fn may_warm(&self, now: Moment, e: &TrackedEndpoint) -> bool {
        let near = e.region.as_ref() == Some(&self.cfg.region);
        !e.cold.is_cold(now) || (near && e.cold.is_open(now, self.cold_share(e)))
    }

    /// This gateway's part of what an endpoint bears while it is cold.
    fn cold_share(&self, e: &TrackedEndpoint) -> ColdShare {
        let service = self.services.get(&e.service);
        let per_s = service.map_or(1.0, |service| service.cold_per_s);
        let sharers = sharers(&self.gateways, &self.cfg.regions, e.region.as_ref());
        let own = rank::hash_name(self.cfg.gateway.as_str().as_bytes());
        let phase = rank::unit_position(rank::score(own, &e.id));
        ColdShare::new(per_s, sharers, phase)
    }

    fn response_times(&self, req: &Request<'_>) -> ResponseTimes {
        let learned = self.response_times.get(req.service).copied();
        // Its route has just gone.
        learned.unwrap_or_else(|| ResponseTimes::new(req.objective))
    }

    /// Endpoints in the order in which an object prefers them, or whatever the key stands for.
    /// For a large answer those of this failure domain come first: its callers connect here,
    /// and each answer from elsewhere takes its bytes between failure domains.
    fn in_order(&self, indices: &[usize], key: u64, large: bool) -> Vec<usize> {
        let mut order = indices.to_vec();
        let preference = |i: &usize| {
            let e = &self.endpoints[*i];
            let is_near = large && e.domain == self.cfg.domain;
            std::cmp::Reverse((is_near, rank::score(key, &e.id)))
        };
        order.sort_by_cached_key(preference);
        order
    }

    fn price(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        times: &ResponseTimes,
        place: Option<usize>,
        (index, around): (usize, Around),
    ) -> Candidate {
        let e = &self.endpoints[index];
        let affinity = match (object, place) {
            (Some(object), _) if e.was_recently_sent(now, object) => Affinity::Sent,
            (Some(_), Some(place)) => Affinity::Perhaps(place),
            _ => Affinity::Stranger,
        };
        let load = e.load(now);
        let slowness = match self.cfg.uses(Mechanism::Slowness) {
            true => e.slowness(now),
            false => 1.0,
        };
        let answer = times.expected(affinity) * slowness;
        let cached = times.cached() * slowness;
        // An object settles where all gateways will send it: its first request there is
        // slow, and all later ones are quick. Without this an endpoint that has just come
        // would get nothing as long as the others have room.
        let settles =
            place == Some(0) && load < f64::from(e.slots) && self.cfg.uses(Mechanism::Settling);
        let settled = if settles { cached } else { answer };
        // What others wait longer for, if this one keeps a slot busy to learn the object.
        let learning = (answer - cached).max(0.0);
        let weighed = settled + around.pressure * learning;
        let each = times.expected(Affinity::Perhaps(0)) * slowness;
        let wait = cost::slot_wait(load, e.slots, each);
        let failing = match self.cfg.uses(Mechanism::Failing) {
            true => (e.failure_rate(now) - around.failing).max(0.0) * req.objective.as_secs_f64(),
            false => 0.0,
        };
        let way = self.way(e);
        let crossing = self.crossing(e, req.large);
        let preference = match object {
            Some(_) => RANK_COST * place.unwrap_or(0) as f64,
            // Without an object the emptiest goes first.
            None => RANK_COST * load,
        };
        Candidate {
            index,
            total: way + crossing + wait + weighed + failing + preference,
            wait,
            way,
            answer,
            affinity,
        }
    }

    /// Seconds that the way there and back takes.
    fn way(&self, e: &TrackedEndpoint) -> f64 {
        if e.domain == self.cfg.domain {
            0.0
        } else if e.region.as_ref() == Some(&self.cfg.region) {
            NEAR
        } else {
            let learned = e.region.as_ref().and_then(|region| self.ways.get(region));
            learned.copied().unwrap_or(FAR)
        }
    }

    /// What the bytes of a large answer are worth, in seconds.
    fn crossing(&self, e: &TrackedEndpoint, large: bool) -> f64 {
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
        req: &Request<'_>,
        planned: Option<&Region>,
        best: &BTreeMap<Region, Candidate>,
        is_kept: bool,
    ) -> Option<Candidate> {
        let here = best.get(&self.cfg.region).copied();
        let planned = planned.and_then(|region| best.get(region)).copied();
        let goes = |planned: &Candidate| is_kept || self.is_worth_it(req, planned);
        if let Some(planned) = planned.filter(goes) {
            return Some(planned);
        }
        // Whatever the plan leaves here stays here, also where another region seems to have
        // room: nobody there knows its object, so it takes three times the work, and under an
        // overload of all regions each would send its own to the others. Only if nothing of
        // this region may run it any other region is better than none.
        here.or_else(|| cheapest(best.values()))
    }

    /// Whether a request goes where its object lives: as soon as the object is affinity
    /// there, the answer will be in time.
    fn is_worth_it(&self, req: &Request<'_>, planned: &Candidate) -> bool {
        let cached = self.response_times(req).cached();
        planned.way + planned.wait + cached <= req.objective.min(req.remaining).as_secs_f64()
    }
}

fn cheapest<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Candidate> {
    candidates
        .min_by(|a, b| a.total.total_cmp(&b.total))
        .copied()
}

fn by_region(endpoints: &[TrackedEndpoint], open: &[usize]) -> BTreeMap<Region, Vec<usize>> {
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
