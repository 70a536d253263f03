//! Downloads with a validator (`ETag`) and ranges.

use http::{HeaderMap, HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;

use super::body::AnswerBody;
use super::payload::Payload;
use super::serve::{Answer, query, status};
use super::slot::SlotGuard;
use super::state::State;

pub(super) const PREFIX: &str = "/download/";
const DEFAULT_BYTES: u64 = 1024 * 1024;

/// The requested part of a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Whole,
    /// From the first offset up to, but without, the second.
    Range(u64, u64),
    Unsatisfiable,
}

pub(super) fn answer(
    uri: &Uri,
    headers: &HeaderMap,
    state: &State,
    slot: SlotGuard,
    cut: Option<u64>,
) -> Answer {
    let name = &uri.path()[PREFIX.len()..];
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let total = query(path, "bytes").unwrap_or(DEFAULT_BYTES);
    let (version, pace) = state.read(|script| (script.download_version, script.pace));
    let validator = format!("\"{name}-{total}-{version}\"");
    let (start, end, code) = match part(headers, total, &validator) {
        Part::Whole => (0, total, StatusCode::OK),
        Part::Range(start, end) => (start, end, StatusCode::PARTIAL_CONTENT),
        Part::Unsatisfiable => {
            slot.record_answered();
            return status(StatusCode::RANGE_NOT_SATISFIABLE);
        }
    };
    let body = AnswerBody::new(Payload::of_download(name, version), start, end)
        .cut_after(cut)
        .pace(pace)
        .slot(slot);
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = code;
    let mut set = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer.headers_mut().insert(name, value);
        }
    };
    set(header::ACCEPT_RANGES, "bytes");
    set(header::ETAG, &validator);
    if let Some(id) = headers.get("filberthead-request-id") {
        set(
            header::HeaderName::from_static("filberthead-request-id"),
            id.to_str().unwrap_or_default(),
        );
    }
    if code == StatusCode::PARTIAL_CONTENT {
        let range = format!("bytes {start}-{}/{total}", end - 1);
        set(header::CONTENT_RANGE, &range);
    }
    answer
}

fn part(headers: &HeaderMap, total: u64, validator: &str) -> Part {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::IF_RANGE).is_some_and(|known| known != validator) {
        return Part::Whole;
    }
    text(header::RANGE).map_or(Part::Whole, |range| range_of(range, total))
}

fn range_of(text: &str, total: u64) -> Part {
    let ends = text.strip_prefix("bytes=").and_then(|t| t.split_once('-'));
    let Some((first, last)) = ends else {
        return Part::Whole;
    };
    let Ok(start) = first.parse() else {
        return Part::Whole;
    };
    let end = last.parse().map_or(total, |last: u64| total.min(last + 1));
    if start < end {
        Part::Range(start, end)
    } else {
        Part::Unsatisfiable
    }
}
