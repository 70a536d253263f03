//! Metrics of the control replica, and the page that serves them.

use std::sync::Arc;

use bytes::Bytes;
use filberthead_observe::ControlMetrics;
use filberthead_operator::{BoxFuture, Page};
use filberthead_peer::Counters;
use filberthead_types::Moment;

use super::core::Core;
use crate::peers::totals;

/// The metrics, and the transport's counters that are copied into them.
#[derive(Clone, Debug)]
pub(crate) struct Gauges {
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) peers: Arc<Counters>,
}

impl Core {
    /// Updates the metrics from the replica's state.
    pub(super) fn update_metrics(&self, now: Moment) {
        let metrics = &self.gauges.metrics;
        let replica = self.replica.status(now);
        let leads = replica.leader == Some(self.id);
        metrics.set_leadership(leads, replica.holds_lease);
        metrics.set_term(replica.term);
        metrics.set_log_indices(replica.last_index, self.applied);
        metrics.set_members(replica.members.voters.len(), replica.members.learners.len());
        metrics.set_table_version(self.machine.table.version());
        self.update_entry_metrics(now);
        metrics.peers().record(&totals(&self.gauges.peers));
        let peers = metrics.peers();
        peers.ring_refused("outgoing", self.out.refused());
        peers.ring_refused("disk", self.disk.refused());
    }

    fn update_entry_metrics(&self, now: Moment) {
        let version = self.machine.table.version();
        // Entries report to the leader only; other replicas have no versions of theirs.
        let entries = self.spreading.entries(now);
        let reported: Vec<_> = entries.iter().filter_map(|entry| entry.version).collect();
        let behind = reported.iter().filter(|reported| **reported < version);
        let metrics = &self.gauges.metrics;
        metrics.set_nodes(reported.len(), behind.count());
    }
}

/// The page `/metrics`.
pub(crate) struct MetricsPage {
    pub(crate) metrics: Arc<ControlMetrics>,
}

impl Page for MetricsPage {
    fn content_type(&self) -> &'static str {
        "application/openmetrics-text; version=1.0.0; charset=utf-8"
    }

    fn render<'a>(&'a self, _query: &'a str) -> BoxFuture<'a, Bytes> {
        Box::pin(std::future::ready(Bytes::from(self.metrics.encode())))
    }
}
