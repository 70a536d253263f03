//! What the endpoints duty counts: requests by their end, slots, drains of endpoints.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filberthead_observe::{EntryMetrics, RequestMetrics, SlotMetrics};
use filberthead_steer::{EndpointUsage, ServiceUsage};
use filberthead_types::{Moment, NodeName, Region, ResultCode, ServiceName};

/// Handles and the drains that are under way. Lives on the endpoints duty's thread.
#[derive(Debug)]
pub(crate) struct Measures {
    metrics: Arc<EntryMetrics>,
    region: Region,
    requests: HashMap<(ServiceName, Region), RequestMetrics>,
    slots: HashMap<ServiceName, SlotMetrics>,
    drains: BTreeMap<NodeName, Drain>,
}

/// An endpoint that leaves.
#[derive(Debug)]
struct Drain {
    service: ServiceName,
    since: Moment,
    /// Whether its time has been taken.
    done: bool,
}

impl Measures {
    /// Counts for an entry of that region.
    pub(crate) fn new(metrics: Arc<EntryMetrics>, region: Region) -> Self {
        Self {
            metrics,
            region,
            requests: HashMap::new(),
            slots: HashMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// Counts a request that came from a caller and has ended. `region` is where it was
    /// last sent; a request that was sent nowhere counts for this entry's own region.
    pub(crate) fn finished(
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

    /// Takes in what is in use. To be called at a steady pace.
    pub(crate) fn used(&mut self, now: Moment, usage: &[ServiceUsage]) {
        let waiting = usage.iter().map(|service| service.waiting as usize).sum();
        self.metrics.set_queued(waiting);
        for service in usage {
            self.set_slots(service);
            for endpoint in &service.endpoints {
                self.follow_drain(now, &service.service, endpoint);
            }
        }
        self.end_vanished(now, usage);
    }

    fn set_slots(&mut self, usage: &ServiceUsage) {
        let staying = usage.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let slots = staying.map(|endpoint| endpoint.slots).sum();
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

    fn follow_drain(&mut self, now: Moment, service: &ServiceName, endpoint: &EndpointUsage) {
        if !endpoint.leaving {
            self.drains.remove(&endpoint.name);
            return;
        }
        let known = self.drains.contains_key(&endpoint.name);
        // An entry that doesn't admit to the endpoint has nothing to drain, and would
        // report a drain of no time at all beside the one that the owner reports.
        if !known && endpoint.slots == 0 && endpoint.running == 0 {
            return;
        }
        let drain = self.drains.entry(endpoint.name.clone());
        let drain = drain.or_insert_with(|| Drain {
            service: service.clone(),
            since: now,
            done: false,
        });
        if endpoint.running == 0 {
            drain.end(now, &self.metrics, &self.region);
        }
    }

    /// Steering forgets an endpoint that is off every list once nothing runs there.
    fn end_vanished(&mut self, now: Moment, usage: &[ServiceUsage]) {
        let endpoints = usage.iter().flat_map(|service| &service.endpoints);
        let present: Vec<_> = endpoints.map(|endpoint| &endpoint.name).collect();
        let (metrics, region) = (&self.metrics, &self.region);
        self.drains.retain(|name, drain| {
            let stays = present.contains(&name);
            if !stays {
                drain.end(now, metrics, region);
            }
            stays
        });
    }
}

impl Drain {
    fn end(&mut self, now: Moment, metrics: &EntryMetrics, region: &Region) {
        if !self.done {
            self.done = true;
            metrics.record_drain(&self.service, region, now.saturating_sub(self.since));
        }
    }
}
