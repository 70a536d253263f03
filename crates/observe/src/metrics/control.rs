//! Metrics of a control replica.

use std::time::Duration;

use filberthead_types::{Epoch, ResultCode, Version};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{CodeLabels, ResultLabels};
use super::{ClientMetrics, PeerMetrics};
use super::{encoded, local_histogram, observe, registry, set, wait_histogram};

/// How an operator's order ended at the replica that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It is in force.
    InForce,
    /// Other orders about the failure domain were committed first.
    Superseded,
    /// The operator closed its connection before the answer.
    SenderGone,
    /// It may have waited unread, so nothing was logged.
    Delayed,
    /// There was no leader; nothing was logged.
    NoLeader,
    /// Too many requests were queued.
    Busy,
    /// It may still take effect.
    Unknown,
}

impl OrderResult {
    fn label(self) -> &'static str {
        match self {
            Self::InForce => "in-force",
            Self::Superseded => "superseded",
            Self::SenderGone => "sender-gone",
            Self::Delayed => "delayed",
            Self::NoLeader => "no-leader",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}

/// Metrics of a control replica, shared by all its duties.
#[derive(Debug)]
pub struct ControlMetrics {
    registry: Registry,
    leader: Gauge,
    lease_held: Gauge,
    term: Gauge,
    sync_duration: Histogram,
    last_index: Gauge,
    applied_index: Gauge,
    voters: Gauge,
    learners: Gauge,
    table_version: Gauge,
    nodes: Gauge,
    nodes_behind: Gauge,
    changes: Family<CodeLabels, Counter>,
    change_duration: Histogram,
    orders: Family<ResultLabels, Counter>,
    peers: PeerMetrics,
    clients: ClientMetrics,
}

impl Default for ControlMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlMetrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            leader: Gauge::default(),
            lease_held: Gauge::default(),
            term: Gauge::default(),
            sync_duration: local_histogram(),
            last_index: Gauge::default(),
            applied_index: Gauge::default(),
            voters: Gauge::default(),
            learners: Gauge::default(),
            table_version: Gauge::default(),
            nodes: Gauge::default(),
            nodes_behind: Gauge::default(),
            changes: Family::default(),
            change_duration: wait_histogram(),
            orders: Family::default(),
            peers: PeerMetrics::default(),
            clients: ClientMetrics::default(),
        };
        metrics.registry = registry(|registry| metrics.register(registry));
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        self.register_consensus(registry);
        let version = "Version of the table in force";
        registry.register("table_version", version, self.table_version.clone());
        let nodes = "Processes that act on the table and have reported lately";
        registry.register("nodes", nodes, self.nodes.clone());
        let behind = "Of those, processes with an older version of the table in force";
        registry.register("nodes_behind", behind, self.nodes_behind.clone());
        let changes = "Changes by result code";
        registry.register("changes", changes, self.changes.clone());
        let duration = "Time from a change's arrival to its outcome";
        let histogram = self.change_duration.clone();
        registry.register_with_unit("change_duration", duration, Unit::Seconds, histogram);
        let orders = "Orders about routes and evacuations that were received here, by result";
        registry.register("control_orders", orders, self.orders.clone());
        self.peers.register(registry);
        self.clients.register(registry);
    }

    fn register_consensus(&self, registry: &mut Registry) {
        let leads = "1 while this replica leads";
        registry.register("leader", leads, self.leader.clone());
        let lease = "1 while this replica holds a lease to answer for the table";
        registry.register("lease_held", lease, self.lease_held.clone());
        registry.register("term", "Newest term seen", self.term.clone());
        let sync = "Time to sync the log";
        registry.register_with_unit(
            "log_sync_duration",
            sync,
            Unit::Seconds,
            self.sync_duration.clone(),
        );
        let last = "Index of the log's last entry";
        registry.register("log_last_index", last, self.last_index.clone());
        let applied = "Index of the last entry applied to the table";
        registry.register("log_applied_index", applied, self.applied_index.clone());
        registry.register("voters", "Replicas that vote", self.voters.clone());
        let learners = "Replicas that learn and don't vote yet";
        registry.register("learners", learners, self.learners.clone());
    }

    /// Sets whether this replica is the leader and whether it holds the lease.
    pub fn set_leadership(&self, is_leader: bool, holds_lease: bool) {
        self.leader.set(is_leader.into());
        self.lease_held.set(holds_lease.into());
    }

    /// Sets the newest term seen.
    pub fn set_term(&self, term: Epoch) {
        set(&self.term, term.0);
    }

    /// Records the duration of a sync of the log.
    pub fn record_sync(&self, took: Duration) {
        observe(&self.sync_duration, took);
    }

    /// Sets the index of the log's last entry and of the last applied one.
    pub fn set_log_indices(&self, last: u64, applied: u64) {
        set(&self.last_index, last);
        set(&self.applied_index, applied);
    }

    /// Sets the numbers of voters and of learners.
    pub fn set_members(&self, voters: usize, learners: usize) {
        set(&self.voters, voters as u64);
        set(&self.learners, learners as u64);
    }

    /// Sets the version of the table in force.
    pub fn set_table_version(&self, version: Version) {
        set(&self.table_version, version.0);
    }

    /// Sets how many processes use the table, and how many of them an older version.
    pub fn set_nodes(&self, nodes: usize, behind: usize) {
        set(&self.nodes, nodes as u64);
        set(&self.nodes_behind, behind as u64);
    }

    /// Counts a change that ended `took` after its arrival.
    pub fn record_change(&self, code: ResultCode, took: Duration) {
        self.changes.get_or_create_owned(&code.into()).inc();
        observe(&self.change_duration, took);
    }

    /// Counts an operator's order that was received here.
    pub fn record_order(&self, result: OrderResult) {
        let result = result.label();
        let labels = ResultLabels { result };
        self.orders.get_or_create_owned(&labels).inc();
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
