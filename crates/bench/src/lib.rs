//! Load tools and experiments.

pub mod experiment;
pub mod placement;
