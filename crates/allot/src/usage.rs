//! What gateways and control tell each other about a workspace.

use std::time::Duration;

use filberthead_types::Workspace;
use serde::{Deserialize, Serialize};

/// Time over which reported rates are averaged: the time between two reports.
pub(crate) const AVERAGING: Duration = Duration::from_millis(500);

/// Requests of a workspace at one gateway, in thousandths of a request per second.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// The workspace.
    pub workspace: Workspace,
    /// Requests that arrived, whether they were sent to an endpoint or not.
    pub offered_milli: u32,
    /// Requests that were sent to an endpoint.
    pub sent_milli: u32,
    /// Requests that the gateway sends at most if it loses contact to control.
    pub reserved_milli: u32,
}

/// The part of a workspace's requests that each gateway may send.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdmitRatio {
    /// The workspace.
    pub workspace: Workspace,
    /// The part in thousandths. What is beyond 1000 is left to further attempts of requests, as a part
    /// of the requests.
    pub ratio_milli: u16,
    /// Milliseconds in which the workspace would make up for what was sent too much if it sent
    /// nothing.
    pub debt_ms: u16,
}

impl AdmitRatio {
    /// The part, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        f64::from(self.ratio_milli.min(1000)) / 1000.0
    }

    /// Further attempts that may be sent for each request.
    pub fn headroom(&self) -> f64 {
        f64::from(self.ratio_milli.saturating_sub(1000)) / 1000.0
    }

    /// Time in which the workspace would make up for what was sent too much if it sent nothing.
    pub fn debt(&self) -> Duration {
        Duration::from_millis(u64::from(self.debt_ms))
    }
}

/// A rate in thousandths of a request per second.
pub(crate) fn to_milli(per_s: f64) -> u32 {
    (per_s * 1000.0).round() as u32
}

/// A rate in requests per second.
pub(crate) fn from_milli(milli: u32) -> f64 {
    f64::from(milli) / 1000.0
}
