//! Settings of `filberthead-entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};

use crate::{LogSettings, ReplicaSettings, VmSettings};

/// An endpoint of the entry's own failure domain, from a section `[endpoint NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Its name.
    pub name: NodeName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
}

/// All settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
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
    /// Listening address for look-ups and requests.
    pub caller_listen: SocketAddr,
    /// Address advertised to callers and other entries; `None` for the listening one.
    pub caller_advertise: Option<SocketAddr>,
    /// Listening address for messages of other processes.
    pub peer_listen: SocketAddr,
    /// Address advertised to other processes; `None` for the listening one.
    pub peer_advertise: Option<SocketAddr>,
    /// Listening address of `/metrics` and `/status`.
    pub status_listen: SocketAddr,
    /// Folder for records that must survive a restart; with `None` they are only kept in
    /// memory and on a second entry.
    pub data: Option<PathBuf>,
    /// The control replicas, from sections `[replica NAME]`.
    pub replicas: Vec<ReplicaSettings>,
    /// Peer addresses of other entries to query at start, one or more per failure domain.
    pub seeds: Vec<SocketAddr>,
    /// URL of the platform's list of VMs; with `None` only `endpoints` are used.
    pub platform_url: Option<String>,
    /// Endpoints of this failure domain, from sections `[endpoint NAME]`.
    pub endpoints: Vec<EndpointSettings>,
    /// How long callers may cache a look-up's answer.
    pub lookup_ttl: Duration,
    /// How long a planned stop waits for running requests and downloads.
    pub stop_deadline: Duration,
    /// Time limit of a request without one of its own.
    pub request_timeout: Duration,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Maximum number of stored idempotency keys.
    pub ledger_keys: usize,
    /// How long an idempotency key is kept.
    pub ledger_retention: Duration,
    /// Logging.
    pub log: LogSettings,
}
