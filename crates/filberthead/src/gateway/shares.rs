//! Division of services that are short of capacity among workspaces.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_allot::{Admission, Offer, ServiceShares, ServiceWork, Shares, Shortages};
use filberthead_observe::{GatewayMetrics, LogRateLimiter};
use filberthead_route::Table;
use filberthead_types::{Moment, ServiceName, Workspace};
use log::info;

/// Log lines per second about workspaces that ask for more than their share. A workspace close to its
/// share may be above it time and again.
const LOG_LINES_PER_SECOND: u32 = 5;

/// Admits workspaces by their shares, and finds out which services are short of capacity here.
#[derive(Debug)]
pub(crate) struct FairShares {
    shares: Shares,
    shortages: Shortages,
    /// Services whose capacity control divides.
    divided: BTreeSet<ServiceName>,
    /// Workspaces above their share, with the service and priority.
    named: BTreeSet<(ServiceName, u8, Workspace)>,
    /// Rate limit of the log lines about workspaces.
    log_limiter: LogRateLimiter<()>,
}

impl FairShares {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            shares: Shares::new(seed),
            shortages: Shortages::default(),
            divided: BTreeSet::new(),
            named: BTreeSet::new(),
            log_limiter: LogRateLimiter::new(LOG_LINES_PER_SECOND),
        }
    }

    pub(crate) fn set_routes(&mut self, table: &Table) {
        let services = table.services.iter().map(|service| &service.name);
        self.shares.meter().retain(services.clone());
        self.shortages.retain(services);
    }

    /// Applies the shares that a control replica has sent.
    pub(crate) fn set(&mut self, now: Moment, from: SocketAddr, shares: Vec<ServiceShares>) {
        self.shares.set(now, from, shares);
    }

    /// Decides about a request that has arrived.
    pub(crate) fn admit(&mut self, now: Moment, offer: Offer<'_>) -> Admission {
        self.shortages.record_request(now, offer.service);
        self.shares.admit(now, offer)
    }

    /// Records that an admitted request of this workspace and priority, with this work, was rejected and
    /// may come back after some time.
    pub(crate) fn record_rejected(
        &mut self,
        now: Moment,
        service: &ServiceName,
        from: (&Workspace, u8),
        request: (Duration, Duration),
    ) {
        let meter = self.shares.meter();
        meter.record_rejected(now, service, from, request);
    }

    /// Counts the work of a request that was answered.
    pub(crate) fn record_served(&mut self, now: Moment, service: &ServiceName, work: Duration) {
        self.shares.meter().record_served(now, service, work);
    }

    /// Counts a request that was rejected or timed out. Returns whether
    /// the service is short of capacity since then.
    pub(crate) fn record_shortage(&mut self, now: Moment, service: &ServiceName) -> bool {
        self.shortages.record_unserved(now, service)
            && self.shares.meter().set_short(now, service, true)
    }

    /// The work at this gateway, for its report to control.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ServiceWork> {
        self.shares.report(now)
    }

    /// Ends shortages that are over, and logs and publishes what has changed.
    pub(crate) fn tick(&mut self, now: Moment, metrics: &GatewayMetrics) {
        for (service, is_short) in self.shortages.update(now) {
            self.shares.meter().set_short(now, service, is_short);
        }
        let divided: BTreeSet<_> = self.shares.divided(now).cloned().collect();
        for service in divided.difference(&self.divided) {
            info!(service:%; "service is divided among workspaces");
        }
        for service in self.divided.difference(&divided) {
            info!(service:%; "service is no longer divided among workspaces");
        }
        metrics.set_shared_services(divided.len());
        self.divided = divided;
        self.log_named(now);
    }

    /// Logs the workspaces that control has told since the last call to be above their share.
    fn log_named(&mut self, now: Moment) {
        let named: Vec<_> = self.shares.named(now).collect();
        for (service, priority, workspace, ratio) in &named {
            let key = (service.clone(), *priority, workspace.clone());
            if !self.named.contains(&key)
                && let Some(omitted) = self.log_limiter.allow(now, ())
            {
                info!(service:%, workspace = workspace.as_str(), priority, admitted = ratio, omitted;
                    "share of a workspace");
            }
        }
        let keys = named.into_iter();
        let keys = keys.map(|(service, priority, name, _)| (service, priority, name));
        self.named = keys.collect();
    }
}
