//! The socket of a connection to an endpoint.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::LateHeads;

/// Bytes that may come before a head is complete: interim answers, the head, and what of the body came
/// with it.
const MAX_HEAD_BYTES: u64 = 128 * 1024;
/// Time from the first byte of a head after which the rest has to be there.
const HEAD_TIME: Duration = Duration::from_secs(1);
/// Reads that may bring more of a head after [`HEAD_TIME`]. Its rest may have been held up on the way.
const MAX_LATE_READS: u32 = 8;

/// How far the answer has come that a connection waits for.
#[derive(Debug, Default)]
struct Exchange {
    /// Whether a request was sent whose answer hasn't been read to its end.
    outstanding: Cell<bool>,
    /// Whether the answer's head isn't complete.
    awaits_head: Cell<bool>,
    /// Bytes received since the request was sent or the head was complete, and how many may be.
    received: Cell<u64>,
    max_received: Cell<u64>,
    /// When the first byte of the head came.
    first_byte: Cell<Option<Instant>>,
    /// Reads that brought more of the head late.
    late_reads: Cell<u32>,
    /// Whether a byte of the request has left.
    is_begun: Cell<bool>,
    /// By when it has to leave. A process without processor time may get to it only after the deadline.
    begin_by: Cell<Option<Instant>>,
    given_up: Cell<GivenUp>,
    /// Who waits for bytes on the socket.
    reader: RefCell<Option<Waker>>,
    /// Gets the head if nobody waits for it any more.
    late_heads: RefCell<Option<LateHeads>>,
}

/// Whether the request was given up before the head of its answer was complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GivenUp {
    #[default]
    No,
    /// It was, and the socket's write side is open.
    Open,
    /// It was, and the socket's write side is shut down.
    ShutDown,
}

/// The state of a connection's request, shared by the connection and its socket.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outstanding(Rc<Exchange>);

impl Outstanding {
    /// Notes that a request is sent whose first byte is to leave by `deadline`, and who gets the head of its
    /// answer if that comes late.
    pub(crate) fn begin(&self, deadline: Instant, late_heads: Option<LateHeads>) {
        self.0.outstanding.set(true);
        self.0.awaits_head.set(true);
        self.0.received.set(0);
        self.0.max_received.set(MAX_HEAD_BYTES);
        self.0.first_byte.set(None);
        self.0.late_reads.set(0);
        self.0.is_begun.set(false);
        self.0.begin_by.set(Some(deadline));
        self.0.late_heads.replace(late_heads);
    }

    /// Notes that the request is given up: nothing more of it is written, and the endpoint sees the end of
    /// what was. Returns who gets the head of an answer that is on its way; `None` if there can be none.
    pub(crate) fn give_up(&self) -> Option<LateHeads> {
        let late_heads = self.0.late_heads.take()?;
        if !self.0.is_begun.get() {
            return None;
        }
        self.0.given_up.set(GivenUp::Open);
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
        Some(late_heads)
    }

    /// Whether a byte of the request has left.
    pub(crate) fn is_begun(&self) -> bool {
        self.0.is_begun.get()
    }

    /// Notes that the answer's head is complete.
    pub(crate) fn head_received(&self) {
        self.0.awaits_head.set(false);
        self.limit(u64::MAX);
    }

    /// Ends the connection once it has received this many bytes from now on.
    pub(crate) fn limit(&self, bytes: u64) {
        self.0.received.set(0);
        self.0.max_received.set(bytes);
    }

    /// Notes that the answer was read to its end.
    pub(crate) fn end(&self) {
        self.0.outstanding.set(false);
        self.head_received();
    }

    /// Reports the head of an answer that came on the idle connection.
    pub(crate) fn report_unasked(&self, bytes: &[u8]) {
        let late_heads = self.0.late_heads.borrow().clone();
        if let Some(late_heads) = late_heads.filter(|_| !self.0.outstanding.get()) {
            late_heads.report_bytes(bytes);
        }
    }

    /// Whether bytes have come since the request was sent.
    pub(crate) fn has_received(&self) -> bool {
        self.0.received.get() > 0
    }

    /// Whether more bytes came than may.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.received.get() > self.0.max_received.get()
    }

    /// Counts bytes that were received. Fails if there are more than a well-formed answer has.
    fn record(&self, bytes: u64) -> io::Result<()> {
        if bytes == 0 || !self.0.outstanding.get() {
            return Ok(());
        }
        let received = self.0.received.get().saturating_add(bytes);
        self.0.received.set(received);
        if self.is_exceeded() || self.is_head_late() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the answer doesn't end",
            ));
        }
        Ok(())
    }

    /// Whether more of the request may be written.
    fn may_write(&self) -> bool {
        let may_begin = || {
            let begin_by = self.0.begin_by.get();
            begin_by.is_none_or(|deadline| Instant::now() < deadline)
        };
        self.0.given_up.get() == GivenUp::No && (self.is_begun() || may_begin())
    }

    /// Whether the socket's write side is to be shut down. True once.
    fn take_shutdown(&self) -> bool {
        let is_due = self.0.given_up.get() == GivenUp::Open;
        if is_due {
            self.0.given_up.set(GivenUp::ShutDown);
        }
        is_due
    }

    /// Notes who waits for bytes.
    fn set_reader(&self, waker: &Waker) {
        let mut reader = self.0.reader.borrow_mut();
        match &mut *reader {
            Some(reader) => reader.clone_from(waker),
            None => *reader = Some(waker.clone()),
        }
    }

    fn is_head_late(&self) -> bool {
        if !self.0.awaits_head.get() {
            return false;
        }
        let now = Instant::now();
        let first_byte = self.0.first_byte.get().unwrap_or(now);
        self.0.first_byte.set(Some(first_byte));
        if now < first_byte + HEAD_TIME {
            return false;
        }
        self.0.late_reads.set(self.0.late_reads.get() + 1);
        self.0.late_reads.get() > MAX_LATE_READS
    }
}

/// A socket that is reset if it is closed with an answer outstanding, also by the end of the process. Its write
/// side is shut down when the request is given up.
///
/// A socket that is closed otherwise goes on sending what is in its buffer. A request that was given up
/// while the link was down would reach the endpoint once the link is back.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    stream: TcpStream,
    outstanding: Outstanding,
}

impl EndpointStream {
    pub(crate) fn new(stream: TcpStream, outstanding: Outstanding) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self {
            stream,
            outstanding,
        })
    }
}

impl Drop for EndpointStream {
    fn drop(&mut self) {
        if !self.outstanding.0.outstanding.get() {
            // Fails only for a connection that has already ended.
            let _ = SockRef::from(&self.stream).set_linger(None);
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.outstanding.take_shutdown() {
            // Fails only for a connection that has already ended.
            let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.outstanding.set_reader(cx.waker());
        }
        ready!(read)?;
        let read = buf.filled().len() - before;
        Poll::Ready(self.outstanding.record(read as u64))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.outstanding.may_write() {
            // An error would end the wait for the head, and nobody needs to be woken.
            return Poll::Pending;
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.outstanding.0.is_begun.set(true);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.outstanding.may_write() {
            // An error would end the wait for the head, and nobody needs to be woken.
            return Poll::Pending;
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.outstanding.0.is_begun.set(true);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
