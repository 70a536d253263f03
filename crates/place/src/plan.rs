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

/// Utilisation up to which a region keeps its requests: above it the wait for one of a
/// few slots grows faster than the way to another region is long.
const KEEP_UP_TO: f64 = 0.6;
/// Utilisation of all regions that is assumed before anybody has reported demand.
const ASSUMED: f64 = 0.4;
/// Part of the allowed change between windows that the plan takes.
const USED: f64 = 0.3;
/// The window over which change is bounded.
const WINDOW: Duration = Duration::from_secs(2);
/// A smaller difference between plan and aim is left alone: moving objects costs each its
/// first request.
const DEAD_BAND: f64 = 0.04;

/// Slots that requests of a region keep busy, or that a region has.
pub(crate) type Slots = BTreeMap<Region, f64>;

/// Parts of one service's requests, from one region.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Parts that run in other regions.
    away: BTreeMap<Region, f64>,
    updated: Option<Moment>,
}

impl Plan {
    /// Sets parts at once: nothing has moved by the plan before.
    pub(crate) fn begin(&mut self, now: Moment, aim: Slots) {
        self.away = aim;
        self.updated = Some(now);
    }

    /// Keeps the parts as they are.
    pub(crate) fn hold(&mut self, now: Moment) {
        self.updated = Some(now);
    }

    /// Moves towards what demand and capacity ask for.
    pub(crate) fn update(&mut self, now: Moment, max_shift: f64, own: &Region, aim: &Slots) {
        let before = self.updated.replace(now).unwrap_or(now);
        let windows = now.saturating_sub(before).as_secs_f64() / WINDOW.as_secs_f64();
        let step = USED * max_shift * windows.min(1.0);
        let part = |parts: &Slots, region: &Region| parts.get(region).copied().unwrap_or(0.0);
        let regions: Vec<Region> = self.away.keys().chain(aim.keys()).cloned().collect();
        let change: f64 = regions
            .iter()
            .filter(|region| *region != own)
            .map(|region| (part(aim, region) - part(&self.away, region)).abs())
            .fold(0.0, f64::max);
        if change < DEAD_BAND {
            return;
        }
        let scale = (step / change).min(1.0);
        for region in regions {
            let held = part(&self.away, &region);
            let next = held + scale * (part(aim, &region) - held);
            self.away.insert(region, next);
        }
    }

    /// Where an object lives that stands at this place between 0 and 1; `None` at home.
    pub(crate) fn region(&self, place: f64) -> Option<&Region> {
        let mut bound = 0.0;
        self.away.iter().find_map(|(region, part)| {
            bound += part;
            (place < bound).then_some(region)
        })
    }

    /// The parts that run elsewhere.
    pub(crate) fn parts(&self) -> Slots {
        self.away.clone()
    }
}

/// The parts of `own`'s requests that should run in other regions.
pub(crate) fn aim(own: &Region, demand: &Slots, capacity: &Slots) -> Slots {
    let all: f64 = capacity.values().sum();
    let wanted: f64 = demand.values().sum();
    let here = demand.get(own).copied().unwrap_or(0.0);
    if all <= 0.0 || here <= 0.0 {
        return Slots::new();
    }
    let level = KEEP_UP_TO.max(wanted / all);
    let room = |region: &Region| {
        let slots = capacity.get(region).copied().unwrap_or(0.0);
        level * slots - demand.get(region).copied().unwrap_or(0.0)
    };
    let excess = (-room(own)).max(0.0);
    let others = capacity.keys().filter(|region| *region != own);
    let rooms: Slots = others
        .map(|region| (region.clone(), room(region).max(0.0)))
        .collect();
    let total: f64 = rooms.values().sum();
    if excess <= 0.0 || total <= 0.0 {
        return Slots::new();
    }
    // What all regions give away may be more than there is room for; each then gives as
    // much less, and the rest waits at home.
    let out = (excess / here).min(1.0);
    let part = |room: f64| out * room / total;
    rooms.into_iter().map(|(r, room)| (r, part(room))).collect()
}

/// Demand as it is assumed before anybody has reported any: in proportion to gateways.
pub(crate) fn assumed(gateways: &BTreeMap<Region, u32>, capacity: &Slots) -> Slots {
    let all: f64 = capacity.values().sum();
    let count: u32 = gateways.values().sum();
    let each = ASSUMED * all / f64::from(count.max(1));
    let of = |(region, n): (&Region, &u32)| (region.clone(), each * f64::from(*n));
    gateways.iter().map(of).collect()
}
