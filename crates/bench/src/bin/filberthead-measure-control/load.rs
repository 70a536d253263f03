//! Measures the traffic, processor time and memory that control costs each process, idle
//! and under changes.

use std::time::{Duration, Instant};

use filberthead_testing::cluster::Node;
use filberthead_testing::process::Process;

use crate::figures::print;
use crate::system::System;

const SETTLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(20);
const CHANGES: u32 = 200;
const CHANGES_PAUSE: Duration = Duration::from_millis(80);
const CHANGES_PER_DAY: f64 = 1_300.0;
/// Peer protocols whose traffic is printed one by one.
const PROTOCOLS: &[&str] = &["spread", "ledger", "quarantine", "steer", "samples"];
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Processor time and peer traffic of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_seconds: f64,
    bytes: f64,
}

impl Usage {
    fn of(node: &Node) -> Self {
        let process: &Process = node.running();
        Self {
            cpu_seconds: process.cpu_time().as_secs_f64(),
            bytes: node.metric("peer_sent_bytes_total") + node.metric("peer_received_bytes_total"),
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            cpu_seconds: self.cpu_seconds - before.cpu_seconds,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// Usage of the control leader and all entries over a period.
struct Window {
    seconds: f64,
    leader: Usage,
    entries: Vec<Usage>,
}

impl Window {
    /// Runs `work` and returns what the processes used meanwhile.
    fn measure(system: &System, work: impl FnOnce()) -> Self {
        let leader = system.operator.wait_leader();
        let mut controls = system.cluster.controls.iter();
        let leader = controls.find(|node| node.name() == leader.node.as_str());
        let leader = leader.expect("the leader is one of them");
        let entries = || system.cluster.entries.iter().map(Usage::of).collect();
        let before: (Usage, Vec<Usage>) = (Usage::of(leader), entries());
        let start = Instant::now();
        work();
        let seconds = start.elapsed().as_secs_f64();
        let after: (Usage, Vec<Usage>) = (Usage::of(leader), entries());
        let pairs = after.1.iter().zip(before.1);
        Self {
            seconds,
            leader: after.0.since(before.0),
            entries: pairs.map(|(after, before)| after.since(before)).collect(),
        }
    }

    fn mean_bytes(&self) -> f64 {
        let total: f64 = self.entries.iter().map(|usage| usage.bytes).sum();
        total / self.entries.len() as f64
    }

    fn most(&self, value: impl Fn(&Usage) -> f64) -> f64 {
        self.entries.iter().map(value).fold(0.0, f64::max)
    }

    fn print(&self, phase: &str) {
        let rate = |value: f64| value / self.seconds;
        let name = |suffix| format!("{phase}_{suffix}");
        print(&name("entry_bytes_mean"), rate(self.mean_bytes()), "B/s");
        let most = self.most(|usage| usage.bytes);
        print(&name("entry_bytes_most"), rate(most), "B/s");
        let most = self.most(|usage| usage.cpu_seconds);
        print(&name("entry_cpu_most"), 100.0 * rate(most), "% of a core");
        print(&name("leader_bytes"), rate(self.leader.bytes), "B/s");
        let cpu = 100.0 * rate(self.leader.cpu_seconds);
        print(&name("leader_cpu"), cpu, "% of a core");
    }
}

pub(crate) fn idle(system: &System) {
    std::thread::sleep(SETTLE);
    let before = sent_by_protocol(system);
    let window = Window::measure(system, || std::thread::sleep(WINDOW));
    window.print("idle");
    let pairs = sent_by_protocol(system).into_iter().zip(before);
    let entries = system.cluster.entries.len() as f64;
    for (protocol, (after, before)) in PROTOCOLS.iter().zip(pairs) {
        let rate = (after - before) / window.seconds / entries;
        print(&format!("idle_entry_sent_{protocol}"), rate, "B/s");
    }
    let memory = system.cluster.entries.iter();
    let memory = memory.map(|node| node.running().resident_bytes()).max();
    let megabytes = memory.unwrap_or_default() as f64 / 1e6;
    print("entry_resident_most", megabytes, "MB");
}

/// Bytes that all entries together have sent since their start, for each of [`PROTOCOLS`].
fn sent_by_protocol(system: &System) -> Vec<f64> {
    let entries = &system.cluster.entries;
    let sent = |protocol: &&str| {
        let label = format!("peer_protocol_sent_bytes_total{{protocol=\"{protocol}\"");
        entries.iter().map(|node| node.metric(&label)).sum()
    };
    PROTOCOLS.iter().map(sent).collect()
}

/// Measures usage while changes arrive faster than at 1300 a day.
pub(crate) fn changing(system: &System) {
    let window = Window::measure(system, || {
        system.change_often(CHANGES, CHANGES_PAUSE);
    });
    let per_second = f64::from(CHANGES) / window.seconds;
    let speed_up = per_second * SECONDS_PER_DAY / CHANGES_PER_DAY;
    print("changing_rate", per_second, "changes/s");
    print("changing_speed_up_of_1300_a_day", speed_up, "times");
    window.print("changing");
}
