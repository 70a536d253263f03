//! Runs the measurement and prints its figures.

use std::time::{Duration, Instant};

use filberthead_types::Revision;

use crate::args::Options;
use crate::control::Control;
use crate::figures::{Printer, Traffic, control_traffic, own_cpu};
use crate::nodes::Nodes;

const PAUSE: Duration = Duration::from_millis(2);
/// Longest time until a change must be in force everywhere.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time for address records and membership to settle before the measurement.
const SETTLE: Duration = Duration::from_secs(6);

/// A snapshot of all counters.
struct Sample {
    at: Instant,
    nodes: Vec<Traffic>,
    leader: Traffic,
    leader_cpu: Duration,
    own_cpu: Duration,
}

pub(crate) fn run(options: &Options) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be started");
    runtime.block_on(measure(options));
}

async fn measure(options: &Options) {
    let dir = tempfile::tempdir().expect("a scratch folder can be made");
    let control = Control::start(options, dir.path()).await;
    let nodes = Nodes::start(options, &control.peer_addrs());
    let version = control.insert_rows(options.rows).await;
    wait_in_force(&nodes, options, version).await;
    tokio::time::sleep(SETTLE).await;
    let leader = control.leader().await;

    let before = sample(&control, leader, &nodes).await;
    tokio::time::sleep(options.idle).await;
    let idle = sample(&control, leader, &nodes).await;
    let (accepted, in_force) = changes(options, &control, &nodes).await;
    let busy = sample(&control, leader, &nodes).await;
    let resident = control.replicas[leader].resident_bytes();
    assert_eq!(control.leader().await, leader, "the leader stayed the same");

    let results = nodes.stop();
    let relays: Vec<_> = results
        .iter()
        .filter(|result| result.relay)
        .map(|result| result.index)
        .collect();
    let members: Vec<_> = results
        .iter()
        .filter(|result| !result.relay)
        .map(|result| result.index)
        .collect();
    let out = Printer {
        prefix: &options.prefix,
    };
    out.print("nodes", options.nodes as f64, "nodes");
    out.print("domains", options.domains as f64, "failure domains");
    out.print("relays", relays.len() as f64, "nodes");
    print_rates(&out, "idle", &before, &idle, &relays, &members);
    print_rates(&out, "changing", &idle, &busy, &relays, &members);
    let rate = options.changes as f64 / (busy.at - idle.at).as_secs_f64();
    out.print("changes_per_second", rate, "1/s");
    out.print("leader_resident", resident as f64 / 1e6, "MB");
    out.print_times("change_accepted", &accepted);
    out.print_times("change_in_force_everywhere", &in_force);
}

async fn sample(control: &Control, leader: usize, nodes: &Nodes) -> Sample {
    let process = &control.replicas[leader];
    // The replica updates its metrics once a second.
    let leader = control_traffic(process).await;
    Sample {
        at: Instant::now(),
        nodes: nodes.counters.iter().map(Traffic::of).collect(),
        leader,
        leader_cpu: process.cpu_time(),
        own_cpu: own_cpu(),
    }
}

async fn wait_in_force(nodes: &Nodes, options: &Options, version: u64) {
    let end = Instant::now() + TIMEOUT;
    while nodes.count_in_force(version) < options.nodes {
        let count = nodes.count_in_force(version);
        assert!(
            Instant::now() < end,
            "version {version} is in force at {count} nodes only"
        );
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends the changes one after the other. Returns the times until each was accepted, and
/// until it was in force at the last node.
async fn changes(
    options: &Options,
    control: &Control,
    nodes: &Nodes,
) -> (Vec<Duration>, Vec<Duration>) {
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    let mut revisions = vec![Revision(1); options.rows];
    for i in 0..options.changes {
        let row = i % options.rows;
        let started = Instant::now();
        let version = control.set_weight(row, revisions[row], 20 + i as u32).await;
        accepted.push(started.elapsed());
        revisions[row] = Revision(version);
        wait_in_force(nodes, options, version).await;
        in_force.push(last_in_force(nodes, version) - started);
        tokio::time::sleep(options.gap.saturating_sub(started.elapsed())).await;
    }
    (accepted, in_force)
}

fn last_in_force(nodes: &Nodes, version: u64) -> Instant {
    let in_force = nodes
        .in_force
        .lock()
        .expect("no driver panics with the lock");
    let last = in_force[&version].iter().max();
    *last.expect("the version is in force somewhere")
}

fn print_rates(
    out: &Printer<'_>,
    phase: &str,
    from: &Sample,
    to: &Sample,
    relays: &[usize],
    members: &[usize],
) {
    let seconds = (to.at - from.at).as_secs_f64();
    let rate = |bytes: u64| bytes as f64 / seconds;
    for (role, indices) in [("relay", relays), ("member", members)] {
        let traffic = indices
            .iter()
            .map(|index| to.nodes[*index].since(from.nodes[*index]));
        let total = |traffic: Traffic| rate(traffic.sent + traffic.received);
        let rates: Vec<_> = traffic.map(total).collect();
        let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let most = rates.iter().copied().fold(0.0, f64::max);
        out.print(&format!("{phase}_{role}_mean"), mean, "B/s");
        out.print(&format!("{phase}_{role}_most"), most, "B/s");
    }
    let leader = to.leader.since(from.leader);
    out.print(&format!("{phase}_leader_sent"), rate(leader.sent), "B/s");
    out.print(
        &format!("{phase}_leader_received"),
        rate(leader.received),
        "B/s",
    );
    out.print(
        &format!("{phase}_leader_messages"),
        rate(leader.messages),
        "1/s",
    );
    let cpu = |time: Duration| time.as_secs_f64() / seconds * 100.0;
    out.print(
        &format!("{phase}_leader_cpu"),
        cpu(to.leader_cpu - from.leader_cpu),
        "% of a core",
    );
    let nodes = to.nodes.len() as f64;
    let own = cpu(to.own_cpu - from.own_cpu) / nodes;
    out.print(&format!("{phase}_node_cpu"), own, "% of a core");
}
