//! Entries that start, or resume after a suspension, after having missed changes.

use std::time::Duration;

use filberthead_spread::node::{self, Readiness};
use filberthead_spread::source;
use filberthead_spread::{Message, Responder};
use filberthead_types::Version;

use crate::network::{Network, Packet};

const TWO_EACH: [&str; 4] = ["split-1-a", "split-1-b", "zagreb-1-a", "zagreb-1-b"];
const FOUR: [&str; 4] = ["split-1-a", "zagreb-1-a", "zagreb-1-b", "zagreb-1-c"];

fn settled() -> Network {
    let mut network = Network::new(&FOUR);
    network.run(Duration::from_secs(10));
    network
}

/// Makes 300 changes while `name` is dead, then restarts it.
fn restart_after_300_changes(network: &mut Network, name: &str) {
    network.kill(name);
    for weight in 0..300 {
        network.change("zagreb", weight);
        network.run(Duration::from_millis(50));
    }
    network.start(name);
}

/// First version that an entry has acted on since its start.
fn first_version(network: &Network, name: &str) -> Option<Version> {
    network.entry(name).in_force.first().copied()
}

/// An entry is down for 300 changes. When it serves again, no request, not even the first,
/// may be routed by the weights from before.
#[test]
fn an_entry_restarted_after_300_changes_acts_on_none_of_the_old_weights() {
    let mut network = settled();
    restart_after_300_changes(&mut network, "zagreb-1-b");
    let newest = network.table.version;
    network.run_until("caught up", |net| net.all_at(newest));
    assert_eq!(first_version(&network, "zagreb-1-b"), Some(newest));
    let log = &network.entry("zagreb-1-b").readiness_log;
    assert_eq!(log, &[Readiness::Proven]);
}

/// Counterpart of the test above without the proof: the entry acts on the view it holds.
/// Shows that the check can fail.
#[test]
fn without_a_proof_a_restarted_entry_acts_on_old_weights() {
    let mut network = settled();
    network.skip_proof = true;
    restart_after_300_changes(&mut network, "zagreb-1-b");
    let newest = network.table.version;
    network.run_until("caught up", |net| net.all_at(newest));
    assert!(first_version(&network, "zagreb-1-b") < Some(newest));
}

/// As above, but control answers slowly, and an entry that was cut off with the old table
/// answers quickly. The old table must not be acted on.
#[test]
fn a_fast_answer_with_an_old_table_is_not_trusted() {
    let mut network = settled();
    network.kill("zagreb-1-b");
    let old = [network.entry("zagreb-1-a").member.peer_addr];
    let others: Vec<_> = network.addresses().filter(|a| *a != old[0]).collect();
    network.cut(&old, &others);
    network.change("zagreb", 9);
    network.run(Duration::from_secs(5));
    network.heal();
    network.cut_off("zagreb-1");
    // Only the entry with the old table answers; zagreb-1-c has the new one.
    let (old, new) = (old[0], network.entry("zagreb-1-c").member.peer_addr);
    network.filter = Some(Box::new(move |packet| {
        let ends = [packet.from, packet.to];
        !ends.contains(&new) || !ends.contains(&old)
    }));
    let restarted = network.entry("zagreb-1-b").member.peer_addr;
    network.cut(&[restarted], &[new]);
    network.start("zagreb-1-b");
    network.run(Duration::from_secs(30));
    assert_eq!(first_version(&network, "zagreb-1-b"), None);
    assert_eq!(network.entry("zagreb-1-b").readiness, Readiness::Cautious);
    network.heal();
    let newest = network.table.version;
    network.run_until("caught up", |net| net.all_at(newest));
    assert_eq!(first_version(&network, "zagreb-1-b"), Some(newest));
}

/// An entry restarts in a failure domain that is cut off. All other members answer that
/// they act on the same version, so it acts on it too.
#[test]
fn a_restart_in_a_domain_that_is_cut_off_joins_its_neighbours() {
    let mut network = settled();
    network.change("zagreb", 4);
    network.run(Duration::from_secs(3));
    network.cut_off("zagreb-1");
    network.run(Duration::from_secs(30));
    network.kill("zagreb-1-b");
    network.run(Duration::from_secs(5));
    network.start("zagreb-1-b");
    network.run_until("proven", |net| net.all_at(Version(1)));
    assert_eq!(
        network.entry("zagreb-1-b").readiness_log,
        [Readiness::Proven]
    );
}

/// As above, but a dead member may have held a newer version. The entry stays cautious and
/// keeps querying.
#[test]
fn a_silent_neighbour_keeps_a_restarted_entry_cautious() {
    let mut network = settled();
    network.cut_off("zagreb-1");
    network.run(Duration::from_secs(10));
    network.kill("zagreb-1-b");
    network.kill("zagreb-1-c");
    network.run(Duration::from_secs(10));
    network.start("zagreb-1-b");
    network.run(Duration::from_secs(60));
    assert_eq!(network.entry("zagreb-1-b").readiness, Readiness::Cautious);
    assert_eq!(first_version(&network, "zagreb-1-b"), None);
    network.start("zagreb-1-c");
    network.run(Duration::from_secs(60));
    let cautious = |name| network.entry(name).readiness == Readiness::Cautious;
    assert!(cautious("zagreb-1-b") && cautious("zagreb-1-c"));
    network.heal();
    network.run_until("proven", |net| net.all_at(Version(0)));
}

/// All entries of a failure domain restart while it is cut off. They must not prove to each
/// other that the empty table that all of them hold is the newest.
#[test]
fn restarted_entries_do_not_prove_each_other() {
    let mut network = settled();
    network.change("zagreb", 4);
    network.run(Duration::from_secs(3));
    network.cut_off("zagreb-1");
    for name in &FOUR[1..] {
        network.kill(name);
    }
    for name in &FOUR[1..] {
        network.start(name);
    }
    network.run(Duration::from_secs(60));
    for name in &FOUR[1..] {
        assert_eq!(network.entry(name).readiness, Readiness::Cautious);
        assert_eq!(first_version(&network, name), None);
    }
    network.heal();
    network.run_until("proven", |net| net.all_at(Version(1)));
}

/// An entry restarts and reaches no other process. It becomes cautious within a bounded
/// time and acts on no version.
#[test]
fn an_isolated_entry_becomes_cautious() {
    let mut network = settled();
    network.cut_off("split-1");
    network.kill("split-1-a");
    network.start("split-1-a");
    let readiness = |net: &Network| net.entry("split-1-a").readiness;
    let took = network.run_until("cautious", |net| readiness(net) == Readiness::Cautious);
    assert!(took <= Duration::from_secs(4), "{took:?}");
    assert_eq!(first_version(&network, "split-1-a"), None);
}

/// An answer to an earlier process arrives late at its successor of the same name. It may
/// be as old as that process and proves nothing.
#[test]
fn an_answer_to_an_earlier_process_proves_nothing() {
    let mut network = settled();
    let stale = capture_leader_answer(&mut network);
    network.change("zagreb", 1);
    network.run(Duration::from_secs(2));
    network.cut_off("split-1");
    network.kill("split-1-a");
    network.start("split-1-a");
    network.run(Duration::from_secs(1));
    network.deliver_ignoring_cuts(stale.from, stale.to, stale.message);
    network.run(Duration::from_secs(10));
    assert_eq!(network.entry("split-1-a").readiness, Readiness::Cautious);
    assert_eq!(first_version(&network, "split-1-a"), None);
}

/// Restarts an entry and returns the leader's answer to its query.
fn capture_leader_answer(network: &mut Network) -> Packet {
    network.kill("split-1-a");
    network.start("split-1-a");
    let is_answer = |packet: &&Packet| {
        let Message::Answer(answer) = &packet.message else {
            return false;
        };
        matches!(answer.responder, Responder::Leader { .. })
    };
    loop {
        network.tick();
        if let Some(answer) = network.queue.iter().find(is_answer) {
            return answer.clone();
        }
    }
}

/// An entry is suspended by a signal for half a minute and then resumed, with old weights
/// and without being notified.
#[test]
fn a_suspended_entry_starts_over() {
    let mut network = settled();
    network.suspended.insert("zagreb-1-b".to_owned());
    network.run(Duration::from_secs(30));
    let newest = network.change("zagreb", 8);
    network.run(Duration::from_secs(1));
    network.suspended.clear();
    network.cut_off("zagreb-1");
    network.tick();
    let entry = network.entry("zagreb-1-b");
    assert_eq!(entry.readiness, Readiness::Starting);
    assert_eq!(entry.in_force.last(), Some(&Version(0)));
    network.heal();
    network.run_until("proven", |net| net.all_at(newest));
}

/// A control replica is suspended while it leads. Another becomes the leader and accepts a
/// change. When the first one resumes, it still considers itself the leader; its answer must
/// not let an entry start with the old table.
#[test]
fn a_leader_with_an_expired_lease_proves_nothing() {
    let mut network = settled();
    network.suspended.insert("control-0".to_owned());
    network.elect(1, 2);
    let newest = network.change("zagreb", 2);
    network.run(Duration::from_secs(3));
    network.cut_off("split-1");
    network.kill("split-1-a");
    network.start("split-1-a");
    network.run(Duration::from_millis(100));
    // It resumes and processes the entry's query first, before any tick or message of
    // another replica.
    let queries = drain_queries(&mut network);
    network.suspended.clear();
    assert!(!queries.is_empty());
    for query in queries {
        let from = network.controls[0].addr;
        let event = received(&network, query);
        network.step_control(0, event);
        let answers: Vec<_> = network.queue.drain(..).filter(|p| p.from == from).collect();
        for answer in answers {
            network.deliver_ignoring_cuts(answer.from, answer.to, answer.message);
        }
    }
    assert_eq!(first_version(&network, "split-1-a"), None);
    network.heal();
    network.run_until("proven", |net| net.all_at(newest));
    assert_eq!(first_version(&network, "split-1-a"), Some(newest));
}

/// Collects the queries sent to the first control replica during 40 steps.
fn drain_queries(network: &mut Network) -> Vec<Packet> {
    let addr = network.controls[0].addr;
    let mut queries = Vec::new();
    for _ in 0..40 {
        let is_query = |p: &&Packet| p.to == addr && matches!(p.message, Message::Query { .. });
        queries.extend(network.queue.iter().filter(is_query).cloned());
        network.tick();
    }
    queries
}

fn received(network: &Network, packet: Packet) -> source::Event {
    let member = &network.entry("split-1-a").member;
    let from = filberthead_spread::Sender {
        name: member.name.clone(),
        incarnation: member.incarnation,
        addr: packet.from,
    };
    let message = packet.message;
    source::Event::Received { from, message }
}

/// The only entry of its failure domain with the newest version restarts while the domain
/// is cut off, and has persisted the number of that version. The other members prove an
/// older version to it, which it must not act on.
#[test]
fn a_persisted_watermark_is_a_lower_bound() {
    let mut network = Network::new(&FOUR);
    network.persist_watermarks();
    network.run(Duration::from_secs(10));
    let isolated = network.entry("zagreb-1-a").member.peer_addr;
    let neighbours = ["zagreb-1-b", "zagreb-1-c"].map(|n| network.entry(n).member.peer_addr);
    network.cut(&[isolated], &neighbours);
    let outside: Vec<_> = network.addresses().filter(|a| *a != isolated).collect();
    network.cut(&neighbours, &outside);
    network.change("zagreb", 2);
    network.run(Duration::from_millis(300));
    assert_eq!(network.entry("zagreb-1-a").acts_on(), Some(Version(1)));
    network.heal();
    network.cut_off("zagreb-1");
    network.kill("zagreb-1-a");
    network.start("zagreb-1-a");
    network.run(Duration::from_secs(30));
    assert_eq!(first_version(&network, "zagreb-1-a"), None);
    assert_eq!(network.entry("zagreb-1-a").readiness, Readiness::Cautious);
    network.heal();
    network.run_until("proven", |net| net.all_at(Version(1)));
}

/// Time within which the members of a failure domain must know a new one: two heartbeats, and
/// as much for the messages on the way.
const KNOWN_WITHIN: Duration = Duration::from_secs(4);

/// An entry stops as planned and restarts at once: its neighbours must not go on treating it as
/// stopped.
#[test]
fn an_entry_that_restarts_after_a_planned_stop_is_known_to_its_failure_domain() {
    for downtime_ms in (0..3_000).step_by(100) {
        let mut network = Network::new(&TWO_EACH);
        network.run(Duration::from_secs(10));
        network.step_entry("zagreb-1-a", node::Event::Leave);
        network.run(Duration::from_secs(1));
        network.step_entry("zagreb-1-a", node::Event::Stop);
        network.run(Duration::from_millis(10));
        network.kill("zagreb-1-a");
        network.run(Duration::from_millis(downtime_ms));
        network.start("zagreb-1-a");
        network.run(KNOWN_WITHIN);
        for name in ["zagreb-1-a", "zagreb-1-b"] {
            let known = network.entry(name).listed_names();
            assert_eq!(known, TWO_EACH, "{name} after {downtime_ms} ms");
        }
    }
}
