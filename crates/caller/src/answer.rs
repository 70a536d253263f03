//! Answers and refusals sent to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{RequestId, ResultCode, header};
use http::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use serde::Serialize;
use snafu::Snafu;
use tokio::sync::mpsc;

const RESULT: HeaderName = HeaderName::from_static(header::RESULT);
const MEANING: HeaderName = HeaderName::from_static(header::MEANING);
const REQUEST_ID: HeaderName = HeaderName::from_static(header::REQUEST_ID);

/// The answer to a call: a response, or a refusal with its result code.
pub type Answer = Result<Response<AnswerBody>, Refusal>;

/// Item of a streamed answer body.
#[derive(Debug)]
pub enum BodyPart {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The body is complete.
    End,
}

/// A streamed answer whose channel closed before [`BodyPart::End`].
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display("the answer ended before its body was complete"))]
pub struct IncompleteBody;

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Buffered in memory.
    Buffered(Bytes),
    /// Streamed from an endpoint. The channel holds few parts, and the sender waits while it
    /// is full, so a slow reader costs a fixed amount of memory.
    Stream(mpsc::Receiver<BodyPart>),
    /// Streamed, and incomplete.
    Broken,
    /// Completely read.
    Done,
}

impl AnswerBody {
    fn take_buffered(&mut self) -> Option<Bytes> {
        match std::mem::replace(self, Self::Done) {
            Self::Buffered(bytes) if !bytes.is_empty() => Some(bytes),
            _ => None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let part = match &mut *self {
            Self::Done => return Poll::Ready(None),
            Self::Buffered(_) => {
                let frame = self.take_buffered().map(Frame::data);
                return Poll::Ready(frame.map(Ok));
            }
            Self::Stream(rx) => std::task::ready!(rx.poll_recv(cx)),
            // Ending the body normally would make a truncated answer look complete wherever it has no length.
            Self::Broken => {
                *self = Self::Done;
                return Poll::Ready(Some(Err(IncompleteBody)));
            }
        };
        Poll::Ready(match part {
            Some(BodyPart::Frame(frame)) => Some(Ok(frame)),
            Some(BodyPart::End) => {
                *self = Self::Done;
                None
            }
            // The sending task ended without `End`. hyper gives a connection up at a body's error without
            // writing what it has buffered, the answer's head for instance, which it does while it waits.
            None => {
                *self = Self::Broken;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Stream(_) | Self::Broken => false,
            Self::Done => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) | Self::Broken => SizeHint::default(),
            Self::Done => SizeHint::with_exact(0),
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(bytes)
    }
}

impl From<Infallible> for IncompleteBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// An error answer of this system to a request that gets no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, which also implies whether the request may have run.
    pub code: ResultCode,
    /// Time for the `Retry-After` header; `None` leaves the header out.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    code: u16,
    result: &'a str,
    meaning: &'a str,
    request_id: RequestId,
}

impl Refusal {
    /// A refusal without `Retry-After`.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Sets the time for the `Retry-After` header.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Converts it to an HTTP response with a JSON body.
    pub fn into_response(self, id: RequestId) -> Response<AnswerBody> {
        let body = RefusalBody {
            code: self.code.number(),
            result: self.code.slug(),
            meaning: self.code.meaning().as_str(),
            request_id: id,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(AnswerBody::Buffered(body.into()));
        *response.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, ceil_seconds(after));
        }
        insert_result_headers(&mut response, id, self.code);
        response
    }
}

/// `Retry-After` allows whole seconds only; fractions are rounded up, because a retry that
/// comes too early is rejected again.
fn ceil_seconds(after: Duration) -> HeaderValue {
    let round_up = u64::from(after.subsec_nanos() > 0);
    HeaderValue::from(after.as_secs() + round_up)
}

/// Adds the headers that every answer to a request carries: result code, meaning and
/// request id.
pub fn insert_result_headers<B>(response: &mut Response<B>, id: RequestId, code: ResultCode) {
    let headers = response.headers_mut();
    headers.insert(RESULT, HeaderValue::from(code.number()));
    headers.insert(MEANING, HeaderValue::from_static(code.meaning().as_str()));
    if let Ok(id) = HeaderValue::try_from(id.to_string()) {
        headers.insert(REQUEST_ID, id);
    }
}
