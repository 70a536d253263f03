//! Hash of an encoded value, used to compare copies without sending them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an encoded value; eight bytes on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 8]);

impl Fingerprint {
    /// Hashes a value. The result is the same on every machine, since it covers the wire
    /// encoding and not the memory representation.
    pub fn of(value: &(impl Serialize + ?Sized)) -> Self {
        // Fails only for types that can't be encoded at all. They couldn't be sent either;
        // all their values would compare as equal.
        let buf = postcard::to_stdvec(value).unwrap_or_default();
        Self(xxh3_64(&buf).to_le_bytes())
    }
}
