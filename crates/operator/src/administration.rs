//! The interface between the API and the control daemon.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use filberthead_table::{Command, Outcome, Table};
use filberthead_types::{
    Epoch, FailureDomain, NodeName, Region, ReplicaId, ResultCode, ServiceName, Version, Workspace,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A boxed future, which keeps a trait with async methods object-safe.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why the control daemon returns no outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum AdministrationError {
    /// This replica can't prove that it leads; nothing was added to the log.
    #[snafu(display("this control replica doesn't lead"))]
    NotLeader {
        /// The leader's address of this API, if known.
        leader: Option<SocketAddr>,
    },
    /// The command was added to the log and may still be committed.
    #[snafu(display("the outcome is not known; send it again with the same id"))]
    OutcomeUnknown,
    /// Another membership change is in progress, or this one breaks a rule.
    #[snafu(display("the membership change is refused: {reason}"))]
    MembershipRefused {
        /// The rule, for people.
        reason: String,
    },
    /// The learner's log is too far behind for it to become a voter.
    #[snafu(display("the replica has not caught up yet"))]
    LearnerBehind,
    /// The daemon is stopping, or a part of it doesn't respond; nothing was started.
    #[snafu(display("not available: {reason}"))]
    Unavailable {
        /// The cause, for people.
        reason: String,
    },
}

impl AdministrationError {
    /// The result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::NotLeader { .. } => ResultCode::NotLeader,
            Self::OutcomeUnknown => ResultCode::ChangeUnknown,
            Self::MembershipRefused { .. } => ResultCode::MembershipRefused,
            Self::LearnerBehind => ResultCode::LearnerBehind,
            Self::Unavailable { .. } => ResultCode::ApiUnavailable,
        }
    }
}

/// A change of the group of control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Makes this replica the only voter of a new group. Refused on a replica that already
    /// has a membership.
    Initialise,
    /// Adds a replica that receives the log without a vote. Idempotent.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter. Idempotent.
    Promote(ReplicaId),
    /// Removes a replica from the group. Idempotent.
    Remove(ReplicaId),
}

/// The control daemon, as used by the API.
///
/// Dropping a returned future stops the waiting, not the operation.
pub trait Administration: Send + Sync {
    /// Adds a command to the replicated log and waits until this replica has applied it.
    ///
    /// # Errors
    ///
    /// Any error but [`AdministrationError::OutcomeUnknown`] guarantees that this attempt
    /// is never applied.
    fn submit(&self, command: Command) -> BoxFuture<'_, Result<Outcome, AdministrationError>>;

    /// Linearizable read of the table: it includes every command whose outcome was
    /// returned before the call.
    ///
    /// # Errors
    ///
    /// Fails unless this replica proves by lease or by quorum that it leads.
    fn read(&self) -> BoxFuture<'_, Result<Arc<Table>, AdministrationError>>;

    /// State of this replica, the group and the entries as known to this replica. Needs no
    /// lease, so that operators can read it when there is no leader.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is stopping.
    fn status(&self) -> BoxFuture<'_, Result<Status, AdministrationError>>;

    /// The workspaces of the routes in force and their requests, as known to this replica. Needs
    /// no lease.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is stopping.
    fn workspaces(&self) -> BoxFuture<'_, Result<WorkspacesBody, AdministrationError>>;

    /// The live readings of the rows; rows of which this replica has none are left out.
    fn readings(&self) -> BoxFuture<'_, Vec<RowReading>>;

    /// Changes the group of control replicas, and waits for it to be committed.
    ///
    /// # Errors
    ///
    /// As [`Administration::submit`], or the rule that refuses the change.
    fn membership(
        &self,
        change: MembershipChange,
    ) -> BoxFuture<'_, Result<(), AdministrationError>>;
}

/// Role of a control replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaRole {
    /// Has an empty data folder and waits to be initialised or added.
    Uninitialised,
    /// Receives the log but has no vote.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests votes.
    Candidate,
    /// Leads while its lease is valid.
    Leader,
}

/// Answer of `GET /v1/status`: state as known to the replica that answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the replica that answers.
    pub node: NodeName,
    /// Its identity.
    pub replica: ReplicaId,
    /// Its address for messages of other processes.
    pub peer_addr: SocketAddr,
    /// Its address of this API.
    pub operator_addr: SocketAddr,
    /// Its role.
    pub role: ReplicaRole,
    /// Its term.
    pub term: Epoch,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Whether it leads with a valid lease. While no replica does, changes are refused.
    pub holds_lease: bool,
    /// Index of the last entry of its log.
    pub last_index: u64,
    /// Index of the last log entry known to be committed.
    pub commit: u64,
    /// Version of the table that it has applied.
    pub version: Version,
    /// The group of control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Entry nodes known to it (not entries of the log).
    pub entries: Vec<EntryStatus>,
    /// Live readings of the rows.
    pub rows: Vec<RowReading>,
}

/// A member of the group of control replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Its name, if registered.
    pub name: Option<NodeName>,
    /// Its address for messages of other processes, if registered.
    pub peer_addr: Option<SocketAddr>,
    /// Its address of this API, if registered.
    pub operator_addr: Option<SocketAddr>,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Highest log index known to match the leader's log; `None` unless the answering
    /// replica leads.
    pub match_index: Option<u64>,
}

/// An entry node as known to a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its address for look-ups and requests.
    pub caller_addr: SocketAddr,
    /// Version of the table that it uses, from its last report; `None` if this replica
    /// has received no report, as is the case if it doesn't lead.
    pub version: Option<Version>,
    /// Whether a planned stop of it is in progress.
    pub leaving: bool,
    /// Age of its last report in milliseconds; `None` if this replica has received none.
    pub heard_ms: Option<u64>,
}

/// Live figures of a row's traffic. A figure that is missing or too old is `None`, which
/// means unknown, not zero.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowReading {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Requests in progress.
    pub running: Option<u64>,
    /// The part of them that a shift has added.
    pub shifted: Option<u64>,
    /// Slots of the region's endpoints that are not leaving; `None` unless every entry
    /// of the region has reported its endpoints.
    pub slots: Option<u64>,
    /// Age in milliseconds of the oldest report that the figures are from.
    pub age_ms: u64,
}

/// Answer of `GET /v1/workspaces`: the workspaces of the routes in force at the replica that
/// answers, in the order of their configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspacesBody {
    /// The workspaces.
    pub workspaces: Vec<WorkspaceStatus>,
    /// The services that are short of capacity, which is divided among workspaces.
    #[serde(default)]
    pub short: Vec<ShortServiceStatus>,
}

/// A workspace, and its requests over all gateways that report. Rates are in requests per second
/// and about a second old.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Its name.
    pub name: Workspace,
    /// Number of its keys.
    pub keys: usize,
    /// The only regions where its requests may run; empty allows all.
    pub regions: Vec<Region>,
    /// Priority of its requests, 0 the highest; `None` leaves it to the routes.
    pub priority: Option<u8>,
    /// Its allotment and the use of it; `None` if its requests aren't limited.
    pub allotment: Option<AllotmentStatus>,
    /// Its refused requests over the last seconds.
    pub refused: Vec<RefusedStatus>,
    /// The services that are short of capacity and of which it asks for more than its share.
    #[serde(default)]
    pub shares: Vec<ShareStatus>,
}

/// A workspace's share of a service that is short of capacity.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareStatus {
    /// The service.
    pub service: ServiceName,
    /// Priority of the requests, 0 the highest.
    pub priority: u8,
    /// The part of its requests that gateways admit, from 0 to 1.
    pub admitted: f64,
}

/// A service whose capacity is divided among workspaces, in slots that are busy with their work.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShortServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// What it is expected to serve.
    pub capacity: f64,
    /// What workspaces ask for.
    pub offered: f64,
    /// What is served.
    pub served: f64,
}

/// The allotment of a workspace and its use.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AllotmentStatus {
    /// Requests per second that it may send.
    pub rate: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
    /// Requests per second that arrive.
    pub offered: f64,
    /// Requests per second that are sent to endpoints.
    pub sent: f64,
    /// Requests per second set aside for gateways that control has lost contact with.
    pub reserved: f64,
    /// The part of its requests that gateways send, from 0 to 1.
    pub admitted: f64,
}

/// Requests of a workspace that were refused with one code.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStatus {
    /// The code.
    pub code: ResultCode,
    /// Requests per second.
    pub rate: f64,
}
