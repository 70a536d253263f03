//! Records: a value with its length, number and checksum.
//!
//! A record begins with a fixed mark, so that after a bad one the rest of a file can be
//! searched for good ones: if there are any, the bad one is damage in the middle and
//! not a write that a crash cut short.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{EncodeSnafu, StorageError};

const MAGIC: [u8; 4] = *b"fh\xf1\x01";
const HEADER: usize = MAGIC.len() + 4 + 8 + 4;

/// What stands at a place of a file.
#[derive(Debug)]
pub(crate) enum Decoded<T> {
    /// A good record of number `seq`; the next one begins at `next`.
    Record { seq: u64, value: T, next: usize },
    /// Nothing: the file ends here.
    End,
    /// Bytes that are no whole record.
    Torn(&'static str),
    /// A whole record that this version can't read.
    Undecodable(&'static str),
}

/// Mark, length, number, checksum of all but the mark, then the value.
pub(crate) fn encode(seq: u64, value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let body = postcard::to_stdvec(value).context(EncodeSnafu)?;
    let len = (body.len() as u32).to_le_bytes();
    let seq = seq.to_le_bytes();
    let mut buf = Vec::with_capacity(HEADER + body.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&seq);
    buf.extend_from_slice(&checksum(&len, &seq, &body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

/// Reads the record at `at`.
pub(crate) fn decode<T: DeserializeOwned>(buf: &[u8], offset: usize) -> Decoded<T> {
    let rest = &buf[offset.min(buf.len())..];
    if rest.is_empty() {
        return Decoded::End;
    }
    let Some((seq, body)) = parse_frame(rest) else {
        return Decoded::Torn("checksum does not match");
    };
    let next = offset + HEADER + body.len();
    match postcard::from_bytes(body) {
        Ok(value) => Decoded::Record { seq, value, next },
        Err(_) => Decoded::Undecodable("record of an unknown shape"),
    }
}

/// Whether a good record begins anywhere after `at`.
pub(crate) fn has_record_after(buf: &[u8], offset: usize) -> bool {
    let rest = &buf[(offset + 1).min(buf.len())..];
    let starts = rest.windows(MAGIC.len()).enumerate();
    let mut candidates = starts.filter(|(_, window)| *window == MAGIC);
    candidates.any(|(start, _)| parse_frame(&rest[start..]).is_some())
}

fn parse_frame(buf: &[u8]) -> Option<(u64, &[u8])> {
    let rest = buf.strip_prefix(&MAGIC)?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (seq, rest) = rest.split_first_chunk::<8>()?;
    let (expected_checksum, rest) = rest.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_le_bytes(*len) as usize)?;
    let is_valid = checksum(len, seq, body) == u32::from_le_bytes(*expected_checksum);
    is_valid.then_some((u64::from_le_bytes(*seq), body))
}

fn checksum(len: &[u8], seq: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(len);
    hasher.update(seq);
    hasher.update(body);
    hasher.finalize()
}
