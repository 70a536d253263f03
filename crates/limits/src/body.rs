//! Reads the body of a request into memory.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use snafu::{ResultExt, Snafu, ensure};
use tokio::select;

use crate::HeldBody;

/// Why a body wasn't read to its end.
#[derive(Debug)]
#[derive(Snafu)]
pub enum BodyError {
    /// It is longer than allowed.
    #[snafu(display("the body is longer than {max} bytes"))]
    TooLong {
        /// Maximum length in bytes.
        max: usize,
    },
    /// It had to give way to those of other requests.
    #[snafu(display("the body had to give way to other requests"))]
    Revoked,
    /// It broke off.
    #[snafu(display("the body broke off"))]
    Broken {
        /// hyper's error.
        source: hyper::Error,
    },
}

/// Reads a body of at most `max` bytes. They are copied into one buffer, as a body that comes in small pieces
/// would take many times its length otherwise.
///
/// # Errors
///
/// Fails if the body is longer or breaks off, or if it has to give way to others.
pub async fn read_body(
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    max: usize,
    held: &mut HeldBody,
) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    loop {
        let frame = select! {
            frame = body.frame() => frame,
            () = held.revoked() => return RevokedSnafu.fail(),
        };
        let Some(frame) = frame else {
            ensure!(!held.is_revoked(), RevokedSnafu);
            held.complete();
            return Ok(buf.freeze());
        };
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        ensure!(len <= max, TooLongSnafu { max });
        if len > buf.capacity() {
            // Doubled, but no longer than it may become.
            let capacity = len.next_power_of_two().min(max);
            held.grow(capacity - buf.capacity());
            ensure!(!held.is_revoked(), RevokedSnafu);
            buf.reserve(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
}
