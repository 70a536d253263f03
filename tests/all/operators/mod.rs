//! What operators hold in their hands: the command line against real control replicas.

mod desk;
#[path = "../../../crates/operator/tests/common/mod.rs"]
mod fake;
mod group;
mod input;
mod limits;
mod resend;
mod shifts;
mod tokens;
mod unknown;
