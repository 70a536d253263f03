//! Metrics of an entry.

use std::time::Duration;

use filberthead_types::{Region, ResultCode, ServiceName, Version};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{BoundedPairs, CodeLabels, PairLabels};
use super::requests::RequestFamilies;
use super::{ClientMetrics, PeerMetrics, RequestMetrics};
use super::{drain_histogram, encoded, local_histogram, observe, registry, set};
use crate::samples::{PeriodCounter, PeriodCounters, ServiceSample};

/// Metrics of an entry, shared by all its duties. Callers keep the handles that it returns.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    pairs: BoundedPairs,
    period_counters: PeriodCounters,
    requests: RequestFamilies,
    lookups: Family<CodeLabels, Counter>,
    /// The member of `lookups` for answered ones, resolved in advance because they are far
    /// more frequent than all others.
    answered_lookups: Counter,
    lookup_duration: Histogram,
    slots: Family<PairLabels, Gauge>,
    busy_slots: Family<PairLabels, Gauge>,
    queued: Gauge,
    drains: Family<PairLabels, Histogram, fn() -> Histogram>,
    table_version: Gauge,
    peers: PeerMetrics,
    clients: ClientMetrics,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Self {
        let lookups = Family::<CodeLabels, Counter>::default();
        let answered_lookups = lookups.get_or_create_owned(&ResultCode::LookedUp.into());
        let mut metrics = Self {
            registry: Registry::default(),
            pairs: BoundedPairs::default(),
            period_counters: PeriodCounters::default(),
            requests: RequestFamilies::default(),
            lookups,
            answered_lookups,
            lookup_duration: local_histogram(),
            slots: Family::default(),
            busy_slots: Family::default(),
            queued: Gauge::default(),
            drains: Family::new_with_constructor(drain_histogram),
            table_version: Gauge::default(),
            peers: PeerMetrics::default(),
            clients: ClientMetrics::default(),
        };
        metrics.registry = registry(|registry| metrics.register(registry));
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        self.requests.register(registry);
        registry.register("lookups", "Look-ups by result code", self.lookups.clone());
        let duration = "Time to answer a look-up";
        let histogram = self.lookup_duration.clone();
        registry.register_with_unit("lookup_duration", duration, Unit::Seconds, histogram);
        let slots = "Slots of the endpoints that this entry admits to";
        registry.register("slots", slots, self.slots.clone());
        let busy = "Slots in use of the endpoints that this entry admits to";
        registry.register("busy_slots", busy, self.busy_slots.clone());
        let queued = "Requests that wait for a slot";
        registry.register("queued_requests", queued, self.queued.clone());
        let drains = "Time that drains of endpoints took";
        registry.register_with_unit("drain_duration", drains, Unit::Seconds, self.drains.clone());
        let version = "Version of the table in force";
        registry.register("table_version", version, self.table_version.clone());
        self.peers.register(registry);
        self.clients.register(registry);
    }

    /// The handle for requests of a service that are served in a region. The service must
    /// be in the table: names sent by callers are unbounded.
    pub fn requests(&self, service: &ServiceName, region: &Region) -> RequestMetrics {
        let labels = self.pairs.labels(service, region);
        self.requests
            .handle(labels, self.period_counters.for_pair(service, region))
    }

    /// The handle for the slots of a service in a region.
    pub fn slots(&self, service: &ServiceName, region: &Region) -> SlotMetrics {
        let labels = self.pairs.labels(service, region);
        SlotMetrics {
            slots: self.slots.get_or_create_owned(&labels),
            busy: self.busy_slots.get_or_create_owned(&labels),
            period_counter: self.period_counters.for_pair(service, region),
        }
    }

    /// Counts a look-up that ended after `took`.
    pub fn record_lookup(&self, code: ResultCode, took: Duration) {
        if code == ResultCode::LookedUp {
            self.answered_lookups.inc();
        } else {
            self.lookups.get_or_create_owned(&code.into()).inc();
        }
        observe(&self.lookup_duration, took);
    }

    /// Sets how many requests wait for a slot.
    pub fn set_queued(&self, requests: usize) {
        set(&self.queued, requests as u64);
    }

    /// Records a finished drain of an endpoint: `took` is the time from the first notice
    /// that it leaves until no request of this entry ran there.
    pub fn record_drain(&self, service: &ServiceName, region: &Region, took: Duration) {
        let labels = self.pairs.labels(service, region);
        observe(&self.drains.get_or_create_owned(&labels), took);
        self.period_counters
            .for_pair(service, region)
            .record_drain(took);
    }

    /// Returns what was counted since the last call and resets it. Only the duty that
    /// reports samples to control may call it.
    pub fn take_samples(&self) -> Vec<ServiceSample> {
        self.period_counters.take()
    }

    /// Sets the version of the table in force.
    pub fn set_table_version(&self, version: Version) {
        set(&self.table_version, version.0);
    }

    /// Counters of peer messages and rings.
    pub fn peers(&self) -> &PeerMetrics {
        &self.peers
    }

    /// Metrics of the connections to each port.
    pub fn clients(&self) -> &ClientMetrics {
        &self.clients
    }

    /// The response body of `/metrics`.
    pub fn encode(&self) -> String {
        self.clients.record();
        encoded(&self.registry)
    }
}

/// Slots of a service in a region, of the endpoints that this entry admits requests to.
#[derive(Clone, Debug)]
pub struct SlotMetrics {
    slots: Gauge,
    busy: Gauge,
    period_counter: PeriodCounter,
}

impl SlotMetrics {
    /// Sets how many slots there are and how many are in use. Must be called at a fixed
    /// interval, such as each tick: headroom in samples is the mean over the calls.
    pub fn set(&self, slots: u32, busy: u32) {
        self.period_counter.add_slots(slots, busy);
        self.slots.set(slots.into());
        self.busy.set(busy.into());
    }
}
