//! What spreads between gateways and control.

mod following;
mod links;
mod parts;
mod proofs;
mod spreading;
mod starts;
mod support;
