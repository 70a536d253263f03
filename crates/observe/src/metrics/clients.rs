//! Metrics of the connections to each port and of what they hold.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use filberthead_limits::{ClientCounters, Port, PortCounters};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{PortEventLabels, PortLabels};
use super::peer::raise_to;
use super::set;

/// The counters of the process's ports, and the metrics that they are copied into.
#[derive(Debug, Default)]
pub struct ClientMetrics {
    counters: ClientCounters,
    connections: Family<PortLabels, Gauge>,
    held: Family<PortLabels, Gauge>,
    events: Family<PortEventLabels, Counter<u64, AtomicU64>>,
}

impl ClientMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let connections = "Open connections of clients, by port";
        registry.register("client_connections", connections, self.connections.clone());
        let held =
            "Bytes of unfinished requests and messages, and of bodies whose requests run, by port";
        registry.register_with_unit("client_held", held, Unit::Bytes, self.held.clone());
        let events = "Clients that had to give way, by port and by what was done";
        registry.register("client_limits", events, self.events.clone());
    }

    /// The counters of a port.
    pub fn port(&self, port: Port) -> Arc<PortCounters> {
        self.counters.port(port)
    }

    /// Copies the counters into the metrics.
    pub(super) fn record(&self) {
        for (port, totals) in self.counters.totals() {
            let labels = PortLabels { port };
            set(&self.connections.get_or_create_owned(&labels), totals.open);
            set(&self.held.get_or_create_owned(&labels), totals.held_bytes);
            let events = [
                ("refused", totals.refused),
                ("closed", totals.closed),
                ("body-ended", totals.ended_bodies),
            ];
            for (event, total) in events {
                let labels = PortEventLabels { port, event };
                raise_to(&self.events.get_or_create_owned(&labels), total);
            }
        }
    }
}
