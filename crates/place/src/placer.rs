//! The state of a gateway's placement, and the methods that update it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointChange};
use filberthead_route::{Service, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::contact::{Contact, ContactChange, ContactState};
use crate::cost::Affinity;
use crate::endpoint::TrackedEndpoint;
use crate::objects::ServiceObjects;
use crate::plan::{Plan, SlotsByRegion};
use crate::planning::OwnDemand;
use crate::priority::PriorityMix;
use crate::quarantine::Quarantine;
use crate::route_times::ServiceTimes;
use crate::sharing::Peak;
use crate::shift::RegionShares;
use crate::unlisted::UnlistedStarts;
use crate::{
    Config, ContactProbe, EndpointRef, Holder, LimitShare, Load, Mechanism, Outcome, RetryBudget,
    RetryDecision, RetryEnd, RetryId, RouteKey, Target, rank,
};

/// Weight of a new observation of a round trip: about the last fifty count, and half of a
/// change is learned within as many responses.
const RTT_EWMA_WEIGHT: f64 = 0.02;

/// Time after the first request from which answers tell how much work requests are. At first all objects are
/// unknown, which says nothing about the share of unknown ones later on.
const FIRST_WORK_AFTER: Duration = Duration::from_secs(3);
/// Slowdown of an endpoint's VM below which response times tell the round trip.
const USUAL_SLOWDOWN: f64 = 1.1;

/// Time for which numbers of gateways count after smaller ones have followed: several times what a
/// replica that has just started takes to hear of all gateways.
const COUNTS_KEPT: Duration = Duration::from_secs(10);
/// Time after the first number of gateways until it is believed: three report periods, after which
/// gateways that started together all have reported.
const COUNTS_SETTLE: Duration = Duration::from_millis(1500);

/// How many endpoints of a service there are, and how many of them get no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Those on the platform's list.
    pub listed: usize,
    /// Those of them that are draining, leaving, at rest, avoided after failures, or out of contact.
    pub avoided: usize,
}

/// Places the requests of a gateway on endpoints.
#[derive(Clone, Debug)]
pub struct Placer {
    pub(crate) cfg: Config,
    pub(crate) endpoints: Vec<TrackedEndpoint>,
    pub(crate) services: HashMap<ServiceName, Service>,
    pub(crate) response_times: HashMap<ServiceName, ServiceTimes>,
    pub(crate) plans: HashMap<ServiceName, Plan>,
    /// Priorities of each service's recent requests.
    pub(crate) priorities: HashMap<ServiceName, PriorityMix>,
    /// The regions where each service's requests run.
    pub(crate) region_shares: HashMap<ServiceName, RegionShares>,
    /// Busy slots that the callers of each region need, as summed up by control.
    pub(crate) demand: BTreeMap<ServiceName, SlotsByRegion>,
    /// The objects of each service, under contention control.
    pub(crate) objects: HashMap<ServiceName, ServiceObjects>,
    /// When `demand` was last received.
    pub(crate) demand_at: Moment,
    /// Requests at this gateway since the last report.
    pub(crate) own_demand: HashMap<ServiceName, OwnDemand>,
    /// When endpoints were first received.
    pub(crate) endpoints_known_at: Option<Moment>,
    /// Whether the first demand that was received wasn't empty, that is, other gateways were
    /// already serving. `None` until then.
    pub(crate) found_demand: Option<bool>,
    /// When the first request of a caller arrived.
    pub(crate) first_request_at: Option<Moment>,
    /// Counts requests, to spread those without an object. Each gateway starts at a different
    /// value.
    pub(crate) request_counter: u64,
    /// What starts have said that aren't listed.
    pub(crate) unlisted: UnlistedStarts,
    pub(crate) evacuated: BTreeSet<FailureDomain>,
    pub(crate) gateways: BTreeMap<FailureDomain, u32>,
    /// Numbers of gateways received lately.
    gateway_peaks: BTreeMap<FailureDomain, Peak>,
    /// When a number of gateways was first received.
    gateways_known_at: Option<Moment>,
    /// This gateway's part of the retry floor.
    floor_share: LimitShare,
    pub(crate) retry_budget: RetryBudget,
    /// Contact with the endpoints of each failure domain.
    pub(crate) contact: Contact,
    /// What is held against requests that may crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// Counts rounds of probes.
    probe_counter: u64,
    /// Learned round trips to other regions, in seconds.
    pub(crate) rtts: HashMap<Region, f64>,
}

impl Placer {
    /// A placer without endpoints.
    pub fn new(cfg: Config) -> Self {
        Self {
            endpoints: Vec::new(),
            services: HashMap::new(),
            response_times: HashMap::new(),
            plans: HashMap::new(),
            priorities: HashMap::new(),
            region_shares: HashMap::new(),
            demand: BTreeMap::new(),
            objects: HashMap::new(),
            demand_at: Moment::ZERO,
            own_demand: HashMap::new(),
            endpoints_known_at: None,
            found_demand: None,
            first_request_at: None,
            request_counter: rank::hash_name(cfg.gateway.as_str().as_bytes()),
            unlisted: UnlistedStarts::default(),
            evacuated: BTreeSet::new(),
            gateways: BTreeMap::new(),
            gateway_peaks: BTreeMap::new(),
            gateways_known_at: None,
            floor_share: LimitShare::new(cfg.retry_budget.window),
            retry_budget: RetryBudget::new(cfg.retry_budget),
            contact: Contact::default(),
            quarantine: Quarantine::default(),
            probe_counter: 0,
            rtts: HashMap::new(),
            cfg,
        }
    }

    /// Applies the routes in force. What was learned about services that remain is kept.
    pub fn set_routes(&mut self, table: &Table) {
        let services = table.services.iter();
        self.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        self.response_times
            .retain(|service, _| self.services.contains_key(service));
        self.region_shares
            .retain(|service, _| self.services.contains_key(service));
        self.priorities
            .retain(|service, _| self.services.contains_key(service));
        for (service, objectives) in objectives(table) {
            let shortest = objectives.values().min().copied().unwrap_or_default();
            let times = self.response_times.entry(service.clone());
            let times = times.or_insert_with(|| ServiceTimes::new(shortest));
            times.set_routes(&objectives);
        }
    }

    /// Replaces the list of endpoints. What was learned about endpoints that remain is kept.
    ///
    /// Returns the addresses of starts that were replaced by later ones: connections to them
    /// are of no use.
    pub fn set_endpoints(&mut self, now: Moment, list: Vec<Endpoint>) -> Vec<SocketAddr> {
        self.endpoints_known_at.get_or_insert(now);
        let previous = std::mem::take(&mut self.endpoints);
        let mut previous: HashMap<_, _> = previous.into_iter().map(|e| (e.id.clone(), e)).collect();
        let mut replaced = Vec::new();
        for listed in list {
            let state = match previous.remove(listed.id.as_str()) {
                Some(state) => self.update_or_replace(now, state, listed, &mut replaced),
                None => self.track(now, listed),
            };
            self.endpoints.push(state);
        }
        for gone in previous.into_values() {
            self.unlisted.keep(now, &gone);
        }
        // A request may still be running at an endpoint that is no longer listed; its outcome
        // is ignored.
        self.settle_retries(now);
        self.track_contact();
        replaced
    }

    /// Settles the retries to starts of endpoints that aren't listed any more.
    fn settle_retries(&mut self, now: Moment) {
        let endpoints = &self.endpoints;
        self.retry_budget.settle_unknown(now, |id, incarnation| {
            endpoints
                .iter()
                .any(|e| e.id == *id && e.incarnation == incarnation)
        });
    }

    /// Applies a change of the list of endpoints. Returns the same as [`Self::set_endpoints`].
    pub fn change_endpoints(&mut self, now: Moment, change: EndpointChange) -> Vec<SocketAddr> {
        self.endpoints_known_at.get_or_insert(now);
        let gone: BTreeSet<&str> = change.gone.iter().map(String::as_str).collect();
        for e in &self.endpoints {
            if gone.contains(&*e.id) {
                self.unlisted.keep(now, e);
            }
        }
        self.endpoints.retain(|e| !gone.contains(&*e.id));
        let mut replaced = Vec::new();
        for listed in change.changed {
            match self.endpoints.iter().position(|e| *e.id == *listed.id) {
                Some(index) => {
                    let state = self.endpoints[index].clone();
                    self.endpoints[index] =
                        self.update_or_replace(now, state, listed, &mut replaced);
                }
                None => {
                    let state = self.track(now, listed);
                    self.endpoints.push(state);
                }
            }
        }
        self.settle_retries(now);
        self.track_contact();
        replaced
    }

    fn track_contact(&mut self) {
        let domains = self.endpoints.iter().map(|e| &e.domain).collect();
        self.contact.set_domains(&domains);
    }

    /// Updates an endpoint that was listed before. If it has started again, what was learned
    /// about the earlier start is dropped, and its address is added to `replaced`.
    fn update_or_replace(
        &mut self,
        now: Moment,
        mut state: TrackedEndpoint,
        listed: Endpoint,
        replaced: &mut Vec<SocketAddr>,
    ) -> TrackedEndpoint {
        if state.is_same_start(&listed) {
            state.update(now, &listed);
            return state;
        }
        replaced.push(state.addr);
        self.unlisted.keep(now, &state);
        self.track(now, listed)
    }

    /// State of an endpoint that is listed for the first time.
    fn track(&mut self, now: Moment, listed: Endpoint) -> TrackedEndpoint {
        let region = self.cfg.regions.get(&listed.domain).cloned();
        let mut state = TrackedEndpoint::new(now, listed, region);
        self.unlisted.restore(now, &mut state);
        state
    }

    /// Whether contention control is on: requests wait by urgency, and are placed by expected work.
    pub fn contention_control(&self) -> bool {
        self.cfg.contention_control
    }

    /// Turns contention control on, for good.
    pub fn enable_contention_control(&mut self) {
        self.cfg.contention_control = true;
    }

    /// Number of endpoints whose VMs work clearly slower than usual by what they reported.
    pub fn slowed_endpoints(&self, now: Moment) -> usize {
        self.endpoints.iter().filter(|e| e.is_slowed(now)).count()
    }

    /// Mean time that requests to a service keep a slot busy; `None` if the routes don't define the service.
    pub fn mean_work(&self, service: &ServiceName) -> Option<Duration> {
        let times = self.response_times.get(service)?;
        Some(Duration::from_secs_f64(times.mean_work()))
    }

    /// Number of listed endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoints of a service, as this gateway sees them.
    pub fn availability(&self, now: Moment, service: &ServiceName) -> Availability {
        let of_service = self.endpoints.iter().filter(|e| e.service == *service);
        let avoided = of_service.clone().filter(|e| {
            let is_at_rest = e.rest.is_resting(now);
            !e.is_usable(now) || is_at_rest || !self.contact.is_usable(&e.domain)
        });
        Availability {
            listed: of_service.count(),
            avoided: avoided.count(),
        }
    }

    /// Sets the evacuated failure domains. Endpoints of a domain that is no longer evacuated
    /// may have become cold in the meantime.
    pub fn set_evacuated(&mut self, now: Moment, domains: BTreeSet<FailureDomain>) {
        let restored: BTreeSet<_> = self.evacuated.difference(&domains).cloned().collect();
        for endpoint in self
            .endpoints
            .iter_mut()
            .filter(|e| restored.contains(&e.domain))
        {
            if let Some(service) = self.services.get(&endpoint.service) {
                endpoint.cold.extend(now, now + service.cold_for);
            }
        }
        self.evacuated = domains;
    }

    /// Sets the number of gateways in each failure domain, as a control replica counts them.
    pub fn set_gateways(&mut self, now: Moment, counts: &[(FailureDomain, u32)]) {
        self.gateways_known_at.get_or_insert(now);
        self.gateways = counts.iter().cloned().collect();
        for (domain, count) in counts {
            let peak = self.gateway_peaks.entry(domain.clone()).or_default();
            peak.record(now, *count, COUNTS_KEPT);
        }
        // A domain that was left out had no gateways.
        for (domain, peak) in &mut self.gateway_peaks {
            if !self.gateways.contains_key(domain) {
                peak.record(now, 0, COUNTS_KEPT);
            }
        }
    }

    /// Records a proof of contact with control's leader; see [`LimitShare::record_proof`].
    pub fn record_proof(&mut self, now: Moment, asked_at: Moment, gateways: Option<u32>) {
        self.floor_share.record_proof(now, asked_at, gateways);
    }

    /// Sets the demand of each region, in thousandths of busy slots.
    pub fn set_demand(&mut self, now: Moment, demand: &[(Region, ServiceName, u32)]) {
        self.demand_at = now;
        self.found_demand.get_or_insert(!demand.is_empty());
        self.demand.clear();
        for (region, service, busy_milli) in demand {
            let slots = self.demand.entry(service.clone()).or_default();
            *slots.entry(region.clone()).or_default() += f64::from(*busy_milli) / 1000.0;
        }
    }

    /// Records the arrival of a caller's request.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName, priority: u8) {
        self.retry_budget.record_first(now, service);
        self.first_request_at.get_or_insert(now);
        if !self.own_demand.contains_key(service) {
            self.own_demand.insert(service.clone(), OwnDemand::new(now));
        }
        if let Some(own) = self.own_demand.get_mut(service) {
            own.requests += 1;
        }
        if !self.priorities.contains_key(service) {
            self.priorities
                .insert(service.clone(), PriorityMix::default());
        }
        if let Some(mix) = self.priorities.get_mut(service) {
            mix.record(priority);
        }
    }

    /// Takes a retry from the budget if there is one left.
    pub fn try_spend_retry(&mut self, now: Moment, service: &ServiceName) -> RetryDecision {
        let gateways = self.floor_share.divisor(now);
        self.retry_budget.try_spend(now, service, gateways)
    }

    /// Records how a retry ended that was granted.
    pub fn end_retry(&mut self, now: Moment, service: &ServiceName, id: RetryId, end: RetryEnd) {
        self.retry_budget.record_end(now, service, id, end);
    }

    /// Records that an endpoint has answered a request that was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        now: Moment,
        service: &ServiceName,
        target: &Target,
        sent_at: Moment,
    ) {
        let from = (&target.id, target.incarnation);
        self.retry_budget.record_answer(now, service, from, sent_at);
    }

    /// Records that an earlier attempt of the request that was granted this retry has ended without an
    /// answer.
    pub fn record_earlier_attempt(
        &mut self,
        now: Moment,
        service: &ServiceName,
        id: RetryId,
        holder: Holder,
    ) {
        self.retry_budget.record_earlier(now, service, id, holder);
    }

    /// Counts a retry that was sent for another gateway and ended without an answer.
    pub fn record_foreign_retry(&mut self, now: Moment, service: &ServiceName, holder: Holder) {
        self.retry_budget.record_foreign(now, service, holder);
    }

    /// Records that a gateway whose process had started by `started_at` has answered a request that was
    /// sent to it at `sent_at`.
    pub fn record_gateway_answer(
        &mut self,
        now: Moment,
        from: SocketAddr,
        started_at: Moment,
        sent_at: Moment,
    ) {
        self.retry_budget
            .record_gateway_answer(now, from, started_at, sent_at);
    }

    /// Retries that ended without a response and may still arrive.
    pub fn unanswered_retries(&self, now: Moment) -> u32 {
        self.retry_budget.unanswered(now)
    }

    /// Number of gateways that the retry floor is divided by; `None` if this one has no part of it.
    pub fn floor_divisor(&self, now: Moment) -> Option<u32> {
        self.floor_share.divisor(now)
    }

    /// Number of gateways, this one included: the largest of those received lately, as a replica
    /// that has just started counts too few; at least 1.
    pub fn gateway_count(&self, now: Moment) -> u32 {
        let peaks = self.gateway_peaks.values();
        let counts = peaks.filter_map(|peak| peak.get(now, COUNTS_KEPT));
        counts.sum::<u32>().max(1)
    }

    /// The largest number of gateways of a region received lately; `None` if none was.
    pub(crate) fn gateways_of(&self, now: Moment, region: Option<&Region>) -> Option<u32> {
        let peaks = self.gateway_peaks.iter();
        let of_region = peaks.filter(|(domain, _)| self.cfg.regions.get(*domain) == region);
        let counts = of_region.filter_map(|(_, peak)| peak.get(now, COUNTS_KEPT));
        Some(counts.sum()).filter(|sum| *sum > 0)
    }

    /// Whether the numbers of gateways have been received for so long that all replicas count this
    /// gateway and its neighbours.
    pub(crate) fn knows_gateways(&self, now: Moment) -> bool {
        self.gateways_known_at
            .is_none_or(|at| now >= at + COUNTS_SETTLE)
    }

    /// Whether a request may be sent again to an endpoint that rejected it.
    pub fn may_retry_same_endpoint(&self, load_reported: bool) -> bool {
        load_reported && self.cfg.uses(Mechanism::SameAgain)
    }

    /// Records the load that an endpoint reported with a response.
    pub fn record_load<'a>(
        &mut self,
        now: Moment,
        endpoint: impl Into<EndpointRef<'a>>,
        load: Load,
    ) {
        if let Some(state) = self.tracked_mut(endpoint) {
            state.record_load(now, load);
        }
    }

    /// Records that an endpoint reported to be cold for this much longer.
    pub fn record_cold<'a>(
        &mut self,
        now: Moment,
        endpoint: impl Into<EndpointRef<'a>>,
        remaining: Duration,
    ) {
        if let Some(state) = self.tracked_mut(endpoint) {
            state.cold.extend(now, now + remaining);
        }
    }

    /// Records the outcome of a request that was placed.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        service: &ServiceName,
        target: &Target,
        outcome: Outcome,
    ) {
        let state = self.endpoints.iter().find(|e| e.is_target(target));
        let slowdown = state.map_or(Some(1.0), |e| e.slowdown_during(now, target));
        let queued = state.is_none_or(TrackedEndpoint::has_queue);
        if let Outcome::Served(took) = outcome
            && slowdown.is_some_and(|slowdown| slowdown < USUAL_SLOWDOWN)
        {
            self.learn_rtt(service, target, took);
        }
        self.record_contact(now, target, outcome);
        let outcome = match outcome {
            Outcome::Served(took) => Outcome::Served(took.saturating_sub(target.overhead)),
            Outcome::Abandoned(waited) => {
                Outcome::Abandoned(waited.saturating_sub(target.overhead))
            }
            other => other,
        };
        if let Some(state) = self.tracked_mut(target) {
            state.record_outcome(now, outcome, target);
        }
        if let (Outcome::Served(took), Some(slowdown)) = (outcome, slowdown)
            && let Some(times) = self.response_times.get_mut(service)
        {
            let first = self.first_request_at.unwrap_or(now);
            let tells_work = !queued && now >= first + FIRST_WORK_AFTER;
            times.record(target, took.div_f64(slowdown), tells_work);
        }
    }

    /// Records what the outcome of a request says about contact with its endpoint's failure domain.
    fn record_contact(&mut self, now: Moment, target: &Target, outcome: Outcome) {
        let domain = match self.endpoints.iter().find(|e| e.is_target(target)) {
            Some(endpoint) => endpoint.domain.clone(),
            None => return,
        };
        match outcome {
            Outcome::Served(_) | Outcome::Failed | Outcome::Full | Outcome::Gone => {
                self.contact.record_response(now, &domain);
            }
            Outcome::Broken | Outcome::Unreached => {
                let endpoints = self.endpoints.iter().filter(|e| e.domain == domain);
                let count = endpoints.count();
                self.contact.record_broken(now, &domain, &target.id, count);
            }
            Outcome::Abandoned(_) | Outcome::Superseded | Outcome::Withdrawn => {}
        }
    }

    /// Records that bytes have come from an endpoint, though no response.
    pub fn record_heard(&mut self, now: Moment, target: &Target) {
        if let Some(endpoint) = self.endpoints.iter().find(|e| e.is_target(target)) {
            let domain = endpoint.domain.clone();
            self.contact.record_response(now, &domain);
        }
    }

    /// Contact with the endpoints of a failure domain.
    pub fn contact(&self, domain: &FailureDomain) -> ContactState {
        self.contact.state(domain)
    }

    /// Whether contact with the failure domain of the endpoint that a request was sent to isn't lost.
    pub fn has_contact(&self, target: &Target) -> bool {
        let endpoint = self.endpoints.iter().find(|e| e.is_target(target));
        endpoint.is_none_or(|e| self.contact(&e.domain) != ContactState::Lost)
    }

    /// Whether contact with all endpoints is lost.
    pub fn is_cut_off(&self) -> bool {
        self.contact.is_all_lost()
    }

    /// Changes of contact since the last call.
    pub fn take_contact_changes(&mut self) -> Vec<ContactChange> {
        self.contact.take_changes()
    }

    /// The probes of endpoints that are due. The outcome of each has to be recorded.
    pub fn due_probes(&mut self, now: Moment) -> Vec<ContactProbe> {
        let mut probes = Vec::new();
        for (domain, count) in self.contact.due_probes(now) {
            let mut targets = self.probe_targets(now, &domain);
            if targets.is_empty() {
                self.contact.forget(now, &domain);
                continue;
            }
            // Another one each time: a single endpoint may be down for good.
            let start = usize::try_from(self.probe_counter).unwrap_or(0) % targets.len();
            targets.rotate_left(start);
            self.probe_counter += 1;
            let unmade = count.saturating_sub(targets.len());
            (0..unmade).for_each(|_| self.contact.record_probe(now, &domain, false));
            probes.extend(targets.into_iter().take(count));
        }
        probes
    }

    /// Endpoints of a failure domain that may be probed: cold ones have no capacity to spare, and
    /// draining, leaving or evacuated ones are to be left alone. If all others are at rest, connections to
    /// these are opened without a request, which rest doesn't rule out.
    fn probe_targets(&self, now: Moment, domain: &FailureDomain) -> Vec<ContactProbe> {
        let of_domain = self.endpoints.iter().filter(|e| e.domain == *domain);
        let (resting, awake): (Vec<_>, Vec<_>) = of_domain
            .filter(|e| !e.draining && !e.leaving && !e.cold.is_cold(now))
            .filter(|e| !self.evacuated.contains(&e.domain))
            .partition(|e| e.rest.is_resting(now));
        let probe = |e: &TrackedEndpoint, path| ContactProbe {
            domain: e.domain.clone(),
            endpoint: e.id.clone(),
            incarnation: e.incarnation,
            addr: e.addr,
            path,
        };
        let by_request: Vec<_> = awake
            .into_iter()
            .filter_map(|e| {
                let path = self.services.get(&e.service)?.health_path.clone();
                Some(probe(e, Some(path)))
            })
            .collect();
        if by_request.is_empty() {
            let by_connection = resting.into_iter().map(|e| probe(e, None));
            return by_connection.collect();
        }
        by_request
    }

    /// Records whether a probe got a response.
    pub fn record_probe(&mut self, now: Moment, domain: &FailureDomain, answered: bool) {
        self.contact.record_probe(now, domain, answered);
    }

    /// Addresses of the endpoints of a failure domain.
    pub fn endpoint_addrs(&self, domain: &FailureDomain) -> Vec<SocketAddr> {
        let of_domain = self.endpoints.iter().filter(|e| e.domain == *domain);
        of_domain.map(|e| e.addr).collect()
    }

    /// Updates the round trip to another region by the time that a response took beyond its
    /// known processing time. Only responses for which no wait was expected count; most of them
    /// take just that.
    fn learn_rtt(&mut self, service: &ServiceName, target: &Target, took: Duration) {
        let waited = target.overhead.as_secs_f64() > target.rtt.as_secs_f64() + 0.001;
        if target.affinity != Affinity::Sent || waited {
            return;
        }
        let Some(times) = self.response_times.get(service) else {
            return;
        };
        let cached = self.times_in_use(times, target.route).cached();
        let endpoint = self.endpoints.iter().find(|e| e.is_target(target));
        let Some(region) = endpoint.and_then(|e| e.region.clone()) else {
            return;
        };
        if region == self.cfg.region {
            return;
        }
        let observed = (took.as_secs_f64() - cached).max(0.0);
        let rtt = self.rtts.entry(region).or_insert(target.rtt.as_secs_f64());
        // A response that was queued says little about the round trip.
        *rtt += RTT_EWMA_WEIGHT * (observed.min(2.0 * *rtt + 0.01) - *rtt);
    }

    /// The start of the endpoint that a request was sent to; `None` if it is no longer listed.
    /// Late outcomes of an earlier start say nothing about its successor.
    pub(crate) fn tracked_mut<'a>(
        &mut self,
        target: impl Into<EndpointRef<'a>>,
    ) -> Option<&mut TrackedEndpoint> {
        let target = target.into();
        self.endpoints.iter_mut().find(|e| e.is_target(target))
    }
}

/// The objectives of each service's routes. Routes with one prefix and different hosts share the shortest
/// one. Rarely used routes may have any objective, so the service as a whole starts from the shortest one.
fn objectives(table: &Table) -> HashMap<&ServiceName, HashMap<RouteKey, Duration>> {
    let mut by_service: HashMap<_, HashMap<_, Duration>> = HashMap::new();
    for route in &table.routes {
        let key = RouteKey::new(&route.prefix);
        for target in &route.targets {
            let objectives = by_service.entry(&target.service).or_default();
            let shortest = objectives.entry(key).or_insert(route.objective);
            *shortest = route.objective.min(*shortest);
        }
    }
    by_service
}
