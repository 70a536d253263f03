//! Bytes that tell whose answer they are.

use bytes::{Bytes, BytesMut};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORD: u64 = 8;

/// An endless sequence of bytes that is the same for the same text, and that can be
/// read from any place, as a download that goes on by range needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload {
    seed: u64,
}

impl Payload {
    /// The sequence of a text.
    pub fn new(text: &str) -> Self {
        Self {
            seed: xxh3_64(text.as_bytes()),
        }
    }

    /// The sequence that answers a request, as far as the endpoint sees it: no two
    /// requests share one unless they are the same in method, path, query and body.
    pub fn of_answer(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        Self::of_hashed_answer(method, path_and_query, &Sha256::digest(body))
    }

    pub(crate) fn of_hashed_answer(method: &str, path_and_query: &str, hash: &[u8]) -> Self {
        Self::new(&format!("{method} {path_and_query} {hash:02x?}"))
    }

    /// The sequence of a download in one version of it.
    pub fn of_download(name: &str, version: u64) -> Self {
        Self::new(&format!("download {name} {version}"))
    }

    /// The bytes from `start` on, `len` of them.
    pub fn slice(self, start: u64, len: usize) -> Bytes {
        let end = start + len as u64;
        let first = start - start % WORD;
        let mut buf = BytesMut::with_capacity(len + 2 * WORD as usize);
        for offset in (first..end).step_by(WORD as usize) {
            let word = xxh3_64_with_seed(&offset.to_le_bytes(), self.seed);
            buf.extend_from_slice(&word.to_le_bytes());
        }
        let skip = (start - first) as usize;
        buf.freeze().slice(skip..skip + len)
    }

    /// Whether `bytes` are what stands from `start` on.
    pub fn matches(self, start: u64, bytes: &[u8]) -> bool {
        self.slice(start, bytes.len()) == bytes
    }
}
