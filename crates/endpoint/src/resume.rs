//! Resumes a download whose endpoint was lost.
//!
//! The rest is requested with `Range` and `If-Range`, so that another endpoint sends it only
//! if it has exactly the same bytes; otherwise the download is aborted, which the caller
//! detects. The validator must be strong: two files with the same weak one may differ.

use std::time::Duration;

use http::header::{
    ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, DATE, ETAG, IF_RANGE, LAST_MODIFIED, RANGE,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, request, response};

/// State needed to request the rest of an answer.
#[derive(Clone, Debug)]
pub struct Resume {
    /// Strong `ETag` or `Last-Modified` of the file.
    validator: HeaderValue,
    /// Offset in the file of the next byte to send to the caller.
    next: u64,
    /// Offset of the last byte that the caller requested.
    last: u64,
    /// Length of the file.
    total: u64,
}

impl Resume {
    /// Reads the state from an answer's head; `None` if the answer can't be resumed.
    pub fn from_response(request: &request::Parts, response: &response::Parts) -> Option<Self> {
        if request.method != Method::GET || response.headers.contains_key("content-encoding") {
            return None;
        }
        let headers = &response.headers;
        let refused = headers
            .get(ACCEPT_RANGES)
            .is_some_and(|unit| unit == "none");
        let validator = validator(headers).filter(|_| !refused)?;
        let (next, last, total) = match response.status {
            StatusCode::OK => {
                let total: u64 = headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()?;
                (0, total.checked_sub(1)?, total)
            }
            StatusCode::PARTIAL_CONTENT => content_range(headers)?,
            _ => return None,
        };
        Some(Self {
            validator,
            next,
            last,
            total,
        })
    }

    /// Records bytes sent to the caller.
    pub fn advance(&mut self, bytes: u64) {
        self.next += bytes;
    }

    /// Whether all requested bytes were sent to the caller.
    pub fn is_complete(&self) -> bool {
        self.next > self.last
    }

    /// Sets `Range` and `If-Range` of a request for the rest.
    pub fn set_range(&self, headers: &mut HeaderMap) {
        let range = format!("bytes={}-{}", self.next, self.last);
        if let Ok(range) = HeaderValue::try_from(range) {
            headers.insert(RANGE, range);
            headers.insert(IF_RANGE, self.validator.clone());
        }
    }

    /// Whether an answer is exactly the rest of this file.
    pub fn matches(&self, response: &response::Parts) -> bool {
        response.status == StatusCode::PARTIAL_CONTENT
            && content_range(&response.headers) == Some((self.next, self.last, self.total))
            && validator(&response.headers).as_ref() == Some(&self.validator)
    }
}

fn validator(headers: &HeaderMap) -> Option<HeaderValue> {
    if let Some(etag) = headers.get(ETAG) {
        return etag.as_bytes().starts_with(b"\"").then(|| etag.clone());
    }
    let modified = headers.get(LAST_MODIFIED)?;
    is_strong(modified, headers.get(DATE)?).then(|| modified.clone())
}

/// A date is a strong validator only if the file can't have changed again within the same
/// second, after this answer was generated.
fn is_strong(modified: &HeaderValue, date: &HeaderValue) -> bool {
    let time = |value: &HeaderValue| httpdate::parse_http_date(value.to_str().ok()?).ok();
    let (Some(modified), Some(date)) = (time(modified), time(date)) else {
        return false;
    };
    date.duration_since(modified)
        .is_ok_and(|age| age >= Duration::from_secs(1))
}

/// Parses a `Content-Range` into first byte, last byte and total length.
fn content_range(headers: &HeaderMap) -> Option<(u64, u64, u64)> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (range, total) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?, total.parse().ok()?))
}
