//! Metrics of the endpoints duty: finished requests, slots, drains of endpoints.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filberthead_observe::{EntryMetrics, RequestMetrics, SlotMetrics};
use filberthead_steer::{EndpointUsage, ServiceUsage};
use filberthead_types::{Moment, NodeName, Region, ResultCode, ServiceName};

/// Metric handles, created on first use, and the drains in progress. Owned by the
/// endpoints duty's thread.
#[derive(Debug)]
pub(crate) struct Measures {
    metrics: Arc<EntryMetrics>,
    region: Region,
    requests: HashMap<(ServiceName, Region), RequestMetrics>,
    slots: HashMap<ServiceName, SlotMetrics>,
    drains: BTreeMap<NodeName, Drain>,
}

/// The drain of an endpoint that is leaving.
#[derive(Debug)]
struct Drain {
    service: ServiceName,
    since: Moment,
    /// Whether its duration has been recorded.
    recorded: bool,
}

impl Measures {
    /// Creates the metrics of an entry in `region`.
    pub(crate) fn new(metrics: Arc<EntryMetrics>, region: Region) -> Self {
        Self {
            metrics,
            region,
            requests: HashMap::new(),
            slots: HashMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// Records a finished request of a caller. `region` is where it was last sent; `None`
    /// counts for this entry's own region.
    pub(crate) fn record_request(
        &mut self,
        service: &ServiceName,
        region: Option<Region>,
        code: ResultCode,
        took: Duration,
    ) {
        let region = region.unwrap_or_else(|| self.region.clone());
        let metrics = &self.metrics;
        self.requests
            .entry((service.clone(), region))
            .or_insert_with_key(|(service, region)| metrics.requests(service, region))
            .record(code, took);
    }

    /// Records the slots in use, the queue and the drains. Must be called at a regular
    /// interval.
    pub(crate) fn record_usage(&mut self, now: Moment, usage: &[ServiceUsage]) {
        let waiting = usage.iter().map(|service| service.waiting as usize).sum();
        self.metrics.set_queued(waiting);
        for service in usage {
            self.set_slots(service);
            for endpoint in &service.endpoints {
                self.track_drain(now, &service.service, endpoint);
            }
        }
        self.end_drains_of_removed(now, usage);
    }

    fn set_slots(&mut self, usage: &ServiceUsage) {
        let active = usage.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let slots = active.map(|endpoint| endpoint.slots).sum();
        let busy = usage
            .endpoints
            .iter()
            .map(|endpoint| endpoint.running)
            .sum();
        let (metrics, region) = (&self.metrics, &self.region);
        self.slots
            .entry(usage.service.clone())
            .or_insert_with_key(|service| metrics.slots(service, region))
            .set(slots, busy);
    }

    fn track_drain(&mut self, now: Moment, service: &ServiceName, endpoint: &EndpointUsage) {
        if !endpoint.leaving {
            self.drains.remove(&endpoint.name);
            return;
        }
        let tracked = self.drains.contains_key(&endpoint.name);
        // An entry that doesn't admit requests to the endpoint has nothing to drain: it
        // would report a drain of zero duration next to the one that the owner reports.
        if !tracked && endpoint.slots == 0 && endpoint.running == 0 {
            return;
        }
        let drain = self.drains.entry(endpoint.name.clone());
        let drain = drain.or_insert_with(|| Drain {
            service: service.clone(),
            since: now,
            recorded: false,
        });
        if endpoint.running == 0 {
            drain.end(now, &self.metrics, &self.region);
        }
    }

    /// Ends the drains of endpoints that steering no longer reports: it drops an endpoint
    /// that is on no list once nothing runs there.
    fn end_drains_of_removed(&mut self, now: Moment, usage: &[ServiceUsage]) {
        let endpoints = usage.iter().flat_map(|service| &service.endpoints);
        let present: Vec<_> = endpoints.map(|endpoint| &endpoint.name).collect();
        let (metrics, region) = (&self.metrics, &self.region);
        self.drains.retain(|name, drain| {
            let is_present = present.contains(&name);
            if !is_present {
                drain.end(now, metrics, region);
            }
            is_present
        });
    }
}

impl Drain {
    fn end(&mut self, now: Moment, metrics: &EntryMetrics, region: &Region) {
        if !self.recorded {
            self.recorded = true;
            metrics.record_drain(&self.service, region, now.saturating_sub(self.since));
        }
    }
}
