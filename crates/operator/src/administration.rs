//! The border between the API and the control daemon.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use filberthead_table::{Command, Outcome, Table};
use filberthead_types::{
    Epoch, FailureDomain, NodeName, Region, ReplicaId, ResultCode, ServiceName, Version,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A future behind a pointer, so that a trait with async methods stays object-safe.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why the control daemon gives no outcome or no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum AdministrationError {
    /// This replica can't prove that it leads; nothing entered the log.
    #[snafu(display("this control replica doesn't lead"))]
    NotLeader {
        /// Where the leader serves this API, as far as known.
        leader: Option<SocketAddr>,
    },
    /// The command entered the log, and may be committed yet.
    #[snafu(display("the outcome is not known; send it again with the same id"))]
    OutcomeUnknown,
    /// A membership change is under way, or this one breaks a rule.
    #[snafu(display("the membership can't be changed so: {reason}"))]
    MembershipRefused {
        /// The rule, for people.
        reason: String,
    },
    /// The learner is too far behind to vote.
    #[snafu(display("the replica has not caught up yet"))]
    LearnerBehind,
    /// The daemon is stopping, or a duty of it doesn't answer; nothing was started.
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
    /// Makes the replica asked the only voter of a new group. Succeeds once in the life
    /// of a group; on a replica that has a membership it is refused.
    Initialise,
    /// Lets a replica receive the log. Done already counts as done.
    AddLearner(ReplicaId),
    /// Lets a learner that has caught up vote. Done already counts as done.
    Promote(ReplicaId),
    /// Drops a replica from the group. Done already counts as done.
    Remove(ReplicaId),
}

/// What the control daemon does for the API.
///
/// A future that is dropped stops the waiting, not what was begun.
pub trait Administration: Send + Sync {
    /// Puts a command into the replicated log and waits until it is applied here.
    ///
    /// # Errors
    ///
    /// Any error but [`AdministrationError::OutcomeUnknown`] promises that this attempt
    /// never takes effect.
    fn submit(&self, command: Command) -> BoxFuture<'_, Result<Outcome, AdministrationError>>;

    /// The table as of a moment within this call: with every command whose outcome
    /// anybody was told before the call.
    ///
    /// # Errors
    ///
    /// Fails unless this replica proves, by lease or by quorum, that it leads.
    fn read(&self) -> BoxFuture<'_, Result<Arc<Table>, AdministrationError>>;

    /// What this replica knows of itself, the group and the entries. Needs no lease:
    /// it is what an operator looks at when there is no leader.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is stopping.
    fn status(&self) -> BoxFuture<'_, Result<Status, AdministrationError>>;

    /// The live readings of all rows that this replica has any reading of.
    fn readings(&self) -> BoxFuture<'_, Vec<RowReading>>;

    /// Changes the group of control replicas, and waits for it to be committed.
    ///
    /// # Errors
    ///
    /// As [`Administration::submit`], or the rule that stands against it.
    fn membership(
        &self,
        change: MembershipChange,
    ) -> BoxFuture<'_, Result<(), AdministrationError>>;
}

/// Part that a control replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaRole {
    /// Has an empty data folder and waits to be initialised or added.
    Uninitialised,
    /// Receives the log; no vote.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads, for as long as its lease is valid.
    Leader,
}

/// What a control replica knows, at the moment of asking.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the replica asked.
    pub node: NodeName,
    /// Its identity.
    pub replica: ReplicaId,
    /// Where it takes messages of other processes.
    pub peer_addr: SocketAddr,
    /// Where it serves this API.
    pub operator_addr: SocketAddr,
    /// Its role.
    pub role: ReplicaRole,
    /// Its term.
    pub term: Epoch,
    /// The leader as far as known.
    pub leader: Option<ReplicaId>,
    /// Whether it leads with a valid lease. If no replica says so, changes are refused.
    pub holds_lease: bool,
    /// Last entry of its log.
    pub last_index: u64,
    /// Last entry known to be committed.
    pub commit: u64,
    /// Version of the table that it has applied.
    pub version: Version,
    /// The group of control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Entries that it has heard of.
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
    /// Where it takes messages, if registered.
    pub peer_addr: Option<SocketAddr>,
    /// Where it serves this API, if registered.
    pub operator_addr: Option<SocketAddr>,
    /// Whether it counts towards a majority.
    pub voter: bool,
    /// Last entry of its log that is known to match the leader's; from the leader only.
    pub match_index: Option<u64>,
}

/// An entry as control hears of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where it takes look-ups and requests.
    pub caller_addr: SocketAddr,
    /// Version of the table in force there, by its last report; `None` if this replica
    /// has had none, as one that doesn't lead.
    pub version: Option<Version>,
    /// Whether it is on a planned stop.
    pub leaving: bool,
    /// Age of that report, in milliseconds.
    pub heard_ms: Option<u64>,
}

/// What is known of a row's traffic. A figure that is missing or too old is `None`:
/// unknown, which is neither zero nor full.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowReading {
    /// The service.
    pub service: ServiceName,
    /// The region.
    pub region: Region,
    /// Requests in progress.
    pub running: Option<u64>,
    /// Those of them that a shift has brought.
    pub shifted: Option<u64>,
    /// Slots of the region's endpoints that are not leaving; `None` unless all entries
    /// of the region have reported what they own.
    pub slots: Option<u64>,
    /// Age of the oldest report behind the figures, in milliseconds.
    pub age_ms: u64,
}
