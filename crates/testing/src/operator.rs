//! An operator's desk in a test: changes, status and the group of control replicas.

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

/// Bound on what takes an election or two, on a machine that does much else.
pub const BOUND: Duration = Duration::from_secs(180);

/// Longest time for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// What an operator knows after one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The change is accepted.
    Accepted(Version),
    /// The table has decided against it, and will say the same to a resend.
    Refused(Box<Answer>),
    /// This attempt did not take effect and never will; another may.
    NotRun,
    /// The attempt may have taken effect, or may yet.
    Unknown,
}

/// Somebody with the addresses of all control replicas.
#[derive(Clone, Debug)]
pub struct Operator {
    addrs: Vec<SocketAddr>,
    name: String,
}

impl Operator {
    /// An operator of that name.
    pub fn new(name: &str, addrs: Vec<SocketAddr>) -> Self {
        let name = name.to_owned();
        Self { addrs, name }
    }

    /// What a replica says of itself, unless it gives no answer.
    pub fn status_of(&self, addr: SocketAddr) -> Option<Status> {
        let answer = Call::get("/v1/status")
            .bound(ATTEMPT_TIMEOUT)
            .send(addr)
            .ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Status of the replica that holds the lease, if one says so.
    pub fn leader(&self) -> Option<Status> {
        let statuses = self.addrs.iter().filter_map(|addr| self.status_of(*addr));
        statuses.into_iter().find(|status| status.holds_lease)
    }

    /// Waits for a leader.
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

    /// Sends a change, again and again, until its outcome is known.
    ///
    /// # Panics
    ///
    /// Panics if none is known in time.
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

    /// Like [`change`](Self::change), and the change must be accepted.
    ///
    /// # Panics
    ///
    /// Panics if it is refused or its outcome isn't known in time.
    #[track_caller]
    pub fn accept(&self, change: &ChangeBody) -> Version {
        match self.change(change) {
            Attempt::Accepted(version) => version,
            other => panic!("change {} is not accepted: {other:?}", change.id),
        }
    }

    /// The table as a leader proves it.
    pub fn try_table(&self) -> Option<TableBody> {
        self.addrs.iter().find_map(|addr| self.table_of(*addr))
    }

    /// The table as one replica shows it, unless it refuses.
    pub fn table_of(&self, addr: SocketAddr) -> Option<TableBody> {
        let answer = Call::get("/v1/table")
            .bound(ATTEMPT_TIMEOUT)
            .send(addr)
            .ok()?;
        let succeeded = answer.status.is_success();
        succeeded.then(|| answer.json())
    }

    /// Waits for the table.
    ///
    /// # Panics
    ///
    /// Panics if no replica shows it in time.
    #[track_caller]
    pub fn table(&self) -> TableBody {
        eventually("the table", BOUND, || self.try_table())
    }

    /// All records that are kept, the oldest first.
    ///
    /// # Panics
    ///
    /// Panics if no replica shows them in time.
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

    /// Makes one group of all replicas, the first one leading it at the start.
    ///
    /// # Panics
    ///
    /// Panics if that takes too long for a step.
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

    /// Adds the replica that serves at `addr` to the group, and waits until it votes.
    ///
    /// # Panics
    ///
    /// Panics if that takes too long for a step.
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

    /// Drops a replica from the group.
    ///
    /// # Panics
    ///
    /// Panics if that takes too long.
    #[track_caller]
    pub fn remove_replica(&self, replica: filberthead_types::ReplicaId) {
        let id = self.new_id();
        self.post_until_recorded("/v1/control/remove", &ReplicaBody { id, replica });
    }

    /// Sends an act to all replicas in turn until one has recorded it.
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

/// A change id that no other call gives.
pub fn random_change_id() -> ChangeId {
    use std::hash::{BuildHasher, Hasher};
    let random = || {
        std::collections::hash_map::RandomState::new()
            .build_hasher()
            .finish()
    };
    ChangeId(u128::from(random()) << 64 | u128::from(random()))
}

/// A change that sets the weight of one row, as seen at `revision`.
///
/// # Panics
///
/// Panics if `service` or `region` is no valid name.
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

/// A change with these edits that takes all dangers.
pub fn change_of(edits: Vec<EditBody>) -> ChangeBody {
    ChangeBody {
        id: random_change_id(),
        note: String::new(),
        edits,
        allow: Danger::ALL.iter().copied().collect(),
        supersedes: None,
    }
}
