//! Looks up the route of a request and its target.

use std::sync::Arc;

use filberthead_route::{Matched, Target as RouteTarget};
use http::request::Parts;

use super::context::host;
use crate::gateway::core::{ActiveRoutes, Core};
use crate::gateway::relay::RelayHead;

/// What another gateway tells about a request that it relays; `None` if it isn't one of this cluster.
pub(super) fn read_relay_head(core: &Core, head: &Parts) -> Option<RelayHead> {
    let relayed = RelayHead::read(&head.headers)?;
    (relayed.cluster == core.identity.cluster).then_some(relayed)
}

pub(super) fn find_route(active_routes: &ActiveRoutes, head: &Parts) -> Option<Arc<Matched>> {
    let matcher = &active_routes.matcher;
    matcher.find(host(head)?, head.uri.path()).cloned()
}

/// The target that a request goes to. Of a relayed one its sender has chosen the service.
pub(super) fn pick_target<'a>(
    matched: &'a Matched,
    relayed: Option<&RelayHead>,
) -> Option<&'a RouteTarget> {
    let targets = &matched.route.targets;
    let chosen = relayed.and_then(|relayed| {
        let mut targets = targets.iter();
        targets.find(|target| target.service == relayed.service)
    });
    chosen.or_else(|| targets.get(matched.split.pick()))
}

/// Whether a relayed request goes to the service that its sender has chosen.
pub(super) fn is_for(relayed: Option<&RelayHead>, target: &RouteTarget) -> bool {
    relayed.is_none_or(|relayed| relayed.service == target.service)
}
