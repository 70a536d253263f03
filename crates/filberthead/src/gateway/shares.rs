//! Division of services that are short of capacity among workspaces.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_allot::{Admission, Offer, ServiceShares, ServiceWork, Shares};
use filberthead_observe::GatewayMetrics;
use filberthead_route::Table;
use filberthead_types::{Moment, ServiceName};
use log::info;

/// Time over which the requests that a service was too short of capacity for are counted.
const SHORTAGE_WINDOW: Duration = Duration::from_secs(1);
/// Part of the requests of a service that must meet a shortage. Single requests are refused or
/// time out on any day.
const MIN_SHORTAGE: f64 = 0.05;

/// Requests of a service in the current second and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    since: Moment,
    /// Requests of workspaces, and refused or timed out attempts and rejected requests.
    current: (u32, u32),
    last: (u32, u32),
}

impl Shortage {
    fn advance(&mut self, now: Moment) {
        if now >= self.since + 2 * SHORTAGE_WINDOW {
            (self.since, self.current, self.last) = (now, (0, 0), (0, 0));
        } else if now >= self.since + SHORTAGE_WINDOW {
            self.since += SHORTAGE_WINDOW;
            self.last = std::mem::take(&mut self.current);
        }
    }

    fn is_short(&self) -> bool {
        let requests = self.current.0 + self.last.0;
        let signs = self.current.1 + self.last.1;
        signs > 0 && f64::from(signs) >= MIN_SHORTAGE * f64::from(requests)
    }
}

/// Admits workspaces by their shares, and finds out which services are short of capacity here.
#[derive(Debug)]
pub(crate) struct FairShares {
    shares: Shares,
    shortages: BTreeMap<ServiceName, Shortage>,
    /// Services whose capacity control divides.
    divided: BTreeSet<ServiceName>,
}

impl FairShares {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            shares: Shares::new(seed),
            shortages: BTreeMap::new(),
            divided: BTreeSet::new(),
        }
    }

    pub(crate) fn set_routes(&mut self, table: &Table) {
        let services = table.services.iter().map(|service| &service.name);
        self.shares.meter().retain(services.clone());
        self.shortages
            .retain(|name, _| services.clone().any(|service| service == name));
    }

    /// Applies the shares that a control replica has sent.
    pub(crate) fn set(&mut self, now: Moment, from: SocketAddr, shares: Vec<ServiceShares>) {
        self.shares.set(now, from, shares);
    }

    /// Decides about a request that has arrived.
    pub(crate) fn admit(&mut self, now: Moment, offer: Offer<'_>) -> Admission {
        self.shortage(now, offer.service).current.0 += 1;
        self.shares.admit(now, offer)
    }

    /// Counts the work of a request that was answered.
    pub(crate) fn record_served(&mut self, now: Moment, service: &ServiceName, work: Duration) {
        self.shares.meter().record_served(now, service, work);
    }

    /// Counts a request that was rejected, or an attempt that was refused or timed out. Returns whether
    /// the service is short of capacity since then.
    pub(crate) fn record_shortage(&mut self, now: Moment, service: &ServiceName) -> bool {
        let shortage = self.shortage(now, service);
        shortage.current.1 += 1;
        shortage.is_short() && self.shares.meter().set_short(now, service, true)
    }

    /// The work at this gateway, for its report to control.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ServiceWork> {
        self.shares.report(now)
    }

    /// Ends shortages that are over, and logs and publishes what has changed.
    pub(crate) fn tick(&mut self, now: Moment, metrics: &GatewayMetrics) {
        for (service, shortage) in &mut self.shortages {
            shortage.advance(now);
            let is_short = shortage.is_short();
            self.shares.meter().set_short(now, service, is_short);
        }
        let divided: BTreeSet<_> = self.shares.divided(now).cloned().collect();
        for service in divided.difference(&self.divided) {
            info!(service:%; "service is short of room");
        }
        for service in self.divided.difference(&divided) {
            info!(service:%; "service has room again");
        }
        metrics.set_shared_services(divided.len());
        self.divided = divided;
    }

    fn shortage(&mut self, now: Moment, service: &ServiceName) -> &mut Shortage {
        if !self.shortages.contains_key(service) {
            self.shortages.insert(service.clone(), Shortage::default());
        }
        let shortage = self.shortages.entry(service.clone()).or_default();
        shortage.advance(now);
        shortage
    }
}
