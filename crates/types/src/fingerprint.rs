//! Digest by which repeats of a request are recognised.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Digest of what an endpoint is asked to run: service, method, path, query and body, and on whose
/// behalf. Repeats of a request have the same one under whatever request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// By what a request is recognised: whoever sends it, and as this caller's. Which of the two keeps
/// crashing endpoints isn't known beforehand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPrints {
    /// The same for all callers.
    pub of_request: Fingerprint,
    /// This caller's own.
    pub of_caller: Fingerprint,
}

impl RequestPrints {
    /// Both.
    pub fn both(self) -> [Fingerprint; 2] {
        [self.of_request, self.of_caller]
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
