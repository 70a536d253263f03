//! Estimates the time after which an endpoint responds.
//!
//! A response is fast if the endpoint has the object cached and several times slower if it
//! hasn't; the difference is what placement by object gains. Both times are learned from
//! responses, each counted for the time that it is nearer to. So is the rate at which an
//! endpoint turns out to have an object cached that this gateway hasn't sent there.

use std::time::Duration;

/// Weight of a new observation: about the last twenty count.
const EWMA_WEIGHT: f64 = 0.05;
/// Assumed response times before the first response, as parts of the objective: a service
/// whose objective is achievable responds within it, and a cached object saves most of the
/// time.
const UNCACHED_PRIOR: f64 = 0.9;
const CACHED_PRIOR: f64 = 0.35;
/// Upper limit of an observed response time, as a multiple of the time of an object that isn't
/// cached.
const MAX_OBSERVATION: f64 = 1.25;
/// Leading ranks of an object's order of endpoints whose hit rates are learned separately.
const RANKS: usize = 3;
/// Initial hit rates of endpoints in this region that other gateways may have sent the object
/// to: the first one in the order receives it as long as it has free slots.
const HIT_RATE_PRIOR: [f64; RANKS] = [0.5, 0.2, 0.1];

/// Free share of an endpoint below which the estimated wait stops growing without bound.
const MIN_FREE: f64 = 0.02;

/// Learned response times of a service in seconds, without the network round trip and the wait
/// for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimes {
    cached: f64,
    uncached: f64,
    hit_rates: [f64; RANKS],
}

/// Whether an endpoint is expected to have an object cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// This gateway has sent the object there recently.
    Sent,
    /// Other gateways of the region may have; the endpoint has this rank in the object's
    /// order.
    Perhaps(usize),
    /// Probably no gateway has.
    Stranger,
}

/// What a response time counted as.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counted {
    /// The learned time in seconds that it counted for.
    pub(crate) work: f64,
    /// Whether the object was cached.
    pub(crate) was_cached: bool,
}

impl ResponseTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            cached: CACHED_PRIOR * objective.as_secs_f64(),
            uncached: UNCACHED_PRIOR * objective.as_secs_f64(),
            hit_rates: HIT_RATE_PRIOR,
        }
    }

    /// Records a response time.
    pub(crate) fn record(
        &mut self,
        affinity: Affinity,
        has_object: bool,
        took: Duration,
    ) -> Counted {
        // Without an object, there is no expectation to compare the time with.
        if affinity == Affinity::Stranger && !has_object {
            return Counted {
                work: took.as_secs_f64().min(MAX_OBSERVATION * self.uncached),
                was_cached: false,
            };
        }
        // A much longer response time is due to its endpoint, not to the service. If most
        // responses take that long, the estimate rises step by step.
        let took = took.as_secs_f64().min(MAX_OBSERVATION * self.uncached);
        let was_cached = (took - self.cached).abs() < (took - self.uncached).abs();
        let mean = if was_cached {
            &mut self.cached
        } else {
            &mut self.uncached
        };
        *mean += EWMA_WEIGHT * (took - *mean);
        let work = *mean;
        if let Affinity::Perhaps(rank) = affinity
            && let Some(hit_rate) = self.hit_rates.get_mut(rank)
        {
            *hit_rate += EWMA_WEIGHT * (f64::from(u8::from(was_cached)) - *hit_rate);
        }
        Counted { work, was_cached }
    }

    /// Whether the first endpoint in an object's order usually has it cached, as other gateways send it
    /// there too.
    pub(crate) fn is_usually_cached(&self) -> bool {
        self.hit_rates[0] >= 0.5
    }

    /// Expected response time in seconds.
    pub(crate) fn expected(&self, affinity: Affinity) -> f64 {
        let hit_rate = match affinity {
            Affinity::Sent => 1.0,
            Affinity::Perhaps(rank) => self.hit_rates.get(rank).copied().unwrap_or(0.0),
            Affinity::Stranger => 0.0,
        };
        hit_rate * self.cached + (1.0 - hit_rate) * self.uncached.max(self.cached)
    }

    /// Response times with the object cached and not cached.
    pub(crate) fn both(&self) -> (Duration, Duration) {
        let duration = Duration::from_secs_f64;
        (duration(self.cached), duration(self.uncached))
    }

    /// Response time in seconds with the object cached.
    pub(crate) fn cached(&self) -> f64 {
        self.cached
    }
}

/// Seconds until a slot is free, with `load` requests that take `service_time` seconds each at
/// `slots` slots.
pub(crate) fn slot_wait(load: f64, slots: u32, service_time: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = (load + 1.0 - slots).max(0.0);
    ahead / slots * service_time
}

/// Mean wait in seconds at an endpoint with `slots` slots and this utilisation, by
/// Sakasegawa's approximation for multiple servers. Near saturation, where the formula is
/// unbounded, the wait keeps growing in proportion.
pub(crate) fn mean_queue_wait(utilisation: f64, slots: f64, service_time: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let free = (1.0 - utilisation).max(MIN_FREE);
    service_time * utilisation.powf(exponent) / (slots.max(1.0) * free)
}
