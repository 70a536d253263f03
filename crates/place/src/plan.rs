//! Computes which share of a region's requests runs in which region.
//!
//! One region may have far fewer endpoints than its callers need while others have capacity.
//! If requests were sent away individually whenever their region is full, they would arrive,
//! every time, at endpoints that don't have their object cached. So a share of the *objects* is
//! placed in other regions, and always the same ones: their first request there is slow, all
//! others are as fast as in the own region except for the round trip.
//!
//! All gateways of a region compute the plan from the same sums, and an object's position in
//! it from its name, so they agree without communication. Shares change by a bounded step
//! only, so that the load of the region that takes over ramps up.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, Region};

use crate::cost;

/// Utilisation of all regions that is assumed until demand was reported.
const ASSUMED_UTILISATION: f64 = 0.4;
/// How far the busier endpoints of a region are above its utilisation, and the others below
/// it, relative to it: each object has one endpoint, so arrivals spread unevenly.
const ENDPOINT_SPREAD: f64 = 0.4;
/// Step of utilisation over which the marginal wait is computed.
const UTILISATION_STEP: f64 = 0.01;
/// Number of quanta in which demand is moved: finer than what a plan follows.
const QUANTA: f64 = 128.0;
/// Share of the permitted change between windows that the plan uses.
pub(crate) const SHIFT_FRACTION: f64 = 0.3;
/// The same for requests that move back to their own region, more slowly than they left it.
/// Demand that has decreased may increase again faster than a bounded step can follow, and a
/// region that is short of slots then queues for seconds, while requests that stay in another
/// region only cost the round trip.
const RETURN_FRACTION: f64 = 0.075;
/// The window over which change is limited.
pub(crate) const WINDOW: Duration = Duration::from_secs(2);
/// A smaller difference between plan and target is ignored (hysteresis): moving an object
/// costs it a slow first request.
const DEAD_BAND: f64 = 0.04;

/// A value for each region: busy or available slots, or a share of requests.
pub(crate) type SlotsByRegion = BTreeMap<Region, f64>;

/// How fast requests move back to their own region.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Pace {
    /// More slowly than they left it.
    SlowReturn,
    /// As fast as they left it.
    Even,
}

/// Where the requests of one service run that one region receives.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Share of the requests that run in each other region.
    remote_shares: BTreeMap<Region, f64>,
    updated_at: Option<Moment>,
}

impl Plan {
    /// Sets the shares in one step; for the start, when no requests have moved yet.
    pub(crate) fn set(&mut self, now: Moment, target: SlotsByRegion) {
        self.remote_shares = target;
        self.updated_at = Some(now);
    }

    /// Keeps the shares. The time that bounds the next step starts now.
    pub(crate) fn hold(&mut self, now: Moment) {
        self.updated_at = Some(now);
    }

    /// Moves the shares towards a target by a bounded step.
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

    /// Region of an object at a position between 0 and 1; `None` is the own region.
    pub(crate) fn region_at(&self, position: f64) -> Option<&Region> {
        let mut bound = 0.0;
        self.remote_shares.iter().find_map(|(region, share)| {
            bound += share;
            (position < bound).then_some(region)
        })
    }

    /// Share of the requests that run in each other region.
    pub(crate) fn remote_shares(&self) -> SlotsByRegion {
        self.remote_shares.clone()
    }
}

/// What a plan assumes about the regions of a service.
pub(crate) struct ServiceModel<'a> {
    /// Busy slots that the callers of each region need.
    pub(crate) demand: &'a SlotsByRegion,
    /// Slots that each region has.
    pub(crate) capacity: &'a SlotsByRegion,
    /// Mean number of slots of an endpoint.
    pub(crate) slots_per_endpoint: f64,
    /// Seconds that a response takes: with the object cached, or on average under contention control.
    pub(crate) service_time: f64,
    /// Round trip to another region in seconds.
    pub(crate) rtt: f64,
}

impl ServiceModel<'_> {
    /// Mean time in seconds that requests of a region wait for a slot at this utilisation.
    ///
    /// Requests for a few objects don't spread evenly, so some endpoints are busier than
    /// others, and the wait is averaged over them.
    fn mean_wait(&self, utilisation: f64) -> f64 {
        let wait_at = |relative_load: f64| {
            relative_load
                * cost::mean_queue_wait(
                    relative_load * utilisation,
                    self.slots_per_endpoint,
                    self.service_time,
                )
        };
        (wait_at(1.0 - ENDPOINT_SPREAD) + 2.0 * wait_at(1.0) + wait_at(1.0 + ENDPOINT_SPREAD)) / 4.0
    }

    /// Increase of the total wait of a region's requests, in seconds, for each additional
    /// request.
    fn marginal_wait(&self, utilisation: f64) -> f64 {
        let total_wait = |utilisation: f64| utilisation * self.mean_wait(utilisation);
        (total_wait(utilisation + UTILISATION_STEP) - total_wait(utilisation)) / UTILISATION_STEP
    }

    /// Demand of each region once no request gains by moving to another one.
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

    /// Source and destination of the move of one quantum of demand that gains most; `None` if
    /// no move gains anything.
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

/// The shares of `own`'s requests that should run in other regions.
///
/// A region keeps its requests until the wait that one more of them adds to all others is
/// longer than the round trip to a region where it would add less.
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
    // Requests are moved to all destinations in proportion to their gain, so that a small
    // change of demand moves few objects.
    gains
        .into_iter()
        .map(|(region, gained)| (region, leaving * gained / total))
        .collect()
}

/// Demand that is assumed until it was reported: in proportion to the gateways of each region.
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
