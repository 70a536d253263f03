//! The decision which endpoint a request is sent to, if any.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, Region, ServiceName};

use crate::cold::ColdShare;
use crate::contact::ContactState;
use crate::cost::{self, Affinity, ResponseTimes};
use crate::endpoint::TrackedEndpoint;
use crate::limit_parts::LimitPart;
use crate::plan::SHIFT_FRACTION;
use crate::route_times::ServiceTimes;
use crate::shift::RegionShares;
use crate::{
    Decision, Expected, Mechanism, PassedOver, Placer, Refusal, Request, RouteKey, Target, rank,
};

/// Cost in seconds of each further rank in the order, between endpoints that are otherwise
/// alike: less than any difference that a caller would notice.
const RANK_COST: f64 = 0.0005;
/// Cost in seconds of sending a large response to another failure domain: the time that has to
/// be saved before a download leaves its failure domain.
const LARGE_CROSSING_COST: f64 = 0.05;
/// Assumed round trip to another failure domain of the region, in seconds. It is short, so
/// observations don't replace it.
const INTRA_REGION_RTT: f64 = 0.003;
/// Round trip to another region in seconds until it was observed: a usual distance on a
/// continent.
pub(crate) const DEFAULT_INTER_REGION_RTT: f64 = 0.06;
/// Width of the range between two shares of a plan within which requests for one object are
/// divided between both.
const EDGE_WIDTH: f64 = 0.05;
/// Utilisation of a region's endpoints below which the time of a slot costs nothing, and above
/// which it costs `MAX_PRESSURE`.
const MIN_UTILISATION: f64 = 0.5;
const MAX_UTILISATION: f64 = 1.05;
/// Upper limit of the cost of a second of a slot, in seconds.
const MAX_PRESSURE: f64 = 4.0;
/// Gateways that share a cold endpoint until their number was reported.
const DEFAULT_GATEWAY_COUNT: u32 = 4;
/// Shortest and longest time after which a rejected caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_secs(2));

/// An endpoint that a request may be sent to, and its cost. Times are in seconds.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    cost: f64,
    wait: f64,
    rtt: f64,
    response_time: f64,
    /// The response time at the usual speed of the endpoint's VM.
    usual: f64,
    affinity: Affinity,
}

/// Which endpoints a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// Those that haven't failed recently, in failure domains with contact.
    InReach,
    /// Those that have failed recently too: trying one of them is better than certain failure.
    LastResort,
    /// As in reach, whether their limits allow another request or not.
    BeyondLimit,
    /// Those that accept requests and can't be reached by this gateway. Slow ones don't count: another
    /// gateway would fare no better with them.
    OutOfReach,
}

/// Means over the endpoints of a region.
#[derive(Clone, Copy)]
struct RegionState {
    /// Cost of a second of a slot for other requests, in seconds.
    pressure: f64,
    /// Share of requests that fail. Only an endpoint's failures beyond it count against it:
    /// where all endpoints reject a part of their requests, moving to another one gains
    /// nothing, and the object has to be loaded there.
    failure_rate: f64,
}

impl Placer {
    /// Decides where a request is sent, and counts it as sent there. If every endpoint that may run
    /// it has failed recently, one of those is tried.
    pub fn place(&mut self, now: Moment, req: Request<'_>) -> Decision {
        match self.place_in_reach(now, req) {
            Decision::Refuse {
                reason: Refusal::OutOfReach | Refusal::NoEndpoint,
                ..
            } => self.place_among(now, req, Eligibility::LastResort),
            decision => decision,
        }
    }

    /// Like [`place`](Self::place), but among endpoints that haven't failed recently.
    pub fn place_in_reach(&mut self, now: Moment, req: Request<'_>) -> Decision {
        self.place_among(now, req, Eligibility::InReach)
    }

    fn place_among(&mut self, now: Moment, req: Request<'_>, eligibility: Eligibility) -> Decision {
        self.request_counter = self.request_counter.wrapping_add(1);
        let object = self.object_key(&req);
        let planned = self.planned_region(&req, object);
        // Objects that the plan places elsewhere take no memory here.
        if planned.is_none() {
            self.record_object(now, &req, object);
        }
        // Those that waited for a place were counted before.
        if !self.contention_control() {
            self.record_planned(now, &req, planned.as_ref());
        }
        let (planned, is_pinned) = self.bounded(&req, planned);
        let best = self.best(now, &req, object, planned.as_ref(), eligibility);
        let Some(chosen) = self.choose(&req, planned.as_ref(), &best, is_pinned) else {
            return self.refuse_for_none(now, &req, eligibility);
        };
        if self.is_too_late(&req, &chosen, is_pinned) {
            let wait = Duration::from_secs_f64(chosen.wait);
            return Decision::Refuse {
                reason: Refusal::Overloaded,
                retry_after: self.clamp_retry_after(wait),
            };
        }
        self.record_region(now, req.service, &chosen);
        let passed_over = self.passed_over(now, &req);
        let target = self.send(now, req.route, object, &chosen);
        Decision::Send(Target {
            passed_over,
            ..target
        })
    }

    /// Whether the share of requests that run in this region may decrease. If not, requests that
    /// the plan places there are pinned to it.
    fn may_decrease(&self, req: &Request<'_>, region: &Region) -> bool {
        let shares = self.region_shares.get(req.service);
        shares.is_none_or(|shares| shares.may_decrease(region))
    }

    /// The region that a request is to run in, if the share of those that run there may change so, and whether
    /// it is pinned to it.
    pub(crate) fn bounded(
        &self,
        req: &Request<'_>,
        planned: Option<Region>,
    ) -> (Option<Region>, bool) {
        let is_pinned = planned
            .as_ref()
            .is_some_and(|region| !self.may_decrease(req, region));
        let planned = planned.filter(|_| is_pinned || self.may_grow_elsewhere(req));
        (planned, is_pinned)
    }

    /// Whether the share of requests that run in other regions may grow. While this region rejects many,
    /// it would without a change of the plan.
    fn may_grow_elsewhere(&self, req: &Request<'_>) -> bool {
        let shares = self.region_shares.get(req.service);
        shares.is_none_or(|shares| shares.may_grow_elsewhere(&self.cfg.region, self.cfg.max_shift))
    }

    /// Counts a request for the share of those that the plan has in other regions.
    pub(crate) fn record_planned(
        &mut self,
        now: Moment,
        req: &Request<'_>,
        planned: Option<&Region>,
    ) {
        if !self.region_shares.contains_key(req.service) {
            self.region_shares
                .insert(req.service.clone(), RegionShares::default());
        }
        if let Some(shares) = self.region_shares.get_mut(req.service) {
            let max_change = SHIFT_FRACTION * self.cfg.max_shift;
            shares.record_planned(now, planned.is_some(), max_change);
        }
    }

    /// Counts a request for the share of the region that it is sent to.
    fn record_region(&mut self, now: Moment, service: &ServiceName, chosen: &Candidate) {
        let Some(region) = &self.endpoints[chosen.index].region else {
            return;
        };
        if let Some(shares) = self.region_shares.get_mut(service) {
            shares.record_sent(now, region, SHIFT_FRACTION * self.cfg.max_shift);
        }
    }

    /// Hash of the request's object; `None` if it has none.
    pub(crate) fn object_key(&self, req: &Request<'_>) -> Option<u64> {
        let object = req.object.filter(|_| self.cfg.uses(Mechanism::Objects))?;
        if self.cfg.uses(Mechanism::Routes) {
            Some(rank::hash_object(object))
        } else {
            Some(rank::hash_name(object.name))
        }
    }

    /// The region that the plan places the request in; `None` is the gateway's own region.
    pub(crate) fn planned_region(&self, req: &Request<'_>, object: Option<u64>) -> Option<Region> {
        // A large response takes many round trips and many bytes between regions.
        if req.large || !self.cfg.uses(Mechanism::Plan) {
            return None;
        }
        let plan = self.plans.get(req.service)?;
        let fraction = rank::unit_position(rank::spread_sequence(self.request_counter));
        let position = match object {
            // Requests for an object near the boundary between two shares are divided between
            // both, so that a few objects with adjacent positions don't move at the same
            // moment.
            Some(object) => {
                (rank::unit_position(object) + EDGE_WIDTH * (fraction - 0.5)).clamp(0.0, 1.0)
            }
            None => fraction,
        };
        plan.region_at(position).cloned()
    }

    fn clamp_retry_after(&self, after: Duration) -> Duration {
        after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    /// Whether sending the request would only take capacity from others. With a free slot it
    /// is always sent. Otherwise a first attempt has to meet its objective; a caller's retry,
    /// or a request that is pinned to its planned region, only its caller's deadline. A retry
    /// may be late only if nothing more urgent waits behind it.
    fn is_too_late(&self, req: &Request<'_>, chosen: &Candidate, is_pinned: bool) -> bool {
        if chosen.wait <= 0.0 || !self.cfg.uses(Mechanism::Refusing) {
            return false;
        }
        let is_patient = self.cfg.uses(Mechanism::Patience) && !self.yields(req);
        let waits_for_deadline = req.is_caller_retry && is_patient;
        let limit = if waits_for_deadline || is_pinned {
            req.remaining
        } else {
            req.objective.min(req.remaining)
        };
        chosen.rtt + chosen.wait + chosen.response_time > limit.as_secs_f64()
    }

    /// Whether more urgent requests of the service compete with this one.
    fn yields(&self, req: &Request<'_>) -> bool {
        let mix = self.priorities.get(req.service);
        self.cfg.uses(Mechanism::Priority) && mix.is_some_and(|mix| mix.yields(req.priority))
    }

    /// Counts the request at its endpoint, and returns the target.
    fn send(
        &mut self,
        now: Moment,
        route: RouteKey,
        object: Option<u64>,
        chosen: &Candidate,
    ) -> Target {
        let endpoint = &self.endpoints[chosen.index];
        let share = self.cold_share(now, endpoint);
        let limit = self.limit_part_of(now, endpoint);
        let objects = self.objects.get(&endpoint.service);
        let state = &mut self.endpoints[chosen.index];
        state.record_sent(
            now,
            self.request_counter,
            object,
            Duration::from_secs_f64(chosen.response_time + chosen.wait),
        );
        state.cold.record_sent(now, share);
        if let LimitPart::Share(share) = limit {
            state.limit.record_sent(now, share);
        }
        let expected = chosen.rtt + chosen.wait + chosen.response_time;
        self.contact
            .record_sent(now, &state.domain, Duration::from_secs_f64(expected));
        Target {
            id: state.id.clone(),
            incarnation: state.incarnation,
            addr: state.addr,
            route,
            expected: Duration::from_secs_f64(chosen.response_time),
            usual: Duration::from_secs_f64(chosen.usual),
            affinity: chosen.affinity,
            has_object: object.is_some(),
            is_replicated: object
                .is_some_and(|object| objects.is_some_and(|o| o.is_replicated(object))),
            rtt: Duration::from_secs_f64(chosen.rtt),
            overhead: Duration::from_secs_f64(chosen.rtt + chosen.wait),
            number: self.request_counter,
            is_remote: state.region.as_ref() != Some(&self.cfg.region),
            passed_over: PassedOver::default(),
        }
    }

    /// The candidates with the lowest cost in this and the planned region, or in all regions if no endpoint
    /// of this region may run the request. Others are never chosen, and comparing them takes most of a
    /// decision's time.
    fn best(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        planned: Option<&Region>,
        eligibility: Eligibility,
    ) -> BTreeMap<Region, Candidate> {
        let own = Some(&self.cfg.region);
        let is_first = |e: &TrackedEndpoint| {
            let region = e.region.as_ref();
            region == own || (planned.is_some() && region == planned)
        };
        let eligible = self.eligible_where(now, req, eligibility, is_first);
        let best = self.best_by_region(now, req, object, planned, &eligible);
        if best.contains_key(&self.cfg.region) {
            return best;
        }
        let eligible = self.eligible(now, req, eligibility);
        self.best_by_region(now, req, object, planned, &eligible)
    }

    /// The candidate with the lowest cost in each region.
    fn best_by_region(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        planned: Option<&Region>,
        eligible: &[usize],
    ) -> BTreeMap<Region, Candidate> {
        let times = self.response_times(req);
        // Requests without an object use a different key each, or all gateways would send them
        // to the first idle endpoint on the list.
        let key = object.unwrap_or_else(|| rank::spread_sequence(self.request_counter));
        let mut best: BTreeMap<Region, Candidate> = BTreeMap::new();
        for (region, indices) in by_region(&self.endpoints, eligible) {
            // Where all gateways of this region send the object.
            let is_shared = region == self.cfg.region || Some(&region) == planned;
            let is_ordered = is_shared && object.is_some();
            let state = RegionState {
                pressure: self.pressure(now, &indices),
                failure_rate: self.mean_failure_rate(now, &indices),
            };
            let is_local = region == self.cfg.region;
            let local = object.filter(|_| is_local && !req.large);
            let near = local.is_some_and(|object| self.prefers_own_domain(req.service, object));
            let mut order = self.by_preference(&indices, key, req.large || near);
            if let Some(object) = local {
                self.arrange(req.service, object, &mut order);
            }
            let count = order.len() as f64;
            for (rank, index) in order.into_iter().enumerate() {
                let candidate = self.candidate(
                    now,
                    req,
                    object,
                    &times,
                    is_ordered.then_some(rank),
                    (index, state),
                );
                // The order of endpoints with the same load varies between requests; otherwise
                // one that has failed once would be avoided forever.
                let tie_break = match object {
                    Some(_) => 0.0,
                    None => RANK_COST * rank as f64 / count,
                };
                let cost = candidate.cost + tie_break;
                let candidate = Candidate { cost, ..candidate };
                let current = best.get(&region);
                if current.is_none_or(|current| candidate.cost < current.cost) {
                    best.insert(region.clone(), candidate);
                }
            }
        }
        best
    }

    /// Cost of a second of a slot for other requests: zero while half of the slots are free,
    /// and several seconds of waiting when all are busy. Under pressure, objects stay where
    /// they are cached. If they moved to wherever a slot is free, each would cost several
    /// times the work, and a short surge would become a lasting overload.
    fn pressure(&self, now: Moment, indices: &[usize]) -> f64 {
        if !self.cfg.uses(Mechanism::Pressure) {
            return 0.0;
        }
        let endpoints = indices.iter().map(|index| &self.endpoints[*index]);
        let (load, slots) = endpoints.fold((0.0, 0.0), |(load, slots), e| {
            (load + e.load(now), slots + f64::from(e.slots))
        });
        let utilisation: f64 = load / f64::max(slots, 1.0);
        if utilisation >= MAX_UTILISATION {
            return MAX_PRESSURE;
        }
        ((utilisation - MIN_UTILISATION).max(0.0) / (MAX_UTILISATION - utilisation))
            .min(MAX_PRESSURE)
    }

    /// Mean share of requests that fail, over these endpoints.
    fn mean_failure_rate(&self, now: Moment, indices: &[usize]) -> f64 {
        if !self.cfg.uses(Mechanism::SharedFailing) {
            return 0.0;
        }
        let rates = indices
            .iter()
            .map(|index| self.endpoints[*index].failure_rate(now));
        rates.sum::<f64>() / indices.len().max(1) as f64
    }

    /// Refuses a request for which there is no endpoint.
    fn refuse_for_none(
        &self,
        now: Moment,
        req: &Request<'_>,
        eligibility: Eligibility,
    ) -> Decision {
        let is_in_reach = eligibility == Eligibility::InReach;
        let beyond_limit = self.eligible(now, req, Eligibility::BeyondLimit);
        let waits = beyond_limit
            .iter()
            .filter_map(|index| self.limit_wait(now, &self.endpoints[*index]));
        let (reason, retry_after) = if let Some(wait) = waits.min() {
            (Refusal::Overloaded, wait)
        } else if is_in_reach && !self.eligible(now, req, Eligibility::OutOfReach).is_empty() {
            (Refusal::OutOfReach, req.objective)
        } else if let Some(wait) = self.rest_left(now, req) {
            // Nothing can run earlier, so this may be longer than other refusals ask for.
            return Decision::Refuse {
                reason: Refusal::Overloaded,
                retry_after: wait.max(RETRY_AFTER_RANGE.0),
            };
        } else {
            (Refusal::NoEndpoint, req.objective)
        };
        Decision::Refuse {
            reason,
            retry_after: self.clamp_retry_after(retry_after),
        }
    }

    /// Indices of the endpoints that may run the request.
    fn eligible(&self, now: Moment, req: &Request<'_>, eligibility: Eligibility) -> Vec<usize> {
        self.eligible_where(now, req, eligibility, |_| true)
    }

    /// Those of them that meet another condition.
    fn eligible_where(
        &self,
        now: Moment,
        req: &Request<'_>,
        eligibility: Eligibility,
        condition: impl Fn(&TrackedEndpoint) -> bool,
    ) -> Vec<usize> {
        let is_in_reach = |e: &TrackedEndpoint| match eligibility {
            Eligibility::InReach | Eligibility::BeyondLimit => {
                e.is_usable(now) && e.rest_allows(now) && self.contact.is_usable(&e.domain)
            }
            Eligibility::LastResort => {
                let is_usable = e.is_usable(Moment::MAX) && e.rest_allows(now);
                is_usable && self.contact(&e.domain) != ContactState::Lost
            }
            Eligibility::OutOfReach => {
                let is_unreached = e.is_unreached(now) || !self.contact.is_usable(&e.domain);
                e.accepts_requests() && is_unreached && !e.rest.is_resting(now)
            }
        };
        let is_eligible = |e: &TrackedEndpoint| {
            e.service == *req.service
                && condition(e)
                && is_in_reach(e)
                && !self.evacuated.contains(&e.domain)
                && !req.excluded.contains(&e.id)
                && req.homes.allow(e.region.as_ref())
                && self.cold_limit_allows(now, e)
                && self.within_limit(now, e, eligibility)
        };
        let all = self.endpoints.iter().enumerate();
        all.filter(|(_, e)| is_eligible(e))
            .map(|(i, _)| i)
            .collect()
    }

    /// Whether the endpoint's limit doesn't speak against a request. A gateway that an unreachable
    /// endpoint's request is relayed through goes by its own part.
    fn within_limit(&self, now: Moment, e: &TrackedEndpoint, eligibility: Eligibility) -> bool {
        match eligibility {
            Eligibility::InReach | Eligibility::LastResort => self.named_limit_allows(now, e),
            Eligibility::OutOfReach | Eligibility::BeyondLimit => true,
        }
    }

    /// Whether the endpoint is warm, or this gateway may send it another request while it is cold.
    pub(crate) fn cold_limit_allows(&self, now: Moment, e: &TrackedEndpoint) -> bool {
        self.cold_wait(now, e).is_zero()
    }

    /// Time until that is so, as far as is known.
    pub(crate) fn cold_wait(&self, now: Moment, e: &TrackedEndpoint) -> Duration {
        let in_region = e.region.as_ref() == Some(&self.cfg.region);
        if e.cold.is_cold(now) && in_region && self.knows_gateways(now) {
            e.cold.wait(now, self.cold_share(now, e))
        } else {
            e.cold.left(now)
        }
    }

    /// This gateway's share of the rate that a cold endpoint can handle.
    pub(crate) fn cold_share(&self, now: Moment, e: &TrackedEndpoint) -> ColdShare {
        let service = self.services.get(&e.service);
        let per_s = service.map_or(1.0, |service| service.cold_per_s);
        let gateways = self.gateways_of(now, e.region.as_ref());
        let gateways = gateways.unwrap_or(DEFAULT_GATEWAY_COUNT);
        let own = rank::hash_name(self.cfg.gateway.as_str().as_bytes());
        let phase = rank::unit_position(rank::score(own, &e.id));
        ColdShare::new(per_s, gateways, phase)
    }

    pub(crate) fn response_times(&self, req: &Request<'_>) -> ResponseTimes {
        let learned = self.response_times.get(req.service);
        let learned = learned.map(|times| *self.times_in_use(times, req.route));
        // The service was removed by a change of the routes.
        learned.unwrap_or_else(|| ResponseTimes::new(req.objective))
    }

    /// The work that a request is expected to be.
    pub fn expected_work(&self, now: Moment, req: &Request<'_>) -> Expected {
        let times = self.response_times(req);
        let (cached, unknown) = times.both();
        let was_sent = |object| {
            let mut of_service = self.endpoints.iter().filter(|e| e.service == *req.service);
            of_service.any(|e| e.is_usable(now) && e.was_recently_sent(now, object))
        };
        let object = self.object_key(req);
        Expected {
            cached,
            unknown: unknown.max(cached),
            is_cached: object.is_some_and(|object| times.is_usually_cached() || was_sent(object)),
        }
    }

    /// Those of a service's times that are expected of a route's requests.
    pub(crate) fn times_in_use<'a>(
        &self,
        times: &'a ServiceTimes,
        route: RouteKey,
    ) -> &'a ResponseTimes {
        let of_route = times.of_route(route);
        let of_route = of_route.filter(|_| self.contention_control());
        of_route.unwrap_or(times.shared())
    }

    /// Sorts endpoints by an object's preference, or by that of another key. With `near`, for a large
    /// response for instance, those of this failure domain come first: its callers connect here, and
    /// each response from elsewhere sends its bytes between failure domains.
    fn by_preference(&self, indices: &[usize], key: u64, near: bool) -> Vec<usize> {
        let mut order = indices.to_vec();
        let preference = |i: &usize| {
            let e = &self.endpoints[*i];
            let in_domain = near && e.domain == self.cfg.domain;
            std::cmp::Reverse((in_domain, rank::score(key, &e.id)))
        };
        order.sort_by_cached_key(preference);
        order
    }

    /// An endpoint with the cost of sending the request there. `rank` is its rank in the object's
    /// order; `None` if gateways of this region don't send the object by that order.
    fn candidate(
        &self,
        now: Moment,
        req: &Request<'_>,
        object: Option<u64>,
        times: &ResponseTimes,
        rank: Option<usize>,
        (index, region): (usize, RegionState),
    ) -> Candidate {
        let e = &self.endpoints[index];
        let affinity = match (object, rank) {
            (Some(object), _) if e.was_recently_sent(now, object) => Affinity::Sent,
            (Some(_), Some(rank)) => Affinity::Perhaps(rank),
            _ => Affinity::Stranger,
        };
        let load = e.load(now);
        let slowness = match self.cfg.uses(Mechanism::Slowness) {
            true => e.slowness(now),
            false => 1.0,
        };
        let usual = times.expected(affinity) * slowness;
        let slowdown = e.slowdown(now);
        let response_time = usual * slowdown;
        let cached = times.cached() * slowness * slowdown;
        // An object settles where all gateways will send it: its first request there is slow,
        // and all later ones are fast. Otherwise a new endpoint would receive nothing as long
        // as the others have capacity.
        let is_settling =
            rank == Some(0) && load < f64::from(e.slots) && self.cfg.uses(Mechanism::Settling);
        let expected = if is_settling { cached } else { response_time };
        // Additional time that a slot is busy while the endpoint loads the object; it delays
        // others.
        let loading = (response_time - cached).max(0.0);
        let weighted = expected + region.pressure * loading;
        let service_time = times.expected(Affinity::Perhaps(0)) * slowness * slowdown;
        let wait = cost::slot_wait(load, e.slots, service_time);
        let failure_cost = match self.cfg.uses(Mechanism::Failing) {
            true => {
                (e.failure_rate(now) - region.failure_rate).max(0.0) * req.objective.as_secs_f64()
            }
            false => 0.0,
        };
        let rtt = self.rtt(e);
        let crossing_cost = self.crossing_cost(e, req.large);
        let preference = match object {
            Some(_) => RANK_COST * rank.unwrap_or(0) as f64,
            // Without an object, the endpoint with the lowest load comes first.
            None => RANK_COST * load,
        };
        Candidate {
            index,
            cost: rtt + crossing_cost + wait + weighted + failure_cost + preference,
            wait,
            rtt,
            response_time,
            usual,
            affinity,
        }
    }

    /// Network round trip to an endpoint in seconds.
    fn rtt(&self, e: &TrackedEndpoint) -> f64 {
        if e.domain == self.cfg.domain {
            0.0
        } else if e.region.as_ref() == Some(&self.cfg.region) {
            INTRA_REGION_RTT
        } else {
            let learned = e.region.as_ref().and_then(|region| self.rtts.get(region));
            learned.copied().unwrap_or(DEFAULT_INTER_REGION_RTT)
        }
    }

    /// Cost in seconds of sending the bytes of a large response.
    fn crossing_cost(&self, e: &TrackedEndpoint, large: bool) -> f64 {
        if !large || e.domain == self.cfg.domain {
            0.0
        } else if e.region.as_ref() == Some(&self.cfg.region) {
            LARGE_CROSSING_COST
        } else {
            2.0 * LARGE_CROSSING_COST
        }
    }

    /// The best endpoint in the planned region if requests may or have to go there, or else in
    /// this region.
    fn choose(
        &self,
        req: &Request<'_>,
        planned: Option<&Region>,
        best: &BTreeMap<Region, Candidate>,
        is_pinned: bool,
    ) -> Option<Candidate> {
        let local = best.get(&self.cfg.region).copied();
        let planned = planned.and_then(|region| best.get(region)).copied();
        let is_allowed = |planned: &Candidate| is_pinned || self.is_in_time(req, planned);
        if let Some(planned) = planned.filter(is_allowed) {
            return Some(planned);
        }
        // Requests that the plan places here stay here, even if another region appears to have
        // capacity. Their objects aren't cached there, so they take three times the work, and
        // in an overload of all regions each region would send its own requests to the others.
        // Another region is used only if no endpoint of this one may run the request.
        local.or_else(|| cheapest(best.values()))
    }

    /// Whether a request goes to its planned region: once the object is cached there,
    /// responses will be in time.
    fn is_in_time(&self, req: &Request<'_>, planned: &Candidate) -> bool {
        let cached = self.response_times(req).cached();
        planned.rtt + planned.wait + cached <= req.objective.min(req.remaining).as_secs_f64()
    }
}

fn cheapest<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Candidate> {
    candidates.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
}

fn by_region(endpoints: &[TrackedEndpoint], eligible: &[usize]) -> BTreeMap<Region, Vec<usize>> {
    let mut regions: BTreeMap<Region, Vec<usize>> = BTreeMap::new();
    for index in eligible {
        let Some(region) = &endpoints[*index].region else {
            continue;
        };
        match regions.get_mut(region) {
            Some(indices) => indices.push(*index),
            None => {
                regions.insert(region.clone(), vec![*index]);
            }
        }
    }
    regions
}
