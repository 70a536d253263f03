//! Construction of HTTP responses.

use bytes::Bytes;
use filberthead_types::ResultCode;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE};
use http::{Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use crate::{Answer, RESULT_HEADER};

pub(super) type HttpResponse = Response<Full<Bytes>>;

const JSON: &str = "application/json";

/// Response with an [`Answer`] as its body.
pub(super) fn answer(answer: &Answer) -> HttpResponse {
    document(answer.code, answer)
}

/// An answer that ends the processing of a request early, as an error.
pub(super) type Refusal = Box<Answer>;

/// A refusal with only a result code and a message.
pub(super) fn refuse(code: ResultCode, message: impl Into<String>) -> Refusal {
    Box::new(Answer::new(code, message))
}

/// Response with a JSON body.
pub(super) fn document(code: ResultCode, body: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec_pretty(body) {
        Ok(bytes) => raw(code, JSON, bytes.into()),
        // Happens only for a map with keys that aren't strings, which no body has.
        Err(_) => raw(ResultCode::ApiUnavailable, JSON, Bytes::new()),
    }
}

/// Response with a body of any content type.
pub(super) fn raw(code: ResultCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if code.status() == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
