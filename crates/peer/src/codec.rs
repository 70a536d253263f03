//! Encoding of envelopes: a format byte, a cluster tag and a checksum, then the `postcard`
//! body. A control leader sends mostly heartbeats, which are smaller than their envelope,
//! so the header is kept short: a 4-byte tag distinguishes clusters with different names,
//! and a 4-byte checksum detects corruption that TCP's own checksum missed.
//!
//! The transport delivers complete messages, but anything may connect to a port. The
//! checks here ensure that only messages of this cluster and this format reach a
//! protocol; all others are counted by reason and dropped.

use filberthead_types::ClusterId;
use snafu::{ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::xxh3_64;

use crate::Envelope;

/// Maximum length of a message in bytes, header included.
pub const MAX_MESSAGE_LEN: usize = 8 * 1024 * 1024;

/// Format version; raised with every incompatible change of a message.
const FORMAT: u8 = 8;
const TAG_LEN: usize = 4;
const CHECKSUM_LEN: usize = 4;
const CHECKSUM_OFFSET: usize = 1 + TAG_LEN;
const HEADER_LEN: usize = CHECKSUM_OFFSET + CHECKSUM_LEN;

/// Why a received buffer was rejected.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DecodeError {
    /// Shorter than its header.
    #[snafu(display("message of {len} bytes is shorter than its header"))]
    Short {
        /// Its length in bytes.
        len: usize,
    },
    /// Longer than [`MAX_MESSAGE_LEN`].
    #[snafu(display("message of {len} bytes is too long"))]
    Oversize {
        /// Its length in bytes.
        len: usize,
    },
    /// Sent in another format version.
    #[snafu(display("message has format {format}"))]
    Format {
        /// Its format byte.
        format: u8,
    },
    /// Corrupted, or not a message of this protocol.
    #[snafu(display("message fails its checksum"))]
    Checksum,
    /// The checksum is correct, but the body doesn't decode to an envelope.
    #[snafu(display("message is malformed"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
    /// From another cluster.
    #[snafu(display("message is from another cluster, with tag {tag:08x}"))]
    Foreign {
        /// The tag of that cluster.
        tag: u32,
    },
}

impl DecodeError {
    /// Short stable name of the reason, as a metrics label.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Short { .. } => "short",
            Self::Oversize { .. } => "oversize",
            Self::Format { .. } => "format",
            Self::Checksum => "checksum",
            Self::Malformed { .. } => "malformed",
            Self::Foreign { .. } => "foreign",
        }
    }
}

/// Encodes an envelope.
///
/// # Errors
///
/// Fails if a value can't be serialized, which no type in an envelope can cause.
pub fn encode(cluster: ClusterId, envelope: &Envelope) -> Result<Vec<u8>, postcard::Error> {
    let mut buf = vec![FORMAT];
    buf.extend_from_slice(&tag(cluster).to_le_bytes());
    buf.extend_from_slice(&[0; CHECKSUM_LEN]);
    let mut buf = postcard::to_extend(envelope, buf)?;
    let checksum = checksum(&buf[HEADER_LEN..]);
    buf[CHECKSUM_OFFSET..HEADER_LEN].copy_from_slice(&checksum.to_le_bytes());
    Ok(buf)
}

/// Checks and decodes a message.
///
/// # Errors
///
/// Returns a [`DecodeError`] whose variant names the failed check.
pub fn decode(cluster: ClusterId, buf: &[u8]) -> Result<Envelope, DecodeError> {
    let len = buf.len();
    ensure!(len <= MAX_MESSAGE_LEN, OversizeSnafu { len });
    let Some((header, body)) = buf.split_first_chunk::<HEADER_LEN>() else {
        return ShortSnafu { len }.fail();
    };
    let [format, t0, t1, t2, t3, received_checksum @ ..] = *header;
    ensure!(format == FORMAT, FormatSnafu { format });
    ensure!(
        checksum(body).to_le_bytes() == received_checksum,
        ChecksumSnafu
    );
    let sender_tag = u32::from_le_bytes([t0, t1, t2, t3]);
    ensure!(sender_tag == tag(cluster), ForeignSnafu { tag: sender_tag });
    postcard::from_bytes(body).context(MalformedSnafu)
}

/// The part of a cluster's identity that is written into each header.
fn tag(cluster: ClusterId) -> u32 {
    low_32_bits(cluster.0)
}

fn checksum(body: &[u8]) -> u32 {
    low_32_bits(xxh3_64(body))
}

fn low_32_bits(value: u64) -> u32 {
    (value & u64::from(u32::MAX)) as u32
}
