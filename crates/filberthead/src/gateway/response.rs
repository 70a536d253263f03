//! Responses to callers: an endpoint's, or the gateway's own.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use filberthead_types::{Meaning, ResultCode, header};
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use super::body_memory::BodyBytes;
use super::streamed::{BodyError, StreamedBody};

const RESULT: HeaderName = HeaderName::from_static(header::RESULT);

/// Body of a response.
pub(crate) enum ResponseBody {
    /// Buffered in memory.
    Buffered(BodyBytes),
    /// Streamed from an endpoint.
    Streamed(Box<StreamedBody>),
}

impl Body for ResponseBody {
    type Data = BodyBytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<BodyBytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let frame = Frame::data(std::mem::take(bytes));
                Poll::Ready(Some(Ok(frame)))
            }
            Self::Streamed(body) => {
                let frame = body.poll_frame(cx);
                frame.map_ok(|frame| frame.map_data(BodyBytes::from))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}

/// Builds a final response of the gateway's own.
///
/// Codes that mean "not run" are sent with status 503 and Retry-After, or with 404 or 413 where a
/// retry can't succeed. Codes of requests that may have run are sent with 502 or 504, from which
/// a caller can't conclude that nothing ran.
pub(crate) fn gateway_response(
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status(code)).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(ResponseBody::Buffered(BodyBytes::default()));
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
        // The deadline passed before anything ran; only 503 conveys that to a caller.
        ResultCode::DeadlineBeforeRun => 503,
        _ if code.meaning() == Meaning::MayHaveRun && code.status() < 500 => 502,
        _ => code.status(),
    }
}

/// The code a response is counted under: that of the gateway's own response, else `Answered`.
pub(super) fn result_code(response: &Response<ResponseBody>) -> ResultCode {
    let header = response.headers().get(RESULT);
    let number = header.and_then(|value| value.to_str().ok()?.parse().ok());
    number
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Answered)
}
