//! Figures, as `name: value unit` lines.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filberthead_peer::Counters;
use filberthead_testing::process::Process;
use hdrhistogram::Histogram;

/// Longest time that is recorded as it is; longer ones count as this, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Prints figures with a common prefix.
pub(crate) struct Printer<'a> {
    pub(crate) prefix: &'a str,
}

impl Printer<'_> {
    /// Prints one figure.
    pub(crate) fn print(&self, name: &str, value: f64, unit: &str) {
        println!("{}{name}: {value:.3} {unit}", self.prefix);
    }

    /// Prints median, 99th percentile and maximum of times.
    pub(crate) fn print_times(&self, name: &str, times: &[Duration]) {
        // The bounds are explicit because an auto-resizing histogram doesn't grow for
        // saturating records: it would record every time as two microseconds.
        let mut histogram =
            Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("the bounds are possible");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        let quantiles = [("p50", 0.5), ("p99", 0.99), ("max", 1.0)];
        for (suffix, quantile) in quantiles {
            let micros = histogram.value_at_quantile(quantile);
            self.print(&format!("{name}_{suffix}"), micros as f64 / 1000.0, "ms");
        }
    }
}

/// Bytes sent and received by a transport, and messages in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
    pub(crate) messages: u64,
}

impl Traffic {
    pub(crate) fn of(counters: &Arc<Counters>) -> Self {
        let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            sent: read(&counters.sent_bytes),
            received: read(&counters.received_bytes),
            messages: read(&counters.sent) + read(&counters.received),
        }
    }

    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            sent: self.sent - before.sent,
            received: self.received - before.received,
            messages: self.messages - before.messages,
        }
    }
}

/// Traffic of a control replica since its start, from its metrics.
pub(crate) async fn control_traffic(process: &Process) -> Traffic {
    let client = filberthead_operator::Client::builder([process.addr("operator")]).build();
    let reply = client.get_from(process.addr("operator"), "/metrics").await;
    let reply = reply.expect("a running replica returns its metrics");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let read = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|rest| rest.trim().parse::<u64>().ok())
            .unwrap_or_else(|| panic!("the metrics have {name}"))
    };
    Traffic {
        sent: read("filberthead_peer_sent_bytes_total "),
        received: read("filberthead_peer_received_bytes_total "),
        messages: read("filberthead_peer_sent_messages_total ")
            + read("filberthead_peer_received_messages_total "),
    }
}

/// Processor time of this process so far.
pub(crate) fn own_cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("/proc/self/stat can be read");
    let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
    let ticks = |index: usize| -> u64 {
        let field = fields.split_whitespace().nth(index);
        field.and_then(|text| text.parse().ok()).expect("a number")
    };
    // User and system time, in ticks of 10 ms as on every Linux that this runs on.
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}
