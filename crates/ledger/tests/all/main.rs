//! Tests of the ledger: stories of failures, random events, exhaustive exploration.

mod claim_results;
mod cluster;
mod explore;
mod failures;
mod journals;
mod quarantine;
mod random;
mod stops;
mod wire;
