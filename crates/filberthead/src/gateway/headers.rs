//! What the gateway reads from headers of requests and responses.

use filberthead_place::Outcome;
use http::{HeaderMap, HeaderName, StatusCode};

use super::core::Core;

/// The outcome if the endpoint reports that nothing ran: `Gone` if it isn't the instance that the
/// request was for, else `Full`. `None` if the request ran.
pub(crate) fn not_run(core: &Core, status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Outcome::Gone);
    }
    headers
        .contains_key(&core.protocol.not_run)
        .then_some(Outcome::Full)
}

/// A header's value as text; empty if it is missing or isn't text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().trim()
}
