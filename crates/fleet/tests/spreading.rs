//! Reports, notices and what spreads with them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{
    Endpoint, EndpointChange, EndpointState, GatewayInfo, Have, Load, Member, Message, Registry,
    Stamp, Update,
};
use filberthead_route::{Service, Table};
use filberthead_types::{Incarnation, Moment};

const CONTROL: u16 = 1;
const GATEWAY: u16 = 2;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn gateway() -> Member {
    gateway_from(100)
}

/// A gateway whose life numbers its questions from here.
fn gateway_from(first_question: u64) -> Member {
    let info = GatewayInfo {
        name: "entry-1".parse().expect("a name"),
        region: "split".parse().expect("a name"),
        domain: "split-a".parse().expect("a name"),
        caller_addr: addr(80),
    };
    Member::new(info, [addr(CONTROL)], first_question)
}

fn endpoint(id: &str, cold_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        incarnation: None,
        service: "orders".parse().expect("a name"),
        addr: addr(8080),
        domain: "split-a".parse().expect("a name"),
        slots: 3,
        state: EndpointState::Ready,
        cold_left: ms(cold_ms),
    }
}

/// Carries messages between one gateway and one replica until both are silent, and
/// returns what the gateway learned.
fn settle(now: Moment, member: &mut Member, registry: &mut Registry) -> Vec<Update> {
    settle_with(now, member, registry, true)
}

/// As [`settle`], with a replica that can prove what it holds or can't.
fn settle_with(
    now: Moment,
    member: &mut Member,
    registry: &mut Registry,
    proven: bool,
) -> Vec<Update> {
    let mut to_control: Vec<Message> = member
        .tick(now, Load::default)
        .into_iter()
        .map(|(_, m)| m)
        .collect();
    let mut learned = Vec::new();
    while let Some(message) = to_control.pop() {
        for (_, answer) in registry.receive(now, addr(GATEWAY), message, proven) {
            let (out, updates) = member.receive(now, addr(CONTROL), answer);
            to_control.extend(out.into_iter().map(|(_, m)| m));
            learned.extend(updates);
        }
    }
    learned
}

#[test]
fn a_gateway_that_starts_learns_everything_within_one_report() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    registry.set_evacuated(
        ms(0),
        6,
        &BTreeSet::from(["split-a".parse().expect("a name")]),
    );
    registry.listed(ms(0), 1, vec![endpoint("a", 0)]);
    let learned = settle(ms(10), &mut member, &mut registry);
    assert!(member.is_informed(ms(10)));
    assert!(
        learned
            .iter()
            .any(|u| matches!(u, Update::Routes { version: 7, .. }))
    );
    assert!(learned.iter().any(|u| matches!(u, Update::Evacuated(_))));
    assert!(learned.iter().any(|u| matches!(u, Update::Endpoints(_))));
}

/// A deposed leader that doesn't know it yet sends the list that it has read, in which an
/// endpoint that has left meanwhile is still ready. The gateway must not go back to it.
#[test]
fn the_list_of_a_deposed_leader_loses() {
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

/// Routes that were superseded come late from a replica that is behind. Within one life
/// of the process they must never be in force again.
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
    assert_eq!(member.have().routes, 9);
}

/// While an endpoint warms up, each reading of the list shows another rest of its cold
/// time. That alone must not send the whole list to every gateway each time.
#[test]
fn the_passing_of_cold_time_is_no_news() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 1, vec![endpoint("a", 3000)]);
    let first = registry.have().endpoints;
    registry.listed(ms(400), 1, vec![endpoint("a", 2650)]);
    assert_eq!(registry.have().endpoints, first);
    // It has become cold again.
    registry.listed(ms(800), 1, vec![endpoint("a", 5000)]);
    assert!(registry.have().endpoints > first);
}

#[test]
fn a_gateway_that_falls_silent_or_stops_is_no_longer_named() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    settle(ms(0), &mut member, &mut registry);
    assert_eq!(registry.ready(ms(1)), Vec::new());
    member.set_ready(true);
    settle(ms(10), &mut member, &mut registry);
    assert_eq!(registry.ready(ms(1000)).len(), 1);
    assert_eq!(registry.ready(ms(2000)), Vec::new());
    settle(ms(2100), &mut member, &mut registry);
    assert_eq!(registry.ready(ms(2200)).len(), 1);
    member.set_ready(false);
    settle(ms(2210), &mut member, &mut registry);
    assert_eq!(registry.ready(ms(2220)), Vec::new());
}

/// Notices of several replicas name the same change at the same moment. It must be asked
/// of one of them, and of another one only if no answer comes.
#[test]
fn a_change_is_asked_once() {
    let mut member = gateway();
    let mut registry = Registry::default();
    settle(ms(0), &mut member, &mut registry);
    registry.listed(ms(1), 1, vec![endpoint("a", 0)]);
    let notice = Message::Notice {
        have: registry.have(),
        replicas: Vec::new(),
        gateways: Vec::new(),
        demand: Vec::new(),
        link_milli: None,
        proves: None,
    };
    assert_eq!(
        member.receive(ms(2), addr(CONTROL), notice.clone()).0.len(),
        1
    );
    assert_eq!(member.receive(ms(3), addr(3), notice.clone()).0.len(), 0);
    assert_eq!(member.receive(ms(400), addr(3), notice).0.len(), 1);
}

/// A gateway and a control VM start together, and that VM was down while the others
/// accepted changes. The gateway hears it first and must not serve by its routes, unless
/// nobody else can be heard.
#[test]
fn a_gateway_that_starts_serves_by_no_single_replicas_routes() {
    let mut member = gateway();
    let mut behind = Registry::default();
    behind.set_replicas(vec![addr(CONTROL), addr(3), addr(4)]);
    behind.set_routes(ms(0), 5, 1, Arc::new(Table::default()));
    behind.listed(ms(0), 1, vec![endpoint("a", 0)]);
    settle(ms(10), &mut member, &mut behind);
    assert!(!member.is_informed(ms(20)), "one of three has been heard");
    let newer = Message::Notice {
        have: filberthead_fleet::Have {
            routes: 9,
            ..behind.have()
        },
        replicas: vec![addr(CONTROL), addr(3), addr(4)],
        gateways: Vec::new(),
        demand: Vec::new(),
        link_milli: None,
        proves: None,
    };
    member.receive(ms(30), addr(3), newer);
    assert!(!member.is_informed(ms(40)), "newer routes are known of");
    let routes = Message::Routes {
        revision: 9,
        version: 2,
        table: Arc::new(Table::default()),
    };
    member.receive(ms(50), addr(3), routes);
    assert!(member.is_informed(ms(60)));
    let mut alone = gateway();
    settle(ms(10), &mut alone, &mut behind);
    assert!(alone.is_informed(ms(3000)), "nobody else is there");
}

fn list(ids: std::ops::Range<u32>) -> Vec<Endpoint> {
    ids.map(|id| endpoint(&format!("i-{id:03}"), 0)).collect()
}

/// What a replica tells somebody who holds this list.
fn told(registry: &mut Registry, endpoints: Stamp) -> Message {
    let have = Have {
        endpoints,
        ..registry.have()
    };
    let mut out = registry.receive(ms(0), addr(GATEWAY), Message::Ask(have), false);
    out.pop().expect("it lacks the newest list").1
}

/// During a release each endpoint that is replaced makes a new list of six hundred. Sent
/// whole to every gateway, lists took a tenth of a small VM's link. A gateway that was away
/// for longer than changes are kept gets the whole list.
#[test]
fn who_holds_an_older_list_is_told_what_has_changed() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 4, list(0..100));
    let first = registry.have().endpoints;
    registry.listed(ms(1), 4, list(1..101));
    registry.listed(ms(2), 4, list(2..102));
    let Message::EndpointsChanged { stamp, change } = told(&mut registry, first) else {
        panic!("the change alone");
    };
    assert_eq!(stamp, registry.have().endpoints);
    assert_eq!(change.from, first);
    assert_eq!(change.changed, list(100..102));
    assert_eq!(change.gone, ["i-000", "i-001"]);
    for step in 3..60 {
        registry.listed(ms(u64::from(step)), 4, list(step..step + 100));
    }
    assert!(matches!(
        told(&mut registry, first),
        Message::Endpoints { .. }
    ));
}

/// Two replicas that hear no leader read the list each for itself, and number what they
/// read alike though one has seen an endpoint more. A change of the one's list must never
/// be told to a gateway that holds the other's: it would lack an endpoint for good.
#[test]
fn lists_without_a_leader_are_never_told_as_changes() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 0, list(0..100));
    let first = registry.have().endpoints;
    registry.listed(ms(1), 0, list(0..101));
    assert!(matches!(
        told(&mut registry, first),
        Message::Endpoints { .. }
    ));
    registry.listed(ms(2), 1, list(0..102));
    assert!(matches!(
        told(&mut registry, first),
        Message::Endpoints { .. }
    ));
}

/// A change of a list that a gateway or replica doesn't hold must not be taken: it holds
/// nothing of what came between. A replica asks at once for what it lacks.
#[test]
fn a_change_of_another_list_is_not_taken() {
    let stamp = |seq| Stamp { term: 4, seq };
    let change = || Message::EndpointsChanged {
        stamp: stamp(9),
        change: EndpointChange {
            from: stamp(8),
            changed: list(3..4),
            gone: Vec::new(),
        },
    };
    let whole = |seq| Message::Endpoints {
        stamp: stamp(seq),
        list: list(0..2),
    };
    let (mut member, mut registry) = (gateway(), Registry::default());
    member.receive(ms(1), addr(CONTROL), whole(7));
    assert_eq!(member.receive(ms(2), addr(CONTROL), change()).1, Vec::new());
    assert_eq!(member.have().endpoints, stamp(7));
    member.receive(ms(3), addr(CONTROL), whole(8));
    assert_eq!(member.receive(ms(4), addr(CONTROL), change()).1.len(), 1);
    assert_eq!(member.have().endpoints, stamp(9));
    registry.receive(ms(1), addr(CONTROL), whole(7), false);
    let out = registry.receive(ms(2), addr(CONTROL), change(), false);
    assert!(matches!(out[..], [(_, Message::Ask(_))]));
    registry.receive(ms(3), addr(CONTROL), whole(8), false);
    registry.receive(ms(4), addr(CONTROL), change(), false);
    assert_eq!(registry.have().endpoints, stamp(9));
}

/// Two failure domains, one of them crowded. Each gateway is told the mean of its own.
#[test]
fn a_gateway_is_told_how_busy_its_neighbours_are() {
    let member = |name: &str, domain: &str| {
        let info = GatewayInfo {
            name: name.parse().expect("a name"),
            region: "split".parse().expect("a name"),
            domain: domain.parse().expect("a name"),
            caller_addr: addr(80),
        };
        let mut member = Member::new(info, [addr(CONTROL)], 100);
        member.set_ready(true);
        member
    };
    let mut registry = Registry::default();
    let mut told = |member: &mut Member, now, link_milli| {
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
    let mut near = [member("a-1", "split-a"), member("a-2", "split-a")];
    let mut far = member("b-1", "split-b");
    assert_eq!(told(&mut near[0], ms(1), 800), Some(Some(800)));
    assert_eq!(told(&mut near[1], ms(2), 200), Some(Some(500)));
    assert_eq!(told(&mut far, ms(3), 100), Some(Some(100)));
}

/// A gateway that nobody has told that its routes are the newest, or that was told so too long
/// ago, by somebody who knows of newer ones, or in answer to another life of the process, must
/// not tell callers for good that a route doesn't exist.
#[test]
fn routes_are_the_newest_only_while_that_is_proved() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle_with(ms(10), &mut member, &mut registry, false);
    assert_eq!(member.have().routes, 5);
    assert!(!member.is_proven(ms(20)), "nobody can prove it");
    settle(ms(600), &mut member, &mut registry);
    assert!(member.is_proven(ms(610)));
    assert!(member.is_proven(ms(2190)));
    assert!(!member.is_proven(ms(2200)), "control has fallen silent");
    settle(ms(3000), &mut member, &mut registry);
    assert!(member.is_proven(ms(3010)));
    assert!(!gateway().is_proven(ms(3010)), "another life knows nothing");
}

/// The reports of a gateway, and what a replica that can prove what it holds answers.
fn answer(now: Moment, member: &mut Member, registry: &mut Registry) -> Vec<Message> {
    let reports = member.tick(now, Load::default);
    let answers = reports
        .into_iter()
        .flat_map(|(_, report)| registry.receive(now, addr(GATEWAY), report, true));
    answers.map(|(_, message)| message).collect()
}

/// A cut holds the leader's answer up, and it arrives after operators have accepted newer
/// routes. It proved something when it was asked for, and nothing when it comes.
#[test]
fn a_proof_that_comes_late_proves_nothing() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle_with(ms(0), &mut member, &mut registry, false);
    let held_up = answer(ms(600), &mut member, &mut registry);
    for notice in held_up {
        member.receive(ms(2300), addr(CONTROL), notice);
    }
    assert!(!member.is_proven(ms(2300)));
}

/// Now and then an answer of the leader is lost. A gateway in touch must go on denying what
/// there isn't, or its callers come back for nothing.
#[test]
fn a_lost_answer_ends_no_proof() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle(ms(0), &mut member, &mut registry);
    for now in (100..20_000).step_by(100) {
        let answers = answer(ms(now), &mut member, &mut registry);
        let lost = (now / 500) % 2 == 0;
        for notice in answers.into_iter().filter(|_| !lost) {
            member.receive(ms(now + 80), addr(CONTROL), notice);
        }
        assert!(member.is_proven(ms(now + 99)), "{now} ms");
    }
}

/// The leader proves the gateway's routes, and right after that newer ones are accepted. The
/// gateway hears of them from somebody else, and their table is lost. It knows by then that it
/// lacks something.
#[test]
fn who_knows_of_newer_routes_holds_no_proof() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle(ms(0), &mut member, &mut registry);
    assert!(member.is_proven(ms(10)));
    registry.set_routes(ms(100), 6, 8, Arc::new(Table::default()));
    let notice = Message::Notice {
        have: registry.have(),
        replicas: Vec::new(),
        gateways: Vec::new(),
        demand: Vec::new(),
        link_milli: None,
        proves: None,
    };
    member.receive(ms(110), addr(3), notice);
    assert!(!member.is_proven(ms(120)));
}

/// The leader holds newer routes than the gateway. Its word is no proof of those that the
/// gateway has, until they have come.
#[test]
fn a_proof_of_newer_routes_proves_no_older_ones() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle(ms(0), &mut member, &mut registry);
    assert!(member.is_proven(ms(10)));
    registry.set_routes(ms(500), 6, 8, Arc::new(Table::default()));
    let answers = answer(ms(600), &mut member, &mut registry);
    let mut asks = Vec::new();
    for notice in answers {
        asks.extend(member.receive(ms(610), addr(CONTROL), notice).0);
    }
    assert!(!member.is_proven(ms(620)));
    for (_, ask) in asks {
        for (_, routes) in registry.receive(ms(630), addr(GATEWAY), ask, false) {
            member.receive(ms(640), addr(CONTROL), routes);
        }
    }
    assert!(member.is_proven(ms(650)));
}

/// A gateway is killed, and its successor at the same address gets the answer to a report of
/// the one before. It says nothing about what the new one holds.
#[test]
fn a_proof_for_an_earlier_life_proves_nothing() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut before = gateway();
    let held_up = answer(ms(600), &mut before, &mut registry);
    let mut after = gateway_from(9000);
    settle_with(ms(0), &mut after, &mut registry, false);
    for notice in held_up {
        after.receive(ms(10), addr(CONTROL), notice);
    }
    assert!(!after.is_proven(ms(20)));
}

/// A gateway is cut off from everybody for a minute, and the replicas that its settings name
/// have been replaced since it started. It must go on reporting to those that it learned of:
/// it had forgotten them by the end of the cut, and nobody could reach it ever again.
#[test]
fn a_gateway_that_is_cut_off_for_long_forgets_nobody() {
    let mut registry = Registry::default();
    registry.set_replicas(vec![addr(3), addr(4)]);
    let mut member = gateway();
    settle(ms(0), &mut member, &mut registry);
    let reached = member.tick(ms(60_000), Load::default);
    let reached: BTreeSet<_> = reached.into_iter().map(|(to, _)| to).collect();
    assert!(reached.contains(&addr(3)) && reached.contains(&addr(4)));
}

/// A replica is taken out of the group while the gateway hears the others. It is no longer
/// reported to after a while.
#[test]
fn a_gateway_forgets_replicas_that_the_others_no_longer_name() {
    let mut registry = Registry::default();
    registry.set_replicas(vec![addr(CONTROL), addr(3)]);
    let mut member = gateway();
    settle(ms(0), &mut member, &mut registry);
    registry.set_replicas(vec![addr(CONTROL)]);
    settle(ms(20_000), &mut member, &mut registry);
    settle(ms(40_000), &mut member, &mut registry);
    let reached = member.tick(ms(60_000), Load::default);
    assert!(reached.iter().all(|(to, _)| *to == addr(CONTROL)));
}

fn started(id: &str, at: u64) -> Endpoint {
    Endpoint {
        incarnation: Some(Incarnation(at)),
        ..endpoint(id, 0)
    }
}

/// What a gateway that knows nothing learns of the list.
fn listed(now: Moment, registry: &mut Registry) -> Vec<Endpoint> {
    let learned = settle(now, &mut gateway(), registry);
    let mut lists = learned.into_iter().filter_map(|update| match update {
        Update::Endpoints(list) => Some(list),
        _ => None,
    });
    lists.next().expect("a list")
}

/// An endpoint crashes and starts again so quickly that the list never shows it gone, with
/// the same identity, address and service. Gateways must hear of it, since it knows nothing
/// of what it had.
#[test]
fn a_new_start_under_the_same_identity_is_news() {
    let (mut member, mut registry) = (gateway(), Registry::default());
    registry.listed(ms(0), 1, vec![started("a", 100), started("b", 100)]);
    settle(ms(1), &mut member, &mut registry);
    registry.listed(ms(400), 1, vec![started("a", 350), started("b", 100)]);
    let learned = settle(ms(501), &mut member, &mut registry);
    let change = EndpointChange {
        from: Stamp { term: 1, seq: 1 },
        changed: vec![started("a", 350)],
        gone: Vec::new(),
    };
    assert!(learned.contains(&Update::EndpointsChanged(change)));
}

/// The list is answered from several copies, and one of them still shows the earlier start.
/// It must not take the place of the newer one, nor be announced.
#[test]
fn an_earlier_start_that_is_told_late_replaces_nothing() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 1, vec![started("a", 200)]);
    let held = registry.have().endpoints;
    let mut earlier = started("a", 100);
    earlier.state = EndpointState::Draining;
    registry.listed(ms(400), 1, vec![earlier, started("b", 100)]);
    assert!(registry.have().endpoints > held, "the other one is news");
    let list = listed(ms(401), &mut registry);
    assert_eq!(list, [started("a", 200), started("b", 100)]);
}

/// An endpoint's clock was ahead when it started, and is right when it starts again; or an
/// entry with a moment far in the future was no endpoint's. What the list goes on showing
/// must be believed in the end, or the endpoint would be lost for as long as it lives.
#[test]
fn an_earlier_start_that_stays_on_the_list_is_believed() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 1, vec![started("a", 9_000_000)]);
    for now in (400..10_000).step_by(400) {
        registry.listed(ms(now), 1, vec![started("a", 100)]);
    }
    assert_eq!(listed(ms(10_000), &mut registry), [started("a", 100)]);
}

/// A start under an identity that has left the list owes nothing to what was there before.
#[test]
fn an_identity_that_was_gone_begins_anew() {
    let mut registry = Registry::default();
    registry.listed(ms(0), 1, vec![started("a", 200)]);
    registry.listed(ms(400), 1, Vec::new());
    registry.listed(ms(800), 1, vec![started("a", 100)]);
    assert_eq!(listed(ms(801), &mut registry), [started("a", 100)]);
}

/// Two entries of a list have one identity: the earlier start of an endpoint is still on it
/// beside the new one, or somebody else's entry borrows the identity. Which one holds must
/// not depend on their order, and a gateway must never see both.
#[test]
fn of_two_entries_with_one_identity_the_better_one_holds() {
    let good = started("a", 100);
    let foreign = Endpoint {
        service: "nobody-routes-this".parse().expect("a name"),
        ..started("a", 900)
    };
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..good.clone()
    };
    let elsewhere = Endpoint {
        addr: addr(9090),
        ..good.clone()
    };
    for (better, worse) in [
        (started("a", 200), draining.clone()),
        (good.clone(), foreign),
        (good.clone(), endpoint("a", 0)),
        (draining, good.clone()),
        (good, elsewhere),
    ] {
        for list in [
            vec![better.clone(), worse.clone()],
            vec![worse.clone(), better.clone()],
        ] {
            let mut registry = Registry::default();
            registry.set_routes(ms(0), 5, 7, Arc::new(orders()));
            registry.listed(ms(0), 1, list.clone());
            assert_eq!(listed(ms(1), &mut registry), std::slice::from_ref(&better));
            let held = registry.have().endpoints;
            registry.listed(ms(400), 1, list);
            assert_eq!(registry.have().endpoints, held, "nothing is new");
        }
    }
}

/// An entry names a service that isn't known, as one that another program wrote may. It is
/// told apart, for the log, but stays: the next routes may know the service.
#[test]
fn endpoints_of_an_unknown_service_are_counted() {
    let mut registry = Registry::default();
    let stranger = Endpoint {
        service: "lessons".parse().expect("a name"),
        ..endpoint("b", 0)
    };
    registry.listed(ms(0), 1, vec![endpoint("a", 0), stranger.clone()]);
    assert_eq!(registry.unserved().len(), 0, "there are no routes yet");
    registry.set_routes(ms(0), 5, 7, Arc::new(orders()));
    let unserved = registry.unserved();
    assert_eq!(
        unserved.into_iter().collect::<Vec<_>>(),
        [(&stranger.service, 1)]
    );
    assert_eq!(listed(ms(1), &mut registry).len(), 2);
}

/// A table that knows the service of [`endpoint`].
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
