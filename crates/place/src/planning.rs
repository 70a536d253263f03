//! Updates the plan of each service from the demand that control reports.
//!
//! A plan may only change slowly once requests have followed it. Before that, or when this
//! gateway joins others that already serve, it is set in one step ([`Stage`]).

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_fleet::Demand;
use filberthead_types::{Moment, Region, ServiceName};

use crate::decide::DEFAULT_INTER_REGION_RTT;
use crate::endpoint::TrackedEndpoint;
use crate::plan::{self, Pace, Plan, ServiceModel, SlotsByRegion};
use crate::{Mechanism, Placer};

/// Time over which demand is averaged: several reports, and well below the time in which
/// demand itself changes.
const DEMAND_AVERAGING: Duration = Duration::from_secs(2);
/// Time after which reported demand expires: several report intervals. With all of control
/// down there are no reports. A plan that kept following the last one, for example that of the
/// first second of a day, would bring all requests back to a region that can't handle them.
const DEMAND_TTL: Duration = Duration::from_secs(2);
/// Requests that arrive within this time after the gateway received its first list of
/// endpoints come from callers that were active before it started.
const JOINED_WITHIN: Duration = Duration::from_secs(3);
/// Time after which all gateways that started together are counted: two reports.
const COUNTED_AFTER: Duration = Duration::from_millis(1000);

/// How far the start of this gateway has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No request has arrived yet, so setting the plan moves nothing.
    Waiting,
    /// Callers were already active when the gateway started, and not all gateways are counted
    /// yet.
    Beginning,
    /// It has joined gateways that serve, or all gateways have restarted. It sets the plan
    /// that the demand asks for, as the other gateways have it.
    Joining,
    /// Callers have just become active at all gateways; the demand isn't summed up yet.
    Settling,
    /// It follows the demand in bounded steps.
    Running,
}

impl Stage {
    /// This stage while `holds`, and `Running` afterwards.
    fn until(self, holds: bool) -> Self {
        if holds { self } else { Self::Running }
    }
}

/// What happens to a plan in one update.
enum PlanStep {
    /// Nothing: there is no information to base it on.
    Stay,
    /// Its shares are kept; the time that bounds its next step starts anew.
    Hold,
    /// It is set to these shares in one step.
    Set(SlotsByRegion),
    /// It moves towards these shares by a bounded step.
    MoveTowards(SlotsByRegion),
}

/// Rate of a service's requests at this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnDemand {
    pub(crate) requests: u32,
    per_s: f64,
    /// When the first request arrived.
    first_at: Moment,
    averaged_at: Moment,
}

impl OwnDemand {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            requests: 0,
            per_s: 0.0,
            first_at: now,
            averaged_at: now,
        }
    }

    /// Returns the moving average of requests per second, and restarts the count.
    fn take(&mut self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.averaged_at).as_secs_f64();
        // Averages over the time since the first request until that is long enough. Starting
        // from zero would report half of the demand for seconds after callers became active,
        // and move requests back to their own region.
        let age = now.saturating_sub(self.first_at);
        let averaging = age.clamp(Duration::from_millis(1), DEMAND_AVERAGING);
        let weight = (elapsed / averaging.as_secs_f64()).min(1.0);
        let per_s = f64::from(self.requests) / elapsed.max(0.001);
        self.per_s += weight * (per_s - self.per_s);
        self.requests = 0;
        self.averaged_at = now;
        self.per_s
    }
}

/// What a placer has learned and planned for a service, for logs.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    /// The service.
    pub service: ServiceName,
    /// Response times with the object cached and not cached.
    pub response_times: (Duration, Duration),
    /// Share of this region's requests that run in each other region.
    pub remote_shares: BTreeMap<Region, f64>,
    /// Busy slots that the callers of each region need, as reported by control.
    pub demand: BTreeMap<Region, f64>,
    /// Slots that each region has.
    pub capacity: BTreeMap<Region, f64>,
}

impl Placer {
    /// Demand at this gateway since the last call, for its report to control.
    pub fn take_demand(&mut self, now: Moment) -> Vec<Demand> {
        for times in self.response_times.values_mut() {
            times.update_work(now);
        }
        let mut own_demand = std::mem::take(&mut self.own_demand);
        let demand_of = |(service, own): (&ServiceName, &mut OwnDemand)| {
            let per_s = own.take(now);
            let work = self.work_per_request(service)?;
            Some(Demand {
                service: service.clone(),
                busy_milli: (per_s * work * 1000.0).round() as u32,
            })
        };
        let demand = own_demand.iter_mut().filter_map(demand_of).collect();
        self.own_demand = own_demand;
        demand
    }

    /// Seconds of a slot that a request of the service needs. Under contention control this is the time that
    /// requests really take, otherwise the time that they take with their objects cached.
    fn work_per_request(&self, service: &ServiceName) -> Option<f64> {
        let times = self.response_times.get(service)?;
        Some(match self.contention_control() {
            true => times.mean_work(),
            false => times.shared().cached(),
        })
    }

    /// Moves the plan of each service towards what demand and capacity ask for.
    pub fn update_plans(&mut self, now: Moment) {
        self.update_objects(now);
        let stage = self.stage(now);
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            let step = self.plan_step(now, stage, &service);
            let plan = self.plans.entry(service).or_default();
            match step {
                PlanStep::Stay => {}
                PlanStep::Hold => plan.hold(now),
                PlanStep::Set(shares) => plan.set(now, shares),
                PlanStep::MoveTowards(target) => {
                    let pace = match self.cfg.uses(Mechanism::SlowReturn) {
                        true => Pace::SlowReturn,
                        false => Pace::Even,
                    };
                    plan.move_towards(now, self.cfg.max_shift, pace, &self.cfg.region, &target);
                }
            }
        }
    }

    /// The next step of a service's plan.
    fn plan_step(&self, now: Moment, stage: Stage, service: &ServiceName) -> PlanStep {
        let capacity = self.capacity(now, service);
        if capacity.is_empty() {
            return PlanStep::Stay;
        }
        let target = |demand: &SlotsByRegion| {
            plan::target_shares(
                &self.cfg.region,
                &self.service_model(service, demand, &capacity),
            )
        };
        let reported = self.demand.get(service).filter(|demand| !demand.is_empty());
        match (stage, reported) {
            (Stage::Waiting, None) | (Stage::Beginning, _) => PlanStep::Set(target(
                &plan::assumed_demand(&self.gateways_by_region(), &capacity),
            )),
            (Stage::Waiting | Stage::Joining, Some(demand)) => PlanStep::Set(target(demand)),
            (Stage::Running, Some(demand)) if now < self.demand_at + DEMAND_TTL => {
                PlanStep::MoveTowards(target(demand))
            }
            (Stage::Joining | Stage::Settling | Stage::Running, _) => PlanStep::Hold,
        }
    }

    fn gateways_by_region(&self) -> BTreeMap<Region, u32> {
        let mut gateways: BTreeMap<Region, u32> = BTreeMap::new();
        for (domain, count) in &self.gateways {
            if let Some(region) = self.cfg.regions.get(domain) {
                *gateways.entry(region.clone()).or_default() += count;
            }
        }
        gateways
    }

    fn service_model<'a>(
        &self,
        service: &ServiceName,
        demand: &'a SlotsByRegion,
        capacity: &'a SlotsByRegion,
    ) -> ServiceModel<'a> {
        ServiceModel {
            demand,
            capacity,
            slots_per_endpoint: self.slots_per_endpoint(service),
            service_time: self.work_per_request(service).unwrap_or(0.0),
            rtt: self.mean_rtt(),
        }
    }

    /// The stage that this gateway is in.
    fn stage(&self, now: Moment) -> Stage {
        let Some(first) = self.first_request_at else {
            return Stage::Waiting;
        };
        let endpoints_known_at = self.endpoints_known_at.unwrap_or(first);
        if self.found_demand == Some(true) {
            return Stage::Joining.until(now < first + 3 * DEMAND_AVERAGING);
        }
        let joined = first < endpoints_known_at + JOINED_WITHIN;
        let age = now.saturating_sub(first);
        if age < COUNTED_AFTER && joined {
            Stage::Beginning
        } else if age < 3 * DEMAND_AVERAGING && joined {
            Stage::Joining
        } else if age < 2 * DEMAND_AVERAGING {
            Stage::Settling
        } else {
            Stage::Running
        }
    }

    /// Slots of a service in each region that requests may be sent to.
    fn capacity(&self, now: Moment, service: &ServiceName) -> SlotsByRegion {
        let mut capacity = SlotsByRegion::new();
        for e in self.endpoints.iter().filter(|e| e.service == *service) {
            let is_working = e.is_usable(now) && !e.rest.is_resting(now);
            let is_usable = is_working && !self.evacuated.contains(&e.domain);
            if let Some(region) = e.region.as_ref().filter(|_| is_usable) {
                *capacity.entry(region.clone()).or_default() += self.usable_slots(e);
            }
        }
        capacity
    }

    /// Slots of an endpoint that can be busy at the rate that it names.
    fn usable_slots(&self, e: &TrackedEndpoint) -> f64 {
        let slots = f64::from(e.slots);
        match (e.limit.per_s(), self.work_per_request(&e.service)) {
            (Some(per_s), Some(work)) => slots.min(per_s * work),
            _ => slots,
        }
    }

    /// Mean number of slots of a service's endpoints.
    fn slots_per_endpoint(&self, service: &ServiceName) -> f64 {
        let endpoints = self.endpoints.iter().filter(|e| e.service == *service);
        let (count, slots) =
            endpoints.fold((0, 0), |(count, slots), e| (count + 1, slots + e.slots));
        f64::from(slots) / f64::from(count.max(1))
    }

    /// Mean round trip to other regions in seconds.
    fn mean_rtt(&self) -> f64 {
        let learned: f64 = self.rtts.values().sum();
        match self.rtts.len() {
            0 => DEFAULT_INTER_REGION_RTT,
            count => learned / count as f64,
        }
    }

    /// Estimates for all services of the routes, for logs.
    pub fn estimates(&self, now: Moment) -> Vec<ServiceEstimate> {
        let estimate = |service: &ServiceName| ServiceEstimate {
            service: service.clone(),
            response_times: self
                .response_times
                .get(service)
                .map(|times| times.shared().both())
                .unwrap_or_default(),
            remote_shares: self
                .plans
                .get(service)
                .map(Plan::remote_shares)
                .unwrap_or_default(),
            demand: self.demand.get(service).cloned().unwrap_or_default(),
            capacity: self.capacity(now, service),
        };
        self.services.keys().map(estimate).collect()
    }
}
