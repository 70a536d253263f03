//! Metrics by `prometheus-client`, named by its conventions: base units, units and
//! `_total` as suffixes, everything of the system under `filberthead_`.
//!
//! Handles are resolved once and kept: on the path of a request they cost an atomic
//! addition and, for durations, a short lock. Label sets are bounded: services and
//! regions come from the table, all else from enumerations of the code.

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

pub use control::ControlMetrics;
pub use entry::{EntryMetrics, SlotMetrics};
pub use gateway::GatewayMetrics;
pub use peer::{PeerMetrics, PeerTotals};
pub use requests::RequestMetrics;

const PREFIX: &str = "filberthead";

/// Buckets of durations that callers wait for: 0.5 ms to 16 s, each twice the last.
fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 16))
}

/// Buckets of durations inside a VM, such as a sync: 50 µs to 1.6 s, each twice the last.
fn local_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_05, 2.0, 16))
}

/// Buckets of drains: 1 s to 9 h, each twice the last.
fn drain_histogram() -> Histogram {
    Histogram::new(exponential_buckets(1.0, 2.0, 16))
}

fn observe(histogram: &Histogram, duration: Duration) {
    histogram.observe(duration.as_secs_f64());
}

/// Sets a gauge to a number that counts up and stays far below 2^63.
fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// A registry that holds the process's own figures, and one below it with the prefix.
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
