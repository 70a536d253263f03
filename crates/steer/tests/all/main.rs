//! Tests of steering.

mod broken_connections;
mod common;
mod policy;
mod random;
mod retry_budget;
mod slot_counts;
mod world;
