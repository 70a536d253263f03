//! Goes on with a download whose endpoint was lost.
//!
//! The rest is asked for by `Range` with `If-Range`, so that another endpoint sends the
//! rest only if it holds the very same bytes; otherwise the download is cut, which its
//! caller sees. A validator must be strong: two files with the same weak one may differ.

use std::time::Duration;

use http::header::{
    ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, DATE, ETAG, IF_RANGE, LAST_MODIFIED, RANGE,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, request, response};

/// What is needed to ask for the rest of an answer.
#[derive(Clone, Debug)]
pub struct Resume {
    validator: HeaderValue,
    /// Place in the whole file of the next byte that the caller lacks.
    next: u64,
    /// Place of the last byte that it asked for.
    last: u64,
    /// Length of the whole file.
    total: u64,
}

impl Resume {
    /// Reads an answer's head; `None` if the rest couldn't be asked for.
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

    /// Counts bytes that went to the caller.
    pub fn advance(&mut self, bytes: u64) {
        self.next += bytes;
    }

    /// Whether the caller has everything.
    pub fn is_complete(&self) -> bool {
        self.next > self.last
    }

    /// Makes the headers of a request ask for the rest.
    pub fn set_range(&self, headers: &mut HeaderMap) {
        let range = format!("bytes={}-{}", self.next, self.last);
        if let Ok(range) = HeaderValue::try_from(range) {
            headers.insert(RANGE, range);
            headers.insert(IF_RANGE, self.validator.clone());
        }
    }

    /// Whether an answer is the rest of this file, byte for byte.
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

/// A date is a strong validator only if the file can't have changed again within the
/// same second after this answer was made.
fn is_strong(modified: &HeaderValue, date: &HeaderValue) -> bool {
    let time = |value: &HeaderValue| httpdate::parse_http_date(value.to_str().ok()?).ok();
    let (Some(modified), Some(date)) = (time(modified), time(date)) else {
        return false;
    };
    date.duration_since(modified)
        .is_ok_and(|age| age >= Duration::from_secs(1))
}

/// First byte, last byte and whole length of a `Content-Range`.
fn content_range(headers: &HeaderMap) -> Option<(u64, u64, u64)> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (range, total) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?, total.parse().ok()?))
}
