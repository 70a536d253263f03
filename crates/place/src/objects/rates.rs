//! How many objects a service has, and how much work each of them is.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::Moment;

/// Objects that are counted; further ones are ignored until others expire.
const MAX_OBJECTS: usize = 4096;
/// How long an object counts after its last request. A gateway sees each object every 8 to 20 s.
const OBJECT_TTL: Duration = Duration::from_secs(60);
/// Half-life of an object's rate.
const RATE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Requests from which the number of objects is estimated.
const MIN_REQUESTS: u32 = 30;
/// Share of the requests for objects seen before from which it is estimated.
const MIN_COVERAGE: f64 = 0.2;
/// Part of an endpoint's slots that one object may keep busy before it gets another endpoint.
const ENDPOINT_PART: f64 = 0.5;
/// Requests within the half-life that tell an object's rate; fewer are chance.
const MIN_SIGHTINGS: f64 = 6.0;
/// How much an object's rate has to fall below what its endpoints are for before it loses one.
const RELEASE_FACTOR: f64 = 1.5;
/// Most endpoints of an object in one order.
const MAX_COPIES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Seen {
    requests: u32,
    /// Decayed sum of the requests, and of their expected work in seconds.
    recent: f64,
    recent_work: f64,
    at: Moment,
    copies: usize,
}

impl Seen {
    fn decay(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.at);
        0.5_f64.powf(age.as_secs_f64() / RATE_HALF_LIFE.as_secs_f64())
    }
}

/// The objects of one service that this gateway has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectRates {
    seen: HashMap<u64, Seen>,
    /// Requests for these objects, and the objects that were requested once.
    requests: u32,
    seen_once: u32,
}

impl ObjectRates {
    /// Records a request for an object that is expected to take `work` seconds.
    pub(crate) fn record(&mut self, now: Moment, object: u64, work: f64) {
        let is_known = self.seen.contains_key(&object);
        if !is_known && self.seen.len() >= MAX_OBJECTS {
            return;
        }
        let seen = self.seen.entry(object).or_insert(Seen {
            requests: 0,
            recent: 0.0,
            recent_work: 0.0,
            at: now,
            copies: 1,
        });
        let decay = seen.decay(now);
        seen.recent = seen.recent * decay + 1.0;
        seen.recent_work = seen.recent_work * decay + work;
        seen.at = now;
        seen.requests += 1;
        self.requests += 1;
        match seen.requests {
            1 => self.seen_once += 1,
            2 => self.seen_once -= 1,
            _ => {}
        }
    }

    /// Forgets objects that haven't been requested for a while.
    pub(crate) fn expire(&mut self, now: Moment) {
        let (requests, seen_once) = (&mut self.requests, &mut self.seen_once);
        self.seen.retain(|_, seen| {
            let is_kept = now < seen.at + OBJECT_TTL;
            if !is_kept {
                *requests -= seen.requests;
                *seen_once -= u32::from(seen.requests == 1);
            }
            is_kept
        });
    }

    /// Estimated number of the service's objects, those included that this gateway hasn't seen yet; `None`
    /// while it has seen too little. The share of requests for objects seen only once estimates the
    /// share of requests that are for unseen ones (Good and Turing).
    pub(crate) fn estimated_count(&self) -> Option<f64> {
        if self.requests < MIN_REQUESTS {
            return None;
        }
        let coverage = 1.0 - f64::from(self.seen_once) / f64::from(self.requests);
        (coverage >= MIN_COVERAGE).then(|| self.seen.len() as f64 / coverage)
    }

    /// Sets how many endpoints each object has: one more when its rate of work at all gateways outgrows a
    /// part of those that it has, and one fewer once it is clearly below.
    pub(crate) fn update_copies(&mut self, now: Moment, slots: u32, gateways: Option<u32>) {
        let gateways = f64::from(gateways.unwrap_or(1));
        let part = ENDPOINT_PART * f64::from(slots);
        let per_s = std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        for seen in self.seen.values_mut() {
            let decay = seen.decay(now);
            let busy = seen.recent_work * decay * per_s * gateways;
            let needed = |busy: f64| (busy / part).ceil().max(1.0) as usize;
            let is_told = seen.recent * decay >= MIN_SIGHTINGS;
            if is_told && needed(busy) > seen.copies {
                seen.copies = (seen.copies + 1).min(MAX_COPIES);
            } else if needed(busy * RELEASE_FACTOR) < seen.copies {
                seen.copies -= 1;
            }
        }
    }

    /// Endpoints of an object in one order of endpoints.
    pub(crate) fn copies(&self, object: u64) -> usize {
        self.seen.get(&object).map_or(1, |seen| seen.copies)
    }

    /// All objects.
    pub(crate) fn objects(&self) -> impl Iterator<Item = u64> {
        self.seen.keys().copied()
    }
}
