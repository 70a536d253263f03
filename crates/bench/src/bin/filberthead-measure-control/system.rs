//! The measured processes.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_testing::cluster::{Cluster, Node, Programs};
use filberthead_testing::eventually;
use filberthead_testing::operator::{BOUND, Operator, set_weight};
use filberthead_types::{Revision, Version};

const PLACES: &[(&str, &str)] = &[
    ("zagreb", "zagreb-a"),
    ("split", "split-a"),
    ("osijek", "osijek-a"),
    ("zagreb", "zagreb-b"),
    ("split", "split-b"),
    ("osijek", "osijek-b"),
];
const ENTRIES: usize = 11;
const SERVICE: &str = "orders";
const REGION: &str = "zagreb";

/// A running cluster and an operator who changes its table.
#[derive(Debug)]
pub(crate) struct System {
    pub(crate) cluster: Cluster,
    pub(crate) operator: Operator,
}

impl System {
    pub(crate) fn start() -> Self {
        let mut cluster = Cluster::builder(Programs::beside_this_one())
            .places(PLACES)
            .entries_each(2)
            .service(SERVICE, 1)
            .prepare();
        cluster.entries.truncate(ENTRIES);
        cluster.controls.iter_mut().for_each(Node::spawn);
        cluster.controls.iter_mut().for_each(Node::wait_ready);
        cluster.entries.iter_mut().for_each(Node::spawn);
        cluster.entries.iter_mut().for_each(Node::wait_ready);
        let operator = Operator::new("bench", cluster.operator_addrs());
        operator.initialise();
        let system = Self { cluster, operator };
        let first = system.change(Version(0), 1);
        system.wait_in_force(first);
        system
    }

    /// Address of the leader's administration API, without a proxy.
    pub(crate) fn leader_addr(&self) -> SocketAddr {
        let leader = self.operator.wait_leader();
        let mut controls = self.cluster.controls.iter();
        let node = controls.find(|node| node.name() == leader.node.as_str());
        node.expect("the leader is one of them")
            .direct_addr("operator")
    }

    /// Sets the weight of the only row, whose revision is `current`, and returns the new
    /// version.
    pub(crate) fn change(&self, current: Version, weight: u32) -> Version {
        let change = set_weight(SERVICE, REGION, Revision(current.0), weight);
        self.operator.accept(&change)
    }

    /// Changes the row `times` times, with a pause after each, and returns the last
    /// version.
    pub(crate) fn change_often(&self, times: u32, pause: Duration) -> Version {
        let mut current = self.operator.table().version;
        for weight in 1..=times {
            current = self.change(current, weight);
            std::thread::sleep(pause);
        }
        current
    }

    /// Waits until the version or a later one is in force at every entry.
    pub(crate) fn wait_in_force(&self, version: Version) {
        for node in &self.cluster.entries {
            eventually("a version in force at every entry", BOUND, || {
                node.version_in_force().filter(|now| *now >= version)
            });
        }
    }
}
