//! Simulation of a service's retry budget over many gateways, by several ways of dividing it.
//!
//! Every request of a service fails and asks for one retry, while gateways and control replicas are
//! restarted or cut off. What a way grants is compared with what the budget allows, and with what
//! a budget that sees every request would grant.

mod control;
mod simulation;
mod way;

pub use simulation::{Fault, Figures, Scenario, run};
pub use way::Way;
