//! A model of endpoints and callers around the decisions of gateways.
//!
//! It plays a load pattern against the placers of several gateways and tells what callers
//! got: by region, by kind of request, by second. Nothing runs but the step functions of
//! `filberthead-place`; time is counted in milliseconds, and a seed gives the same figures
//! every time. What is modelled is what the decisions depend on: endpoints with slots and a
//! queue that know the objects they have handled lately, ways between regions, control that
//! sums up demand and tells it late, and callers that come back once.
//!
//! Tests replay a pattern with and without a mechanism; `filberthead-measure-placement`
//! prints the figures of all patterns.

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
