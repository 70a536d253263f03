//! An endpoint's answer as it is stored for replay.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A complete answer; a resend gets it byte for byte.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Header names and values in their order, without those that apply to one hop.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub(crate) body: Bytes,
}

impl Answer {
    /// Encodes the answer for storage.
    pub(crate) fn encode(&self) -> Result<Bytes, postcard::Error> {
        postcard::to_allocvec(self).map(Bytes::from)
    }

    /// Decodes a stored answer.
    pub(crate) fn decode(buf: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(buf)
    }
}
