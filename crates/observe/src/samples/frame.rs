//! Encoding of records: length, checksum, then the record in `postcard`.

use super::Record;

/// First bytes of a sample file.
pub(super) const MAGIC: &[u8; 8] = b"fhsampl1";
/// Length of a record's header: length and checksum of the record, both little-endian.
const HEADER_LEN: usize = 8;
/// A record is a few hundred bytes; a greater length means damage.
const MAX_RECORD_LEN: usize = 1024 * 1024;

/// Appends a record.
pub(super) fn write(buf: &mut Vec<u8>, record: &Record) -> Result<(), postcard::Error> {
    let body = postcard::to_stdvec(record)?;
    let Ok(len) = u32::try_from(body.len()) else {
        return Err(postcard::Error::SerializeBufferFull);
    };
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(())
}

/// The records of a file up to the first damaged or truncated one.
pub(super) struct Contents {
    pub(super) records: Vec<Record>,
    /// Bytes up to the end of the last valid record; 0 if the file doesn't start with
    /// [`MAGIC`].
    pub(super) valid_len: usize,
}

pub(super) fn read(buf: &[u8]) -> Contents {
    let mut records = Vec::new();
    let Some(mut rest) = buf.strip_prefix(MAGIC) else {
        return Contents {
            records,
            valid_len: 0,
        };
    };
    while let Some((record, tail)) = next(rest) {
        records.push(record);
        rest = tail;
    }
    Contents {
        records,
        valid_len: buf.len() - rest.len(),
    }
}

fn next(buf: &[u8]) -> Option<(Record, &[u8])> {
    let (header, rest) = buf.split_first_chunk::<HEADER_LEN>()?;
    let [a, b, c, d, e, f, g, h] = *header;
    let len = usize::try_from(u32::from_le_bytes([a, b, c, d])).ok()?;
    if len > MAX_RECORD_LEN {
        return None;
    }
    let (body, rest) = rest.split_at_checked(len)?;
    if crc32fast::hash(body) != u32::from_le_bytes([e, f, g, h]) {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, rest))
}
