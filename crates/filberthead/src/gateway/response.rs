//! Answers to callers: an endpoint's own, or the gateway's.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{Meaning, ResultCode, header};
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use super::streamed::{BodyError, StreamedBody};

const RESULT: HeaderName = HeaderName::from_static(header::RESULT);

/// Body of an response.
pub(crate) enum ResponseBody {
    /// All of it is here.
    Full(Bytes),
    /// It comes from an endpoint while the caller reads it.
    Streamed(Box<StreamedBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => {
                let frame = Frame::data(std::mem::take(bytes));
                Poll::Ready(Some(Ok(frame)))
            }
            Self::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// A final response of the gateway's own.
///
/// A code that means "not run" is sent with 503, and says when to come back; or with 404
/// or 413 where coming back can't help. Anything that may have run is sent as 502 or 504,
/// which promise nothing.
pub(crate) fn gateway_response(
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status(code)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(ResponseBody::Full(Bytes::new()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(RESULT, HeaderValue::from(code.number()));
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

fn status(code: ResultCode) -> u16 {
    match code {
        // The time was up before anything ran; only 503 says so to a caller.
        ResultCode::DeadlineBeforeRun => 503,
        _ if code.meaning() == Meaning::MayHaveRun && code.status() < 500 => 502,
        _ => code.status(),
    }
}
