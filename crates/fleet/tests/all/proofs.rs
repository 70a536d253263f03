//! When routes count as the newest, and whom a gateway reports to.

use std::collections::BTreeSet;
use std::sync::Arc;

use filberthead_fleet::{Load, Member, Message, Registry};
use filberthead_route::Table;
use filberthead_types::Moment;

use crate::support::{
    CONTROL, GATEWAY, addr, gateway, gateway_from, ms, notice, settle, settle_with,
};

/// A gateway that nobody has told that its routes are the newest, or that was told so too long
/// ago, by somebody who knows of newer ones, or in answer to another life of the process, must
/// not tell callers for good that a route doesn't exist.
#[test]
fn routes_are_the_newest_only_while_that_is_proved() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = gateway();
    settle_with(ms(10), &mut member, &mut registry, false);
    assert_eq!(member.revisions().routes, 5);
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
    member.receive(ms(110), addr(3), notice(registry.revisions(), Vec::new()));
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
