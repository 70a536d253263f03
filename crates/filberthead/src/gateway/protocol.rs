//! Names that the outside protocol gives to the headers and paths a gateway uses.
//!
//! Their meaning is fixed here; an adapter supplies the names.

use http::HeaderName;

/// Headers between callers, gateway and endpoints, and the readiness path.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Id of one attempt by a caller. Endpoints echo it.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender goes on waiting.
    pub deadline_ms: HeaderName,
    /// Key for session affinity: the object that the request concerns.
    pub affinity_key: HeaderName,
    /// Key that identifies the caller's workspace. It is never sent on.
    pub api_key: HeaderName,
    /// Name of the caller's workspace, for endpoints.
    pub workspace: HeaderName,
    /// Identity of the endpoint the request is for. Another one refuses to run it.
    pub target_instance: HeaderName,
    /// Set by an endpoint that did not run the request.
    pub not_run: HeaderName,
    /// Set by an endpoint: `running,waiting,slots`, and `slowdown` in hundredths where it is reported.
    pub load: HeaderName,
    /// Set by an endpoint: remaining warm-up time in milliseconds.
    pub warmup_ms: HeaderName,
    /// Set by an endpoint: requests per second that it takes from all gateways together.
    pub limit: HeaderName,
    /// Set to 1 by an endpoint that is leaving.
    pub leaving: HeaderName,
    /// Path of the readiness probe.
    pub readiness_path: &'static str,
}
