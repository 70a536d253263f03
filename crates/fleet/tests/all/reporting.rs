//! Which replicas gateways report to, and how replicas relay the reports to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_fleet::{GatewayInfo, Load, Member, Message, Outbound, Registry};
use filberthead_route::Table;
use filberthead_types::Moment;

use crate::support::{addr, ms};

/// Simulated time between two steps.
const STEP_MS: u64 = 50;
/// Steps between two rosters of a replica.
const ROSTER_STEPS: u64 = 5;

/// Gateways and replicas on a network whose links can be cut, with message counts.
struct Fleet {
    now: Moment,
    members: BTreeMap<SocketAddr, Member>,
    replicas: BTreeMap<SocketAddr, Registry>,
    leader: SocketAddr,
    /// Cut links, as sender and receiver.
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
    down: BTreeSet<SocketAddr>,
    /// Number of messages that each replica received from gateways and other replicas.
    received: BTreeMap<SocketAddr, u64>,
}

fn replica_addr(number: u16) -> SocketAddr {
    addr(1000 + number)
}

fn gateway_addr(number: u16) -> SocketAddr {
    addr(5000 + number)
}

fn info(number: u16) -> GatewayInfo {
    GatewayInfo {
        name: format!("gateway-{number}").parse().expect("a name"),
        region: "split".parse().expect("a name"),
        domain: "split-a".parse().expect("a name"),
        caller_addr: gateway_addr(number),
        relay_addr: gateway_addr(1000 + number),
    }
}

impl Fleet {
    fn new(gateways: u16, replicas: u16) -> Self {
        let addrs: Vec<_> = (0..replicas).map(replica_addr).collect();
        let member = |number| {
            let seeds = addrs.iter().copied().take(3);
            (gateway_addr(number), Member::new(info(number), seeds, 100))
        };
        let mut fleet = Self {
            now: ms(0),
            members: (0..gateways).map(member).collect(),
            replicas: addrs.iter().map(|at| (*at, Registry::default())).collect(),
            leader: addrs[0],
            cut: BTreeSet::new(),
            down: BTreeSet::new(),
            received: BTreeMap::new(),
        };
        for registry in fleet.replicas.values_mut() {
            registry.set_replicas(addrs.clone());
        }
        fleet.set_routes(5, &addrs);
        fleet
    }

    fn set_routes(&mut self, revision: u64, at: &[SocketAddr]) {
        for addr in at {
            let registry = self.replicas.get_mut(addr).expect("a replica");
            let out = registry.set_routes(self.now, revision, revision, Arc::default());
            self.deliver(out.into_iter().map(|out| (*addr, out)).collect());
        }
    }

    fn reaches(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.cut.contains(&(from, to)) && !self.down.contains(&from) && !self.down.contains(&to)
    }

    fn is_proven_at(&self, replica: SocketAddr) -> bool {
        replica == self.leader
    }

    /// Delivers messages until none are left.
    fn deliver(&mut self, mut messages: Vec<(SocketAddr, Outbound)>) {
        while let Some((from, (to, message))) = messages.pop() {
            if !self.reaches(from, to) {
                continue;
            }
            let proven = self.is_proven_at(to);
            let out = if let Some(registry) = self.replicas.get_mut(&to) {
                *self.received.entry(to).or_default() += 1;
                registry.receive(self.now, from, message, proven)
            } else {
                let member = self.members.get_mut(&to).expect("a gateway");
                member.receive(self.now, from, message).0
            };
            messages.extend(out.into_iter().map(|out| (to, out)));
        }
    }

    fn step(&mut self) {
        self.now += ms(STEP_MS);
        let now = self.now;
        let mut messages = Vec::new();
        for (at, member) in &mut self.members {
            let out = member.tick(now, Load::default);
            messages.extend(out.into_iter().map(|out| (*at, out)));
        }
        self.deliver(messages);
        self.deliver_proofs();
        if (now.as_millis() as u64 / STEP_MS).is_multiple_of(ROSTER_STEPS) {
            self.deliver_rosters();
        }
    }

    /// A replica with a link to the leader in both directions can prove the leader's revisions.
    fn deliver_proofs(&mut self) {
        let leader = self.leader;
        let newest = self.replicas[&leader].revisions().routes;
        let addrs: Vec<_> = self.replicas.keys().copied().collect();
        let mut messages = Vec::new();
        for at in addrs {
            let reaches = self.reaches(at, leader) && self.reaches(leader, at);
            let registry = self.replicas.get_mut(&at).expect("a replica");
            let proof_requests = registry.take_proof_requests();
            if reaches && registry.revisions().routes == newest {
                let out = registry.prove(proof_requests, None);
                messages.extend(out.into_iter().map(|out| (at, out)));
            }
        }
        self.deliver(messages);
    }

    fn deliver_rosters(&mut self) {
        let addrs: Vec<_> = self.replicas.keys().copied().collect();
        let mut messages = Vec::new();
        for at in &addrs {
            let registry = self.replicas.get_mut(at).expect("a replica");
            let Some(roster) = registry.roster(self.now) else {
                continue;
            };
            let others = addrs.iter().filter(|to| *to != at);
            messages.extend(others.map(|to| (*at, (*to, roster.clone()))));
        }
        self.deliver(messages);
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / STEP_MS {
            self.step();
        }
    }

    fn all_proven(&self) -> bool {
        let mut up = self
            .members
            .iter()
            .filter(|(at, _)| !self.down.contains(*at));
        up.all(|(_, member)| member.is_proven(self.now))
    }

    /// Messages per second at the replica that receives most.
    fn max_messages_per_s(&mut self) -> u64 {
        self.received.clear();
        self.run(10_000);
        self.received.values().max().copied().unwrap_or(0) / 10
    }
}

/// Guards against load on control that grows with gateways times replicas, as when every
/// gateway reports to every replica twice a second.
#[test]
fn message_load_does_not_grow_with_gateways_times_replicas() {
    for (gateways, replicas) in [(11, 3), (100, 5), (300, 9), (600, 9)] {
        let mut fleet = Fleet::new(gateways, replicas);
        fleet.run(5000);
        assert!(fleet.all_proven());
        let busiest = fleet.max_messages_per_s();
        let rosters = 5 * u64::from(replicas);
        assert!(
            busiest < 2 * u64::from(gateways) + rosters,
            "{gateways}, {replicas}: {busiest}"
        );
        let received = fleet.received.values().sum::<u64>() / 10;
        // Two reports a second to two replicas, probes of others, rosters among replicas.
        let expected = 5 * u64::from(gateways) + rosters * u64::from(replicas);
        assert!(
            received <= expected,
            "{gateways}, {replicas}: {received} of {expected}"
        );
    }
}

/// Guards against gateways that only some replicas list: look-ups at the others would omit
/// them.
#[test]
fn every_replica_lists_every_gateway() {
    let mut fleet = Fleet::new(40, 9);
    for member in fleet.members.values_mut() {
        member.set_ready(true);
    }
    fleet.run(10_000);
    for (at, registry) in &fleet.replicas {
        assert_eq!(registry.ready_gateways(fleet.now).len(), 40, "{at}");
    }
    // A stopping gateway is removed from all answers within a second.
    fleet
        .members
        .get_mut(&gateway_addr(7))
        .expect("a gateway")
        .set_ready(false);
    fleet.run(1000);
    for (at, registry) in &fleet.replicas {
        assert_eq!(registry.ready_gateways(fleet.now).len(), 39, "{at}");
    }
    // Another one dies without a final report.
    fleet.down.insert(gateway_addr(8));
    fleet.run(2500);
    for (at, registry) in &fleet.replicas {
        assert_eq!(registry.ready_gateways(fleet.now).len(), 38, "{at}");
    }
}

/// Guards against gateways that lose control when the replicas that they report to fail.
#[test]
fn gateways_switch_to_other_replicas_when_some_fail() {
    for failed in [vec![1, 2], vec![1, 2, 3, 4], vec![1, 2, 3, 4, 5, 6, 7, 8]] {
        let mut fleet = Fleet::new(20, 9);
        fleet.run(5000);
        fleet
            .down
            .extend(failed.iter().map(|number| replica_addr(*number)));
        for passed in 0..40 {
            fleet.run(100);
            // One report and its proof are lost; reaching other replicas takes two more reports.
            assert!(fleet.all_proven() || passed < 16, "{failed:?} {passed}");
        }
    }
}

/// Guards against gateways that stay with a replica that responds but is cut off from the
/// leader, in both directions or one, and so miss newer routes.
#[test]
fn gateways_leave_replicas_that_lost_the_leader() {
    for both_ways in [true, false] {
        let mut fleet = Fleet::new(20, 9);
        fleet.run(5000);
        let cut: Vec<_> = (1..=4).map(replica_addr).collect();
        for at in &cut {
            fleet.cut.insert((fleet.leader, *at));
            if both_ways {
                fleet.cut.insert((*at, fleet.leader));
            }
        }
        let connected: Vec<_> = [0, 5, 6, 7, 8].map(replica_addr).to_vec();
        fleet.set_routes(6, &connected);
        fleet.run(2500);
        for (at, member) in &fleet.members {
            assert_eq!(member.revisions().routes, 6, "{at} {both_ways}");
            assert!(member.is_proven(fleet.now), "{at} {both_ways}");
        }
    }
}

/// Guards against a recovered replica that no gateway reports to any more.
#[test]
fn a_recovered_replica_is_found() {
    let mut fleet = Fleet::new(20, 9);
    fleet.run(5000);
    fleet
        .down
        .extend((0..=8).filter(|n| *n != 0).map(replica_addr));
    fleet.run(5000);
    fleet.down.clear();
    // Probing reaches each of nine within a minute.
    fleet.run(60_000);
    fleet.down.insert(replica_addr(0));
    fleet.leader = replica_addr(4);
    fleet.run(3000);
    assert!(fleet.all_proven());
}

/// Guards against a relayed report that overwrites a newer direct one.
#[test]
fn a_relayed_report_does_not_replace_a_newer_one() {
    let mut local = Registry::default();
    let mut remote = Registry::default();
    let mut member = Member::new(info(1), [replica_addr(0)], 100);
    member.set_ready(true);
    let report = |member: &mut Member, now| member.tick(now, Load::default).remove(0).1;
    let first = report(&mut member, ms(1000));
    remote.receive(ms(1000), gateway_addr(1), first, false);
    let roster = remote.roster(ms(1250)).expect("a gateway has reported");
    member.set_ready(false);
    let second = report(&mut member, ms(1300));
    local.receive(ms(1300), gateway_addr(1), second, false);
    local.receive(ms(1400), replica_addr(1), roster, false);
    assert!(local.ready_gateways(ms(1400)).is_empty());
}

/// Guards against a gateway that has left and is listed again by all replicas, because one of them stood
/// still and reads an earlier report of it.
#[test]
fn a_report_that_is_read_after_a_pause_does_not_replace_a_newer_one() {
    let mut local = Registry::default();
    let mut paused = Registry::default();
    let mut member = Member::new(info(1), [replica_addr(0)], 100);
    member.set_ready(true);
    let report = |member: &mut Member, now| member.tick(now, Load::default).remove(0).1;
    let first = report(&mut member, ms(1000));
    member.set_ready(false);
    let last = report(&mut member, ms(1500));
    local.receive(ms(1500), gateway_addr(1), last, false);
    paused.set_unread_since(Some(ms(900)));
    paused.receive(ms(9000), gateway_addr(1), first, false);
    let from_paused = paused.roster(ms(9050)).expect("a gateway has reported");
    local.receive(ms(9100), replica_addr(1), from_paused, false);
    assert!(local.ready_gateways(ms(9100)).is_empty());
    // The replica itself lists it no longer than one that has just fallen silent.
    assert!(paused.ready_gateways(ms(9000 + 1600)).is_empty());
}

/// Guards against a dead gateway that stays listed because replicas keep relaying its report.
#[test]
fn a_relayed_report_is_not_relayed_again() {
    let mut local = Registry::default();
    let mut remote = Registry::default();
    let mut member = Member::new(info(1), [replica_addr(0)], 100);
    let report = member.tick(ms(1000), Load::default).remove(0).1;
    remote.receive(ms(1000), gateway_addr(1), report, false);
    let roster = remote.roster(ms(1100)).expect("a gateway has reported");
    local.receive(ms(1200), replica_addr(1), roster, false);
    assert_eq!(local.roster(ms(1300)), None);
    assert_eq!(remote.roster(ms(1400)), None, "relayed once");
}

/// Guards against proofs that cover newer routes than the replica sending them holds.
#[test]
fn a_proof_carries_its_senders_revisions() {
    let mut registry = Registry::default();
    registry.set_routes(ms(0), 5, 7, Arc::new(Table::default()));
    let mut member = Member::new(info(1), [replica_addr(0)], 100);
    let report = member.tick(ms(0), Load::default).remove(0).1;
    for (_, message) in registry.receive(ms(1), gateway_addr(1), report, false) {
        for (_, pull) in member.receive(ms(2), replica_addr(0), message).0 {
            for (_, routes) in registry.receive(ms(3), gateway_addr(1), pull, false) {
                member.receive(ms(4), replica_addr(0), routes);
            }
        }
    }
    assert!(!member.is_proven(ms(5)));
    let proof_requests = registry.take_proof_requests();
    assert_eq!(proof_requests.len(), 1);
    for (_, proof) in registry.prove(proof_requests, None) {
        assert!(matches!(
            proof,
            Message::Proof {
                proven_report: 100,
                ..
            }
        ));
        member.receive(ms(6), replica_addr(0), proof);
    }
    assert!(member.is_proven(ms(7)));
}

/// A gateway is lost for good, and no routes or endpoints change since: nothing is announced.
#[test]
fn a_gateway_that_is_gone_is_not_counted_for_ever() {
    let mut registry = Registry::default();
    let mut gone = Member::new(info(1), [replica_addr(0)], 100);
    let mut left = Member::new(info(2), [replica_addr(0)], 200);
    let report = gone.tick(ms(0), Load::default).remove(0).1;
    registry.receive(ms(0), gateway_addr(1), report, true);
    for now in (0..40_000).step_by(500) {
        for (_, report) in left.tick(ms(now), Load::default) {
            registry.receive(ms(now), gateway_addr(2), report, true);
        }
    }
    assert_eq!(registry.counted_gateways(ms(29_000)), Some(2));
    assert_eq!(registry.counted_gateways(ms(40_000)), Some(1));
}
