//! Settings of `filberthead-gateway`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, NodeName, Region};

use crate::{LogSettings, VmSettings};

/// Bounds that apply to all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition, over all gateways.
    pub retry_floor: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Fraction of a region's requests that may move to another region from one window of
    /// two seconds to the next.
    pub max_shift: f64,
    /// Requests beyond the allotment of a workspace that gateways without contact to control
    /// may send, over all gateways, when they lose contact.
    pub allotment_slack: f64,
}

/// When contention control is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContentionControl {
    /// From when a caller of any gateway has sent a request before its previous one was answered.
    #[default]
    Auto,
    /// From the start.
    Always,
    /// Never.
    Never,
}

/// All settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
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
    /// Listening address for requests.
    pub caller_listen: SocketAddr,
    /// Address advertised to callers; `None` for the listening one.
    pub caller_advertise: Option<SocketAddr>,
    /// Listening address of the platform's readiness probe.
    pub readiness_listen: SocketAddr,
    /// Listening address of `/metrics`.
    pub status_listen: SocketAddr,
    /// Listening address for messages of other processes.
    pub peer_listen: SocketAddr,
    /// Address advertised to other processes; `None` for the listening one.
    pub peer_advertise: Option<SocketAddr>,
    /// Listening address of requests that other gateways relay.
    pub relay_listen: SocketAddr,
    /// Address advertised to other gateways; `None` for the listening one.
    pub relay_advertise: Option<SocketAddr>,
    /// Peer addresses of some control VMs.
    pub seeds: Vec<SocketAddr>,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Bounds that apply to all gateways together.
    pub budgets: BudgetSettings,
    /// When contention control is on.
    pub contention_control: ContentionControl,
    /// Whether services that are short of capacity are divided among workspaces while it is on.
    pub fair_shares: bool,
    /// Rate of the VM's network link, in Mbit/s; `None` if it isn't limited.
    pub link_rate: Option<f64>,
    /// Time from the stop signal until the process must have exited.
    pub stop_grace: Duration,
    /// Logging.
    pub log: LogSettings,
}
