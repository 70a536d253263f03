//! Answers to callers: an endpoint's own, or the gateway's.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{Meaning, ResultCode, header};
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use super::passing::{AnswerError, Passing};

const RESULT: HeaderName = HeaderName::from_static(header::RESULT);

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// All of it is here.
    Whole(Bytes),
    /// It comes from an endpoint while the caller reads it.
    Passing(Box<Passing>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => {
                let frame = Frame::data(std::mem::take(bytes));
                Poll::Ready(Some(Ok(frame)))
            }
            Self::Passing(passing) => passing.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Passing(passing) => passing.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Passing(passing) => passing.size_hint(),
        }
    }
}

/// A final answer of the gateway's own.
///
/// A code that means "not run" is sent with 503, and says when to come back; or with 404
/// or 413 where coming back can't help. Anything that may have run is sent as 502 or 504,
/// which promise nothing.
pub(crate) fn own(code: ResultCode, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(status(code)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = Response::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(RESULT, HeaderValue::from(code.number()));
    if let Some(after) = retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn status(code: ResultCode) -> u16 {
    match code {
        // The time was up before anything ran; only 503 says so to a caller.
        ResultCode::DeadlineBeforeRun => 503,
        _ if code.meaning() == Meaning::MayHaveRun && code.status() < 500 => 502,
        _ => code.status(),
    }
}
