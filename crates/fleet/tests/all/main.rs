//! What spreads between gateways and control.

mod narrow_link;
mod parts;
mod proofs;
mod reporting;
mod restarts;
mod support;
mod updates;
