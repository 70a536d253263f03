//! A request that has come and isn't on its way to an endpoint yet.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_route::Route;
use filberthead_types::ResultCode;
use http::Response;
use http::header::HOST;
use http::request::Parts;
use log::info;
use tokio::time::Instant;

use super::attempt::header_text;
use super::core::{ActiveRoutes, Core};
use super::forward::RETRY_AFTER_STARTING;
use super::response::{ResponseBody, gateway_response};

/// What a line shows at most of each text that a caller has sent, in bytes: the longest host
/// name that DNS allows fits, while a head may have many kilobytes.
const MAX_LOGGED_BYTES: usize = 256;

/// A request, and what is known of where it may go.
pub(crate) struct RequestContext<'a> {
    core: &'a Core,
    caller: SocketAddr,
    started: Instant,
    head: &'a Parts,
    /// The routes that it is matched by, if any are known.
    pub(crate) routes: Option<&'a ActiveRoutes>,
    /// The one that it takes.
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

    /// The final response to a request that no endpoint gets. Its line tells old or foreign
    /// routes from a request that no routes would have matched.
    pub(crate) fn reject(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        let response = gateway_response(code, retry_after);
        let kind = self.route.map(|route| route.kind.as_str());
        let elapsed = self.started.elapsed();
        self.core.metrics.finished(kind, code, elapsed);
        if let Some(omitted) = self.core.may_log(code) {
            self.log_rejection(code, response.status().as_u16(), omitted);
        }
        response
    }

    /// Turns a request away that the routes held here don't allow: for good if they are the
    /// newest. A caller who is told so doesn't come back, so what a later change may have
    /// allowed is refused for the moment only.
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
            routes_ms = routes.map(since), proven_ms = self.core.proof_age().map(|age| age.as_millis()),
            from = routes.map(|routes| routes.from.to_string()),
            control_ms, phase = phase.as_str(), informed, omitted; "turned away");
    }
}

/// The host that a request names.
pub(crate) fn host(head: &Parts) -> Option<&str> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host())
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}
