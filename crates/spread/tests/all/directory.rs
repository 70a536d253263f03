//! Who is live and who leaves, under faults.

use std::time::Duration;

use filberthead_spread::{DomainRecord, Message, Stamp, node};
use filberthead_types::{Epoch, FailureDomain};

use crate::network::Network;

const SIX: [&str; 6] = [
    "split-1-a",
    "split-1-b",
    "zagreb-1-a",
    "zagreb-1-b",
    "zagreb-1-c",
    "zagreb-1-d",
];

fn settled() -> Network {
    let mut network = Network::new(&SIX);
    network.run(Duration::from_secs(12));
    assert!(all_list(&network, &SIX));
    network
}

fn all_list(network: &Network, names: &[&str]) -> bool {
    let mut up = network
        .entries
        .values()
        .filter(|entry| network.is_up(entry));
    up.all(|entry| entry.listed_names() == names)
}

/// Whether every entry that is up sees `name` as leaving.
fn leaving_everywhere(network: &Network, name: &str) -> bool {
    network.entries.values().all(|entry| {
        let mut entries = entry.entries.iter();
        entries.any(|member| member.name.as_str() == name && member.leaving)
    })
}

/// An entry dies. Callers must not be sent there for longer than a few seconds, and the
/// others of its failure domain must not be taken for dead with it, even if it was the
/// relay for all of them.
#[test]
fn a_dead_relay_is_removed_without_its_members() {
    let mut network = settled();
    network.kill("zagreb-1-a");
    let remaining = [
        "split-1-a",
        "split-1-b",
        "zagreb-1-b",
        "zagreb-1-c",
        "zagreb-1-d",
    ];
    let start = network.now;
    while !all_list(&network, &remaining) {
        network.tick();
        for entry in network
            .entries
            .values()
            .filter(|entry| network.is_up(entry))
        {
            let listed_names = entry.listed_names();
            assert!(
                remaining.iter().all(|name| listed_names.contains(name)),
                "{listed_names:?}"
            );
        }
        assert!(network.now - start < Duration::from_secs(15));
    }
}

/// The relay restarts at once. It has heard from nobody, and must not publish that it
/// is the only one left: all others would vanish from answers for some seconds.
#[test]
fn a_restarted_relay_removes_no_entries() {
    let mut network = settled();
    network.kill("zagreb-1-a");
    network.start("zagreb-1-a");
    let remaining = [
        "split-1-a",
        "split-1-b",
        "zagreb-1-b",
        "zagreb-1-c",
        "zagreb-1-d",
    ];
    for _ in 0..600 {
        network.tick();
        for (name, entry) in &network.entries {
            let listed_names = entry.listed_names();
            if name == "zagreb-1-a" && !listed_names.contains(&"split-1-a") {
                // It is still learning; that it doesn't publish that is checked below.
                continue;
            }
            assert!(
                remaining.iter().all(|name| listed_names.contains(name)),
                "{listed_names:?}"
            );
        }
    }
    assert!(all_list(&network, &SIX));
}

/// An entry begins a planned stop, and later ends. It has to be out of look-ups at
/// other entries at once, and gone soon after it has ended.
#[test]
fn a_leaving_entry_is_announced_within_a_second() {
    for name in ["zagreb-1-a", "zagreb-1-c", "split-1-b"] {
        let mut network = settled();
        network.step_entry(name, node::Event::Leave);
        let took = network.run_until("leaving", |net| leaving_everywhere(net, name));
        assert!(took < Duration::from_secs(1), "{name}: {took:?}");
        network.step_entry(name, node::Event::Stop);
        network.kill_keeping_packets(name);
        let remaining: Vec<_> = SIX.into_iter().filter(|other| *other != name).collect();
        let took = network.run_until("gone", |net| all_list(net, &remaining));
        assert!(took < Duration::from_secs(3), "{name}: {took:?}");
    }
}

/// The leader dies, and an entry begins a planned stop just after another replica has
/// taken over. The new leader has heard from nobody; it has to make itself known, or the
/// entry stays in look-ups until each relay has noticed by itself.
#[test]
fn an_entry_leaving_right_after_an_election_is_announced() {
    let mut network = settled();
    let old = [network.controls[0].addr];
    let others: Vec<_> = network.addresses().filter(|a| *a != old[0]).collect();
    network.cut(&old, &others);
    network.elect(1, 2);
    network.run(Duration::from_millis(100));
    network.step_entry("zagreb-1-c", node::Event::Leave);
    let took = network.run_until("leaving", |net| leaving_everywhere(net, "zagreb-1-c"));
    assert!(took < Duration::from_secs(2), "{took:?}");
}

/// A failure domain is cut off and one of its entries dies. Inside, callers must not be
/// sent to the dead one, nor be kept from those that live; outside, nobody is sent in.
#[test]
fn a_domain_that_is_cut_off_tracks_its_own_members() {
    let mut network = settled();
    network.cut_off("zagreb-1");
    network.kill("zagreb-1-b");
    network.run(Duration::from_secs(20));
    let inside = network.entry("zagreb-1-d").listed_names();
    assert!(!inside.contains(&"zagreb-1-b"), "{inside:?}");
    for live in ["zagreb-1-a", "zagreb-1-c", "zagreb-1-d"] {
        assert!(inside.contains(&live), "{inside:?}");
    }
    assert_eq!(
        network.entry("split-1-a").listed_names(),
        ["split-1-a", "split-1-b"]
    );
}

/// A leader is cut off from the entries' reports but still reaches them. A new one is
/// elected, an entry dies and is taken off. The old leader goes on publishing the list
/// with the dead entry in it; callers must not be sent there again.
#[test]
fn a_deposed_leader_does_not_restore_a_dead_entry() {
    let mut network = settled();
    depose_and_kill(&mut network);
    for _ in 0..200 {
        network.tick();
        push_old_directory(&mut network, Epoch(1));
        let remaining = without("split-1-b");
        assert!(all_list(&network, &remaining));
    }
}

/// The twin: the same with the old leader's messages under the new leader's term, which
/// is what a leader that knows no terms would send. The dead entry comes back.
#[test]
fn without_terms_a_deposed_leader_restores_a_dead_entry() {
    let mut network = settled();
    depose_and_kill(&mut network);
    push_old_directory(&mut network, Epoch(2));
    network.tick();
    assert!(!all_list(&network, &without("split-1-b")));
}

fn without(name: &str) -> Vec<&'static str> {
    SIX.into_iter().filter(|other| *other != name).collect()
}

fn depose_and_kill(network: &mut Network) {
    network.elect(1, 2);
    network.run(Duration::from_secs(8));
    network.kill("split-1-b");
    let remaining = without("split-1-b");
    network.run_until("taken off", |net| all_list(net, &remaining));
}

/// A leader is cut off from the reports of one failure domain, and a new one is elected
/// that hears everybody and so has nothing to publish. The old one still reaches the
/// entries, and publishes that the failure domain is gone. Callers must go on finding
/// the entries there.
#[test]
fn a_deposed_leader_does_not_remove_live_entries() {
    let mut network = settled();
    network.elect(1, 2);
    network.run(Duration::from_secs(3));
    for _ in 0..200 {
        network.tick();
        push_directory(&mut network, Epoch(1), "split-1", &[]);
        assert!(all_list(&network, &SIX));
    }
}

/// A line of the directory arrives late, after a newer one, from a peer. It must not
/// bring back an entry that the newer one has taken off.
#[test]
fn a_late_directory_record_does_not_replace_a_newer_one() {
    let mut network = settled();
    network.kill("split-1-b");
    let remaining = without("split-1-b");
    network.run_until("taken off", |net| all_list(net, &remaining));
    let record = record_of(&network, "split-1", Epoch(1), 0);
    let message = Message::Directory {
        term: Epoch(1),
        records: vec![record],
        push: false,
    };
    let from = network.entry("split-1-a").member.peer_addr;
    for to in network.addrs_in("zagreb-1") {
        network.deliver_ignoring_cuts(from, to, message.clone());
    }
    assert!(all_list(&network, &remaining));
}

/// The line of a failure domain with all of its entries, dead or alive.
fn record_of(
    network: &Network,
    domain: &str,
    term: Epoch,
    number: u64,
) -> (FailureDomain, DomainRecord) {
    let members = network.entries.values().map(|entry| entry.member.clone());
    let members = members.filter(|member| member.failure_domain.as_str() == domain);
    let record = DomainRecord {
        stamp: Stamp { term, number },
        members: members.collect(),
    };
    (domain.parse().expect("valid name"), record)
}

/// Sends the entries of Zagreb a line from before the death, as by a leader of `term`.
fn push_old_directory(network: &mut Network, term: Epoch) {
    let all = ["split-1-a", "split-1-b"];
    push_directory(network, term, "split-1", &all);
}

/// Sends the entries of Zagreb a line with these entries, as by a leader of `term`.
fn push_directory(network: &mut Network, term: Epoch, domain: &str, names: &[&str]) {
    let (domain, mut record) = record_of(network, domain, term, 1000);
    record
        .members
        .retain(|member| names.contains(&member.name.as_str()));
    let message = Message::Directory {
        term,
        records: vec![(domain, record)],
        push: true,
    };
    let from = network.controls[0].addr;
    for to in network.addrs_in("zagreb-1") {
        network.deliver_ignoring_cuts(from, to, message.clone());
    }
}

/// All control replicas are restarted at once and remember nobody. The entries' lists
/// must not shrink while the new leader learns of everybody anew.
#[test]
fn a_leader_without_state_removes_no_entries() {
    let mut network = settled();
    for index in 0..3 {
        network.restart_control(index);
    }
    network.elect(2, 2);
    for _ in 0..600 {
        network.tick();
        assert!(all_list(&network, &SIX));
    }
    let status = network.leader().source.status(network.now);
    assert_eq!(status.len(), SIX.len());
    assert!(
        status
            .iter()
            .all(|member| member.live && member.version.is_some())
    );
}

/// While no replica leads, a whole failure domain dies. The next leader has never heard
/// of it but for the lists of the others; it has to take it off all the same.
#[test]
fn a_domain_that_died_without_a_leader_is_removed() {
    let mut network = settled();
    for index in 0..3 {
        network.restart_control(index);
        network.controls[index].leads = None;
    }
    network.kill("split-1-a");
    network.kill("split-1-b");
    network.run(Duration::from_secs(5));
    network.elect(2, 2);
    let remaining = &SIX[2..];
    network.run_until("taken off", |net| all_list(net, remaining));
}

/// A report of a process that has been replaced comes late, out of a buffer. The list
/// must go on naming its successor.
#[test]
fn a_late_report_does_not_restore_an_earlier_process() {
    let mut network = settled();
    let old = network.entry("zagreb-1-c").member.clone();
    network.kill("zagreb-1-c");
    network.start("zagreb-1-c");
    network.run(Duration::from_secs(10));
    let new = network.entry("zagreb-1-c").member.clone();
    let report = filberthead_spread::Report {
        version: network.table.version,
        roster: filberthead_spread::Fingerprint::of(&[&old]),
        directory: filberthead_spread::Fingerprint::default(),
        other_versions: Vec::new(),
        members: Some(vec![old.clone()]),
    };
    let from = filberthead_spread::Sender {
        name: old.name.clone(),
        incarnation: old.incarnation,
        addr: old.peer_addr,
    };
    let message = Message::Report(report);
    network.step_entry("zagreb-1-a", node::Event::Received { from, message });
    let relay = network.entry("zagreb-1-a");
    assert!(relay.entries.contains(&new));
    assert!(!relay.entries.contains(&old));
}
