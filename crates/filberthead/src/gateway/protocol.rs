//! The names that callers and endpoints use for what a gateway reads and writes.
//!
//! Which headers they are is the adapter's knowledge; what they mean is fixed here.

use http::HeaderName;

/// Headers between callers, gateway and endpoints.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Id of one attempt of a caller. Endpoints echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender goes on waiting.
    pub deadline_ms: HeaderName,
    /// Object that the request concerns.
    pub affinity_key: HeaderName,
    /// Identity that the endpoint must have to run the request.
    pub target_instance: HeaderName,
    /// From an endpoint: its word that the request did not run.
    pub not_run: HeaderName,
    /// From an endpoint: how many requests it runs, how many wait, and its slots.
    pub load: HeaderName,
    /// From an endpoint: milliseconds for which it is still cold.
    pub warmup_ms: HeaderName,
    /// Path at which a gateway tells whether callers may be sent to it.
    pub readiness_path: &'static str,
}
