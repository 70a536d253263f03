//! Routes: which requests go to which services, and within which bounds.
//!
//! A [`Table`] is one whole configuration of routes. Operators replace it as a whole, as
//! a numbered [`Change`]; of two changes the one with the higher number is in force,
//! whatever the order in which they arrive ([`LatestChange::offer`]). So a change that is sent
//! again, or delivered late, can't take back a newer one.
//!
//! Invariants relied on elsewhere:
//!
//! - a table that [`Table::check`] accepts has a service and a positive weight for each
//!   route, so that a matched route always names somewhere to go;
//! - [`Matcher::find`] depends on host and path only, so every process that holds the
//!   same table routes a request alike.

mod change;
mod delta;
mod matcher;
mod split;
mod table;

pub use change::{Change, LatestChange, OfferResult};
pub use delta::Delta;
pub use matcher::{Matched, Matcher};
pub use split::Split;
pub use table::{CallerBounds, InvalidTable, Kind, Route, Service, Table, Target};
