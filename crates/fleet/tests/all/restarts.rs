//! Restarts of endpoints under the same identity, and list entries written by other programs.

use filberthead_fleet::{Endpoint, EndpointChange, EndpointState, Registry, Stamp, Update};
use filberthead_route::{Service, Table};
use filberthead_types::{Incarnation, Moment};
use std::sync::Arc;

use crate::support::{addr, endpoint, exchange, gateway, ms};

fn started(id: &str, at: u64) -> Endpoint {
    Endpoint {
        incarnation: Some(Incarnation(at)),
        ..endpoint(id, 0)
    }
}

/// The list as received by a gateway that has just started.
fn received_list(now: Moment, registry: &mut Registry) -> Vec<Endpoint> {
    let updates = exchange(now, &mut gateway(), registry);
    let mut lists = updates.into_iter().filter_map(|update| match update {
        Update::Endpoints(list) => Some(list),
        _ => None,
    });
    lists.next().expect("a list")
}

/// An endpoint crashes and restarts so quickly that the list never shows it gone, with the
/// same identity, address and service. Gateways must receive the change, since the new process
/// has lost the state of the old one.
#[test]
fn a_restart_under_the_same_identity_is_a_change() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    registry.set_endpoints(ms(0), 1, vec![started("a", 100), started("b", 100)]);
    exchange(ms(1), &mut member, &mut registry);
    registry.set_endpoints(ms(400), 1, vec![started("a", 350), started("b", 100)]);
    let updates = exchange(ms(501), &mut member, &mut registry);
    let change = EndpointChange {
        from: Stamp { term: 1, seq: 1 },
        changed: vec![started("a", 350)],
        gone: Vec::new(),
    };
    assert!(updates.contains(&Update::EndpointsChanged(change)));
}

/// The platform serves the list from several copies, and one of them still shows the earlier
/// start. It must not replace the newer one, nor be announced.
#[test]
fn an_earlier_start_that_is_read_late_replaces_nothing() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 1, vec![started("a", 200)]);
    let stamp = registry.revisions().endpoints;
    let mut earlier = started("a", 100);
    earlier.state = EndpointState::Draining;
    registry.set_endpoints(ms(400), 1, vec![earlier, started("b", 100)]);
    assert!(
        registry.revisions().endpoints > stamp,
        "the other endpoint is new"
    );
    let list = received_list(ms(401), &mut registry);
    assert_eq!(list, [started("a", 200), started("b", 100)]);
}

/// An endpoint's clock was ahead at its start and is right after a restart, or an entry with a
/// time far in the future came from another program. The start that the list keeps showing
/// must be accepted eventually, or the endpoint would never receive requests.
#[test]
fn an_earlier_start_that_stays_on_the_list_is_accepted() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 1, vec![started("a", 9_000_000)]);
    for now in (400..10_000).step_by(400) {
        registry.set_endpoints(ms(now), 1, vec![started("a", 100)]);
    }
    assert_eq!(
        received_list(ms(10_000), &mut registry),
        [started("a", 100)]
    );
}

/// After an identity has left the list, its former start time no longer matters.
#[test]
fn an_identity_that_left_the_list_accepts_any_start() {
    let mut registry = Registry::default();
    registry.set_endpoints(ms(0), 1, vec![started("a", 200)]);
    registry.set_endpoints(ms(400), 1, Vec::new());
    registry.set_endpoints(ms(800), 1, vec![started("a", 100)]);
    assert_eq!(received_list(ms(801), &mut registry), [started("a", 100)]);
}

/// Two entries of a list have the same identity: the earlier start of an endpoint is still
/// listed beside the new one, or another program's entry uses the identity. Which one is kept
/// must not depend on their order, and a gateway must never receive both.
#[test]
fn of_two_entries_with_one_identity_the_higher_priority_is_kept() {
    let plain = started("a", 100);
    let foreign = Endpoint {
        service: "nobody-routes-this".parse().expect("a name"),
        ..started("a", 900)
    };
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..plain.clone()
    };
    let other_address = Endpoint {
        addr: addr(9090),
        ..plain.clone()
    };
    for (better, worse) in [
        (started("a", 200), draining.clone()),
        (plain.clone(), foreign),
        (plain.clone(), endpoint("a", 0)),
        (draining, plain.clone()),
        (plain, other_address),
    ] {
        for list in [
            vec![better.clone(), worse.clone()],
            vec![worse.clone(), better.clone()],
        ] {
            let mut registry = Registry::default();
            registry.set_routes(ms(0), 5, 7, Arc::new(orders()));
            registry.set_endpoints(ms(0), 1, list.clone());
            assert_eq!(
                received_list(ms(1), &mut registry),
                std::slice::from_ref(&better)
            );
            let stamp = registry.revisions().endpoints;
            registry.set_endpoints(ms(400), 1, list);
            assert_eq!(
                registry.revisions().endpoints,
                stamp,
                "the list is unchanged"
            );
        }
    }
}

/// An entry names a service without routes, as one written by another program may. It is
/// counted separately, for the log, but kept: the next routes may define the service.
#[test]
fn endpoints_of_an_unknown_service_are_counted() {
    let mut registry = Registry::default();
    let unknown = Endpoint {
        service: "lessons".parse().expect("a name"),
        ..endpoint("b", 0)
    };
    registry.set_endpoints(ms(0), 1, vec![endpoint("a", 0), unknown.clone()]);
    assert_eq!(
        registry.unrouted_services().len(),
        0,
        "there are no routes yet"
    );
    registry.set_routes(ms(0), 5, 7, Arc::new(orders()));
    let unrouted = registry.unrouted_services();
    assert_eq!(
        unrouted.into_iter().collect::<Vec<_>>(),
        [(&unknown.service, 1)]
    );
    assert_eq!(received_list(ms(1), &mut registry).len(), 2);
}

/// A table that defines the service of [`endpoint`].
fn orders() -> Table {
    let service = Service {
        name: "orders".parse().expect("a name"),
        health_path: "/healthz".to_owned(),
        max_connections: 330,
        cold_for: ms(3000),
        cold_per_s: 6.0,
    };
    Table {
        services: vec![service],
        ..Table::default()
    }
}
