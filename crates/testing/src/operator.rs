//! A client of the administration API: changes, status and membership of the control group.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_operator::{
    AddReplicaBody, Answer, ChangeBody, EditBody, HistoryBody, RecordBody, ReplicaBody, Status,
    TableBody,
};
use filberthead_table::{Danger, Objective, RowValues};
use filberthead_types::{ChangeId, ResultCode, Revision, Version};
use serde::Serialize;

use crate::client::{Call, CallError};
use crate::eventually;

/// Bound for operations that may wait for one or two elections on a busy machine.
pub const BOUND: Duration = Duration::from_secs(180);

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of one attempt to make a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The change was accepted and gave the table this version.
    Accepted(Version),
    /// The change was refused; a resend gets the same answer.
    Refused(Box<Answer>),
    /// This attempt did not and will not take effect; another attempt may.
    NotRun,
    /// The attempt may have taken effect, or may still do so.
    Unknown,
}

/// An operator with a name and the addresses of all control replicas.
#[derive(Clone, Debug)]
pub struct Operator {
    addrs: Vec<SocketAddr>,
    name: String,
}

impl Operator {
    /// An operator with this name, which is sent with each `POST`.
    pub fn new(name: &str, addrs: Vec<SocketAddr>) -> Self {
        let name = name.to_owned();
        Self { addrs, name }
    }

    /// Status of one replica; `None` if it doesn't answer.
    pub fn status_of(&self, addr: SocketAddr) -> Option<Status> {
        let answer = Call::get("/v1/status")
            .bound(ATTEMPT_TIMEOUT)
            .send(addr)
            .ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Status of the replica that reports that it holds the lease, if one does.
    pub fn leader(&self) -> Option<Status> {
        let statuses = self.addrs.iter().filter_map(|addr| self.status_of(*addr));
        statuses.into_iter().find(|status| status.holds_lease)
    }

    /// Waits for a leader that holds the lease.
    ///
    /// # Panics
    ///
    /// Panics if there is none in time.
    #[track_caller]
    pub fn wait_leader(&self) -> Status {
        eventually("a leader with a lease", BOUND, || self.leader())
    }

    /// Sends a change to one replica, once.
    pub fn attempt(&self, addr: SocketAddr, change: &ChangeBody) -> Attempt {
        classify(self.post(addr, "/v1/changes", change))
    }

    /// Sends a change to the replicas in rotation until it is accepted or refused.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`BOUND`].
    #[track_caller]
    pub fn change(&self, change: &ChangeBody) -> Attempt {
        let mut addrs = self.addrs.iter().cycle();
        eventually("the outcome of a change", BOUND, || {
            match self.attempt(*addrs.next()?, change) {
                Attempt::NotRun | Attempt::Unknown => None,
                outcome => Some(outcome),
            }
        })
    }

    /// Like [`change`](Self::change) for a change that must be accepted.
    ///
    /// # Panics
    ///
    /// Panics if it is refused or its outcome isn't known within [`BOUND`].
    #[track_caller]
    pub fn accept(&self, change: &ChangeBody) -> Version {
        match self.change(change) {
            Attempt::Accepted(version) => version,
            other => panic!("change {} is not accepted: {other:?}", change.id),
        }
    }

    /// The table from the first replica that returns it, which has to prove that it leads.
    pub fn try_table(&self) -> Option<TableBody> {
        self.addrs.iter().find_map(|addr| self.table_of(*addr))
    }

    /// The table from one replica; `None` if it can't prove that it leads, refuses for another
    /// reason or doesn't answer.
    pub fn table_of(&self, addr: SocketAddr) -> Option<TableBody> {
        let answer = Call::get("/v1/table")
            .bound(ATTEMPT_TIMEOUT)
            .send(addr)
            .ok()?;
        let succeeded = answer.status.is_success();
        succeeded.then(|| answer.json())
    }

    /// Waits until a replica returns the table.
    ///
    /// # Panics
    ///
    /// Panics if none does within [`BOUND`].
    #[track_caller]
    pub fn table(&self) -> TableBody {
        eventually("the table", BOUND, || self.try_table())
    }

    /// All retained history records, the oldest first.
    ///
    /// # Panics
    ///
    /// Panics if no replica returns them within [`BOUND`].
    #[track_caller]
    pub fn history(&self) -> Vec<RecordBody> {
        let mut records: Vec<RecordBody> = Vec::new();
        loop {
            let before = records.last().map_or(u64::MAX, |record| record.serial);
            let page = self.history_before(before);
            if page.records.is_empty() {
                records.reverse();
                return records;
            }
            records.extend(page.records);
        }
    }

    #[track_caller]
    fn history_before(&self, before: u64) -> HistoryBody {
        let path = format!("/v1/history?limit=1000&before={before}");
        eventually("the history", BOUND, || {
            self.addrs.iter().find_map(|addr| {
                let answer = Call::get(&path).bound(ATTEMPT_TIMEOUT).send(*addr).ok()?;
                let succeeded = answer.status.is_success();
                succeeded.then(|| answer.json())
            })
        })
    }

    /// Initialises a group with the first replica and adds the others to it.
    ///
    /// # Panics
    ///
    /// Panics if a step takes longer than [`BOUND`].
    #[track_caller]
    pub fn initialise(&self) {
        let (first, others) = self.addrs.split_first().expect("one replica at least");
        let status = eventually("a status", BOUND, || self.status_of(*first));
        let body = ReplicaBody {
            id: self.new_id(),
            replica: status.replica,
        };
        eventually("the first replica", BOUND, || {
            let answer = self.post(*first, "/v1/control/initialise", &body).ok()?;
            (answer.code == ResultCode::ActRecorded).then_some(())
        });
        others.iter().for_each(|addr| self.add_replica(*addr));
    }

    /// Adds the replica at `addr` to the group and promotes it to a voter.
    ///
    /// # Panics
    ///
    /// Panics if a step takes longer than [`BOUND`].
    #[track_caller]
    pub fn add_replica(&self, addr: SocketAddr) {
        let status = eventually("a status", BOUND, || self.status_of(addr));
        let add = AddReplicaBody {
            id: self.new_id(),
            replica: status.replica,
            name: status.node,
            peer_addr: status.peer_addr,
            operator_addr: status.operator_addr,
        };
        self.post_until_recorded("/v1/control/add", &add);
        let promote = ReplicaBody {
            id: self.new_id(),
            replica: status.replica,
        };
        self.post_until_recorded("/v1/control/promote", &promote);
    }

    /// Removes a replica from the group.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`BOUND`].
    #[track_caller]
    pub fn remove_replica(&self, replica: filberthead_types::ReplicaId) {
        let id = self.new_id();
        self.post_until_recorded("/v1/control/remove", &ReplicaBody { id, replica });
    }

    /// Sends a membership change to the replicas in rotation until one has recorded it.
    #[track_caller]
    fn post_until_recorded(&self, path: &str, body: &impl Serialize) {
        let mut addrs = self.addrs.iter().cycle();
        eventually(path, BOUND, || {
            let answer = self.post(*addrs.next()?, path, body).ok()?;
            (answer.code == ResultCode::ActRecorded).then_some(())
        });
    }

    fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Answer, CallError> {
        let body = serde_json::to_vec(body).expect("a body is plain data");
        let answer = Call::new("POST", path)
            .header("content-type", "application/json")
            .header(filberthead_operator::OPERATOR_HEADER, &self.name)
            .body(body)
            .bound(ATTEMPT_TIMEOUT)
            .send(addr)?;
        Ok(answer.json())
    }

    fn new_id(&self) -> ChangeId {
        random_change_id()
    }
}

fn classify(answer: Result<Answer, CallError>) -> Attempt {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::Connect(_)) => return Attempt::NotRun,
        Err(_) => return Attempt::Unknown,
    };
    match answer.code {
        ResultCode::ChangeAccepted => {
            let version = answer.version.expect("an accepted change has a version");
            Attempt::Accepted(version)
        }
        ResultCode::ChangeUnknown => Attempt::Unknown,
        ResultCode::NotLeader | ResultCode::ApiUnavailable | ResultCode::ApiTimeout => {
            Attempt::NotRun
        }
        _ => Attempt::Refused(Box::new(answer)),
    }
}

/// A random change id.
pub fn random_change_id() -> ChangeId {
    use std::hash::{BuildHasher, Hasher};
    let random = || {
        std::collections::hash_map::RandomState::new()
            .build_hasher()
            .finish()
    };
    ChangeId(u128::from(random()) << 64 | u128::from(random()))
}

/// A change that sets the weight of one row and expects the row to be at `revision`.
///
/// # Panics
///
/// Panics if `service` or `region` isn't a valid name.
pub fn set_weight(service: &str, region: &str, revision: Revision, weight: u32) -> ChangeBody {
    let edit = EditBody {
        service: service.parse().expect("a valid service"),
        region: region.parse().expect("a valid region"),
        revision,
        set: Some(RowValues {
            weight,
            limit: 100,
            shift_cap: 50,
            objective: Objective::Latency,
        }),
        remove: false,
    };
    change_of(vec![edit])
}

/// A change with these edits that allows every kind of danger.
pub fn change_of(edits: Vec<EditBody>) -> ChangeBody {
    ChangeBody {
        id: random_change_id(),
        note: String::new(),
        edits,
        allow: Danger::ALL.iter().copied().collect(),
        supersedes: None,
    }
}
