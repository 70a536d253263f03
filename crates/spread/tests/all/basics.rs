//! Behaviour without faults.

use std::time::Duration;

use crate::network::Network;
use filberthead_spread::Message;
use filberthead_types::Version;

const ELEVEN: [&str; 11] = [
    "osijek-1-a",
    "osijek-1-b",
    "osijek-2-a",
    "osijek-2-b",
    "split-1-a",
    "split-1-b",
    "split-2-a",
    "split-2-b",
    "zagreb-1-a",
    "zagreb-1-b",
    "zagreb-2-a",
];

#[test]
fn a_change_is_in_force_at_every_entry() {
    let mut network = Network::new(&ELEVEN);
    network.run_until("all proven", |net| net.all_at(Version(0)));
    let version = network.change("zagreb", 7);
    network.run_until("in force", |net| net.all_at(version));
    for entry in network.entries.values() {
        let view = entry.view.as_ref().expect("a view in force");
        assert_eq!(**view, network.table);
    }
}

#[test]
fn every_entry_lists_every_other() {
    let mut network = Network::new(&ELEVEN);
    network.run_until("all listed", |net| {
        net.entries
            .values()
            .all(|entry| entry.listed_names() == ELEVEN)
    });
    network.run(Duration::from_secs(20));
    assert!(
        network
            .entries
            .values()
            .all(|entry| entry.listed_names() == ELEVEN)
    );
}

#[test]
fn status_shows_the_version_at_every_entry() {
    let mut network = Network::new(&ELEVEN);
    network.run(Duration::from_secs(5));
    let version = network.change("split", 3);
    network.run(Duration::from_secs(5));
    let status = network.leader().source.status(network.now);
    assert_eq!(status.len(), ELEVEN.len());
    for member in status {
        assert_eq!(member.version, Some(version), "{:?}", member.member.name);
        assert!(member.live);
    }
}

#[test]
fn a_late_report_does_not_lower_the_version_in_status() {
    let mut network = Network::new(&ELEVEN);
    network.run(Duration::from_secs(5));
    let version = network.change("split", 3);
    network.run(Duration::from_secs(5));
    let relay = network.entry("zagreb-2-a").member.clone();
    let report = filberthead_spread::Report {
        version: Version(0),
        roster: filberthead_spread::Fingerprint::of(&[&relay]),
        directory: network.leader().source.directory().hash(),
        other_versions: Vec::new(),
        members: None,
    };
    let (to, message) = (network.leader().addr, Message::Report(report));
    network.deliver_ignoring_cuts(relay.peer_addr, to, message);
    let status = network.leader().source.status(network.now);
    assert!(status.iter().all(|member| member.version == Some(version)));
}
