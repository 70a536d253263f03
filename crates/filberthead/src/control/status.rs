//! The replica's status, as shown to operators.

use std::net::SocketAddr;

use filberthead_consensus::{self as consensus, Role};
use filberthead_fleet::WorkspaceUsage;
use filberthead_operator::{
    AllotmentStatus, RefusedStatus, ReplicaRole, ReplicaStatus, ShareStatus, ShortServiceStatus,
    Status, WorkspaceStatus, WorkspacesBody,
};
use filberthead_types::ReplicaId;

use super::core::Core;

impl Core {
    pub(super) fn status(&self) -> Status {
        let now = self.clock.now();
        let replica = self.replica.status(now);
        Status {
            cluster: self.identity.cluster.clone(),
            node: self.identity.node.clone(),
            replica: self.id,
            peer_addr: self.identity.peer_addr,
            operator_addr: self.hello.operator_addr,
            role: role(&replica),
            term: replica.term,
            leader: replica.leader,
            holds_lease: replica.holds_lease,
            last_index: replica.last_index,
            commit: replica.commit,
            version: self.machine.table.version(),
            replicas: self.replicas(&replica),
            entries: self.spreading.entries(now),
            rows: self.shares.readings(now, self.spreading.domains()),
        }
    }

    pub(super) fn workspaces(&self) -> WorkspacesBody {
        let now = self.clock.now();
        let workspaces = self.fleet.registry.workspaces(now);
        let short = self.fleet.registry.divided_services(now).into_iter();
        WorkspacesBody {
            workspaces: workspaces.into_iter().map(workspace_status).collect(),
            short: short
                .map(|divided| ShortServiceStatus {
                    service: divided.service,
                    capacity: divided.capacity,
                    offered: divided.offered,
                    served: divided.served,
                })
                .collect(),
        }
    }

    fn replicas(&self, replica: &consensus::Status) -> Vec<ReplicaStatus> {
        let voters = replica.members.voters.iter().map(|id| (*id, true));
        let learners = replica.members.learners.iter().map(|id| (*id, false));
        voters
            .chain(learners)
            .map(|(id, voter)| self.replica_status(id, voter, replica))
            .collect()
    }

    fn replica_status(
        &self,
        id: ReplicaId,
        voter: bool,
        replica: &consensus::Status,
    ) -> ReplicaStatus {
        let registered = self.machine.table.replicas().get(&id);
        let known = self.address_book.get(id);
        let progress = replica.progress.iter().find(|(other, _)| *other == id);
        ReplicaStatus {
            id,
            name: registered.map(|info| info.name.clone()),
            peer_addr: known
                .map(|known| known.addr)
                .or(registered.map(|info| info.peer_addr)),
            operator_addr: self.operator_addr(id),
            voter,
            match_index: progress.map(|(_, index)| *index),
        }
    }

    fn operator_addr(&self, id: ReplicaId) -> Option<SocketAddr> {
        if id == self.id {
            return Some(self.hello.operator_addr);
        }
        self.address_book
            .get(id)
            .and_then(|known| known.operator_addr)
    }
}

fn workspace_status(usage: WorkspaceUsage) -> WorkspaceStatus {
    let workspace = &usage.workspace;
    let allotment = workspace.allotment.map(|allotment| AllotmentStatus {
        rate: allotment.rate,
        burst: allotment.burst,
        offered: usage.totals.offered,
        sent: usage.totals.sent,
        reserved: usage.totals.reserved,
        admitted: usage.ratio,
    });
    let refused = usage.refused.iter();
    WorkspaceStatus {
        name: workspace.name.clone(),
        keys: workspace.keys.len(),
        regions: workspace.regions.clone(),
        priority: workspace.priority,
        allotment,
        refused: refused
            .map(|(code, rate)| RefusedStatus {
                code: *code,
                rate: *rate,
            })
            .collect(),
        shares: usage
            .shares
            .into_iter()
            .map(|(service, priority, admitted)| ShareStatus {
                service,
                priority,
                admitted,
            })
            .collect(),
    }
}

fn role(replica: &consensus::Status) -> ReplicaRole {
    if replica.members.voters.is_empty() {
        return ReplicaRole::Uninitialised;
    }
    match replica.role {
        Role::Learner => ReplicaRole::Learner,
        Role::Follower => ReplicaRole::Follower,
        Role::PreCandidate | Role::Candidate => ReplicaRole::Candidate,
        Role::Leader => ReplicaRole::Leader,
    }
}
