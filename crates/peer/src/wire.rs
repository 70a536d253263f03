//! The handshake and the framing of messages on a TCP connection.
//!
//! The format is that of the pipeline protocol of nng over TCP, with which earlier builds
//! communicate: each side sends an 8-byte header that names its role, then the connecting side
//! sends messages, each after its length as 8 bytes in network byte order.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use crate::MAX_MESSAGE_LEN;

/// Time within which both sides must have sent their headers.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const HEADER_LEN: usize = 8;
const LENGTH_LEN: usize = 8;
/// Maximum message length that is read, in bytes; a connection with a longer one is closed.
/// Slightly oversized messages are read, so that they can be counted.
const MAX_FRAME_LEN: usize = 2 * MAX_MESSAGE_LEN;
/// Room for the next bytes of a message that isn't complete, in bytes.
const READ_LEN: usize = 16 * 1024;
/// Buffers longer than this many bytes are released after use: a connection that carried a long
/// message once would otherwise keep its memory.
const MAX_KEPT_BUFFER_LEN: usize = 64 * 1024;

/// What a side of a connection does with messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Sender,
    Receiver,
}

impl Role {
    fn header(self) -> [u8; HEADER_LEN] {
        let role = match self {
            Self::Sender => 0x50,
            Self::Receiver => 0x51,
        };
        [0, b'S', b'P', 0, 0, role, 0, 0]
    }

    fn peer(self) -> Self {
        match self {
            Self::Sender => Self::Receiver,
            Self::Receiver => Self::Sender,
        }
    }
}

/// Why a connection ended.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ConnectionError {
    #[snafu(display("can't connect"))]
    Connect { source: io::Error },
    #[snafu(display("connecting timed out"))]
    ConnectTimeout { source: Elapsed },
    #[snafu(display("exchanging headers failed"))]
    Handshake { source: io::Error },
    #[snafu(display("the peer sent no header in time"))]
    HandshakeTimeout { source: Elapsed },
    #[snafu(display("the peer's header {header:02x?} isn't of this protocol"))]
    Header { header: [u8; HEADER_LEN] },
    #[snafu(display("reading failed"))]
    Read { source: io::Error },
    #[snafu(display("writing failed"))]
    Write { source: io::Error },
    #[snafu(display("the peer closed the connection"))]
    Closed,
}

/// Exchanges headers with the peer.
pub(crate) async fn handshake(stream: &mut TcpStream, role: Role) -> Result<(), ConnectionError> {
    let header = timeout(HANDSHAKE_TIMEOUT, exchange_headers(stream, role))
        .await
        .context(HandshakeTimeoutSnafu)?
        .context(HandshakeSnafu)?;
    ensure!(header == role.peer().header(), HeaderSnafu { header });
    Ok(())
}

async fn exchange_headers(stream: &mut TcpStream, role: Role) -> io::Result<[u8; HEADER_LEN]> {
    stream.write_all(&role.header()).await?;
    let mut header = [0; HEADER_LEN];
    stream.read_exact(&mut header).await?;
    Ok(header)
}

/// The framing of messages after the handshake.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_LEN)
        .max_frame_length(MAX_FRAME_LEN)
        .new_codec()
}

/// Takes a whole message off the bytes that were received; `None` if there is none yet. The buffer grows with what
/// is received, not with the length that a message announces.
pub(crate) fn take_frame(buf: &mut BytesMut) -> io::Result<Option<BytesMut>> {
    let Some(length) = buf.first_chunk::<LENGTH_LEN>() else {
        return Ok(None);
    };
    let length = usize::try_from(u64::from_be_bytes(*length)).unwrap_or(usize::MAX);
    if length > MAX_FRAME_LEN {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the message is too long",
        ));
    }
    let missing = (LENGTH_LEN + length).saturating_sub(buf.len());
    if missing > 0 {
        buf.reserve(missing.min(READ_LEN));
        return Ok(None);
    }
    buf.advance(LENGTH_LEN);
    Ok(Some(buf.split_to(length)))
}

/// Releases an empty buffer that has grown to `len` bytes if that is long.
pub(crate) fn release_long_buffer(buf: &mut BytesMut, len: usize) {
    if buf.is_empty() && len > MAX_KEPT_BUFFER_LEN {
        *buf = BytesMut::new();
    }
}
