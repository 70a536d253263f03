//! What each place for a request costs.
//!
//! Within the region the row's objective chooses: `latency` takes the place with the
//! least expected time, `headroom` the one that is least full. Another region is
//! taken when the hop costs less than the wait at home plus the price of a slot there.
//!
//! The price is the dual variable of the region's capacity. Without it every request
//! chooses for itself alone: all of a full region's requests then wait for as long as
//! the hop to another one takes, where sending away a few leaves the others next to no
//! wait. It rises while the region's load is over the objective's target and falls
//! below; a row that favours headroom has the lower target. The idea is from Dragster's
//! online saddle point method; of its capacity estimates nothing is used here, because
//! slots are counted exactly.

use std::time::Duration;

use filberthead_table::Objective;
use filberthead_types::{Moment, NodeName, Region, ServiceName};

use crate::RequestInfo;
use crate::config::Config;
use crate::peers::{Peer, PeerLoad};
use crate::policy::{Class, Policy};
use crate::pool::Pool;

/// Load difference, in parts of the slots, that is worth a hop within the failure
/// domain, and to another one of the region.
const NEAR_PENALTY: f64 = 0.01;
const REGION_PENALTY: f64 = 0.30;
/// Added for a place that is full, so that any with a slot goes before it.
const FULL_PENALTY: f64 = 1.0;
/// Time that a part of the slots is worth between places that are equally quick.
const TIE_SECONDS: f64 = 0.002;
/// Filled part of a region's slots above which their price rises.
const LATENCY_TARGET: f64 = 0.85;
const HEADROOM_TARGET: f64 = 0.80;
/// Weight of a tick in the mean filled part of the own slots: over about 2 s.
const MEAN_GAIN: f64 = 0.05;
/// Rise of the price at each tick, in seconds for each part of the slots over target.
const PRICE_GAIN: f64 = 0.05;

/// The best place for a request.
#[derive(Debug)]
pub(crate) enum Best {
    Here,
    Entry(NodeName),
    Nowhere,
}

#[derive(Debug)]
struct Candidate<'a> {
    seconds: f64,
    fullness: f64,
    /// Mean filled part of its slots.
    mean: f64,
    /// `None` for this entry.
    peer: Option<&'a Peer>,
}

impl Candidate<'_> {
    fn new(load: PeerLoad, hop: Duration, penalty: f64) -> Self {
        Self {
            seconds: hop.as_secs_f64() + load.hold_seconds + wait_seconds(load),
            fullness: fullness(load) + penalty,
            mean: load.mean,
            peer: None,
        }
    }

    fn cost(&self, objective: Objective) -> f64 {
        match objective {
            Objective::Latency => self.seconds + TIE_SECONDS * self.fullness,
            Objective::Headroom => self.fullness,
        }
    }

    fn best(&self) -> Best {
        match self.peer {
            Some(peer) => Best::Entry(peer.info.name.clone()),
            None => Best::Here,
        }
    }
}

impl Policy {
    pub(crate) fn best(
        &self,
        now: Moment,
        req: &RequestInfo,
        class: Class,
        objective: Objective,
        draw: f64,
    ) -> Best {
        let here = self.here(now, req, class);
        if !self.cfg.spillover || req.forwarded_by.is_some() {
            return here.map_or(Best::Nowhere, |here| here.best());
        }
        let home = self.regions.home(&req.service, req.caller);
        let is_near = |peer: &&Peer| peer.info.region == self.cfg.region;
        let near = self.peers.iter().filter(is_near);
        let near: Vec<_> = near
            .filter_map(|peer| self.there(now, req, home, peer))
            .collect();
        let near = match here {
            Some(here) if objective == Objective::Headroom => Some(self.balance(here, near, draw)),
            here => near
                .into_iter()
                .chain(here)
                .min_by(|a, b| a.cost(objective).total_cmp(&b.cost(objective))),
        };
        let far = self.peers.iter().filter(|peer| !is_near(peer));
        let by_time = Objective::Latency;
        let far = far
            .filter_map(|peer| self.there(now, req, home, peer))
            .min_by(|a, b| a.cost(by_time).total_cmp(&b.cost(by_time)));
        match (near, far) {
            (Some(near), Some(far)) if far.seconds < near.seconds + self.price(req) => far.best(),
            (Some(near), _) => near.best(),
            (None, Some(far)) => far.best(),
            (None, None) => Best::Nowhere,
        }
    }

    /// Levels the mean loads of a region's failure domains: of the requests that come to
    /// the fuller one, half of the difference goes to the emptiest other one. By chance
    /// and by means, since moments of a few slots say nothing, and a report that many
    /// entries act on at once would only move the peak.
    fn balance<'a>(
        &self,
        here: Candidate<'a>,
        near: Vec<Candidate<'a>>,
        draw: f64,
    ) -> Candidate<'a> {
        let full = here.fullness > FULL_PENALTY;
        let emptiest = if full {
            near.into_iter()
                .min_by(|a, b| a.fullness.total_cmp(&b.fullness))
        } else {
            near.into_iter().min_by(|a, b| a.mean.total_cmp(&b.mean))
        };
        match emptiest {
            Some(other) if full && other.fullness < here.fullness => other,
            Some(other) if !full && draw < (here.mean - other.mean) / (2.0 * here.mean) => other,
            _ => here,
        }
    }

    /// This entry, unless the request can't run or wait here.
    fn here(&self, now: Moment, req: &RequestInfo, class: Class) -> Option<Candidate<'_>> {
        let pool = self.pools.get(&req.service)?;
        let capacity = self.capacity(now, &req.service);
        if capacity == 0 || pool.waiting() as usize >= self.cfg.queue {
            return None;
        }
        if class == Class::Shifted && self.shift_room(now, &req.service) == 0 {
            return None;
        }
        let load = PeerLoad {
            capacity,
            load: pool.running + pool.waiting(),
            running: pool.running,
            fresh: true,
            mean: pool.mean_utilisation,
            shift_room: 0,
            hold_seconds: pool.hold_time.seconds(),
        };
        let left = req.deadline.saturating_sub(now).as_secs_f64();
        let in_time = wait_seconds(load) < left;
        in_time.then(|| Candidate::new(load, Duration::ZERO, 0.0))
    }

    /// Another entry, unless it can't take the request.
    fn there<'a>(
        &self,
        now: Moment,
        req: &RequestInfo,
        home: Option<&Region>,
        peer: &'a Peer,
    ) -> Option<Candidate<'a>> {
        let info = &peer.info;
        if info.leaving || req.tried.contains(&info.name) {
            return None;
        }
        // Without a proven table nothing says which region may take what, so requests
        // stay in the failure domain, where the endpoints' own word is at hand.
        if !self.regions.known() && info.failure_domain != self.cfg.failure_domain {
            return None;
        }
        let load = peer.load(now, &req.service, self.cfg.report_ttl)?;
        let shifted = home.is_some_and(|home| *home != info.region);
        if shifted && load.shift_room == 0 {
            return None;
        }
        // A drained region still takes its own callers while the shift is held back.
        let own_caller = home.is_some_and(|home| *home == info.region);
        if !own_caller && !self.regions.takes(&req.service, &info.region) {
            return None;
        }
        let penalty = if info.failure_domain == self.cfg.failure_domain {
            NEAR_PENALTY
        } else {
            REGION_PENALTY
        };
        let mut candidate = Candidate::new(load, peer.hop, penalty);
        candidate.peer = Some(peer);
        Some(candidate)
    }

    fn price(&self, req: &RequestInfo) -> f64 {
        self.pools.get(&req.service).map_or(0.0, |pool| pool.price)
    }

    /// Takes stock of the regions' loads, and moves the prices of slots by the load of
    /// the own one.
    pub(crate) fn tick_loads(&mut self, now: Moment) {
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            let own = self.cfg.region.clone();
            let stock = self.stock(now, &service, &own);
            let objective = self.regions.objective(&service, &own);
            let capacity = self.capacity(now, &service);
            if let Some(pool) = self.pools.get_mut(&service) {
                let filled = f64::from(pool.running) / f64::from(capacity.max(1));
                pool.mean_utilisation += MEAN_GAIN * (filled - pool.mean_utilisation);
                if let Some(load) = stock.load() {
                    move_price(pool, load, objective, &self.cfg);
                }
            }
            if self.cfg.adjust_weights {
                let mut regions = std::mem::take(&mut self.regions);
                regions.load(&service, |region| {
                    self.stock(now, &service, region).filled()
                });
                self.regions = regions;
            }
        }
    }

    /// What a region's entries have reported.
    fn stock(&self, now: Moment, service: &ServiceName, region: &Region) -> Stock {
        let mut stock = Stock::default();
        if *region == self.cfg.region
            && let Some(pool) = self.pools.get(service)
        {
            stock.capacity += pool.capacity(now, &self.cfg);
            stock.running += pool.running;
            stock.load += pool.running + pool.waiting();
        }
        let there = self.peers.iter().filter(|peer| peer.info.region == *region);
        for peer in there {
            let there = peer.load(now, service, self.cfg.report_ttl);
            if let Some(there) = there.filter(|there| there.fresh) {
                stock.capacity += there.capacity;
                stock.running += there.running;
                stock.load += there.load;
            }
        }
        stock
    }
}

/// Slots of a region and what is in them.
#[derive(Clone, Copy, Debug, Default)]
struct Stock {
    capacity: u32,
    /// Requests that run, as reported.
    running: u32,
    /// Those, and all that wait or are on their way.
    load: u32,
}

impl Stock {
    fn load(self) -> Option<f64> {
        self.part(self.load)
    }

    fn filled(self) -> Option<f64> {
        self.part(self.running)
    }

    fn part(self, requests: u32) -> Option<f64> {
        (self.capacity > 0).then(|| f64::from(requests) / f64::from(self.capacity))
    }
}

fn move_price(pool: &mut Pool, filled: f64, objective: Objective, cfg: &Config) {
    let target = match objective {
        Objective::Latency => LATENCY_TARGET,
        Objective::Headroom => HEADROOM_TARGET,
    };
    let most = 2.0 * cfg.rtt_inter_region.as_secs_f64();
    pool.price = (pool.price + PRICE_GAIN * (filled - target)).clamp(0.0, most);
}

/// Expected wait for a slot: every request ahead of those that run takes a turn.
fn wait_seconds(load: PeerLoad) -> f64 {
    let ahead = (load.load + 1).saturating_sub(load.capacity);
    f64::from(ahead) * load.hold_seconds / f64::from(load.capacity.max(1))
}

/// How full the place would be with the request.
fn fullness(load: PeerLoad) -> f64 {
    let filled = f64::from(load.load + 1) / f64::from(load.capacity.max(1));
    let full = if load.load >= load.capacity {
        FULL_PENALTY
    } else {
        0.0
    };
    filled + full
}
