//! Tests of the data folder: what survives a crash, and what is rejected.

mod crash;
mod damage;
mod folder;
mod support;
