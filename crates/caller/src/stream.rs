//! The socket of a caller's connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, Version};
use http_body::{Body, Frame, SizeHint};
use log::debug;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::AnswerBody;
use crate::answer::IncompleteBody;
use crate::connection::ConnectionState;

/// Memory that each byte of an unfinished head takes: the buffer that it is read into may have twice its length.
const HEAD_COPIES: usize = 2;

/// A socket that is reset if it is closed within an answer whose end is that of the connection, also by the end of
/// the process. Closed otherwise, it would make a cut answer look complete.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Whether closing the socket resets it.
    resets: bool,
    /// Whether the caller takes no more of an answer at present.
    is_stalled: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            resets: false,
            is_stalled: false,
        }
    }

    /// Notes whether a write has made progress.
    fn note_write<T>(&mut self, result: Poll<T>) -> Poll<T> {
        if result.is_pending() != self.is_stalled {
            self.is_stalled = result.is_pending();
            match self.is_stalled {
                true => self.state.admitted.stall(),
                false => self.state.admitted.resume(),
            }
        }
        result
    }

    fn update_reset(&mut self) {
        let resets = self.state.is_in_unframed_answer();
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(e) = SockRef::from(&self.stream).set_linger(linger) {
            debug!(error:% = e; "setting SO_LINGER on a caller's connection failed");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        self.state.admitted.received(received * HEAD_COPIES);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_reset();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of an answer as it is served on a connection.
#[derive(Debug)]
pub(crate) struct ServedBody {
    body: AnswerBody,
    state: Rc<ConnectionState>,
    /// The connection whose end is that of the body, until the body is complete.
    unframed_on: Option<Rc<ConnectionState>>,
}

impl ServedBody {
    /// Prepares an answer to a request of this version. Callers of HTTP/1.0 know no chunks, so only a length or the
    /// end of the connection tells them where a body ends.
    pub(crate) fn of(
        response: Response<AnswerBody>,
        version: Version,
        state: &Rc<ConnectionState>,
    ) -> Response<Self> {
        let is_framed = version > Version::HTTP_10
            || response.headers().contains_key(CONTENT_LENGTH)
            || response.body().size_hint().exact().is_some();
        response.map(|body| {
            state.set_in_unframed_answer(!is_framed);
            Self {
                body,
                state: Rc::clone(state),
                unframed_on: (!is_framed).then(|| Rc::clone(state)),
            }
        })
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.state.admitted.finish();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none()
            && let Some(state) = self.unframed_on.take()
        {
            state.set_in_unframed_answer(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
