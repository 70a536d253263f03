//! Simulations of the placement and steering algorithms. The load generators are in
//! `src/bin`.

pub mod experiment;
pub mod placement;
