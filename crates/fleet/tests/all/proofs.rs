//! When routes count as the newest, and which replicas a gateway keeps reporting to.

use std::collections::BTreeSet;
use std::sync::Arc;

use filberthead_fleet::{Load, Member, Message, Registry, Update};
use filberthead_route::Table;
use filberthead_types::Moment;

use crate::support::{
    CONTROL, GATEWAY, addr, exchange, exchange_with, gateway, gateway_from, ms, notice,
};

/// A gateway must not permanently deny to callers that a route exists while it has no proof
/// that its routes are the newest: none was received, it is too old, newer routes have been
/// announced since, or it answered an earlier process.
#[test]
fn routes_count_as_newest_only_while_proven() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    exchange_with(ms(10), &mut member, &mut registry, false);
    assert_eq!(member.revisions().routes, 5);
    assert!(!member.is_proven(ms(20)), "no replica can prove it");
    exchange(ms(600), &mut member, &mut registry);
    assert!(member.is_proven(ms(610)));
    assert!(member.is_proven(ms(2190)));
    assert!(!member.is_proven(ms(2200)), "control is silent");
    exchange(ms(3000), &mut member, &mut registry);
    assert!(member.is_proven(ms(3010)));
    assert!(!gateway().is_proven(ms(3010)), "a new process has no proof");
}

/// The answers of a replica that can prove its revisions to a gateway's reports.
fn answer(now: Moment, member: &mut Member, registry: &mut Registry) -> Vec<Message> {
    let reports = member.tick(now, Load::default);
    let answers = reports
        .into_iter()
        .flat_map(|(_, report)| registry.receive(now, addr(GATEWAY), report, true));
    answers.map(|(_, message)| message).collect()
}

/// A cut delays the leader's answer until newer routes have been accepted. The proof was valid
/// when it was requested, but not when it arrives.
#[test]
fn a_late_proof_is_ignored() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    exchange_with(ms(0), &mut member, &mut registry, false);
    let delayed = answer(ms(600), &mut member, &mut registry);
    for notice in delayed {
        member.receive(ms(2300), addr(CONTROL), notice);
    }
    assert!(!member.is_proven(ms(2300)));
}

/// Now and then an answer of the leader is lost. A connected gateway must keep denying routes
/// that don't exist, or its callers retry in vain.
#[test]
fn a_lost_answer_does_not_end_a_proof() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    exchange(ms(0), &mut member, &mut registry);
    for now in (100..20_000).step_by(100) {
        let answers = answer(ms(now), &mut member, &mut registry);
        let lost = (now / 500) % 2 == 0;
        for notice in answers.into_iter().filter(|_| !lost) {
            member.receive(ms(now + 80), addr(CONTROL), notice);
        }
        assert!(member.is_proven(ms(now + 99)), "{now} ms");
    }
}

/// The leader proves the gateway's routes, and newer ones are accepted right after. Another
/// replica announces them, but the table is lost. The gateway must count as behind from the
/// announcement on.
#[test]
fn an_announcement_of_newer_routes_ends_a_proof() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    exchange(ms(0), &mut member, &mut registry);
    assert!(member.is_proven(ms(10)));
    registry.set_routes(ms(100), 6, 8, Arc::new(Table::default()));
    member.receive(ms(110), addr(3), notice(registry.revisions(), Vec::new()));
    assert!(!member.is_proven(ms(120)));
}

/// The leader holds newer routes than the gateway. Its proof doesn't cover the gateway's routes
/// until the newer ones have arrived.
#[test]
fn a_proof_of_newer_routes_does_not_cover_older_ones() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    exchange(ms(0), &mut member, &mut registry);
    assert!(member.is_proven(ms(10)));
    registry.set_routes(ms(500), 6, 8, Arc::new(Table::default()));
    let answers = answer(ms(600), &mut member, &mut registry);
    let mut pulls = Vec::new();
    for notice in answers {
        pulls.extend(member.receive(ms(610), addr(CONTROL), notice).0);
    }
    assert!(!member.is_proven(ms(620)));
    for (_, pull) in pulls {
        for (_, routes) in registry.receive(ms(630), addr(GATEWAY), pull, false) {
            member.receive(ms(640), addr(CONTROL), routes);
        }
    }
    assert!(member.is_proven(ms(650)));
}

/// A gateway is killed, and its successor at the same address receives the answer to a report
/// of the previous process. It proves nothing about the successor's routes.
#[test]
fn a_proof_for_an_earlier_process_is_ignored() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut previous = gateway();
    let delayed = answer(ms(600), &mut previous, &mut registry);
    let mut successor = gateway_from(9000);
    exchange_with(ms(0), &mut successor, &mut registry, false);
    for notice in delayed {
        successor.receive(ms(10), addr(CONTROL), notice);
    }
    assert!(!successor.is_proven(ms(20)));
}

/// A gateway is cut off from all replicas for a minute, and the replicas in its settings have
/// been replaced since it started. It must keep reporting to those that notices listed: if it
/// removed them during the cut, it could never reach control again.
#[test]
fn a_gateway_that_is_cut_off_keeps_all_replicas() {
    let mut registry = Registry::default();
    registry.set_replicas(vec![addr(3), addr(4)]);
    let mut member = gateway();
    exchange(ms(0), &mut member, &mut registry);
    let targets = member.tick(ms(60_000), Load::default);
    let targets: BTreeSet<_> = targets.into_iter().map(|(to, _)| to).collect();
    assert!(targets.contains(&addr(3)) && targets.contains(&addr(4)));
}

/// A replica is removed from the group while the gateway receives notices from the others.
/// After a while the gateway must stop reporting to it.
#[test]
fn a_gateway_removes_replicas_that_notices_no_longer_list() {
    let mut registry = Registry::default();
    registry.set_replicas(vec![addr(CONTROL), addr(3)]);
    let mut member = gateway();
    exchange(ms(0), &mut member, &mut registry);
    registry.set_replicas(vec![addr(CONTROL)]);
    exchange(ms(20_000), &mut member, &mut registry);
    exchange(ms(40_000), &mut member, &mut registry);
    let targets = member.tick(ms(60_000), Load::default);
    assert!(targets.iter().all(|(to, _)| *to == addr(CONTROL)));
}

/// The number of gateways that the proofs of these updates carry.
fn counts(updates: &[Update]) -> Vec<Option<u32>> {
    let count = |update: &Update| match update {
        Update::Proven { gateways, .. } => Some(*gateways),
        _ => None,
    };
    updates.iter().filter_map(count).collect()
}

/// A control VM restarts as the leader. It hears of the gateways one by one, and would tell the first
/// that it is the only one.
#[test]
fn a_leader_that_has_just_started_does_not_know_the_number_of_gateways() {
    let mut registry = Registry::default();
    let mut member = gateway();
    for now in (0..7000).step_by(500) {
        let updates = exchange_with(ms(now), &mut member, &mut registry, true);
        assert_eq!(counts(&updates), [None], "{now} ms");
    }
    let updates = exchange_with(ms(7000), &mut member, &mut registry, true);
    assert_eq!(counts(&updates), [Some(1)]);
}

/// A follower hears of fewer gateways than the leader: what it proves is the leader's number.
#[test]
fn a_followers_proof_carries_the_leaders_number_of_gateways() {
    let mut registry = Registry::default();
    let mut member = gateway();
    exchange_with(ms(0), &mut member, &mut registry, false);
    let updates = exchange_with(ms(9000), &mut member, &mut registry, false);
    assert_eq!(counts(&updates), [], "no proof without the leader");
    let requests = registry.take_proof_requests();
    let updates = registry.prove(requests, Some(7)).into_iter();
    let updates = updates.flat_map(|(_, proof)| member.receive(ms(9001), addr(CONTROL), proof).1);
    let updates: Vec<_> = updates.collect();
    assert_eq!(counts(&updates), [Some(7), Some(7)]);
}
