//! Which part of a region's requests runs in which region.
//!
//! The load it answers: one region has far fewer endpoints than its callers need while
//! others have room. Sending each request away only when its own region happens to be full
//! would meet endpoints that don't know its object, every time anew. So a part of the
//! *objects* lives elsewhere, and always the same ones: their first request there is slow,
//! all others are as quick as at home but for the way.
//!
//! All gateways of a region compute the plan from the same sums, and an object's place in
//! it from its name, so they agree without talking. Parts change by a bounded step only,
//! so that a region that takes over is met by a ramp.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, Region};

use crate::cost;

/// Utilisation of all regions that is assumed before anybody has reported demand.
const ASSUMED_UTILISATION: f64 = 0.4;
/// How far the busier endpoints of a region are above its utilisation, and the others below,
/// as a part of it: objects have one endpoint each, so that arrivals spread unevenly.
const ENDPOINT_SPREAD: f64 = 0.4;
/// Step of utilisation over which a marginal wait is taken.
const UTILISATION_STEP: f64 = 0.01;
/// Parts that all demand is moved in: finer than what a plan follows.
const QUANTA: f64 = 128.0;
/// Part of the allowed change between windows that the plan takes.
pub(crate) const SHIFT_FRACTION: f64 = 0.3;
/// The same for requests that come home, more slowly than they leave: demand that has fallen
/// may rise again faster than a bounded step can follow, and a region that is short of slots
/// then queues for seconds, while what stays away needs the way and no more.
const RETURN_FRACTION: f64 = 0.075;
/// The window over which change is bounded.
pub(crate) const WINDOW: Duration = Duration::from_secs(2);
/// A smaller difference between plan and aim is left alone: moving objects costs each its
/// first request.
const DEAD_BAND: f64 = 0.04;

/// Slots that requests of a region keep busy, or that a region has.
pub(crate) type SlotsByRegion = BTreeMap<Region, f64>;

/// How fast requests come home.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Pace {
    /// More slowly than they leave.
    SlowReturn,
    /// As they leave.
    Even,
}

/// Parts of one service's requests, from one region.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Parts that run in other regions.
    remote_shares: BTreeMap<Region, f64>,
    updated_at: Option<Moment>,
}

impl Plan {
    /// Sets parts at once: nothing has moved by the plan before.
    pub(crate) fn set(&mut self, now: Moment, target: SlotsByRegion) {
        self.remote_shares = target;
        self.updated_at = Some(now);
    }

    /// Keeps the parts as they are.
    pub(crate) fn hold(&mut self, now: Moment) {
        self.updated_at = Some(now);
    }

    /// Moves towards what demand and capacity ask for.
    pub(crate) fn move_towards(
        &mut self,
        now: Moment,
        max_shift: f64,
        pace: Pace,
        own: &Region,
        target: &SlotsByRegion,
    ) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let windows = now.saturating_sub(before).as_secs_f64() / WINDOW.as_secs_f64();
        let is_growing = target.values().sum::<f64>() >= self.remote_shares.values().sum();
        let pace = match pace {
            Pace::SlowReturn if !is_growing => RETURN_FRACTION,
            Pace::SlowReturn | Pace::Even => SHIFT_FRACTION,
        };
        let step = pace * max_shift * windows.min(1.0);
        let share =
            |shares: &SlotsByRegion, region: &Region| shares.get(region).copied().unwrap_or(0.0);
        let regions: Vec<Region> = self
            .remote_shares
            .keys()
            .chain(target.keys())
            .cloned()
            .collect();
        let change: f64 = regions
            .iter()
            .filter(|region| *region != own)
            .map(|region| (share(target, region) - share(&self.remote_shares, region)).abs())
            .fold(0.0, f64::max);
        if change < DEAD_BAND {
            return;
        }
        let scale = (step / change).min(1.0);
        for region in regions {
            let current = share(&self.remote_shares, &region);
            let next = current + scale * (share(target, &region) - current);
            self.remote_shares.insert(region, next);
        }
    }

    /// Where an object lives that stands at this place between 0 and 1; `None` at home.
    pub(crate) fn region_at(&self, position: f64) -> Option<&Region> {
        let mut bound = 0.0;
        self.remote_shares.iter().find_map(|(region, share)| {
            bound += share;
            (position < bound).then_some(region)
        })
    }

    /// The parts that run elsewhere.
    pub(crate) fn remote_shares(&self) -> SlotsByRegion {
        self.remote_shares.clone()
    }
}

/// What a service's regions are like, as far as a plan goes.
pub(crate) struct ServiceModel<'a> {
    /// Busy slots that each region's callers ask for.
    pub(crate) demand: &'a SlotsByRegion,
    /// Slots that each region has.
    pub(crate) capacity: &'a SlotsByRegion,
    /// Slots of one endpoint, on average.
    pub(crate) slots_per_endpoint: f64,
    /// Seconds that an answer takes where the object is known.
    pub(crate) service_time: f64,
    /// Seconds to another region and back.
    pub(crate) rtt: f64,
}

impl ServiceModel<'_> {
    /// Seconds that requests of a region wait for a slot at this utilisation, on average.
    ///
    /// Requests for a few objects don't spread evenly, so some endpoints are busier than
    /// others and the wait is averaged over them.
    fn mean_wait(&self, utilisation: f64) -> f64 {
        let at = |part: f64| {
            part * cost::mean_queue_wait(
                part * utilisation,
                self.slots_per_endpoint,
                self.service_time,
            )
        };
        (at(1.0 - ENDPOINT_SPREAD) + 2.0 * at(1.0) + at(1.0 + ENDPOINT_SPREAD)) / 4.0
    }

    /// Seconds by which one more request makes all requests of a region wait longer.
    fn marginal_wait(&self, utilisation: f64) -> f64 {
        let total_wait = |utilisation: f64| utilisation * self.mean_wait(utilisation);
        (total_wait(utilisation + UTILISATION_STEP) - total_wait(utilisation)) / UTILISATION_STEP
    }

    /// Demand by region once no request gains any more by going elsewhere.
    fn balanced(&self) -> SlotsByRegion {
        let mut load: SlotsByRegion = self.capacity.keys().map(|r| (r.clone(), 0.0)).collect();
        load.extend(self.demand.iter().map(|(r, d)| (r.clone(), *d)));
        let quantum = self.demand.values().sum::<f64>() / QUANTA;
        for _ in 0..QUANTA as usize {
            let Some((source, destination)) = self.best_move(&load, quantum) else {
                break;
            };
            *load.entry(source).or_default() -= quantum;
            *load.entry(destination).or_default() += quantum;
        }
        load
    }

    /// From which region to which a quantum of demand gains most by moving; `None` if it
    /// gains nothing.
    fn best_move(&self, load: &SlotsByRegion, quantum: f64) -> Option<(Region, Region)> {
        let marginal = |region: &Region, load: f64| {
            let slots = self.capacity.get(region).copied().unwrap_or(0.0);
            self.marginal_wait(load / slots.max(0.01))
        };
        let (source, gained) = load
            .iter()
            .filter(|(_, load)| **load >= quantum)
            .map(|(region, load)| (region, marginal(region, *load)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        let (destination, lost) = load
            .iter()
            .map(|(region, load)| (region, marginal(region, load + quantum)))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        (gained > lost + self.rtt).then(|| (source.clone(), destination.clone()))
    }
}

/// The parts of `own`'s requests that should run in other regions.
///
/// A region keeps requests until the wait that one more of them causes to all is longer
/// than the way to where it would cause less.
pub(crate) fn target_shares(own: &Region, model: &ServiceModel<'_>) -> SlotsByRegion {
    let local_demand = model.demand.get(own).copied().unwrap_or(0.0);
    if local_demand <= 0.0 {
        return SlotsByRegion::new();
    }
    let balanced = model.balanced();
    let gain = |region: &Region| {
        let demand = model.demand.get(region).copied().unwrap_or(0.0);
        balanced.get(region).copied().unwrap_or(0.0) - demand
    };
    let leaving = (-gain(own)).max(0.0) / local_demand;
    let others = balanced.keys().filter(|region| *region != own);
    let gains: SlotsByRegion = others
        .map(|region| (region.clone(), gain(region).max(0.0)))
        .collect();
    let total: f64 = gains.values().sum();
    if leaving <= 0.0 || total <= 0.0 {
        return SlotsByRegion::new();
    }
    // Whoever gives, gives to all in proportion to what they take, so that a small change
    // of demand moves few objects.
    gains
        .into_iter()
        .map(|(region, gained)| (region, leaving * gained / total))
        .collect()
}

/// Demand as it is assumed before anybody has reported any: in proportion to gateways.
pub(crate) fn assumed_demand(
    gateways: &BTreeMap<Region, u32>,
    capacity: &SlotsByRegion,
) -> SlotsByRegion {
    let slots: f64 = capacity.values().sum();
    let count: u32 = gateways.values().sum();
    let per_gateway = ASSUMED_UTILISATION * slots / f64::from(count.max(1));
    let demand_of =
        |(region, count): (&Region, &u32)| (region.clone(), per_gateway * f64::from(*count));
    gateways.iter().map(demand_of).collect()
}
