//! A connection whose unfinished heads are counted.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::Admitted;

/// Wraps a connection; counts what is received while no request is in progress, and notes when its client takes
/// nothing of an answer.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    admitted: Rc<Admitted>,
    is_stalled: bool,
}

impl<S> CountedStream<S> {
    /// Counts what is received on `stream`.
    pub fn new(stream: S, admitted: Rc<Admitted>) -> Self {
        Self {
            stream,
            admitted,
            is_stalled: false,
        }
    }

    /// Notes whether a write has made progress.
    fn note_write<T>(&mut self, result: Poll<T>) -> Poll<T> {
        if result.is_pending() != self.is_stalled {
            self.is_stalled = result.is_pending();
            match self.is_stalled {
                true => self.admitted.stall(),
                false => self.admitted.resume(),
            }
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.admitted.received(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
