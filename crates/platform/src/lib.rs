//! Client for the platform's list of live and leaving VMs.
//!
//! The list lags behind the real state, so it is used only in addition to other sources: a VM
//! listed as leaving counts as leaving, even if other sources report it as live; a VM missing
//! from the list doesn't count as dead; and if the list can't be fetched, the last one stays in
//! use and its age is reported.

mod list;
mod poll;

pub use list::{Kind, List, State, Vm};
pub use poll::{PollError, Poller};
