//! Records: values framed with a length, sequence number and checksum.
//!
//! A record starts with magic bytes, so that after an invalid one the rest of a file can be
//! searched for valid ones: if there are any, the invalid one is damage and not a write that
//! a crash interrupted.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{EncodeSnafu, StorageError};

const MAGIC: [u8; 4] = *b"fh\xf1\x01";
const HEADER: usize = MAGIC.len() + 4 + 8 + 4;

/// Result of decoding a record.
#[derive(Debug)]
pub(crate) enum Decoded<T> {
    /// A valid record; the next one starts at `next`.
    Record { seq: u64, value: T, next: usize },
    /// The end of the file.
    End,
    /// An incomplete or corrupt record.
    Torn(&'static str),
    /// A complete record whose value this version can't decode.
    Undecodable(&'static str),
}

/// Encodes a record: magic bytes, length of the value, sequence number, checksum of these
/// two and the value, then the value.
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

/// Decodes the record at `offset`.
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
        Err(_) => Decoded::Undecodable("record of an unknown format"),
    }
}

/// Whether a valid record starts anywhere after `offset`.
pub(crate) fn has_record_after(buf: &[u8], offset: usize) -> bool {
    let rest = &buf[(offset + 1).min(buf.len())..];
    let starts = rest.windows(MAGIC.len()).enumerate();
    let mut candidates = starts.filter(|(_, window)| *window == MAGIC);
    candidates.any(|(start, _)| parse_frame(&rest[start..]).is_some())
}

/// Sequence number and value of the record at the start of `buf`, if it is valid.
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
