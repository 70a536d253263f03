//! Computes the fingerprints of requests.

use filberthead_endpoint::RequestBody;
use filberthead_types::{Fingerprint, ServiceName};
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use xxhash_rust::xxh3::Xxh3Default;

/// Fingerprint of a request for a service. `caller` is on whose behalf it runs; empty if that makes no
/// difference. A body that isn't buffered counts by its length alone.
pub(crate) fn fingerprint(
    service: &ServiceName,
    head: &Parts,
    body: &RequestBody,
    caller: &[u8],
) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    let parts = [service.as_str(), head.method.as_str(), target];
    for part in parts.map(str::as_bytes).into_iter().chain([caller]) {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    match body {
        RequestBody::Buffered(body) => hash.update(body),
        _ => {
            let len = head.headers.get(CONTENT_LENGTH);
            hash.update(len.map_or(&[][..], |len| len.as_bytes()));
        }
    }
    Fingerprint(hash.digest128())
}
