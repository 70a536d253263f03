//! The time after which an endpoint should have answered.
//!
//! An answer is quick if the endpoint knows the object and slow if it doesn't, several
//! times over, and the difference is what placement by object is worth. Both times are
//! learned from answers, each counted for the one that it is nearer to; and so is how often
//! an endpoint turns out to know an object that this gateway hasn't sent there.

use std::time::Duration;

/// Weight of a new observation: about the last twenty count.
const EWMA_WEIGHT: f64 = 0.05;
/// What is believed before the first answer, as parts of the objective: a service whose
/// objective can be met at all answers within it, and knowing an object saves most of it.
const UNCACHED_PRIOR: f64 = 0.9;
const CACHED_PRIOR: f64 = 0.35;
/// The most that an answer counts as, in parts of the time of an unknown object.
const MAX_OBSERVATION: f64 = 1.25;
/// Places in an object's order that are told apart.
const RANKS: usize = 3;
/// What is believed at first of an endpoint of this region that others may have sent the
/// object to: the first place gets it as long as it has room.
const HIT_RATE_PRIOR: [f64; RANKS] = [0.5, 0.2, 0.1];

/// Free part of an endpoint below which a wait is no longer reckoned to grow without bound.
const MIN_FREE: f64 = 0.02;

/// Learned times of a service's answers, without the way there and the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimes {
    cached: f64,
    uncached: f64,
    hit_rates: [f64; RANKS],
}

/// How an endpoint stands to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// This gateway has sent the object there lately.
    Sent,
    /// Others of this region may have; it stands at this place in the object's order.
    Perhaps(usize),
    /// Nobody is likely to have.
    Stranger,
}

impl ResponseTimes {
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            cached: CACHED_PRIOR * objective.as_secs_f64(),
            uncached: UNCACHED_PRIOR * objective.as_secs_f64(),
            hit_rates: HIT_RATE_PRIOR,
        }
    }

    /// Takes in how long an answer took.
    pub(crate) fn record(&mut self, affinity: Affinity, has_object: bool, took: Duration) {
        // Nothing tells what a request without an object is to be compared with.
        if affinity == Affinity::Stranger && !has_object {
            return;
        }
        // An answer that takes far longer tells of its endpoint, not of the service; only
        // if most do, the time grows step by step.
        let took = took.as_secs_f64().min(MAX_OBSERVATION * self.uncached);
        let was_cached = (took - self.cached).abs() < (took - self.uncached).abs();
        let mean = if was_cached {
            &mut self.cached
        } else {
            &mut self.uncached
        };
        *mean += EWMA_WEIGHT * (took - *mean);
        if let Affinity::Perhaps(rank) = affinity
            && let Some(hit_rate) = self.hit_rates.get_mut(rank)
        {
            *hit_rate += EWMA_WEIGHT * (f64::from(u8::from(was_cached)) - *hit_rate);
        }
    }

    /// Seconds that an answer takes.
    pub(crate) fn expected(&self, affinity: Affinity) -> f64 {
        let hit_rate = match affinity {
            Affinity::Sent => 1.0,
            Affinity::Perhaps(rank) => self.hit_rates.get(rank).copied().unwrap_or(0.0),
            Affinity::Stranger => 0.0,
        };
        hit_rate * self.cached + (1.0 - hit_rate) * self.uncached.max(self.cached)
    }

    /// Times of answers where the object is known, and where it isn't.
    pub(crate) fn both(&self) -> (Duration, Duration) {
        let duration = Duration::from_secs_f64;
        (duration(self.cached), duration(self.uncached))
    }

    /// Seconds that an answer takes where the object is known.
    pub(crate) fn cached(&self) -> f64 {
        self.cached
    }
}

/// Seconds until a slot is free, with `load` requests at `slots` slots that take `each`
/// seconds.
pub(crate) fn slot_wait(load: f64, slots: u32, service_time: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = (load + 1.0 - slots).max(0.0);
    ahead / slots * service_time
}

/// Seconds that a request waits on average at an endpoint of so many slots that is busy for
/// this part of its time, by Sakasegawa's approximation for several servers. Near
/// saturation, where it has no bound, it grows on in proportion.
pub(crate) fn mean_queue_wait(utilisation: f64, slots: f64, service_time: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let free = (1.0 - utilisation).max(MIN_FREE);
    service_time * utilisation.powf(exponent) / (slots.max(1.0) * free)
}
