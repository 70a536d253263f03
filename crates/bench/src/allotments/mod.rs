//! Simulation of a workspace's allotment over many gateways, by several ways of dividing it.
//!
//! One workspace's callers use a few gateways at a time. What a way allows is compared with what
//! a token bucket that sees every request would allow.

mod simulation;
mod way;

pub use simulation::{Figures, Scenario, run};
pub use way::Way;
