//! Placement: each module replays one pattern of load.

mod balance;
mod bounds;
mod link;
mod objects;
mod refusals;
mod regions;
mod restarts;
mod support;
mod surge;
