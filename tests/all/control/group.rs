//! Test fixture: a group of control replicas with an operator.

use std::net::SocketAddr;

use filberthead_operator::Status;
use filberthead_testing::cluster::{Builder, Cluster, Node};
use filberthead_testing::operator::{BOUND, Operator};
use filberthead_testing::record::ChangeOutcomes;
use filberthead_testing::{eventually, wait_until};

use crate::control::writers::Writers;
use crate::support::programs;

/// Three failure domains in three regions: no region holds a majority.
pub(crate) const PLACES: &[(&str, &str)] = &[
    ("zagreb", "zagreb-a"),
    ("split", "split-a"),
    ("osijek", "osijek-a"),
];

/// A running group, one replica in each of [`PLACES`], with an operator and a record of
/// the outcomes of all changes.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) cluster: Cluster,
    pub(crate) operator: Operator,
    pub(crate) outcomes: ChangeOutcomes,
}

impl Group {
    /// Starts three replicas and no entry.
    #[track_caller]
    pub(crate) fn start() -> Self {
        Self::build(builder().entries_each(0))
    }

    /// Starts the cluster that the builder describes and initialises its group.
    #[track_caller]
    pub(crate) fn build(builder: Builder) -> Self {
        let cluster = builder.start();
        let operator = Operator::new("ana", cluster.operator_addrs());
        operator.initialise();
        Self {
            cluster,
            operator,
            outcomes: ChangeOutcomes::default(),
        }
    }

    /// Starts operators that each keep changing a row of their own, and a reader that
    /// checks the table.
    pub(crate) fn writers(&self) -> Writers {
        Writers::start(self.cluster.operator_addrs(), &self.outcomes)
    }

    /// The leading replica.
    #[track_caller]
    pub(crate) fn leader(&mut self) -> &mut Node {
        let status = self.operator.wait_leader();
        self.cluster.control(status.node.as_str())
    }

    /// Name of the leading replica.
    #[track_caller]
    pub(crate) fn leader_name(&mut self) -> String {
        self.leader().name().to_owned()
    }

    /// Names of all replicas but this one.
    #[track_caller]
    pub(crate) fn others(&self, name: &str) -> Vec<String> {
        let names = self.cluster.controls.iter().map(Node::name);
        names
            .filter(|other| *other != name)
            .map(str::to_owned)
            .collect()
    }

    /// Waits until a replica other than `name` leads.
    #[track_caller]
    pub(crate) fn wait_other_leader(&self, name: &str) -> Status {
        eventually("another leader", BOUND, || {
            let addrs = self.other_operator_addrs(name);
            let leader = Operator::new("ana", addrs).leader();
            leader.filter(|status| status.node.as_str() != name)
        })
    }

    fn other_operator_addrs(&self, name: &str) -> Vec<SocketAddr> {
        let others = self.cluster.controls.iter().filter(|n| n.name() != name);
        others.map(|node| node.addr("operator")).collect()
    }

    /// Waits until `changes` more changes are accepted than at the call.
    #[track_caller]
    pub(crate) fn wait_progress(&self, changes: usize) {
        let goal = self.outcomes.accepted() + changes;
        wait_until("changes are accepted", BOUND, || {
            self.outcomes.accepted() >= goal
        });
    }

    /// Stops the writers, waits until all replicas agree, and checks the invariant.
    #[track_caller]
    pub(crate) fn check(&self, writers: Writers) {
        writers.stop();
        self.outcomes.check(&self.operator);
        self.wait_agreement();
    }

    /// Waits until all running replicas have applied the leader's version.
    #[track_caller]
    pub(crate) fn wait_agreement(&self) {
        wait_until("all replicas agree", BOUND, || {
            let Some(leader) = self.operator.leader() else {
                return false;
            };
            let addrs = self.cluster.operator_addrs();
            let statuses = addrs.iter().map(|addr| self.operator.status_of(*addr));
            statuses
                .flatten()
                .all(|status| status.version == leader.version)
        });
    }
}

/// A cluster over [`PLACES`], for further settings.
pub(crate) fn builder() -> Builder {
    Cluster::builder(programs()).places(PLACES)
}
