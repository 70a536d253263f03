//! Measures the expected work of workspaces at one gateway.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName, Workspace};

use super::capacity::Capacity;
use super::fairness::{Demand, fair_level, fair_levels};
use super::{MAX_NAMED, OtherWork, PRIORITIES, ServiceWork, WorkspaceWork, class};
use crate::rate::Rate;
use crate::usage::to_milli;

/// Time over which reported work is averaged: two report periods, as a gateway has few requests of a
/// workspace in one.
const AVERAGING: Duration = Duration::from_secs(1);
/// Time over which work is averaged that is compared between workspaces of this gateway alone. A
/// shorter one would make the workspace that has just sent a request look large.
const LOCAL_AVERAGING: Duration = Duration::from_secs(5);
/// Work below which a workspace is forgotten, in busy slots.
const MIN_TRACKED: f64 = 0.000_5;
/// How long a rejected request usually comes back: the deadlines of callers are 2 to 12 s. So one that is
/// rejected each time counts about once.
const RETURNS_FOR: Duration = Duration::from_secs(5);
/// How long levels derived from this gateway's counts are used at least, and per workspace. To derive them
/// takes about 150 ns for each workspace; with 10,000, doing so every 100 ms made an admission take 29 µs on
/// average. Each of so many has few requests, and the levels change slowly.
const LEVELS_TTL: Duration = Duration::from_millis(100);
const LEVELS_TTL_PER_WORKSPACE: Duration = Duration::from_micros(500);
/// Factor on the work of workspaces that control names, so that their sums include all gateways.
const NAMED_WEIGHT: f64 = 4.0;

/// Work of a workspace at one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkMeter {
    pub(super) offered: Rate,
    pub(super) local: Rate,
    /// Work that may be sent by the ratio; `None` before it was first applied.
    pub(super) credit: Option<f64>,
}

impl WorkMeter {
    /// The work asked for, as compared with that of other workspaces at this gateway.
    pub(super) fn local(&self, now: Moment) -> f64 {
        self.local.get(now, LOCAL_AVERAGING)
    }
}

/// Work at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceMeter {
    is_short: bool,
    served: Rate,
    workspaces: [HashMap<Workspace, WorkMeter>; PRIORITIES],
    /// What this gateway by itself can have served.
    capacity: Capacity,
    /// Levels by this gateway's own capacity, and when they expire.
    own_levels: ([f64; PRIORITIES], Moment),
    /// The levels at which this part of a priority's work is admitted, and when they expire.
    part_levels: [(f64, f64, Moment); PRIORITIES],
}

/// Measures what workspaces ask of services, and what is served.
#[derive(Clone, Debug, Default)]
pub struct ShareMeter {
    services: HashMap<ServiceName, ServiceMeter>,
}

impl ShareMeter {
    /// Sets whether a service is short of capacity at this gateway: requests wait or are rejected.
    /// Returns whether that has changed.
    pub fn set_short(&mut self, now: Moment, service: &ServiceName, is_short: bool) -> bool {
        if !is_short && !self.services.contains_key(service) {
            return false;
        }
        let meter = self.service(service);
        let has_changed = std::mem::replace(&mut meter.is_short, is_short) != is_short;
        if has_changed {
            meter.own_levels.1 = now;
        }
        has_changed
    }

    /// Whether a service is short of capacity at this gateway.
    pub fn is_short(&self, service: &ServiceName) -> bool {
        let meter = self.services.get(service);
        meter.is_some_and(|meter| meter.is_short)
    }

    /// Counts work that a workspace asks for.
    pub fn record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        (workspace, priority): (&Workspace, u8),
        work: Duration,
    ) {
        let meter = self.service(service).workspace(workspace, priority);
        let work = work.as_secs_f64();
        meter.offered.record(now, work, AVERAGING);
        meter.local.record(now, work, LOCAL_AVERAGING);
    }

    /// Records that an admitted request was rejected and may come back after some time. What comes back
    /// soon, and so often, counts as that much less: it isn't more work.
    pub fn record_rejected(
        &mut self,
        now: Moment,
        service: &ServiceName,
        (workspace, priority): (&Workspace, u8),
        (work, retry_after): (Duration, Duration),
    ) {
        let counted = (retry_after.as_secs_f64() / RETURNS_FOR.as_secs_f64()).min(1.0);
        let excess = work.as_secs_f64() * (1.0 - counted);
        let meter = self.service(service).workspace(workspace, priority);
        meter.offered.record(now, -excess, AVERAGING);
        meter.local.record(now, -excess, LOCAL_AVERAGING);
    }

    /// Counts work of a workspace's request that was answered.
    pub fn record_served(&mut self, now: Moment, service: &ServiceName, work: Duration) {
        let meter = self.service(service);
        meter.served.record(now, work.as_secs_f64(), AVERAGING);
    }

    /// Removes services that the routes don't define any more.
    pub fn retain<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName> + Clone) {
        self.services
            .retain(|name, _| services.clone().any(|service| service == name));
    }

    /// The work at this gateway, for its report to control. `is_named` tells whether control divides
    /// the capacity of a service, and then whether it names a workspace.
    pub fn report(
        &mut self,
        now: Moment,
        is_divided: impl Fn(&ServiceName) -> bool,
        is_named: impl Fn(&ServiceName, usize, &Workspace) -> bool,
    ) -> Vec<ServiceWork> {
        let mut reports = Vec::new();
        for (service, meter) in &mut self.services {
            meter.forget_idle(now);
            let mut report = ServiceWork {
                service: service.clone(),
                is_short: meter.is_short,
                served_milli: to_milli(meter.served.get(now, AVERAGING)),
                largest: Vec::new(),
                others: Vec::new(),
            };
            if meter.is_short || is_divided(service) {
                meter.add_offered(now, &mut report, |class, name| {
                    is_named(service, class, name)
                });
            }
            if report.is_short || report.served_milli > 0 || !report.largest.is_empty() {
                reports.push(report);
            }
        }
        reports.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        reports
    }

    pub(super) fn service(&mut self, service: &ServiceName) -> &mut ServiceMeter {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceMeter::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}

impl ServiceMeter {
    pub(super) fn workspace(&mut self, workspace: &Workspace, priority: u8) -> &mut WorkMeter {
        let workspaces = &mut self.workspaces[class(priority)];
        workspaces.entry(workspace.clone()).or_default()
    }

    fn forget_idle(&mut self, now: Moment) {
        for workspaces in &mut self.workspaces {
            workspaces.retain(|_, meter| meter.local(now) >= MIN_TRACKED);
        }
    }

    /// Adds what workspaces ask for to a report.
    fn add_offered(
        &self,
        now: Moment,
        report: &mut ServiceWork,
        is_named: impl Fn(usize, &Workspace) -> bool,
    ) {
        let by_class = self.workspaces.iter().enumerate();
        let all = by_class.flat_map(|(class, workspaces)| {
            workspaces
                .iter()
                .map(move |(name, meter)| (class, name, meter.offered.get(now, AVERAGING)))
        });
        let mut all: Vec<_> = all
            .filter(|(_, _, work)| *work >= MIN_TRACKED)
            .map(|(class, name, work)| {
                let weight = if is_named(class, name) {
                    NAMED_WEIGHT
                } else {
                    1.0
                };
                (class, name, work, work * weight)
            })
            .collect();
        if all.len() > MAX_NAMED {
            let by_rank = |a: &(_, _, _, f64), b: &(_, _, _, f64)| b.3.total_cmp(&a.3);
            all.select_nth_unstable_by(MAX_NAMED, by_rank);
        }
        let named = all.len().min(MAX_NAMED);
        let (largest, others) = all.split_at(named);
        report.largest = largest
            .iter()
            .map(|(class, name, work, _)| WorkspaceWork {
                workspace: (*name).clone(),
                priority: *class as u8,
                offered_milli: to_milli(*work),
            })
            .collect();
        report
            .largest
            .sort_unstable_by_key(|named| Reverse(named.offered_milli));
        let mut sums = [(0.0, 0_u32); PRIORITIES];
        for (class, _, work, _) in others {
            sums[*class].0 += work;
            sums[*class].1 += 1;
        }
        let sums = sums.iter().enumerate().filter(|(_, (_, count))| *count > 0);
        report.others = sums
            .map(|(class, (work, count))| OtherWork {
                priority: class as u8,
                offered_milli: to_milli(*work),
                workspaces: *count,
            })
            .collect();
    }

    /// The work per workspace at which this part of the work of a priority is admitted here, except that
    /// of workspaces that control names. It keeps small workspaces from being refused for large ones.
    pub(super) fn part_level(
        &mut self,
        now: Moment,
        priority: u8,
        ratio: f64,
        is_named: impl Fn(&Workspace) -> bool,
    ) -> f64 {
        let class = class(priority);
        let (level, of_ratio, expires) = self.part_levels[class];
        if now < expires && of_ratio == ratio {
            return level;
        }
        let others = self.workspaces[class].iter();
        let others = others.filter(|(name, _)| !is_named(name));
        let mut demands: Vec<_> = others.map(|(_, m)| Demand::one(m.local(now))).collect();
        let ttl = levels_ttl(demands.len());
        let sum: f64 = demands.iter().map(|demand| demand.each).sum();
        let level = fair_level(ratio * sum, &mut demands);
        self.part_levels[class] = (level, ratio, now + ttl);
        level
    }

    /// The work per workspace that this gateway admits by its own counts.
    pub(super) fn own_level(&mut self, now: Moment, priority: u8) -> f64 {
        if now >= self.own_levels.1 {
            let workspaces = self.workspaces.iter().map(HashMap::len).sum();
            self.own_levels = (self.compute_own_levels(now), now + levels_ttl(workspaces));
        }
        self.own_levels.0[class(priority)]
    }

    fn compute_own_levels(&mut self, now: Moment) -> [f64; PRIORITIES] {
        let demands_of = |workspaces: &HashMap<Workspace, WorkMeter>| {
            let meters = workspaces.values();
            meters.map(|m| Demand::one(m.local(now))).collect()
        };
        let mut demands: [Vec<Demand>; PRIORITIES] = self.workspaces.each_ref().map(demands_of);
        let offered = demands.iter().flatten().map(|demand| demand.each).sum();
        let served = self.served.get(now, AVERAGING);
        match self.capacity.update(now, served, offered, self.is_short) {
            Some(capacity) => fair_levels(capacity, &mut demands),
            None => [f64::INFINITY; PRIORITIES],
        }
    }
}

/// How long levels are used that are derived from so many workspaces.
fn levels_ttl(workspaces: usize) -> Duration {
    let by_count = LEVELS_TTL_PER_WORKSPACE * u32::try_from(workspaces).unwrap_or(u32::MAX);
    LEVELS_TTL.max(by_count)
}
