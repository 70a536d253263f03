//! The plan of each service, kept from what control tells of demand.
//!
//! A plan may only change slowly once callers have seen it; before, or when this gateway
//! joins others that serve, it is taken up at once ([`Stage`]).

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_fleet::Demand;
use filberthead_types::{Moment, Region, ServiceName};

use crate::cost::ResponseTimes;
use crate::decide::FAR;
use crate::plan::{self, Outlook, Pace, Plan, Slots};
use crate::{Mechanism, Placer};

/// Time over which demand is averaged: several reports, and well below the time in which
/// demand changes by itself.
const DEMAND_OVER: Duration = Duration::from_secs(2);
/// Time for which demand that was told is believed: some reports. With all of control down
/// nobody tells it any more; a plan that went on following what it was, in the first second
/// of a day for one, would bring all requests home to a region that can't bear them.
const DEMAND_KEPT: Duration = Duration::from_secs(2);
/// Callers that come this soon after a gateway knows endpoints were there before it.
const JOINED_WITHIN: Duration = Duration::from_secs(3);
/// Time after which all gateways that have started together are counted: two reports.
const COUNTED_AFTER: Duration = Duration::from_millis(1000);

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

/// What a plan does next.
enum Step {
    /// Nothing is known to go by.
    Stay,
    /// Its parts are as they should be.
    Hold,
    /// It takes these parts up at once.
    Begin(Slots),
    /// It moves towards these parts.
    Towards(Slots),
}

/// Requests of a service at this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnDemand {
    pub(crate) since: u32,
    per_s: f64,
    /// When the first of them came.
    begun: Moment,
    at: Moment,
}

impl OwnDemand {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            since: 0,
            per_s: 0.0,
            begun: now,
            at: now,
        }
    }

    /// Requests a second, averaged; counts anew from now.
    fn take(&mut self, now: Moment) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        // A mean over what there is until there is enough: begun at nothing, it would tell
        // half of the demand for seconds after callers have come, and bring requests home.
        let age = now.saturating_sub(self.begun);
        let over = age.clamp(Duration::from_millis(1), DEMAND_OVER);
        let weight = (passed / over.as_secs_f64()).min(1.0);
        let per_s = f64::from(self.since) / passed.max(0.001);
        self.per_s += weight * (per_s - self.per_s);
        self.since = 0;
        self.at = now;
        self.per_s
    }
}

/// What a placer believes of a service, for logs.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    /// The service.
    pub service: ServiceName,
    /// Time of an answer where the object is known, and where it isn't.
    pub response_times: (Duration, Duration),
    /// Parts of its requests that run in other regions.
    pub remote_shares: BTreeMap<Region, f64>,
    /// Busy slots that each region is asked for, as told.
    pub demand: BTreeMap<Region, f64>,
    /// Slots that each region has.
    pub capacity: BTreeMap<Region, f64>,
}

impl Placer {
    /// What this gateway was asked to carry lately, for its report.
    pub fn take_demand(&mut self, now: Moment) -> Vec<Demand> {
        let times = &self.response_times;
        let of = |(service, own): (&ServiceName, &mut OwnDemand)| {
            let per_s = own.take(now);
            let cached = times.get(service).map(ResponseTimes::cached)?;
            Some(Demand {
                service: service.clone(),
                busy_milli: (per_s * cached * 1000.0).round() as u32,
            })
        };
        self.own_demand.iter_mut().filter_map(of).collect()
    }

    /// Moves the plan of each service towards what demand and capacity ask for.
    pub fn update_plans(&mut self, now: Moment) {
        let stage = self.stage(now);
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            let step = self.step(now, stage, &service);
            let plan = self.plans.entry(service).or_default();
            match step {
                Step::Stay => {}
                Step::Hold => plan.hold(now),
                Step::Begin(parts) => plan.begin(now, parts),
                Step::Towards(aim) => {
                    let pace = match self.cfg.uses(Mechanism::SlowReturn) {
                        true => Pace::SlowReturn,
                        false => Pace::Even,
                    };
                    plan.update(now, self.cfg.max_shift, pace, &self.cfg.region, &aim);
                }
            }
        }
    }

    /// What the plan of a service does next.
    fn step(&self, now: Moment, stage: Stage, service: &ServiceName) -> Step {
        let capacity = self.capacity(now, service);
        if capacity.is_empty() {
            return Step::Stay;
        }
        let aim =
            |demand: &Slots| plan::aim(&self.cfg.region, &self.outlook(service, demand, &capacity));
        let told = self.demand.get(service).filter(|demand| !demand.is_empty());
        match (stage, told) {
            (Stage::Waiting, None) | (Stage::Beginning, _) => {
                Step::Begin(aim(&plan::assumed(&self.gateways_by_region(), &capacity)))
            }
            (Stage::Waiting | Stage::Joining, Some(demand)) => Step::Begin(aim(demand)),
            (Stage::Running, Some(demand)) if now < self.demand_at + DEMAND_KEPT => {
                Step::Towards(aim(demand))
            }
            (Stage::Joining | Stage::Settling | Stage::Running, _) => Step::Hold,
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

    fn outlook<'a>(
        &self,
        service: &ServiceName,
        demand: &'a Slots,
        capacity: &'a Slots,
    ) -> Outlook<'a> {
        Outlook {
            demand,
            capacity,
            slots: self.slots_each(service),
            work: self.response_times.get(service).map_or(0.0, ResponseTimes::cached),
            way: self.way_out(),
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

    /// Slots of one endpoint of a service, on average.
    fn slots_each(&self, service: &ServiceName) -> f64 {
        let of = self.endpoints.iter().filter(|e| e.service == *service);
        let (count, slots) = of.fold((0, 0), |(count, slots), e| (count + 1, slots + e.slots));
        f64::from(slots) / f64::from(count.max(1))
    }

    /// Seconds to another region and back, on average.
    fn way_out(&self) -> f64 {
        let learned: f64 = self.ways.values().sum();
        match self.ways.len() {
            0 => FAR,
            count => learned / count as f64,
        }
    }

    /// What is believed of each service of the routes.
    pub fn estimates(&self, now: Moment) -> Vec<ServiceEstimate> {
        let belief = |service: &ServiceName| ServiceEstimate {
            service: service.clone(),
            response_times: self.response_times.get(service).map(ResponseTimes::both).unwrap_or_default(),
            remote_shares: self.plans.get(service).map(Plan::parts).unwrap_or_default(),
            demand: self.demand.get(service).cloned().unwrap_or_default(),
            capacity: self.capacity(now, service),
        };
        self.services.keys().map(belief).collect()
    }
}
