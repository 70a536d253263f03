//! Finds out from requests that couldn't be served whether a service is short of capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

/// Time over which the requests are counted that a service had no room for.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the requests of a service that must meet a shortage. Single requests are refused or
/// time out on any day.
const MIN_SHORTAGE: f64 = 0.05;

/// Requests of a service in the current second and the one before: how many, and how many were rejected
/// or timed out.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    since: Moment,
    current: (u32, u32),
    last: (u32, u32),
}

impl Counts {
    fn advance(&mut self, now: Moment) {
        if now >= self.since + 2 * WINDOW {
            *self = Self {
                since: now,
                ..Self::default()
            };
        } else if now >= self.since + WINDOW {
            self.since += WINDOW;
            self.last = std::mem::take(&mut self.current);
        }
    }

    fn is_short(&self) -> bool {
        let requests = self.current.0 + self.last.0;
        let unserved = self.current.1 + self.last.1;
        unserved > 0 && f64::from(unserved) >= MIN_SHORTAGE * f64::from(requests)
    }
}

/// The services that are short of capacity at a gateway.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    services: BTreeMap<ServiceName, Counts>,
}

impl Shortages {
    /// Counts a request that has arrived.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName) {
        self.counts(now, service).current.0 += 1;
    }

    /// Counts a request that was rejected or timed out, and returns whether the service is short of capacity.
    pub fn record_unserved(&mut self, now: Moment, service: &ServiceName) -> bool {
        let counts = self.counts(now, service);
        counts.current.1 += 1;
        counts.is_short()
    }

    /// All services, and whether they are short of capacity.
    pub fn update(&mut self, now: Moment) -> impl Iterator<Item = (&ServiceName, bool)> {
        self.services.iter_mut().map(move |(service, counts)| {
            counts.advance(now);
            (service, counts.is_short())
        })
    }

    /// Removes services that the routes don't define any more.
    pub fn retain<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName> + Clone) {
        self.services
            .retain(|name, _| services.clone().any(|service| service == name));
    }

    fn counts(&mut self, now: Moment, service: &ServiceName) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let counts = self.services.entry(service.clone()).or_default();
        counts.advance(now);
        counts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a shortage that single time-outs cause, and against one that never ends.
    #[test]
    fn a_shortage_needs_a_part_of_the_requests_and_ends() {
        let service: ServiceName = "catalogue".parse().expect("a name");
        let mut shortages = Shortages::default();
        let ms = Duration::from_millis;
        for n in 0..100 {
            shortages.record_request(ms(10 * n), &service);
        }
        for _ in 0..4 {
            assert!(!shortages.record_unserved(ms(990), &service));
        }
        assert!(shortages.record_unserved(ms(991), &service));
        assert!(shortages.update(ms(1900)).all(|(_, is_short)| is_short));
        assert!(shortages.update(ms(3000)).all(|(_, is_short)| !is_short));
    }
}
