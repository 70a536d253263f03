//! Response times of a service's requests, by route.
//!
//! Requests of one service may do very different work: a cached object on one route can take as long as an
//! unknown one on another. A single pair of times then fits none of them, and answers count as cached or
//! not by the wrong scale. Under contention control each route has its own pair. Both are always learned, so
//! that the switch finds learned times.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::Moment;

use crate::cost::{Affinity, ResponseTimes};
use crate::{Target, rank};

/// Identity of a route among those of a service: its prefix. It stays the same when the route is renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u64);

impl RouteKey {
    /// The key of the route with this prefix.
    pub fn new(prefix: &str) -> Self {
        Self(rank::hash_name(prefix.as_bytes()))
    }
}

/// Time over which the work of requests is averaged: longer than a moment in which many objects are new at
/// their endpoints, and shorter than the load of a service takes to change for good.
const WORK_AVERAGING: Duration = Duration::from_secs(10);

/// Weight of a new observation in the share of forgotten objects: about the last fifty count.
const FORGOTTEN_WEIGHT: f64 = 0.02;

/// Work that the requests of a service really take, objects that aren't cached included.
///
/// The cached time alone undercounts the demand of a region whose endpoints can hardly remember its
/// objects.
#[derive(Clone, Copy, Debug)]
struct MeanWork {
    /// Moving average in seconds; `None` until the first observation.
    mean: Option<f64>,
    /// Observations since `mean` was updated.
    sum: f64,
    count: u32,
    updated_at: Moment,
}

impl MeanWork {
    fn update(&mut self, now: Moment, initial: f64) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let (sum, count) = (
            std::mem::take(&mut self.sum),
            std::mem::take(&mut self.count),
        );
        if count > 0 {
            let weight = (elapsed.as_secs_f64() / WORK_AVERAGING.as_secs_f64()).min(1.0);
            let before = self.mean.unwrap_or(initial);
            self.mean = Some(before + weight * (sum / f64::from(count) - before));
        }
    }
}

/// The response times of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    /// Those of all its routes together.
    shared: ResponseTimes,
    by_route: HashMap<RouteKey, ResponseTimes>,
    work: MeanWork,
    /// Moving average of the share of requests whose object had been sent to their endpoint and wasn't cached.
    forgotten: f64,
}

impl ServiceTimes {
    /// Initial times. `objective` is the shortest of the routes' objectives.
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            shared: ResponseTimes::new(objective),
            by_route: HashMap::new(),
            work: MeanWork {
                mean: None,
                sum: 0.0,
                count: 0,
                updated_at: Moment::ZERO,
            },
            forgotten: 0.0,
        }
    }

    /// Sets the routes, with their objectives. What was learned about routes that remain is kept.
    pub(crate) fn set_routes(&mut self, objectives: &HashMap<RouteKey, Duration>) {
        self.by_route
            .retain(|route, _| objectives.contains_key(route));
        for (route, objective) in objectives {
            let times = self.by_route.entry(*route);
            times.or_insert_with(|| ResponseTimes::new(*objective));
        }
    }

    /// Records a response time. `tells_work` is whether it says how much work the request was: without a
    /// queue at its endpoint.
    pub(crate) fn record(&mut self, target: &Target, took: Duration, tells_work: bool) {
        let (affinity, has_object) = (target.affinity, target.has_object);
        let shared = self.shared.record(affinity, has_object, took);
        let of_route = self.by_route.get_mut(&target.route);
        let of_route = of_route.map(|times| times.record(affinity, has_object, took));
        let counted = of_route.unwrap_or(shared);
        if tells_work {
            self.work.sum += counted.work;
            self.work.count += 1;
            if affinity == Affinity::Sent {
                let forgotten = f64::from(u8::from(!counted.was_cached));
                self.forgotten += FORGOTTEN_WEIGHT * (forgotten - self.forgotten);
            }
        }
    }

    /// Share of the requests whose object had been sent to their endpoint and wasn't cached there any more.
    pub(crate) fn forgotten(&self) -> f64 {
        self.forgotten
    }

    /// Updates the mean work of requests.
    pub(crate) fn update_work(&mut self, now: Moment) {
        self.work.update(now, self.shared.cached());
    }

    /// Mean work of the service's requests in seconds. Until it was observed, that with cached objects.
    pub(crate) fn mean_work(&self) -> f64 {
        self.work.mean.unwrap_or(self.shared.cached())
    }

    /// The times of all routes together.
    pub(crate) fn shared(&self) -> &ResponseTimes {
        &self.shared
    }

    /// The times of a route; `None` if the service doesn't have it any more.
    pub(crate) fn of_route(&self, route: RouteKey) -> Option<&ResponseTimes> {
        self.by_route.get(&route)
    }
}
