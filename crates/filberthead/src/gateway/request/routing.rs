//! Looks up the route of a request, its target, and by when it must be answered.

use std::sync::Arc;

use filberthead_route::{Matched, Route, Target as RouteTarget};
use filberthead_types::ServiceName;
use http::request::Parts;
use tokio::time::Instant;

use super::context::host;
use crate::gateway::core::{ActiveRoutes, Core};
use crate::gateway::deadline::Deadline;
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

/// By when a request must be answered that is taken now; `None` if the gateway is likely to have stopped by
/// then.
pub(super) fn deadline_in_stop(
    core: &Core,
    service: &ServiceName,
    route: &Route,
    deadline: Deadline,
) -> Option<Deadline> {
    let Some(due) = core.answers_due() else {
        return Some(deadline);
    };
    let left = due.saturating_duration_since(Instant::now());
    let usual_times = core.usual_times.borrow();
    let fits = usual_times.fits(service, route.kind, deadline.remaining(), left);
    fits.then(|| deadline.no_later_than(due))
}
