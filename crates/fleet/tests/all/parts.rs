//! Long messages that gateways pull in parts.

use std::sync::Arc;

use filberthead_fleet::{Load, Member, Message, Part, Registry, Revision, Revisions, Update};
use filberthead_route::Table;

use crate::narrow_link::table;
use crate::support::{CONTROL, GATEWAY, addr, gateway, ms, notice};

const OTHER_REPLICA: u16 = 3;

fn registry(routes: &Arc<Table>) -> Registry {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::clone(routes));
    registry
}

/// The first part of a table, in answer to the gateway's pull.
fn first_part(member: &mut Member, registry: &mut Registry) -> Message {
    let announcement = notice(registry.revisions(), Vec::new());
    let (out, _) = member.receive(ms(0), addr(CONTROL), announcement);
    let [(_, Message::Pull(revisions))] = &out[..] else {
        panic!("a pull: {out:?}");
    };
    answer(registry, Message::Pull(*revisions))
}

fn answer(registry: &mut Registry, pull: Message) -> Message {
    let mut out = registry.receive(ms(10), addr(GATEWAY), pull, true);
    out.pop().expect("an answer").1
}

/// The pulls of parts among the messages that a gateway sends.
fn part_pulls(out: Vec<(std::net::SocketAddr, Message)>) -> Vec<Message> {
    let messages = out.into_iter().map(|(_, message)| message);
    messages
        .filter(|m| matches!(m, Message::PullPart { .. }))
        .collect()
}

/// Delivers pulls and parts until none are left; returns the updates received.
fn finish_transfer(member: &mut Member, registry: &mut Registry, out: Vec<Message>) -> Vec<Update> {
    let mut pending = out;
    let mut updates = Vec::new();
    while let Some(pull) = pending.pop() {
        let part = answer(registry, pull);
        let (out, received) = member.receive(ms(20), addr(CONTROL), part);
        pending.extend(part_pulls(out));
        updates.extend(received);
    }
    updates
}

/// Guards against a replica that dies, or a connection that is lost, in the middle of a
/// transfer: the gateway would wait for the rest forever.
#[test]
fn a_transfer_whose_sender_stops_restarts_with_another_replica() {
    let routes = table(1000);
    let (mut member, mut lost) = (gateway(), registry(&routes));
    let part = first_part(&mut member, &mut lost);
    member.receive(ms(10), addr(CONTROL), part);
    let announcement = notice(lost.revisions(), Vec::new());
    let (out, _) = member.receive(ms(20), addr(OTHER_REPLICA), announcement.clone());
    assert_eq!(out, Vec::new(), "a transfer is running");
    for at in [700, 1400, 2100] {
        member.tick(ms(at), Load::default);
    }
    let (out, _) = member.receive(ms(2200), addr(OTHER_REPLICA), announcement);
    assert!(matches!(out[..], [(to, Message::Pull(_))] if to == addr(OTHER_REPLICA)));
}

/// Guards against parts that are lost with a connection while the sender keeps running: all
/// other parts would be transferred again.
#[test]
fn only_a_lost_part_is_pulled_again() {
    let routes = table(1000);
    let (mut member, mut registry) = (gateway(), registry(&routes));
    let part = first_part(&mut member, &mut registry);
    let (lost, _) = member.receive(ms(10), addr(CONTROL), part);
    let lost = part_pulls(lost);
    assert!(!lost.is_empty());
    let again = part_pulls(member.tick(ms(700), Load::default));
    assert_eq!(again, lost);
    let updates = finish_transfer(&mut member, &mut registry, again);
    assert!(matches!(&updates[..], [Update::Routes { table, .. }] if *table == routes));
}

/// Guards against a table assembled from parts of two: routes change while an older table is
/// being transferred.
#[test]
fn parts_of_different_tables_never_mix() {
    let older = table(1000);
    let newer = table(1001);
    let (mut member, mut registry) = (gateway(), registry(&older));
    let part = first_part(&mut member, &mut registry);
    let (out, _) = member.receive(ms(10), addr(CONTROL), part);
    registry.set_routes(ms(15), 6, 8, Arc::clone(&newer));
    let pull = Message::Pull(Revisions::default());
    let foreign_part = answer(&mut registry, pull);
    let (pulls, updates) = member.receive(ms(16), addr(OTHER_REPLICA), foreign_part);
    assert_eq!((pulls, updates), (Vec::new(), Vec::new()));
    let updates = finish_transfer(&mut member, &mut registry, part_pulls(out));
    assert!(matches!(&updates[..], [Update::Routes { table, .. }] if *table == older));
}

/// Guards against damaged parts that are applied as routes.
#[test]
fn parts_that_do_not_match_their_digest_are_dropped() {
    let mut member = gateway();
    let part = |index| {
        Message::Part(Part {
            digest: 77,
            revision: Revision::Routes(9),
            index,
            count: 2,
            bytes: vec![0; 100],
        })
    };
    member.receive(ms(1), addr(CONTROL), part(0));
    let (_, updates) = member.receive(ms(2), addr(CONTROL), part(1));
    assert_eq!(updates, Vec::new());
    assert_eq!(member.revisions().routes, 0);
}

/// Guards against evacuations that take effect only after a large table has been transferred.
#[test]
fn an_evacuation_overtakes_a_table_in_transfer() {
    let routes = table(1000);
    let (mut member, mut registry) = (gateway(), registry(&routes));
    let part = first_part(&mut member, &mut registry);
    member.receive(ms(10), addr(CONTROL), part);
    let domains = ["split-a".parse().expect("a name")].into();
    registry.set_evacuated(ms(20), 6, &domains);
    let announcement = notice(registry.revisions(), Vec::new());
    let (out, _) = member.receive(ms(30), addr(CONTROL), announcement);
    let [(_, pull)] = &out[..] else {
        panic!("a pull: {out:?}");
    };
    let out = registry.receive(ms(40), addr(GATEWAY), pull.clone(), true);
    assert!(matches!(
        out[..],
        [(_, Message::Evacuated { revision: 6, .. })]
    ));
}

/// Guards against a transfer that is no longer needed, because the gateway received the table
/// from another replica, and that keeps it from pulling the next one.
#[test]
fn a_superseded_transfer_is_dropped() {
    let (older, newer) = (table(1000), table(1001));
    let mut member = gateway();
    let first = answer(&mut registry(&older), Message::Pull(Revisions::default()));
    member.receive(ms(1), addr(CONTROL), first);
    let routes = Message::Routes {
        revision: 5,
        version: 7,
        table: older,
    };
    member.receive(ms(2), addr(OTHER_REPLICA), routes);
    let mut newer_replica = registry(&newer);
    newer_replica.set_routes(ms(3), 6, 8, newer);
    let announcement = notice(newer_replica.revisions(), Vec::new());
    let (out, _) = member.receive(ms(4), addr(OTHER_REPLICA), announcement);
    assert!(matches!(out[..], [(_, Message::Pull(revisions))] if revisions.routes == 5));
}
