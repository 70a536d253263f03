//! Reading an answer's body into memory.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use snafu::{ResultExt, Snafu};

use crate::Connection;

/// Bytes received for each byte of a body, at most, beyond [`FRAMING_BYTES`]: a chunk of one byte takes six.
const MAX_FRAMING_FACTOR: u64 = 8;
/// Pieces of a body, at most: each costs a turn of the task that reads it.
const MAX_PIECES: usize = 64 * 1024;
/// Bytes that framing may take in any case.
const FRAMING_BYTES: u64 = 64 * 1024;

/// Bytes received for one frame of a body that is read frame by frame, at most: several times what is
/// buffered of one that waits to be read.
const MAX_FRAME_BYTES: u64 = 128 * 1024;

/// Why a body wasn't read to its end.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadError {
    /// The connection ended.
    #[snafu(display("the connection ended during the body"))]
    Ended {
        /// hyper's error.
        source: hyper::Error,
    },
    /// It is longer than it may be, or its framing is, or it has too many pieces.
    #[snafu(display("the body is longer than {max_len} bytes"))]
    TooLong {
        /// The maximum length.
        max_len: usize,
    },
}

impl Connection {
    /// Waits for the next frame of the body of the connection's answer, for at most as many bytes as a
    /// frame can have: framing without end carries none.
    pub async fn next_frame(
        &self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.outstanding.limit(MAX_FRAME_BYTES);
        body.frame().await
    }

    /// Reads the body of the connection's answer, at most `max_len` bytes, and tells `on_growth` how much
    /// memory it takes. It is copied piece by piece, so that the memory doesn't depend on their number.
    ///
    /// # Errors
    ///
    /// Fails if the body doesn't end, or is too long.
    pub async fn read_body(
        &self,
        mut body: Incoming,
        max_len: usize,
        mut on_growth: impl FnMut(usize),
    ) -> Result<Bytes, ReadError> {
        let max_received = (max_len as u64).saturating_mul(MAX_FRAMING_FACTOR);
        self.outstanding.limit(max_received + FRAMING_BYTES);
        let mut read = BytesMut::new();
        let mut pieces = 0;
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Err(_) if self.outstanding.is_exceeded() => return TooLongSnafu { max_len }.fail(),
                frame => frame.context(EndedSnafu)?,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            pieces += 1;
            if data.remaining() > max_len - read.len() || pieces > MAX_PIECES {
                return TooLongSnafu { max_len }.fail();
            }
            read.extend_from_slice(&data);
            on_growth(read.capacity());
        }
        Ok(read.freeze())
    }
}
