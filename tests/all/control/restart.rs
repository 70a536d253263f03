//! Replicas lose power and recover from what they had synced to disk.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use filberthead_testing::cluster::Node;

use crate::control::group::Group;

/// Accepted changes to wait for between two steps.
const MIN_CHANGES: usize = 20;

/// All control replicas lose power at the same instant while operators send changes, and
/// restart. Each change that was reported as accepted is in force, and operators without
/// an answer get the true outcome by resending.
#[test]
fn accepted_changes_survive_a_power_failure_of_all() {
    let mut group = Group::start();
    let writers = group.writers();
    for _ in 0..3 {
        group.wait_progress(MIN_CHANGES);
        kill_all(&mut group);
        group.cluster.controls.iter_mut().for_each(Node::spawn);
        group.cluster.controls.iter_mut().for_each(Node::wait_ready);
        group.wait_progress(MIN_CHANGES);
    }
    group.check(writers);
}

/// Kills all replicas; each is suspended before the first one is killed, so that all stop
/// at one instant.
fn kill_all(group: &mut Group) {
    let controls = &mut group.cluster.controls;
    controls.iter_mut().for_each(|n| n.process().suspend());
    controls.iter_mut().for_each(Node::kill);
}

/// Power fails in the middle of a write, so each log ends in a partial record. It was
/// never acknowledged, so it is dropped, and nothing else is.
#[test]
fn torn_log_tail_is_dropped() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    kill_all(&mut group);
    for node in &group.cluster.controls {
        let log = newest_log(node.data());
        let half_a_record = [0x40, 0, 0, 0, 0xaa, 0xbb, 0xcc];
        let file = File::options().append(true).open(log);
        let mut file = file.expect("a log");
        file.write_all(&half_a_record).expect("room on the disk");
    }
    group.cluster.controls.iter_mut().for_each(Node::spawn);
    group.cluster.controls.iter_mut().for_each(Node::wait_ready);
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}

/// A disk returns other bytes than were written, in the middle of the log. The replica
/// can't tell what it has acknowledged: it stops and names the file, and the others go
/// on.
#[test]
fn damaged_log_stops_its_replica() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let leader = group.leader_name();
    let name = group.others(&leader).remove(0);
    let node = group.cluster.control(&name);
    node.kill();
    let log = newest_log(node.data());
    let mut bytes = fs::read(&log).expect("a log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&log, bytes).expect("room on the disk");
    node.spawn();
    let status = node.wait_exit();
    assert!(!status.success(), "{status}");
    let text = node.process().log();
    let file = log.file_name().and_then(|name| name.to_str());
    assert!(text.contains(file.expect("a name")), "{text}");
    group.wait_progress(MIN_CHANGES);
    writers.stop();
    group.outcomes.check(&group.operator);
}

/// The log file of the highest generation in a data folder.
fn newest_log(data: &Path) -> PathBuf {
    let entries = fs::read_dir(data).expect("a data folder").flatten();
    let logs = entries.filter_map(|entry| {
        let name = entry.file_name().into_string().ok()?;
        let generation: u64 = name.strip_prefix("log-")?.parse().ok()?;
        Some((generation, entry.path()))
    });
    logs.max().expect("a log").1
}
