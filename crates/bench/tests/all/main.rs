//! Tests of the bench.

mod experiment;
mod placement;
