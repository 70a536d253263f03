//! The socket of a connection to an endpoint.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was sent on a connection whose answer hasn't been read to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outstanding(Rc<Cell<bool>>);

impl Outstanding {
    pub(crate) fn set(&self, outstanding: bool) {
        self.0.set(outstanding);
    }
}

/// A socket that is reset if it is closed with an answer outstanding, also by the end of the process.
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
        if !self.outstanding.0.get() {
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
