//! Settings of `filberthead-control`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};

use crate::{LogSettings, VmSettings};

/// A control replica, from a section `[replica NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Its name.
    pub name: NodeName,
    /// Its address for messages of other processes.
    pub peer_addr: SocketAddr,
}

/// The service-level objective of a service, from a section `[objective SERVICE]`. Targets
/// and shares are fractions of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveSettings {
    /// The service.
    pub service: ServiceName,
    /// A response that takes longer counts as slow.
    pub latency_threshold: Duration,
    /// Target share of responses that aren't slow.
    pub latency_target: f64,
    /// Share of slots that must be free.
    pub headroom_min: f64,
    /// Target share of minutes with at least `headroom_min` free slots.
    pub headroom_target: f64,
    /// A drain that takes longer counts as late.
    pub drain_deadline: Duration,
    /// Target share of drains that aren't late.
    pub drain_target: f64,
    /// Target share of requests that are neither refused nor lost.
    pub served_target: f64,
}

/// How samples for the burn report are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSettings {
    /// Time covered by one sample.
    pub period: Duration,
    /// Maximum size of all samples on disk, in bytes.
    pub max_bytes: u64,
}

/// How a control replica discovers its group and manages membership, from `[group]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSettings {
    /// Peer addresses of some control VMs.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Number of replicas that may fail at the same time.
    pub tolerate: usize,
}

/// How the platform's list of endpoints is polled, from `[platform]`.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformListSettings {
    /// Address of the list.
    pub addr: SocketAddr,
    /// Calls per second that it accepts from all processes together.
    pub rate: f64,
    /// The failure domains; if empty, the list is read one page after the other.
    pub domains: Vec<FailureDomain>,
    /// Time after which an endpoint listed as draining must get no new requests.
    pub drain: Duration,
}

/// Whether the table may be changed without a colleague's review.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReviewPolicy {
    /// Direct changes are accepted, and a missing review may be waived explicitly.
    #[default]
    Optional,
    /// Every change must be a proposal that someone other than its author has approved.
    Required,
}

/// All settings of a control replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Name of the cluster; messages of other clusters are rejected.
    pub cluster: String,
    /// Name of this process.
    pub node: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What its VM gives it.
    pub vm: VmSettings,
    /// Listening address for messages of other processes.
    pub peer_listen: SocketAddr,
    /// Address advertised to other processes; `None` for the listening one.
    pub peer_advertise: Option<SocketAddr>,
    /// Listening address of the administration API, `/metrics` and `/status`.
    pub operator_listen: SocketAddr,
    /// Address advertised to operators; `None` for the listening one.
    pub operator_advertise: Option<SocketAddr>,
    /// Folder for the replica's identity, log and snapshots.
    pub data: PathBuf,
    /// File of hashed bearer tokens; with `None` the API serves only the loopback.
    pub tokens: Option<PathBuf>,
    /// Whether a change may be made without a colleague's review.
    pub review: ReviewPolicy,
    /// The other replicas, from sections `[replica NAME]`.
    pub replicas: Vec<ReplicaSettings>,
    /// Automatic discovery of the group; with `None` operators manage membership.
    pub group: Option<GroupSettings>,
    /// Listening address for operators' routes and evacuations; `None` to accept none.
    pub orders_listen: Option<SocketAddr>,
    /// Listening address for callers' look-ups of gateways; `None` to serve none.
    pub lookups_listen: Option<SocketAddr>,
    /// How long callers may cache the answer to a look-up.
    pub lookups_ttl: Duration,
    /// The platform's list of endpoints; `None` to poll none.
    pub platform_list: Option<PlatformListSettings>,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without a leader's heartbeat before an election starts.
    pub election_timeout: Duration,
    /// How long a leader may answer reads of the table after a majority has confirmed it.
    pub lease: Duration,
    /// Service-level objectives, from sections `[objective SERVICE]`.
    pub objectives: Vec<ObjectiveSettings>,
    /// How samples for the burn report are stored.
    pub samples: SampleSettings,
    /// Logging.
    pub log: LogSettings,
}
