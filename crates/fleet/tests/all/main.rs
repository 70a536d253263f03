//! What spreads between gateways and control.

mod following;
mod proofs;
mod spreading;
mod starts;
mod support;
