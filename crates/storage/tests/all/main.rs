//! Tests of the data folder: what survives, what is rejected.

mod crash;
mod damage;
mod folder;
mod support;
