//! Reports, notices and the updates that follow from them.

use std::collections::BTreeSet;
use std::sync::Arc;

use filberthead_fleet::{
    Endpoint, EndpointChange, GatewayInfo, Load, Member, Message, Registry, Revisions, Stamp,
    Update, UpdateDelay,
};
use filberthead_route::Table;

use crate::support::{CONTROL, GATEWAY, addr, endpoint, exchange, gateway, ms, notice};

#[test]
fn a_starting_gateway_receives_everything_after_one_report() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    registry.set_evacuated(
        ms(0),
        6,
        &BTreeSet::from(["split-a".parse().expect("a name")]),
    );
    registry.set_endpoints(ms(0), 1, vec![endpoint("a", 0)]);
    let updates = exchange(ms(10), &mut member, &mut registry);
    assert!(member.is_synced(ms(10)));
    assert!(
        updates
            .iter()
            .any(|u| matches!(u, Update::Routes { version: 7, .. }))
    );
    assert!(updates.iter().any(|u| matches!(u, Update::Evacuated(_))));
    assert!(updates.iter().any(|u| matches!(u, Update::Endpoints(_))));
}

/// A leader that has been deposed without noticing sends the list that it has read, in which
/// an endpoint that has left since is still ready. The gateway must not apply it.
#[test]
fn the_list_of_a_deposed_leader_is_ignored() {
    let mut member = gateway();
    let newer = Message::Endpoints {
        stamp: Stamp { term: 4, seq: 1 },
        list: Vec::new(),
    };
    let older = Message::Endpoints {
        stamp: Stamp { term: 3, seq: 900 },
        list: vec![endpoint("left", 0)],
    };
    assert_eq!(member.receive(ms(1), addr(CONTROL), newer).1.len(), 1);
    assert_eq!(member.receive(ms(2), addr(CONTROL), older).1, Vec::new());
}

/// Superseded routes arrive late from a replica that is behind. Within one process they must
/// never be in force again.
#[test]
fn routes_never_go_back() {
    let mut member = gateway();
    let routes = |revision, version| Message::Routes {
        revision,
        version,
        table: Arc::new(Table::default()),
    };
    assert_eq!(
        member.receive(ms(1), addr(CONTROL), routes(9, 3)).1.len(),
        1
    );
    assert_eq!(
        member.receive(ms(2), addr(CONTROL), routes(8, 2)).1,
        Vec::new()
    );
    assert_eq!(member.revisions().routes, 9);
}

/// While an endpoint warms up, each reading of the list shows a different remaining cold time.
/// That alone must not cause an update to every gateway each time.
#[test]
fn passing_cold_time_is_not_a_change() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 1, vec![endpoint("a", 3000)]);
    let first = registry.revisions().endpoints;
    registry.set_endpoints(ms(400), 1, vec![endpoint("a", 2650)]);
    assert_eq!(registry.revisions().endpoints, first);
    // The endpoint has become cold again.
    registry.set_endpoints(ms(800), 1, vec![endpoint("a", 5000)]);
    assert!(registry.revisions().endpoints > first);
}

#[test]
fn a_silent_or_stopping_gateway_is_not_listed() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    exchange(ms(0), &mut member, &mut registry);
    assert_eq!(registry.ready_gateways(ms(1)), Vec::new());
    member.set_ready(true);
    exchange(ms(10), &mut member, &mut registry);
    assert_eq!(registry.ready_gateways(ms(1000)).len(), 1);
    assert_eq!(registry.ready_gateways(ms(2000)), Vec::new());
    exchange(ms(2100), &mut member, &mut registry);
    assert_eq!(registry.ready_gateways(ms(2200)).len(), 1);
    member.set_ready(false);
    exchange(ms(2210), &mut member, &mut registry);
    assert_eq!(registry.ready_gateways(ms(2220)), Vec::new());
}

/// Several replicas announce the same change at the same moment. It must be pulled from one
/// of them, and from another one only if no answer arrives.
#[test]
fn a_change_is_pulled_once() {
    let mut member = gateway();
    let mut registry = Registry::default();
    exchange(ms(0), &mut member, &mut registry);
    registry.set_endpoints(ms(1), 1, vec![endpoint("a", 0)]);
    let notice = notice(registry.revisions(), Vec::new());
    assert_eq!(
        member.receive(ms(2), addr(CONTROL), notice.clone()).0.len(),
        1
    );
    assert_eq!(member.receive(ms(3), addr(3), notice.clone()).0.len(), 0);
    assert_eq!(member.receive(ms(400), addr(3), notice).0.len(), 1);
}

/// A gateway and a control VM start together, and that VM was down while the others accepted
/// changes. Its notice reaches the gateway first; the gateway must not serve by its routes
/// unless no other replica responds.
#[test]
fn a_starting_gateway_does_not_serve_a_single_replicas_routes() {
    let mut member = gateway();
    let mut behind = Registry::default();
    behind.set_replicas(vec![addr(CONTROL), addr(3), addr(4)]);
    behind.set_routes(ms(0), 5, 1, Arc::new(Table::default()));
    behind.set_endpoints(ms(0), 1, vec![endpoint("a", 0)]);
    exchange(ms(10), &mut member, &mut behind);
    assert!(
        !member.is_synced(ms(20)),
        "one of three replicas has responded"
    );
    let newer = filberthead_fleet::Revisions {
        routes: 9,
        ..behind.revisions()
    };
    let newer = notice(newer, vec![addr(CONTROL), addr(3), addr(4)]);
    member.receive(ms(30), addr(3), newer);
    assert!(!member.is_synced(ms(40)), "newer routes are announced");
    let routes = Message::Routes {
        revision: 9,
        version: 2,
        table: Arc::new(Table::default()),
    };
    member.receive(ms(50), addr(3), routes);
    assert!(member.is_synced(ms(60)));
    let mut alone = gateway();
    exchange(ms(10), &mut alone, &mut behind);
    assert!(alone.is_synced(ms(3000)), "no other replica responds");
}

fn list(ids: std::ops::Range<u32>) -> Vec<Endpoint> {
    ids.map(|id| endpoint(&format!("i-{id:03}"), 0)).collect()
}

/// The update that a replica sends to a holder of this list.
fn update_for(registry: &mut Registry, endpoints: Stamp) -> Message {
    let revisions = Revisions {
        endpoints,
        ..registry.revisions()
    };
    let mut out = registry.receive(ms(0), addr(GATEWAY), Message::Pull(revisions), false);
    out.pop().expect("an update to the newest list").1
}

/// During a release each replaced endpoint makes a new list of 600. Complete lists for every
/// gateway would take a tenth of a small VM's link. A gateway that was disconnected for longer
/// than changes are kept receives the complete list.
#[test]
fn holders_of_an_older_list_receive_only_changes() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 4, list(0..100));
    let first = registry.revisions().endpoints;
    registry.set_endpoints(ms(1), 4, list(1..101));
    registry.set_endpoints(ms(2), 4, list(2..102));
    let Message::EndpointsChanged { stamp, change } = update_for(&mut registry, first) else {
        panic!("only the change is sent");
    };
    assert_eq!(stamp, registry.revisions().endpoints);
    assert_eq!(change.from, first);
    assert_eq!(change.changed, list(100..102));
    assert_eq!(change.gone, ["i-000", "i-001"]);
    for step in 3..60 {
        registry.set_endpoints(ms(u64::from(step)), 4, list(step..step + 100));
    }
    assert!(matches!(
        update_for(&mut registry, first),
        Message::Endpoints { .. }
    ));
}

/// Two replicas without a leader each read the list themselves and give the same number to
/// different lists. A change relative to one must never reach a gateway that holds the other:
/// it would miss an endpoint for good.
#[test]
fn lists_read_without_a_leader_are_sent_complete() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 0, list(0..100));
    let first = registry.revisions().endpoints;
    registry.set_endpoints(ms(1), 0, list(0..101));
    assert!(matches!(
        update_for(&mut registry, first),
        Message::Endpoints { .. }
    ));
    registry.set_endpoints(ms(2), 1, list(0..102));
    assert!(matches!(
        update_for(&mut registry, first),
        Message::Endpoints { .. }
    ));
}

/// A change to a list that a gateway or replica doesn't hold must not be applied, since the
/// changes in between would be missing. A replica pulls them at once.
#[test]
fn a_change_to_another_list_is_not_applied() {
    let stamp = |seq| Stamp { term: 4, seq };
    let change = || Message::EndpointsChanged {
        stamp: stamp(9),
        change: EndpointChange {
            from: stamp(8),
            changed: list(3..4),
            gone: Vec::new(),
        },
    };
    let complete = |seq| Message::Endpoints {
        stamp: stamp(seq),
        list: list(0..2),
    };
    let (mut member, mut registry) = (gateway(), Registry::default());
    member.receive(ms(1), addr(CONTROL), complete(7));
    assert_eq!(member.receive(ms(2), addr(CONTROL), change()).1, Vec::new());
    assert_eq!(member.revisions().endpoints, stamp(7));
    member.receive(ms(3), addr(CONTROL), complete(8));
    assert_eq!(member.receive(ms(4), addr(CONTROL), change()).1.len(), 1);
    assert_eq!(member.revisions().endpoints, stamp(9));
    registry.receive(ms(1), addr(CONTROL), complete(7), false);
    let out = registry.receive(ms(2), addr(CONTROL), change(), false);
    assert!(matches!(out[..], [(_, Message::PullEndpoints(base))] if base == stamp(7)));
    registry.receive(ms(3), addr(CONTROL), complete(8), false);
    registry.receive(ms(4), addr(CONTROL), change(), false);
    assert_eq!(registry.revisions().endpoints, stamp(9));
}

/// With two failure domains, one of them busier, each gateway receives the mean of its own.
#[test]
fn a_gateway_receives_the_mean_link_utilisation_of_its_failure_domain() {
    let member = |name: &str, domain: &str| {
        let info = GatewayInfo {
            name: name.parse().expect("a name"),
            region: "split".parse().expect("a name"),
            domain: domain.parse().expect("a name"),
            caller_addr: addr(80),
            relay_addr: addr(81),
        };
        let mut member = Member::new(info, [addr(CONTROL)], 100);
        member.set_ready(true);
        member
    };
    let mut registry = Registry::default();
    let mut link_mean = |member: &mut Member, now, link_milli| {
        let load = || Load {
            link_milli,
            ..Load::default()
        };
        let report = member.tick(now, load).pop().expect("a report").1;
        let notice = registry.receive(now, addr(GATEWAY), report, false).pop();
        let updates = member
            .receive(now, addr(CONTROL), notice.expect("a notice").1)
            .1;
        updates.into_iter().find_map(|update| match update {
            Update::Links(mean) => Some(mean),
            _ => None,
        })
    };
    let mut same_domain = [member("a-1", "split-a"), member("a-2", "split-a")];
    let mut other_domain = member("b-1", "split-b");
    assert_eq!(link_mean(&mut same_domain[0], ms(1), 800), Some(Some(800)));
    assert_eq!(link_mean(&mut same_domain[1], ms(2), 200), Some(Some(500)));
    assert_eq!(link_mean(&mut other_domain, ms(3), 100), Some(Some(100)));
}

/// Without the delay an on-call engineer can't distinguish a list that was read late from one
/// that was transferred slowly.
#[test]
fn a_gateway_measures_the_delay_of_an_update() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    registry.set_endpoints(ms(0), 1, vec![endpoint("a", 0)]);
    let announcement = notice(registry.revisions(), Vec::new());
    member.receive(ms(100), addr(CONTROL), announcement.clone());
    member.receive(ms(400), addr(3), announcement);
    let list = update_for(&mut registry, Stamp::default());
    member.receive(ms(900), addr(3), list);
    let delay = UpdateDelay {
        since_announced: ms(800),
        requests: 2,
    };
    assert_eq!(member.delay(), delay);
}
