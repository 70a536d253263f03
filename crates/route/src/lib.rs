//! The route table: which requests go to which services, whose they are, and within which
//! limits.
//!
//! A [`Table`] is a complete configuration of routes. Operators replace it as a whole by a
//! [`Change`] with a version; of two changes the one with the higher version is in force,
//! regardless of the order in which they arrive ([`LatestChange::offer`]). So a change that is
//! sent again or delivered late can't undo a newer one.
//!
//! Invariants that other crates rely on:
//!
//! - a table that [`Table::check`] accepts has a service and a positive weight for each route,
//!   so that a matched route always has a target;
//! - [`Matcher::find`] depends on host and path only, so every process with the same table
//!   routes a request alike;
//! - in a table that [`Table::check`] accepts, a key identifies one workspace.

mod change;
mod delta;
mod matcher;
mod split;
mod table;
mod workspace;

pub use change::{Change, LatestChange, OfferResult};
pub use delta::Delta;
pub use matcher::{Matched, Matcher};
pub use split::Split;
pub use table::{CallerBounds, InvalidTable, Kind, Route, Service, Table, Target};
pub use workspace::{Allotment, KeyDigest, KeyIndex, Workspace};
