//! The control side: adds up the work at all gateways and divides the capacity of services.

use std::collections::{BTreeMap, HashMap};

use filberthead_types::{Moment, ServiceName, Workspace};

use super::capacity::Capacity;
use super::fairness::{Demand, fair_levels};
use super::messages::ratio_to_milli;
use super::{MAX_NAMED, OtherShare, PRIORITIES, ServiceShares, ServiceWork, Share, class};
use crate::usage::from_milli;

/// Part of the gateways with requests for a service that must see it short of capacity. A few may do
/// because of a fault of their own.
const SHORT_AT: f64 = 0.2;

/// Factor on its share up to which a workspace isn't refused. What a workspace asks for within a second
/// varies by chance, and so do shares, which are what others leave.
const TOLERANCE: f64 = 1.15;

/// A service whose capacity is divided, for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct DividedService {
    /// The service.
    pub service: ServiceName,
    /// Work that it can serve, in busy slots.
    pub capacity: f64,
    /// Work that workspaces ask for.
    pub offered: f64,
    /// Work of answered requests.
    pub served: f64,
}

/// Sums over all gateways for one service.
#[derive(Debug, Default)]
struct Sums<'a> {
    gateways: usize,
    short: usize,
    served: f64,
    named: [HashMap<&'a Workspace, f64>; PRIORITIES],
    /// Work of the others, and how often they were counted.
    others: [(f64, f64); PRIORITIES],
}

/// The capacity of all services.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    capacities: BTreeMap<ServiceName, Capacity>,
    divided: Vec<DividedService>,
}

impl SharePool {
    /// Divides capacity by the last reports of the live gateways. `workspaces` is the number of
    /// workspaces that the routes define.
    pub fn update<'a>(
        &mut self,
        now: Moment,
        workspaces: usize,
        reports: impl IntoIterator<Item = &'a ServiceWork>,
    ) -> Vec<ServiceShares> {
        let sums = sum_up(reports);
        self.divided.clear();
        self.capacities
            .retain(|service, _| sums.contains_key(service));
        let mut shares = Vec::new();
        for (service, sums) in sums {
            let capacity = self.capacities.entry(service.clone()).or_default();
            let offered = sums.offered();
            let is_short = sums.short > 0 && sums.short as f64 >= SHORT_AT * sums.gateways as f64;
            let Some(capacity) = capacity.update(now, sums.served, offered, is_short) else {
                continue;
            };
            self.divided.push(DividedService {
                service: service.clone(),
                capacity,
                offered,
                served: sums.served,
            });
            shares.push(sums.divide(service, capacity, workspaces));
        }
        shares
    }

    /// The services whose capacity was divided by the last update.
    pub fn divided(&self) -> &[DividedService] {
        &self.divided
    }
}

fn sum_up<'a>(
    reports: impl IntoIterator<Item = &'a ServiceWork>,
) -> BTreeMap<&'a ServiceName, Sums<'a>> {
    let mut all: BTreeMap<&ServiceName, Sums<'_>> = BTreeMap::new();
    for report in reports {
        let sums = all.entry(&report.service).or_default();
        sums.gateways += 1;
        sums.short += usize::from(report.is_short);
        sums.served += from_milli(report.served_milli);
        for named in &report.largest {
            let by_workspace = &mut sums.named[class(named.priority)];
            *by_workspace.entry(&named.workspace).or_default() += from_milli(named.offered_milli);
        }
        for others in &report.others {
            let (work, count) = &mut sums.others[class(others.priority)];
            *work += from_milli(others.offered_milli);
            *count += f64::from(others.workspaces);
        }
    }
    all
}

impl Sums<'_> {
    fn offered(&self) -> f64 {
        let named = self.named.iter().flat_map(HashMap::values).sum::<f64>();
        named + self.others.iter().map(|(work, _)| work).sum::<f64>()
    }

    /// What each of the others of a priority asks for on average. Gateways count the same workspace again,
    /// also if others name it, so there are at most as many as the routes define.
    fn others(&self, class: usize, workspaces: usize) -> Option<Demand> {
        let (work, counted) = self.others[class];
        let count = counted.min(workspaces as f64);
        (count > 0.0).then(|| Demand {
            each: work / count,
            count,
        })
    }

    fn divide(&self, service: &ServiceName, capacity: f64, workspaces: usize) -> ServiceShares {
        let others: [Option<Demand>; PRIORITIES] =
            std::array::from_fn(|class| self.others(class, workspaces));
        let mut demands: [Vec<Demand>; PRIORITIES] = std::array::from_fn(|class| {
            let named = self.named[class].values();
            let named = named.map(|work| Demand::one(*work));
            named.chain(others[class]).collect()
        });
        let levels = fair_levels(capacity, &mut demands);
        let mut above = Vec::new();
        for (class, named) in self.named.iter().enumerate() {
            let level = levels[class];
            let over = named.iter().filter(|(_, work)| **work > TOLERANCE * level);
            above.extend(over.map(|(name, work)| (class, *name, *work, level)));
        }
        let excess = |(_, _, work, level): &(usize, &Workspace, f64, f64)| work - level;
        above.sort_unstable_by(|a, b| {
            let by_excess = excess(b).total_cmp(&excess(a));
            by_excess.then_with(|| (a.0, a.1).cmp(&(b.0, b.1)))
        });
        let (told, untold) = above.split_at(above.len().min(MAX_NAMED));
        let share = |(class, name, work, level): &(usize, &Workspace, f64, f64)| Share {
            workspace: (*name).clone(),
            priority: *class as u8,
            ratio_milli: ratio_to_milli(level / work),
        };
        let other_shares = (0..PRIORITIES).filter_map(|class| {
            let level = levels[class];
            let of_class = |item: &&(usize, &Workspace, f64, f64)| item.0 == class;
            let told: f64 = told.iter().filter(of_class).map(|item| item.2).sum();
            let named: f64 = self.named[class].values().sum();
            let unnamed_over = others[class].filter(|demand| demand.each > TOLERANCE * level);
            if unnamed_over.is_none() && !untold.iter().any(|item| item.0 == class) {
                return None;
            }
            let asked = named + self.others[class].0 - told;
            let excess = untold.iter().filter(of_class).map(excess).sum::<f64>()
                + unnamed_over.map_or(0.0, |demand| (demand.each - level) * demand.count);
            Some(OtherShare {
                priority: class as u8,
                ratio_milli: ratio_to_milli(((asked - excess) / asked).clamp(0.0, 1.0)),
            })
        });
        ServiceShares {
            service: service.clone(),
            shares: told.iter().map(share).collect(),
            others: other_shares.collect(),
        }
    }
}
