//! Measures for how long no change is accepted after the leader has been killed.

use std::time::{Duration, Instant};

use filberthead_testing::cluster::Node;
use filberthead_testing::operator::{Attempt, BOUND, Operator, set_weight};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::Revision;

use crate::figures::Times;
use crate::system::System;

const KILLS: usize = 10;
const PAUSE: Duration = Duration::from_millis(5);

pub(crate) fn leader_killed(system: &mut System) {
    let mut gaps = Times::new();
    for _ in 0..KILLS {
        wait_all_in_sync(system);
        gaps.add(time_without_leader(system));
    }
    gaps.print("no_leader_after_kill");
}

/// Kills the leader, returns the time until another replica accepts a change, and restarts
/// the killed one.
fn time_without_leader(system: &mut System) -> Duration {
    let leader = system.operator.wait_leader();
    let name = leader.node.as_str();
    let version = system.operator.table().version;
    let change = set_weight("orders", "zagreb", Revision(version.0), 7);
    let others = system.cluster.controls.iter().filter(|n| n.name() != name);
    let others: Vec<_> = others.map(|node| node.direct_addr("operator")).collect();
    let operator = Operator::new("bench", others.clone());
    system.cluster.control(name).kill();
    let killed = Instant::now();
    let mut next_replica = others.iter().cycle();
    let gap = eventually("a change accepted by another leader", BOUND, || {
        std::thread::sleep(PAUSE);
        let attempt = operator.attempt(*next_replica.next()?, &change);
        matches!(attempt, Attempt::Accepted(_)).then(|| killed.elapsed())
    });
    system.cluster.control(name).start();
    gap
}

/// Waits until each replica has the table version of the leader.
fn wait_all_in_sync(system: &System) {
    wait_until("all replicas have the table of the leader", BOUND, || {
        let Some(leader) = system.operator.leader() else {
            return false;
        };
        let has_same_version = |node: &Node| {
            let status = system.operator.status_of(node.addr("operator"));
            status.is_some_and(|status| status.version == leader.version)
        };
        system.cluster.controls.iter().all(has_same_version)
    });
}
