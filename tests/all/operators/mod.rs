//! The command line against real control replicas.

#[path = "../../../crates/operator/tests/common/mod.rs"]
mod fake;
mod group;
mod input;
mod leases;
mod limits;
mod resend;
mod session;
mod shifts;
mod tokens;
mod unknown;
