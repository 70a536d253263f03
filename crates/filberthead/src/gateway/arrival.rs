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

use super::answer::{AnswerBody, own};
use super::attempt::text;
use super::carry::STARTING;
use super::core::{Core, InForce};

/// What a line shows at most of each text that a caller has sent, in bytes: the longest host
/// name that DNS allows fits, while a head may have many kilobytes.
const SHOWN: usize = 256;

/// A request, and what is known of where it may go.
pub(crate) struct Arrival<'a> {
    core: &'a Core,
    caller: SocketAddr,
    begun: Instant,
    head: &'a Parts,
    /// The routes that it is matched by, if any are known.
    pub(crate) held: Option<&'a InForce>,
    /// The one that it takes.
    pub(crate) route: Option<&'a Route>,
}

impl<'a> Arrival<'a> {
    pub(crate) fn new(core: &'a Core, caller: SocketAddr, begun: Instant, head: &'a Parts) -> Self {
        Self {
            core,
            caller,
            begun,
            head,
            held: None,
            route: None,
        }
    }

    /// The final answer to a request that no endpoint gets. Its line tells old or foreign
    /// routes from a request that no routes would have matched.
    pub(crate) fn turn_away(
        &self,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Response<AnswerBody> {
        let answer = own(code, retry_after);
        let kind = self.route.map(|route| route.kind.as_str());
        let took = self.begun.elapsed();
        self.core.metrics.finished(kind, code, took);
        if let Some(omitted) = self.core.may_tell(code) {
            self.tell(code, answer.status().as_u16(), omitted);
        }
        answer
    }

    /// Turns a request away that the routes held here don't allow: for good if they are the
    /// newest. A caller who is told so doesn't come back, so what a later change may have
    /// allowed is refused for the moment only.
    pub(crate) fn deny(&self, code: ResultCode) -> Response<AnswerBody> {
        match self.core.is_proven() {
            true => self.turn_away(code, None),
            false => self.turn_away(ResultCode::RoutesUnproven, Some(STARTING)),
        }
    }

    fn tell(&self, code: ResultCode, status: u16, omitted: u64) {
        let id = text(&self.head.headers, &self.core.protocol.request_id);
        let held = self.held;
        let since = |held: &InForce| self.core.now().saturating_sub(held.since).as_millis();
        let (_, control_ms) = self.core.ages();
        let (phase, informed) = self.core.standing();
        info!(request = shown(id), caller:% = self.caller,
            host = shown(host(self.head).unwrap_or_default()),
            path = shown(self.head.uri.path()), code:%, status,
            route = self.route.map(|route| route.name.as_str()),
            version = held.map(|held| held.version),
            revision = held.map(|held| held.revision),
            routes = held.map_or(0, |held| held.routes),
            routes_ms = held.map(since), proven_ms = self.core.proven_age().map(|age| age.as_millis()),
            from = held.map(|held| held.from.to_string()),
            control_ms, phase = phase.as_str(), informed, omitted; "turned away");
    }
}

/// The host that a request names.
pub(crate) fn host(head: &Parts) -> Option<&str> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host())
}

fn shown(text: &str) -> &str {
    &text[..text.floor_char_boundary(SHOWN)]
}
