//! Parses the request line and the headers of a caller's request.

use std::net::IpAddr;
use std::time::Duration;

use filberthead_types::{Incarnation, NodeName, RequestId, ResultCode, ServiceName, header};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Uri};

use crate::{Execution, ForwardedBy};

/// Maximum length of an idempotency key in bytes, including the prefix from a look-up.
pub const MAX_KEY_LEN: usize = 200;

const LOOKUP_PATH: &str = "/v1/lookup";
const SERVICES_PATH: &str = "/v1/services/";
const SERVICE_PARAMETER: &str = "service=";

/// How a request is handled.
#[derive(Debug)]
pub(crate) enum Route<'a> {
    /// A look-up of this service.
    Lookup(&'a str),
    /// A request to an endpoint of this service, with this path and query.
    Service(ServiceName, PathAndQuery),
    /// Refuse the request with this code.
    Refuse(ResultCode),
}

/// Parses the request line.
pub(crate) fn route<'a>(method: &Method, uri: &'a Uri) -> Route<'a> {
    let path = uri.path();
    if path == LOOKUP_PATH {
        return lookup(method, uri);
    }
    let Some(target) = uri.path_and_query() else {
        return Route::Refuse(ResultCode::BadRequest);
    };
    let Some(rest) = target.as_str().strip_prefix(SERVICES_PATH) else {
        return Route::Refuse(ResultCode::NoSuchRoute);
    };
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, target) = rest.split_at(end);
    match (service.parse(), parse_target(target)) {
        (Ok(service), Ok(target)) => Route::Service(service, target),
        (Err(_), _) => Route::Refuse(ResultCode::UnknownService),
        (_, Err(_)) => Route::Refuse(ResultCode::BadRequest),
    }
}

fn parse_target(text: &str) -> Result<PathAndQuery, http::uri::InvalidUri> {
    if text.starts_with('/') {
        return text.parse();
    }
    format!("/{text}").parse()
}

fn lookup<'a>(method: &Method, uri: &'a Uri) -> Route<'a> {
    if method != Method::GET {
        return Route::Refuse(ResultCode::NoSuchRoute);
    }
    let query = uri.query().unwrap_or_default();
    let service = query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(SERVICE_PARAMETER));
    service.map_or(Route::Refuse(ResultCode::BadRequest), Route::Lookup)
}

/// How often a request may be sent to an endpoint, from its method and key.
///
/// Only safe methods count as repeatable. HTTP defines `PUT` and `DELETE` as idempotent too,
/// but a service may count a registration sent twice by `PUT` twice, and nothing in the
/// request shows that.
pub(crate) fn execution<B>(request: &Request<B>) -> Result<Execution, ResultCode> {
    match *request.method() {
        Method::GET | Method::HEAD | Method::OPTIONS => return Ok(Execution::Repeatable),
        Method::CONNECT | Method::TRACE => return Err(ResultCode::BadRequest),
        _ => {}
    }
    match request.headers().get(header::IDEMPOTENCY_KEY) {
        Some(key) => parse_key(key.as_bytes()),
        None if matches!(*request.method(), Method::PUT | Method::DELETE) => Ok(Execution::Once),
        None => Err(ResultCode::KeyMissing),
    }
}

fn parse_key(key: &[u8]) -> Result<Execution, ResultCode> {
    let valid = !key.is_empty() && key.len() <= MAX_KEY_LEN && key.iter().all(u8::is_ascii_graphic);
    let key = std::str::from_utf8(key).ok().filter(|_| valid);
    let key = key.ok_or(ResultCode::BadRequest)?;
    Ok(Execution::Keyed(key.to_owned()))
}

/// How often a request from another entry may be sent to an endpoint, and how many entries
/// have forwarded it towards the home of its key.
pub(crate) fn forwarded_execution<B>(request: &Request<B>) -> Result<(Execution, u8), ResultCode> {
    let execution = execution(request)?;
    let headers = request.headers();
    if !matches!(execution, Execution::Keyed(_)) {
        return Ok((execution, 0));
    }
    if headers.contains_key(header::KEY_STARTED) {
        return Ok((Execution::Once, 0));
    }
    let hops = headers.get(header::KEY_HOPS);
    let hops = hops.and_then(|value| value.to_str().ok()?.parse().ok());
    // Without a valid number it must not be forwarded any further.
    Ok((execution, hops.unwrap_or(u8::MAX)))
}

/// The caller's timeout; `None` if it sent none.
pub(crate) fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, ResultCode> {
    let Some(value) = headers.get(header::TIMEOUT_MS) else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|text| text.parse().ok());
    ms.map(|ms| Some(Duration::from_millis(ms)))
        .ok_or(ResultCode::BadRequest)
}

/// Headers of a request that claims to come from another entry.
#[derive(Debug)]
pub(crate) struct Forwarded {
    /// The entry that forwarded it.
    pub(crate) by: ForwardedBy,
    /// The request id that the entry assigned.
    pub(crate) id: RequestId,
    /// The caller's address; `None` if missing or invalid.
    pub(crate) caller: Option<IpAddr>,
}

/// Parses the headers that an entry adds to a forwarded request; `None` if invalid.
pub(crate) fn parse_forwarded(headers: &HeaderMap) -> Option<Forwarded> {
    let text = |name| headers.get(name)?.to_str().ok();
    let (name, incarnation) = text(header::FORWARDED_BY)?.split_once(' ')?;
    let id = text(header::REQUEST_ID)?.parse().ok()?;
    let name: NodeName = name.parse().ok()?;
    let incarnation = Incarnation(incarnation.parse().ok()?);
    let caller = text(header::CALLER).and_then(|text| text.parse().ok());
    let by = ForwardedBy { name, incarnation };
    Some(Forwarded { by, id, caller })
}
