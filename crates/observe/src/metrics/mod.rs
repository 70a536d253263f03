//! Metrics in the Prometheus text format, by `prometheus-client` and its conventions: base
//! units, the unit and `_total` as suffixes, the prefix `filberthead_`.
//!
//! Handles are resolved once and kept: for each request they then cost an atomic addition
//! and, for durations, a short lock. Label sets are bounded: services and regions come from
//! the table, all other values from enumerations in the code.

mod clients;
mod control;
mod entry;
mod gateway;
mod labels;
mod peer;
mod process;
mod requests;

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

pub use clients::ClientMetrics;
pub use control::{ControlMetrics, OrderResult};
pub use entry::{EntryMetrics, SlotMetrics};
pub use gateway::GatewayMetrics;
pub use peer::{ConnectionTotals, PeerMetrics, PeerTotals};
pub use requests::RequestMetrics;

const PREFIX: &str = "filberthead";

/// A histogram of durations that callers wait for. Buckets from 0.5 ms to 16 s, each twice
/// the last.
fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 16))
}

/// A histogram of durations inside a VM, such as a sync. Buckets from 50 µs to 1.6 s, each
/// twice the last.
fn local_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_05, 2.0, 16))
}

/// A histogram of drain durations. Buckets from 1 s to 9 h, each twice the last.
fn drain_histogram() -> Histogram {
    Histogram::new(exponential_buckets(1.0, 2.0, 16))
}

fn observe(histogram: &Histogram, duration: Duration) {
    histogram.observe(duration.as_secs_f64());
}

/// Sets a gauge to a number far below 2^63, the most that a gauge can hold.
fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Creates a registry with the process metrics, and lets `fill` register metrics that get
/// the prefix.
fn registry(fill: impl FnOnce(&mut Registry)) -> Registry {
    let mut registry = Registry::default();
    process::register(&mut registry);
    fill(registry.sub_registry_with_prefix(PREFIX));
    registry
}

fn encoded(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a `String` can't fail.
    let _ = encode(&mut text, registry);
    text
}
