//! Settings of `filberthead-gateway`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region};

use crate::LogSettings;

/// Bounds that all gateways keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Further attempts of requests, as a part of first ones.
    pub retry_ratio: f64,
    /// Further attempts that are allowed in each window besides, over all gateways.
    pub retry_floor: f64,
    /// The window.
    pub retry_window: Duration,
    /// Part of a region's requests that may change the region where they run, from one
    /// window of two seconds to the next.
    pub max_shift: f64,
}

/// Everything that a gateway learns from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the cluster; messages of another one are rejected.
    pub cluster: String,
    /// Name of this process.
    pub node: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where requests are taken.
    pub caller_listen: SocketAddr,
    /// Address that callers are told; the listening one by default.
    pub caller_advertise: Option<SocketAddr>,
    /// Where the platform asks whether callers may be sent here.
    pub readiness_listen: SocketAddr,
    /// Where `/metrics` is served.
    pub status_listen: SocketAddr,
    /// Where messages of other processes are taken.
    pub peer_listen: SocketAddr,
    /// Address that other processes are told; the listening one by default.
    pub peer_advertise: Option<SocketAddr>,
    /// Peer addresses of some control VMs.
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Bounds that all gateways keep together.
    pub budgets: BudgetSettings,
    /// Rate of the VM's link, in Mbit/s.
    pub link_rate: Option<f64>,
    /// Time from the signal of a planned stop until the process must have ended.
    pub stop_grace: Duration,
    /// Logging.
    pub log: LogSettings,
}
