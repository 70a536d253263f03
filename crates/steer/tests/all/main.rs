//! Tests of steering.

mod broken;
mod common;
mod policy;
mod random;
mod slots;
mod world;
