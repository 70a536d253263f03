//! Figures, as `name: value unit` lines.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time that is recorded as it is; longer ones count as this, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Prints a figure with the prefix `control_`.
pub(crate) fn print(name: &str, value: f64, unit: &str) {
    println!("control_{name}: {value:.3} {unit}");
}

/// A distribution of times.
#[derive(Debug)]
pub(crate) struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, 3);
        Self {
            histogram: histogram.expect("the bounds are possible"),
        }
    }

    pub(crate) fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
    }

    /// Prints median, 99th percentile, maximum and count.
    pub(crate) fn print(&self, name: &str) {
        let millis = |micros: u64| micros as f64 / 1000.0;
        let quantile = |q| millis(self.histogram.value_at_quantile(q));
        print(&format!("{name}_p50"), quantile(0.5), "ms");
        print(&format!("{name}_p99"), quantile(0.99), "ms");
        print(&format!("{name}_max"), millis(self.histogram.max()), "ms");
        print(&format!("{name}_samples"), self.histogram.len() as f64, "1");
    }
}
