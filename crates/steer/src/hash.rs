//! Rendezvous hashing: assigns a key to one of several candidates.
//!
//! Every process with the same candidates computes the same assignment without
//! communication, and adding or removing a candidate moves only its own keys. Stable home
//! regions keep endpoint caches warm and cached look-ups consistent with new ones.

use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

/// A hash key that is built part by part.
#[derive(Clone)]
pub(crate) struct Key(Xxh3);

impl Key {
    pub(crate) fn new() -> Self {
        Self(Xxh3::new())
    }

    pub(crate) fn text(mut self, part: &str) -> Self {
        self.0.update(part.as_bytes());
        // A separator that no name contains, so that ("ab", "c") and ("a", "bc") differ.
        self.0.update(&[0]);
        self
    }

    pub(crate) fn number(mut self, part: u64) -> Self {
        self.0.update(&part.to_le_bytes());
        self
    }

    pub(crate) fn address(mut self, part: IpAddr) -> Self {
        match part {
            IpAddr::V4(v4) => self.0.update(&v4.octets()),
            IpAddr::V6(v6) => self.0.update(&v6.octets()),
        }
        self
    }

    pub(crate) fn hash(&self) -> u64 {
        self.0.digest()
    }

    /// Distance of a candidate with this weight. The key belongs to the nearest candidate, so
    /// each gets keys in proportion to its weight. Infinite for weight 0.
    pub(crate) fn distance(&self, weight: f64) -> f64 {
        if weight <= 0.0 {
            return f64::INFINITY;
        }
        // 53 bits make a float strictly between 0 and 1, so that the logarithm is finite.
        let unit = ((self.hash() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -unit.ln() / weight
    }
}
