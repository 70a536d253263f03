//! What spreads between gateways and control.

mod proofs;
mod spreading;
mod starts;
mod support;
