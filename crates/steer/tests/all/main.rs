//! Tests of steering.

mod broken_connections;
mod common;
mod confirmations;
mod contact;
mod policy;
mod random;
mod renewing;
mod retry_budget;
mod slot_counts;
mod world;
