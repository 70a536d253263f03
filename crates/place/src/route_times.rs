//! Response times of a service's requests, by route.
//!
//! Requests of one service may do very different work: a cached object on one route can take as long as an
//! unknown one on another. A single pair of times then fits none of them, and answers count as cached or
//! not by the wrong scale. Under contention control each route has its own pair. Both are always learned, so
//! that the switch finds learned times.

use std::collections::HashMap;
use std::time::Duration;

use crate::cost::{Affinity, ResponseTimes};
use crate::rank;

/// Identity of a route among those of a service: its prefix. It stays the same when the route is renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u64);

impl RouteKey {
    /// The key of the route with this prefix.
    pub fn new(prefix: &str) -> Self {
        Self(rank::hash_name(prefix.as_bytes()))
    }
}

/// The response times of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTimes {
    /// Those of all its routes together.
    shared: ResponseTimes,
    by_route: HashMap<RouteKey, ResponseTimes>,
}

impl ServiceTimes {
    /// Initial times. `objective` is the shortest of the routes' objectives.
    pub(crate) fn new(objective: Duration) -> Self {
        Self {
            shared: ResponseTimes::new(objective),
            by_route: HashMap::new(),
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

    /// Records a response time.
    pub(crate) fn record(
        &mut self,
        route: RouteKey,
        affinity: Affinity,
        has_object: bool,
        took: Duration,
    ) {
        self.shared.record(affinity, has_object, took);
        if let Some(times) = self.by_route.get_mut(&route) {
            times.record(affinity, has_object, took);
        }
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
