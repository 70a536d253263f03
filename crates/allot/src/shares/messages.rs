//! What gateways and control tell each other about services that are short of capacity.

use filberthead_types::{ServiceName, Workspace};
use serde::{Deserialize, Serialize};

/// Expected work at one gateway, in thousandths of a busy slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceWork {
    /// The service.
    pub service: ServiceName,
    /// Whether the gateway sees that the service is short of capacity.
    pub is_short: bool,
    /// Work of requests of workspaces that were answered.
    pub served_milli: u32,
    /// Work that the largest workspaces asked for, at most [`MAX_NAMED`](super::MAX_NAMED). Empty, as
    /// `others`, while the service isn't short of capacity anywhere.
    pub largest: Vec<WorkspaceWork>,
    /// Work that all other workspaces asked for, by priority.
    pub others: Vec<OtherWork>,
}

/// Work that a workspace asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceWork {
    /// The workspace.
    pub workspace: Workspace,
    /// Priority of the requests.
    pub priority: u8,
    /// The work.
    pub offered_milli: u32,
}

/// Work that workspaces asked for which aren't named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OtherWork {
    /// Priority of the requests.
    pub priority: u8,
    /// Sum of the work.
    pub offered_milli: u32,
    /// Number of the workspaces.
    pub workspaces: u32,
}

/// How the capacity of a service is divided.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceShares {
    /// The service. Gateways report what workspaces ask of it.
    pub service: ServiceName,
    /// The workspaces that ask for most beyond their share, at most [`MAX_NAMED`](super::MAX_NAMED).
    pub shares: Vec<Share>,
    /// The priorities in which further workspaces ask for more than their share.
    pub others: Vec<OtherShare>,
}

/// The part of a workspace's requests that each gateway may send.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// The workspace.
    pub workspace: Workspace,
    /// Priority of the requests.
    pub priority: u8,
    /// The part in thousandths.
    pub ratio_milli: u16,
}

impl Share {
    /// The part, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        ratio_from_milli(self.ratio_milli)
    }
}

/// The part that each gateway may send of the work of all workspaces of a priority that aren't named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OtherShare {
    /// The priority.
    pub priority: u8,
    /// The part in thousandths.
    pub ratio_milli: u16,
}

/// A part from 0 to 1 in thousandths.
pub(super) fn ratio_to_milli(ratio: f64) -> u16 {
    (ratio * 1000.0).round() as u16
}

/// A part in thousandths as a number from 0 to 1.
pub(super) fn ratio_from_milli(milli: u16) -> f64 {
    f64::from(milli.min(1000)) / 1000.0
}
