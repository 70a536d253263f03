//! Tests of the replicated log: single cases, exhaustive exploration, random schedules.

mod cluster;
mod explore;
mod lease;
mod membership;
mod random;
mod replication;
mod safety_rules;
