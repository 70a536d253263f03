//! Headers that an entry or gateway forwards, removes and adds.

use std::net::IpAddr;
use std::time::Duration;

use filberthead_types::{Incarnation, NodeName, RequestId, header};
use http::header::{
    CONNECTION, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING,
    UPGRADE,
};
use http::{HeaderMap, HeaderValue};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const REQUEST_ID: HeaderName = HeaderName::from_static(header::REQUEST_ID);
const DEADLINE_MS: HeaderName = HeaderName::from_static(header::DEADLINE_MS);
const TIMEOUT_MS: HeaderName = HeaderName::from_static(header::TIMEOUT_MS);
const FORWARDED_BY: HeaderName = HeaderName::from_static(header::FORWARDED_BY);

const KEY_HOPS: HeaderName = HeaderName::from_static(header::KEY_HOPS);
const KEY_STARTED: HeaderName = HeaderName::from_static(header::KEY_STARTED);
const CALLER: HeaderName = HeaderName::from_static(header::CALLER);

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The next hop of a request, which determines its headers.
#[derive(Clone, Copy, Debug)]
pub enum Hop<'a> {
    /// To an endpoint.
    Endpoint,
    /// To an entry.
    Entry {
        /// The entry that forwards the request.
        from: &'a NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The caller's address; `None` leaves its header out.
        caller: Option<IpAddr>,
        /// State of the request's idempotency key.
        key: KeyHop,
    },
}

/// State of a request's idempotency key, as sent from one entry to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyHop {
    /// The request has no key.
    None,
    /// The request is forwarded to the home of its key, and this many entries have done so.
    ToHome(u8),
    /// The home of its key has started the request; the receiver sends it to an endpoint.
    Started,
}

/// Converts a caller's headers for the next hop: removes hop-by-hop headers and those that a
/// caller may not set, adds the request id and the time `left`. The idempotency key stays, for
/// endpoints that check it themselves.
pub fn request_headers(headers: &mut HeaderMap, id: RequestId, left: Duration, hop: Hop<'_>) {
    remove_hop_by_hop(headers);
    remove_internal(headers);
    headers.remove(HOST);
    insert_text(headers, REQUEST_ID, id.to_string());
    let left = HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    match hop {
        Hop::Endpoint => {
            headers.insert(DEADLINE_MS, left);
        }
        Hop::Entry {
            from,
            incarnation,
            caller,
            key,
        } => {
            headers.insert(TIMEOUT_MS, left);
            insert_text(headers, FORWARDED_BY, format!("{from} {incarnation}"));
            if let Some(caller) = caller {
                insert_text(headers, CALLER, caller.to_string());
            }
            match key {
                KeyHop::None => {}
                KeyHop::ToHome(hops) => {
                    headers.insert(KEY_HOPS, HeaderValue::from(u16::from(hops)));
                }
                KeyHop::Started => {
                    headers.insert(KEY_STARTED, HeaderValue::from_static("1"));
                }
            }
        }
    }
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: String) {
    // Names, numbers and addresses are ASCII, so the conversion can't fail.
    if let Ok(value) = HeaderValue::try_from(text) {
        headers.insert(name, value);
    }
}

/// Converts an answer's headers for the caller. Result headers are accepted from entries only:
/// what an endpoint reports about execution is read before this and isn't forwarded.
pub fn answer_headers(headers: &mut HeaderMap, from_entry: bool) {
    remove_hop_by_hop(headers);
    if !from_entry {
        remove_internal(headers);
    }
}

/// Removes the headers that apply to one connection only, including those named in
/// `Connection`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn remove_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(header::PREFIX))
        .cloned()
        .collect();
    for name in &internal {
        headers.remove(name);
    }
}
