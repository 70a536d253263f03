//! CPU time and memory of the process, read from `/proc/self` at each scrape, and the
//! number of log lines that it has dropped.
//!
//! CPU time and memory have the names that Prometheus client libraries use, so that common
//! dashboards find them.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::{Registry, Unit};

use crate::logging::dropped_lines;

/// Unit of CPU time in `/proc/PID/stat`: always 100 ticks per second in user space,
/// independent of the kernel's timer frequency.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time among the fields after the program name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

pub(super) fn register(registry: &mut Registry) {
    registry.register_collector(Box::new(ProcessCollector));
}

#[derive(Debug)]
struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        if let Some(seconds) = cpu_seconds() {
            let metric = ConstCounter::new(seconds);
            let help = "Processor time of the process, user and system";
            let kind = metric.metric_type();
            let cpu = encoder.encode_descriptor("process_cpu", help, Some(&Unit::Seconds), kind)?;
            metric.encode(cpu)?;
        }
        if let Some(bytes) = resident_bytes() {
            let metric = ConstGauge::new(bytes);
            let help = "Memory of the process that is resident";
            let kind = metric.metric_type();
            let name = "process_resident_memory";
            let memory = encoder.encode_descriptor(name, help, Some(&Unit::Bytes), kind)?;
            metric.encode(memory)?;
        }
        let metric = ConstCounter::new(dropped_lines());
        let help = "Log lines dropped because their queue was full";
        let kind = metric.metric_type();
        let name = "filberthead_log_dropped_lines";
        let lines = encoder.encode_descriptor(name, help, None, kind)?;
        metric.encode(lines)
    }
}

fn cpu_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The program name, in parentheses, may itself contain spaces and parentheses.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_ascii_whitespace().collect();
    let user: u64 = fields.get(USER_TIME)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TIME)?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_SECOND)
}

fn resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
