//! The order in which endpoints are preferred for an object.
//!
//! Rendezvous hashing: each pair of object and endpoint has a hash, and the endpoint with the
//! highest one is first. Every gateway computes the same order from the same list, and when an
//! endpoint is added or removed, only the objects that it was first for move.

use crate::Object;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a name.
pub(crate) fn hash_name(name: &[u8]) -> u64 {
    xxh3_64(name)
}

/// Hash of an object: its route prefix and its name.
pub(crate) fn hash_object(object: Object<'_>) -> u64 {
    xxh3_64_with_seed(object.name, hash_name(object.prefix.as_bytes()))
}

/// Evenly spread values for consecutive numbers; the key of requests without an object.
pub(crate) fn spread_sequence(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// A hash as a fraction in `[0, 1)`, independent of the order of endpoints.
pub(crate) fn unit_position(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Score of an endpoint for a key; the endpoint with the highest one is preferred.
pub(crate) fn score(key: u64, endpoint: &str) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), key)
}
