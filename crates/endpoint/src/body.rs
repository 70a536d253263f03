//! Bodies of requests sent to endpoints and to other entries.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Buffered in memory; can be sent again.
    Buffered(Bytes),
    /// Streamed from the caller; can be sent only once.
    Stream(Incoming),
}

impl RequestBody {
    /// A copy for another attempt; `None` if the body is a stream.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Stream(_) => None,
        }
    }
}

impl From<Incoming> for RequestBody {
    fn from(body: Incoming) -> Self {
        if body.is_end_stream() {
            return Self::Buffered(Bytes::new());
        }
        Self::Stream(body)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let frame = Frame::data(std::mem::take(bytes));
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(body) => body.size_hint(),
        }
    }
}
