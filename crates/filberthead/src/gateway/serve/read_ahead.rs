//! Reads requests ahead on a caller's connection, and hands the server one at a time.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use filberthead_limits::Admitted;
use filberthead_pipeline::{Begun, Limits, Next, Pipeline};
use http::request::Parts;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, timeout};

use super::ahead::RunningAhead;
use crate::gateway::bounds::MAX_HEADER_LINES;
use crate::gateway::core::Core;
use crate::gateway::request::is_idempotent;
use crate::gateway::source::RequestSource;

/// Bounds of what is read ahead on one connection. Callers send up to 8 ahead.
const LIMITS: Limits = Limits {
    requests: 16,
    bytes: 64 * 1024,
    headers: MAX_HEADER_LINES,
};
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Memory that each byte of an unfinished head takes: the reader and the server keep it, in buffers of up to
/// twice its length.
const HEAD_COPIES: usize = 4;
/// How often to check whether the caller is still there while the socket isn't read. Requests of a caller
/// that has disconnected have to end within half a second.
const CALLER_CHECK: Duration = Duration::from_millis(200);
/// How long to read on after the last answer. Bytes that are unread when a socket is closed make the system
/// reset the connection, and the caller loses what it hasn't read of the answers. Enough for a round trip
/// between regions and a caller that takes its time.
const LINGER: Duration = Duration::from_millis(500);

/// A connection, shared by the server, by its answers and by the task that reads ahead.
pub(super) struct Connection {
    stream: TcpStream,
    pub(super) pipeline: Pipeline,
    /// Whether this isn't a connection of another gateway.
    reads_ahead: bool,
    /// Requests that were started ahead, in order.
    pub(super) running: VecDeque<RunningAhead>,
    /// Whether the server is at a request of a caller.
    is_busy: bool,
    /// Whether an answer has ended since the server was last asked for progress.
    answered: bool,
    /// Whether the caller has ever sent a request ahead.
    has_sent_ahead: bool,
    /// Whether the caller takes no more of an answer at present.
    is_stalled: bool,
    pub(super) admitted: Rc<Admitted>,
    /// When to check next whether the caller is still there; `None` while the socket is read.
    caller_check: Option<Pin<Box<Sleep>>>,
}

/// What has come of reading ahead.
pub(super) enum ReadProgress {
    /// The server has something to do.
    Continue,
    /// Nothing to do until the task is woken.
    Wait,
    /// The caller has closed the connection.
    Disconnected,
}

impl Connection {
    pub(super) fn new(
        core: &Core,
        stream: TcpStream,
        admitted: Rc<Admitted>,
        from: RequestSource,
    ) -> Rc<RefCell<Self>> {
        let memory = &core.ahead_memory;
        let pipeline = match from {
            RequestSource::Caller => Pipeline::new(LIMITS, memory),
            RequestSource::Gateway => Pipeline::opaque(memory),
        };
        Rc::new(RefCell::new(Self {
            stream,
            pipeline,
            reads_ahead: from == RequestSource::Caller,
            running: VecDeque::new(),
            is_busy: false,
            answered: false,
            has_sent_ahead: false,
            is_stalled: false,
            admitted,
            caller_check: None,
        }))
    }

    /// The server begins with a request. Returns it if it was started ahead.
    pub(super) fn begin(
        &mut self,
        head: &Rc<Parts>,
        body: Option<u64>,
    ) -> (Begun, Option<RunningAhead>) {
        self.is_busy = true;
        self.admitted.begin();
        let begun = self.pipeline.begin(head, body);
        let running = match begun.started {
            true => self.running.pop_front(),
            false => {
                self.running.clear();
                None
            }
        };
        (begun, running.filter(|running| running.is_for(head)))
    }

    /// Whether the connection is closed after the answer that is due. If it `should` be and requests
    /// stand behind, no more is read, and the last of them closes it.
    pub(super) fn closes(&mut self, should: impl FnOnce() -> bool) -> bool {
        if !self.pipeline.is_stopped() && should() {
            self.pipeline.stop();
        }
        self.pipeline.is_stopped() && !self.pipeline.has_behind()
    }

    /// Closes the connection at once, whatever is still to be written.
    pub(super) fn close(&self) {
        // Fails only for a connection that has already ended.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// The server has a whole answer.
    pub(super) fn finish(&mut self) {
        self.pipeline.finish();
        self.admitted.finish();
        self.is_busy = false;
        self.answered = true;
    }

    /// Reads what is available, and starts what may run, with `start`.
    pub(super) fn read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        core: &Core,
        start: impl Fn(Rc<Parts>, Instant) -> RunningAhead,
    ) -> ReadProgress {
        loop {
            while let Next::Start(head, arrived) =
                self.pipeline.next(|head| is_idempotent(core, head))
            {
                self.running.push_back(start(head, arrived));
            }
            if self.pipeline.is_server_reading() {
                // The server doesn't read a body while the endpoint takes none of it.
                if self.is_busy && self.reads_ahead {
                    return self.poll_caller_left(cx);
                }
                self.caller_check = None;
                // The server may have asked for the next head before the answer was complete.
                if !std::mem::take(&mut self.answered) {
                    return ReadProgress::Wait;
                }
                let is_ready =
                    !self.pipeline.is_empty() || self.stream.poll_read_ready(cx).is_ready();
                return match is_ready {
                    true => ReadProgress::Continue,
                    false => ReadProgress::Wait,
                };
            }
            if !self.has_sent_ahead && self.pipeline.has_request_behind() {
                self.has_sent_ahead = true;
                core.record_sent_ahead();
            }
            if !self.pipeline.may_read() {
                return self.poll_caller_left(cx);
            }
            self.caller_check = None;
            match self.stream.poll_read_ready(cx) {
                Poll::Pending => return ReadProgress::Wait,
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(_)) => return ReadProgress::Disconnected,
            }
            match self.read() {
                Ok(0) => return ReadProgress::Disconnected,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return ReadProgress::Disconnected,
            }
        }
    }

    /// Checks from time to time whether the caller has disconnected, without reading.
    fn poll_caller_left(&mut self, cx: &mut Context<'_>) -> ReadProgress {
        loop {
            let check = self
                .caller_check
                .get_or_insert_with(|| Box::pin(sleep(CALLER_CHECK)));
            if check.as_mut().poll(cx).is_pending() {
                return ReadProgress::Wait;
            }
            self.caller_check = None;
            let ready = pin!(self.stream.ready(Interest::READABLE));
            let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
            if matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed()) {
                return ReadProgress::Disconnected;
            }
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

    /// Discards what the caller still sends. Ends when it closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>, is_sending: &mut bool) -> Poll<()> {
        loop {
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            match self.stream.try_read(&mut [0; READ_BYTES]) {
                Ok(1..) => *is_sending = true,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Reads what is available now.
    fn read(&mut self) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let len = self.stream.try_read(&mut buffer)?;
        self.pipeline.push(&buffer[..len], Instant::now());
        Ok(len)
    }
}

/// Waits until the caller has got all answers, if it may still be sending requests.
pub(super) async fn linger(connection: &RefCell<Connection>) {
    let mut is_sending = {
        let connection = connection.borrow();
        connection.has_sent_ahead || !connection.pipeline.is_empty()
    };
    let discarding = poll_fn(|cx| {
        let discarded = connection.borrow_mut().poll_discard(cx, &mut is_sending);
        match is_sending {
            true => discarded,
            false => Poll::Ready(()),
        }
    });
    // An error means that the time is over.
    let _ = timeout(LINGER, discarding).await;
}

/// The socket as the server sees it.
pub(super) struct ReadAhead(pub(super) Rc<RefCell<Connection>>);

impl AsyncRead for ReadAhead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut connection = self.0.borrow_mut();
        let Connection {
            stream,
            pipeline,
            admitted,
            ..
        } = &mut *connection;
        loop {
            if !pipeline.is_empty() {
                let bytes = pipeline.pass_on(buf.remaining());
                if !bytes.is_empty() {
                    buf.put_slice(&bytes);
                    return Poll::Ready(Ok(()));
                }
            }
            if !pipeline.is_server_reading() {
                // What comes is read ahead.
                return Poll::Pending;
            }
            let before = buf.filled().len();
            ready!(Pin::new(&mut *stream).poll_read(cx, buf))?;
            let received = &buf.filled()[before..];
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            admitted.received(received.len() * HEAD_COPIES);
            let now = Instant::now();
            let passed = pipeline.pass_through(received, now);
            if passed == received.len() {
                return Poll::Ready(Ok(()));
            }
            pipeline.push(&received[passed..], now);
            buf.set_filled(before + passed);
            if passed > 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for ReadAhead {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut connection = self.0.borrow_mut();
        let written = Pin::new(&mut connection.stream).poll_write(cx, buf);
        connection.note_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut connection = self.0.borrow_mut();
        let written = Pin::new(&mut connection.stream).poll_write_vectored(cx, bufs);
        connection.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut connection = self.0.borrow_mut();
        Pin::new(&mut connection.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut connection = self.0.borrow_mut();
        Pin::new(&mut connection.stream).poll_shutdown(cx)
    }
}
