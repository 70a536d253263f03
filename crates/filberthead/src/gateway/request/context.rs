//! Context of a request that hasn't been forwarded yet, and its rejection.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use filberthead_route::Route;
use filberthead_types::ResultCode;
use http::Response;
use http::header::HOST;
use http::request::Parts;
use log::info;
use tokio::time::Instant;

use crate::gateway::core::{ActiveRoutes, Core};
use crate::gateway::headers::header_text;
use crate::gateway::response::{ResponseBody, gateway_response};
use crate::gateway::retry_after::RETRY_AFTER_STARTING;

/// Bytes logged of each text that a caller has sent. The longest host name that DNS allows fits;
/// a request head may have many kilobytes.
const MAX_LOGGED_BYTES: usize = 256;

/// What is known of a request while its route is looked up.
pub(crate) struct RequestContext<'a> {
    core: &'a Core,
    caller: SocketAddr,
    started: Instant,
    head: &'a Parts,
    /// The routes it is matched against; `None` if the gateway has none yet.
    pub(crate) routes: Option<&'a ActiveRoutes>,
    /// The matching route, once found.
    pub(crate) route: Option<&'a Route>,
}

impl<'a> RequestContext<'a> {
    pub(crate) fn new(
        core: &'a Core,
        caller: SocketAddr,
        started: Instant,
        head: &'a Parts,
    ) -> Self {
        Self {
            core,
            caller,
            started,
            head,
            routes: None,
            route: None,
        }
    }

    /// Where the caller connected from.
    pub(crate) fn caller_ip(&self) -> IpAddr {
        self.caller.ip()
    }

    /// Builds the final response to a request that isn't forwarded, counts it and logs it. The
    /// log line holds what is needed to tell outdated routes from a request that no route ever
    /// matched.
    pub(crate) fn reject(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        let response = gateway_response(code, retry_after);
        let kind = self.route.map(|route| route.kind.as_str());
        let elapsed = self.started.elapsed();
        self.core.metrics.record_request(kind, code, elapsed);
        if let Some(omitted) = self.core.may_log(code) {
            self.log_rejection(code, response.status().as_u16(), omitted);
        }
        response
    }

    /// Rejects a request that the active routes don't allow. If they are proven to be the newest
    /// the rejection is permanent; callers don't retry after that, so otherwise the response is a
    /// temporary one with Retry-After, since a newer version may allow the request.
    pub(crate) fn reject_by_routes(&self, code: ResultCode) -> Response<ResponseBody> {
        match self.core.is_proven() {
            true => self.reject(code, None),
            false => self.reject(ResultCode::RoutesUnproven, Some(RETRY_AFTER_STARTING)),
        }
    }

    fn log_rejection(&self, code: ResultCode, status: u16, omitted: u64) {
        let id = header_text(&self.head.headers, &self.core.protocol.request_id);
        let routes = self.routes;
        let since =
            |routes: &ActiveRoutes| self.core.now().saturating_sub(routes.since).as_millis();
        let (_, control_ms) = self.core.data_ages();
        let (phase, informed) = self.core.serving_state();
        info!(request = truncate(id), caller:% = self.caller,
            host = truncate(host(self.head).unwrap_or_default()),
            path = truncate(self.head.uri.path()), code:%, status,
            route = self.route.map(|route| route.name.as_str()),
            version = routes.map(|routes| routes.version),
            revision = routes.map(|routes| routes.revision),
            routes = routes.map_or(0, |routes| routes.route_count),
            routes_ms = routes.map(since),
            proven_ms = self.core.proof_age().map(|age| age.as_millis()),
            from = routes.map(|routes| routes.from.to_string()),
            control_ms, phase = phase.as_str(), informed, omitted; "request rejected before it ran");
    }
}

/// The host named by the `Host` header, or else by the URI.
pub(crate) fn host(head: &Parts) -> Option<&str> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host())
}

/// What is logged of a text that a caller has sent.
pub(crate) fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}
