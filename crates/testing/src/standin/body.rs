//! Bodies of a stand-in's answers, with faults.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use super::payload::Payload;
use super::slot::SlotGuard;

const CHUNK_BYTES: u64 = 32 * 1024;
/// Pause before a truncated answer ends, in which the server sends what it has.
const FLUSH: Duration = Duration::from_millis(10);

/// A body whose bytes are generated from a payload as it is polled.
pub(crate) struct AnswerBody {
    payload: Payload,
    offset: u64,
    end: u64,
    /// Offset at which the answer is truncated; `None` for a complete answer.
    truncate_at: Option<u64>,
    /// Rate in bytes per second; `None` is unlimited.
    pace: Option<u64>,
    pause: Option<Pin<Box<Sleep>>>,
    /// Whether it is sent in chunks, without a length.
    chunked: bool,
    /// Slot that is held until the last byte is taken.
    slot: Option<SlotGuard>,
}

impl AnswerBody {
    pub(crate) fn new(payload: Payload, start: u64, end: u64) -> Self {
        Self {
            payload,
            offset: start,
            end,
            truncate_at: None,
            pace: None,
            pause: None,
            chunked: false,
            slot: None,
        }
    }

    /// Truncates the answer after this many bytes of its body.
    pub(crate) fn cut_after(mut self, bytes: Option<u64>) -> Self {
        self.truncate_at = bytes.map(|bytes| self.offset + bytes);
        self.pause = bytes.map(|_| Box::pin(tokio::time::sleep(FLUSH)));
        self
    }

    pub(crate) fn pace(mut self, bytes_per_second: Option<u64>) -> Self {
        self.pace = bytes_per_second;
        self
    }

    pub(crate) fn chunked(mut self, chunked: bool) -> Self {
        self.chunked = chunked;
        self
    }

    pub(super) fn slot(mut self, slot: SlotGuard) -> Self {
        self.slot = Some(slot);
        self
    }

    fn next_chunk(&mut self) -> Bytes {
        let stop = self.truncate_at.unwrap_or(u64::MAX).min(self.end);
        let len = (stop - self.offset).min(CHUNK_BYTES);
        let chunk = self.payload.slice(self.offset, len as usize);
        self.offset += len;
        let pace = self.pace.map(|pace| len as f64 / pace.max(1) as f64);
        let pause = pace
            .map(Duration::from_secs_f64)
            .or(self.truncate_at.map(|_| FLUSH));
        self.pause = pause.map(|pause| Box::pin(tokio::time::sleep(pause)));
        chunk
    }

    fn finish(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.record_answered();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        if self
            .truncate_at
            .is_some_and(|truncate_at| self.offset >= truncate_at)
        {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        if self.offset == self.end {
            self.finish();
            return Poll::Ready(None);
        }
        let chunk = self.next_chunk();
        if self.offset == self.end {
            self.finish();
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.offset == self.end && self.truncate_at.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if self.chunked {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.end - self.offset)
    }
}
