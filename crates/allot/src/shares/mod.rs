//! Divides the capacity of services that are short of it among workspaces.
//!
//! Each gateway measures the expected work that workspaces ask for and that it serves
//! ([`ShareMeter`]), and reports it ([`ServiceWork`]). Control adds up the reports of all gateways,
//! estimates what a service can serve, divides that by max-min fairness ([`SharePool`]) and tells the
//! gateways which part of a workspace's requests they may send ([`ServiceShares`]). Gateways admit by
//! these parts, or by their own counts without control ([`Shares`]).

mod capacity;
mod fairness;
mod gateway;
mod messages;
mod meter;
mod pool;
mod shortage;

pub use gateway::{Offer, Shares};
pub use messages::{OtherShare, OtherWork, ServiceShares, ServiceWork, Share, WorkspaceWork};
pub use meter::ShareMeter;
pub use pool::{DividedService, SharePool};
pub use shortage::Shortages;

/// Number of priorities that are told apart. All from the last one on are treated alike, which bounds
/// messages.
const PRIORITIES: usize = 8;

/// Most workspaces that a report or a notice names for a service.
pub const MAX_NAMED: usize = 16;

/// Index of a priority, 0 for the most urgent.
fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
