//! The replicated table under failures. One invariant in all tests: no accepted change is
//! lost, reverted or applied twice.

mod catch_up;
mod group;
mod hostile;
mod leader;
mod partition;
mod racing;
mod replacement;
mod restart;
mod writers;
