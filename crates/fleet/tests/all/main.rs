//! Tests of state distribution between gateways and control replicas.

mod allotments;
mod contention;
mod evacuations;
mod helpers;
mod narrow_link;
mod parts;
mod proofs;
mod reporting;
mod restarts;
mod shares;
mod support;
mod surges;
mod suspicions;
mod updates;
