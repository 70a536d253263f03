//! Why this entry has slots for a service, or none, for log lines.

use std::fmt;
use std::time::Duration;

use filberthead_types::{Epoch, Moment, ServiceName};

use crate::health::Obstacle;
use crate::policy::Policy;
use crate::pool::Pool;

/// What determines the slots that an entry may fill for a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Slots that it may fill now, those of running requests included.
    pub slots: u32,
    /// Endpoints of its failure domain.
    pub endpoints: u32,
    /// Of these, endpoints that are leaving or no longer listed.
    pub leaving: u32,
    /// Endpoints that ask for rest.
    pub resting: u32,
    /// Endpoints that get no requests for a while after failures.
    pub backing_off: u32,
    /// Endpoints that report that they aren't ready.
    pub not_ready: u32,
    /// Endpoints that didn't answer their last probes.
    pub silent: u32,
    /// Slots that it owns.
    pub owned: u32,
    /// Of these, slots reserved for requests of their previous owner.
    pub inherited: u32,
    /// Whether its membership in the roster is in force.
    pub in_force: bool,
    /// Epoch of the roster that it follows.
    pub epoch: Option<Epoch>,
    /// Age of the oldest reading; `None` if an endpoint has none.
    pub oldest_reading: Option<Duration>,
    /// Slots of other entries, by their fresh reports.
    pub elsewhere: u32,
    /// Time since this entry or another one of the failure domain had slots; `None` if none has
    /// had any.
    pub since_available: Option<Duration>,
    /// How long no endpoint of the failure domain has answered; `None` if none is known.
    pub silence: Option<Duration>,
    /// Time since the last tick; much more than a tick's interval if the process is starved.
    pub since_tick: Duration,
}

impl fmt::Display for Availability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "slots={} endpoints={} leaving={} resting={} backing_off={} not_ready={} silent={} owned={} \
             inherited={} in_force={} epoch={} reading_ms={} elsewhere={} available_ms={} \
             silence_ms={} tick_ms={}",
            self.slots,
            self.endpoints,
            self.leaving,
            self.resting,
            self.backing_off,
            self.not_ready,
            self.silent,
            self.owned,
            self.inherited,
            self.in_force,
            self.epoch.map_or(-1, |epoch| epoch.0 as i64),
            millis(self.oldest_reading),
            self.elsewhere,
            millis(self.since_available),
            millis(self.silence),
            self.since_tick.as_millis(),
        )
    }
}

/// The time in milliseconds; -1 for none.
fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}

impl Policy {
    /// What determines the slots for a service.
    pub fn availability(&self, now: Moment, service: &ServiceName) -> Availability {
        let mut availability = Availability {
            slots: self.capacity(now, service),
            in_force: self.ownership.in_force(now),
            epoch: self.ownership.epoch(),
            elsewhere: self.slots_elsewhere(now, service),
            since_available: self
                .last_available
                .get(service)
                .map(|last| now.saturating_sub(*last)),
            silence: self.silence(),
            since_tick: now.saturating_sub(self.last_tick),
            ..Availability::default()
        };
        if let Some(pool) = self.pools.get(service) {
            self.add_endpoints(now, pool, &mut availability);
        }
        availability
    }

    fn slots_elsewhere(&self, now: Moment, service: &ServiceName) -> u32 {
        let peers = self.peers.iter();
        let loads = peers.filter_map(|peer| peer.load(now, service, self.cfg.report_ttl));
        loads
            .filter(|load| load.fresh)
            .map(|load| load.capacity)
            .sum()
    }

    fn add_endpoints(&self, now: Moment, pool: &Pool, to: &mut Availability) {
        let reading_ttl = self.cfg.reading_ttl;
        let ages = pool.endpoints.iter().map(|e| e.health.reading_age(now));
        to.oldest_reading = ages
            .collect::<Option<Vec<_>>>()
            .and_then(|ages| ages.into_iter().max());
        for endpoint in &pool.endpoints {
            to.endpoints += 1;
            to.owned += endpoint.owned_slots();
            to.inherited += endpoint.inherited(now);
            match endpoint.obstacle(now, reading_ttl) {
                Some(Obstacle::Leaving) => to.leaving += 1,
                Some(Obstacle::Resting) => to.resting += 1,
                Some(Obstacle::BackingOff) => to.backing_off += 1,
                Some(Obstacle::NotReady) => to.not_ready += 1,
                Some(Obstacle::Silent) => to.silent += 1,
                None => {}
            }
        }
    }
}
