//! Selection of the entry that runs a request, by cost.
//!
//! Within the region the row's objective decides: `latency` selects the entry with the
//! lowest expected time, `headroom` the least full one. A request goes to another region
//! if its expected time there, round trip included, is below the expected time in the own
//! region plus the price of a slot in the own region.
//!
//! The price is the dual variable of the region's capacity. Without it each request would
//! minimise its own time only: all requests of a full region would then wait for as long
//! as the round trip to another region takes, whereas moving a few of them leaves the
//! others almost no wait. The price rises while the region's load is above the objective's
//! target and falls while it is below; the `headroom` objective has the lower target. The
//! idea is from Dragster's online saddle point method. Its capacity estimates aren't used,
//! because slots are counted exactly.

use std::time::Duration;

use filberthead_table::Objective;
use filberthead_types::{Moment, NodeName, Region, ServiceName};

use crate::RequestInfo;
use crate::config::Config;
use crate::peers::{Peer, PeerLoad};
use crate::policy::{Class, Policy};
use crate::pool::Pool;

/// Difference in utilisation that outweighs forwarding to another entry of the failure
/// domain, and to another failure domain of the region.
const DOMAIN_PENALTY: f64 = 0.01;
const REGION_PENALTY: f64 = 0.30;
/// Added for a full entry, so that any entry with a free slot ranks before it.
const FULL_PENALTY: f64 = 1.0;
/// Seconds that a fullness of 1 adds to the cost under the `latency` objective, so that the
/// emptier of two equally fast entries is selected.
const FULLNESS_SECONDS: f64 = 0.002;
/// Load of a region, relative to its slots, above which the price of a slot rises.
const LATENCY_TARGET_UTILISATION: f64 = 0.85;
const HEADROOM_TARGET_UTILISATION: f64 = 0.80;
/// Weight of a tick in the mean utilisation of the own slots: a mean over about 2 s.
const UTILISATION_GAIN: f64 = 0.05;
/// Change of the price at each tick: seconds per unit of load above the target.
const PRICE_GAIN: f64 = 0.05;

/// The entry selected for a request.
#[derive(Debug)]
pub(crate) enum Target {
    /// This entry.
    Local,
    Entry(NodeName),
    /// No entry can run it in time.
    Unavailable,
}

#[derive(Debug)]
struct Candidate<'a> {
    /// Expected time of the request there: round trip, wait and hold time.
    seconds: f64,
    /// Utilisation with the request, plus penalties.
    fullness: f64,
    /// Mean utilisation of its slots.
    mean_utilisation: f64,
    /// `None` for this entry.
    peer: Option<&'a Peer>,
}

impl Candidate<'_> {
    fn new(load: PeerLoad, rtt: Duration, penalty: f64) -> Self {
        Self {
            seconds: rtt.as_secs_f64() + load.hold_seconds + wait_seconds(load),
            fullness: fullness(load) + penalty,
            mean_utilisation: load.mean_utilisation,
            peer: None,
        }
    }

    fn cost(&self, objective: Objective) -> f64 {
        match objective {
            Objective::Latency => self.seconds + FULLNESS_SECONDS * self.fullness,
            Objective::Headroom => self.fullness,
        }
    }

    fn target(&self) -> Target {
        match self.peer {
            Some(peer) => Target::Entry(peer.info.name.clone()),
            None => Target::Local,
        }
    }
}

impl Policy {
    pub(crate) fn select_target(
        &self,
        now: Moment,
        req: &RequestInfo,
        class: Class,
        objective: Objective,
        random_unit: f64,
    ) -> Target {
        let local = self.local_candidate(now, req, class);
        if !self.cfg.spillover || req.forwarded_by.is_some() {
            return local.map_or(Target::Unavailable, |local| local.target());
        }
        let home = self.regions.home_region(&req.service, req.caller);
        let is_in_region = |peer: &&Peer| peer.info.region == self.cfg.region;
        let in_region = self.peers.iter().filter(is_in_region);
        let in_region: Vec<_> = in_region
            .filter_map(|peer| self.peer_candidate(now, req, home, peer))
            .collect();
        let in_region = match local {
            Some(local) if objective == Objective::Headroom => {
                Some(self.balance(local, in_region, random_unit))
            }
            local => in_region
                .into_iter()
                .chain(local)
                .min_by(|a, b| a.cost(objective).total_cmp(&b.cost(objective))),
        };
        let elsewhere = self.peers.iter().filter(|peer| !is_in_region(peer));
        let by_latency = Objective::Latency;
        let elsewhere = elsewhere
            .filter_map(|peer| self.peer_candidate(now, req, home, peer))
            .min_by(|a, b| a.cost(by_latency).total_cmp(&b.cost(by_latency)));
        match (in_region, elsewhere) {
            (Some(in_region), Some(elsewhere))
                if elsewhere.seconds < in_region.seconds + self.price(req) =>
            {
                elsewhere.target()
            }
            (Some(in_region), _) => in_region.target(),
            (None, Some(elsewhere)) => elsewhere.target(),
            (None, None) => Target::Unavailable,
        }
    }

    /// Evens out the mean utilisation of the entries in the region: a request at a fuller
    /// entry goes to the least loaded other one with a probability of half the relative
    /// difference. Means are used because momentary values of a few slots are noise, and the
    /// choice is random because many entries that act on one report at once would only move
    /// the peak.
    fn balance<'a>(
        &self,
        local: Candidate<'a>,
        in_region: Vec<Candidate<'a>>,
        random_unit: f64,
    ) -> Candidate<'a> {
        let full = local.fullness > FULL_PENALTY;
        let least_loaded = if full {
            in_region
                .into_iter()
                .min_by(|a, b| a.fullness.total_cmp(&b.fullness))
        } else {
            in_region
                .into_iter()
                .min_by(|a, b| a.mean_utilisation.total_cmp(&b.mean_utilisation))
        };
        match least_loaded {
            Some(other) if full && other.fullness < local.fullness => other,
            Some(other)
                if !full
                    && random_unit
                        < (local.mean_utilisation - other.mean_utilisation)
                            / (2.0 * local.mean_utilisation) =>
            {
                other
            }
            _ => local,
        }
    }

    /// This entry as a candidate; `None` if the request can't run or wait here.
    fn local_candidate(
        &self,
        now: Moment,
        req: &RequestInfo,
        class: Class,
    ) -> Option<Candidate<'_>> {
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
            outstanding: pool.running + pool.waiting(),
            running: pool.running,
            fresh: true,
            mean_utilisation: pool.mean_utilisation,
            shift_room: 0,
            hold_seconds: pool.hold_time.seconds(),
        };
        let remaining = req.deadline.saturating_sub(now).as_secs_f64();
        let starts_in_time = wait_seconds(load) < remaining;
        starts_in_time.then(|| Candidate::new(load, Duration::ZERO, 0.0))
    }

    /// Another entry as a candidate; `None` if the request can't be sent there.
    fn peer_candidate<'a>(
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
        // Without a proven table it is unknown which region may serve what, so requests
        // stay in the failure domain, where the endpoints' own readings are available.
        if !self.regions.has_table() && info.failure_domain != self.cfg.failure_domain {
            return None;
        }
        let load = peer.load(now, &req.service, self.cfg.report_ttl)?;
        let shifted = home.is_some_and(|home| *home != info.region);
        if shifted && load.shift_room == 0 {
            return None;
        }
        // A drained region still serves its own callers until they may be shifted.
        let own_caller = home.is_some_and(|home| *home == info.region);
        if !own_caller && !self.regions.accepts_traffic(&req.service, &info.region) {
            return None;
        }
        let penalty = if info.failure_domain == self.cfg.failure_domain {
            DOMAIN_PENALTY
        } else {
            REGION_PENALTY
        };
        let mut candidate = Candidate::new(load, peer.rtt, penalty);
        candidate.peer = Some(peer);
        Some(candidate)
    }

    fn price(&self, req: &RequestInfo) -> f64 {
        self.pools.get(&req.service).map_or(0.0, |pool| pool.price)
    }

    /// Updates the regions' mean utilisations, and the price of a slot by the own region's
    /// load.
    pub(crate) fn update_loads(&mut self, now: Moment) {
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            let own = self.cfg.region.clone();
            let region_load = self.region_load(now, &service, &own);
            let objective = self.regions.objective(&service, &own);
            let capacity = self.capacity(now, &service);
            if let Some(pool) = self.pools.get_mut(&service) {
                let utilisation = f64::from(pool.running) / f64::from(capacity.max(1));
                pool.mean_utilisation += UTILISATION_GAIN * (utilisation - pool.mean_utilisation);
                if let Some(load) = region_load.load() {
                    adjust_price(pool, load, objective, &self.cfg);
                }
            }
            if self.cfg.adjust_weights {
                let mut regions = std::mem::take(&mut self.regions);
                regions.record_loads(&service, |region| {
                    self.region_load(now, &service, region).utilisation()
                });
                self.regions = regions;
            }
        }
    }

    /// Sum of the fresh reports of a region's entries, and of this entry's counts in its own
    /// region.
    fn region_load(&self, now: Moment, service: &ServiceName, region: &Region) -> RegionLoad {
        let mut region_load = RegionLoad::default();
        if *region == self.cfg.region
            && let Some(pool) = self.pools.get(service)
        {
            region_load.capacity += pool.capacity(now, &self.cfg);
            region_load.running += pool.running;
            region_load.outstanding += pool.running + pool.waiting();
        }
        let peers = self.peers.iter().filter(|peer| peer.info.region == *region);
        for peer in peers {
            let load = peer.load(now, service, self.cfg.report_ttl);
            if let Some(load) = load.filter(|load| load.fresh) {
                region_load.capacity += load.capacity;
                region_load.running += load.running;
                region_load.outstanding += load.outstanding;
            }
        }
        region_load
    }
}

/// Slots of a region and the requests for them.
#[derive(Clone, Copy, Debug, Default)]
struct RegionLoad {
    capacity: u32,
    /// Running requests.
    running: u32,
    /// Running, queued and recently sent requests.
    outstanding: u32,
}

impl RegionLoad {
    /// Outstanding requests per slot; over 1 with a queue. `None` without slots.
    fn load(self) -> Option<f64> {
        self.ratio(self.outstanding)
    }

    /// Running requests per slot; `None` without slots.
    fn utilisation(self) -> Option<f64> {
        self.ratio(self.running)
    }

    fn ratio(self, requests: u32) -> Option<f64> {
        (self.capacity > 0).then(|| f64::from(requests) / f64::from(self.capacity))
    }
}

fn adjust_price(pool: &mut Pool, load: f64, objective: Objective, cfg: &Config) {
    let target = match objective {
        Objective::Latency => LATENCY_TARGET_UTILISATION,
        Objective::Headroom => HEADROOM_TARGET_UTILISATION,
    };
    let max_price = 2.0 * cfg.rtt_inter_region.as_secs_f64();
    pool.price = (pool.price + PRICE_GAIN * (load - target)).clamp(0.0, max_price);
}

/// Expected wait for a slot, in seconds: the queue ahead shrinks by `capacity` requests per
/// hold time.
fn wait_seconds(load: PeerLoad) -> f64 {
    let ahead = (load.outstanding + 1).saturating_sub(load.capacity);
    f64::from(ahead) * load.hold_seconds / f64::from(load.capacity.max(1))
}

/// Utilisation with the request added, plus [`FULL_PENALTY`] without a free slot.
fn fullness(load: PeerLoad) -> f64 {
    let utilisation = f64::from(load.outstanding + 1) / f64::from(load.capacity.max(1));
    let penalty = if load.outstanding >= load.capacity {
        FULL_PENALTY
    } else {
        0.0
    };
    utilisation + penalty
}
