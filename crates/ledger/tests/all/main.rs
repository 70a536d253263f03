//! Tests of the ledger: single failures, random events, exhaustive exploration.

mod claim_results;
mod cluster;
mod explore;
mod failures;
mod journals;
mod quarantine;
mod random;
mod stops;
mod wire;
