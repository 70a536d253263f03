//! Tests of the simulations and of `filberthead-measure-placement`.

mod experiment;
mod placement;
mod retries;
