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

/// Bytes of a block of a body that isn't complete. Blocks of one size leave no gaps in the memory when they are
/// freed.
const BLOCK_BYTES: usize = 16 * 1024;

/// Reads a body of at most `max` bytes. They are copied into blocks, as a body that comes in small pieces would take
/// many times its length otherwise.
///
/// # Errors
///
/// Fails if the body is longer or breaks off, or if it has to give way to others.
pub async fn read_body(
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    max: usize,
    held: &mut HeldBody,
) -> Result<Bytes, BodyError> {
    let mut blocks = Blocks::default();
    loop {
        let frame = select! {
            frame = body.frame() => frame,
            () = held.revoked() => return RevokedSnafu.fail(),
        };
        let Some(frame) = frame else {
            ensure!(!held.is_revoked(), RevokedSnafu);
            held.complete();
            return Ok(blocks.join());
        };
        let Ok(mut data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        ensure!(blocks.len + data.len() <= max, TooLongSnafu { max });
        while !data.is_empty() {
            if blocks.room() == 0 {
                let bytes = BLOCK_BYTES.min(max - blocks.len);
                held.grow(bytes);
                ensure!(!held.is_revoked(), RevokedSnafu);
                blocks.add(bytes);
            }
            blocks.append(&mut data);
        }
    }
}

/// What was read of a body.
#[derive(Debug, Default)]
struct Blocks {
    full: Vec<BytesMut>,
    last: BytesMut,
    len: usize,
}

impl Blocks {
    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    fn add(&mut self, bytes: usize) {
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(bytes));
        if !full.is_empty() {
            self.full.push(full);
        }
    }

    /// Moves as many bytes as there is room for.
    fn append(&mut self, data: &mut Bytes) {
        let part = data.split_to(data.len().min(self.room()));
        self.last.extend_from_slice(&part);
        self.len += part.len();
    }

    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        self.full
            .iter()
            .for_each(|block| whole.extend_from_slice(block));
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}
