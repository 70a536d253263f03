//! Simulations of the allotment, placement and steering algorithms. The load generators are in
//! `src/bin`.

pub mod allotments;
pub mod experiment;
pub mod placement;
pub mod retries;
