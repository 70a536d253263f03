//! A simulation of endpoints and callers that drives the placers of several gateways.
//!
//! It runs a load pattern and counts how callers' requests ended: by region, by kind of
//! request, by second. Only the step functions of `filberthead-place` are real code; time
//! is counted in milliseconds, and a seed gives the same figures every time. The simulation
//! covers what placement decisions depend on: endpoints with slots, a queue and a cache of
//! recently used objects, round trips between regions, control that returns the gateways'
//! demand one report interval late, and callers that retry once.
//!
//! Tests run a pattern with and without a mechanism; `filberthead-measure-placement` prints
//! the figures of all patterns.

mod callers;
mod endpoint;
mod figures;
mod pattern;
mod simulation;
mod site;

pub use figures::{Count, Figures};
pub use pattern::{Pattern, patterns};
pub use simulation::simulate;
pub use site::KINDS;
