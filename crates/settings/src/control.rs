//! Settings of `filberthead-control`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};

use crate::LogSettings;

/// A control replica, from a section `[replica NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Its name.
    pub name: NodeName,
    /// Where it takes messages of other processes.
    pub peer_addr: SocketAddr,
}

/// What a service promises its callers, from a section `[objective SERVICE]`. Targets
/// and shares are fractions of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveSettings {
    /// The service.
    pub service: ServiceName,
    /// An answer that takes longer counts as slow.
    pub latency_threshold: Duration,
    /// Share of answers that are to be no slower.
    pub latency_target: f64,
    /// Share of slots that are to be free.
    pub headroom_min: f64,
    /// Share of samples that are to have such headroom.
    pub headroom_target: f64,
    /// A drain that takes longer counts as late.
    pub drain_deadline: Duration,
    /// Share of drains that are to be in time.
    pub drain_target: f64,
    /// Share of requests that are not to be refused.
    pub served_target: f64,
}

/// How samples for the burn report are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSettings {
    /// Time that a sample covers.
    pub period: Duration,
    /// Bytes that samples may take on disk.
    pub max_bytes: u64,
}

/// How a control replica finds its group and keeps its membership, from `[group]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Peer addresses of some control VMs.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Replicas that may be lost at once.
    pub tolerate: usize,
}

/// Where the platform's list of endpoints is read, from `[platform]`.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformListSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Calls a second that it bears from all processes together.
    pub rate: f64,
    /// The failure domains; without them the list is read page after page.
    pub domains: Vec<FailureDomain>,
    /// Time after which an endpoint that the list calls draining must get nothing new.
    pub drain: Duration,
}

/// Whether the table may be changed without a colleague's review.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReviewPolicy {
    /// Direct changes are taken, and a missing review may be waived by name.
    #[default]
    Optional,
    /// Every change is a proposal that a colleague of its author has approved.
    Required,
}

/// Everything that a control replica learns from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Name of the cluster; messages of another one are rejected.
    pub cluster: String,
    /// Name of this process.
    pub node: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where messages of other processes are taken.
    pub peer_listen: SocketAddr,
    /// Address that other processes are told; the listening one by default.
    pub peer_advertise: Option<SocketAddr>,
    /// Where the administration API, `/metrics` and `/status` are served.
    pub operator_listen: SocketAddr,
    /// Address that operators are told; the listening one by default.
    pub operator_advertise: Option<SocketAddr>,
    /// Folder of the replica's identity, log and snapshots.
    pub data: PathBuf,
    /// File of hashed bearer tokens; none leaves the API open to the loopback only.
    pub tokens: Option<PathBuf>,
    /// Whether a change may be made without a colleague's review.
    pub review: ReviewPolicy,
    /// The other replicas, from sections `[replica NAME]`.
    pub replicas: Vec<ReplicaSettings>,
    /// How the replica finds its group by itself; none leaves membership to operators.
    pub group: Option<GroupSettings>,
    /// Where operators send routes and evacuations.
    pub orders_listen: Option<SocketAddr>,
    /// Where callers ask which gateways to use.
    pub lookups_listen: Option<SocketAddr>,
    /// How long callers may keep the answer to that.
    pub lookups_ttl: Duration,
    /// The platform's list of endpoints.
    pub platform_list: Option<PlatformListSettings>,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest silence of a leader before an election.
    pub election_timeout: Duration,
    /// How long a majority's answers let a leader answer for the table.
    pub lease: Duration,
    /// What services promise, from sections `[objective SERVICE]`.
    pub objectives: Vec<ObjectiveSettings>,
    /// How samples for the burn report are kept.
    pub samples: SampleSettings,
    /// Logging.
    pub log: LogSettings,
}
