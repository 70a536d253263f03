//! A failure domain is partitioned and rejoins.

use filberthead_testing::cluster::Cluster;
use filberthead_testing::operator::{Attempt, BOUND, Operator, set_weight};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::{Revision, Version};

use crate::control::group::{Group, builder};

/// Accepted changes to wait for between two steps.
const MIN_CHANGES: usize = 20;

fn cut_off(cluster: &Cluster, failure_domain: &str) {
    let inside = cluster.names_in(failure_domain);
    let all = crate::control::group::PLACES.iter();
    let outside = all.filter(|(_, domain)| *domain != failure_domain);
    let outside: Vec<_> = outside
        .flat_map(|(_, domain)| cluster.names_in(domain))
        .collect();
    let names = |group: &[String]| -> Vec<String> { group.to_vec() };
    let (inside, outside) = (names(&inside), names(&outside));
    let inside: Vec<_> = inside.iter().map(String::as_str).collect();
    let outside: Vec<_> = outside.iter().map(String::as_str).collect();
    cluster.network.partition(&[&inside, &outside]);
}

/// A failure domain is partitioned together with the leader, its entries and an operator.
/// The isolated leader accepts no change and shows no table. The majority elects a leader
/// and goes on. When the link heals, the isolated entries receive every change that they
/// missed.
#[test]
fn isolated_leader_accepts_and_shows_nothing() {
    let mut group = Group::build(builder().entries_each(2).service("service-0", 1));
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let status = group.operator.wait_leader();
    let node = group.cluster.control(status.node.as_str());
    let (name, addr) = (node.name().to_owned(), node.addr("operator"));
    let domain = node.place().failure_domain.clone();
    wait_in_force(&group, group.outcomes.newest_version());

    cut_off(&group.cluster, &domain);
    group.wait_other_leader(&name);
    group.wait_progress(MIN_CHANGES);
    let inside = Operator::new("eva", vec![addr]);
    wait_until("the isolated replica steps down", BOUND, || {
        inside.leader().is_none()
    });
    let change = set_weight("isolated", "split", Revision(0), 1);
    for _ in 0..3 {
        let attempt = inside.attempt(addr, &change);
        group.outcomes.record(change.id, &attempt);
        let is_decided = matches!(attempt, Attempt::Accepted(_) | Attempt::Refused(_));
        assert!(!is_decided, "while isolated: {attempt:?}");
        assert_eq!(inside.table_of(addr).map(|table| table.version), None);
    }
    group.wait_progress(MIN_CHANGES);

    group.cluster.network.heal();
    wait_in_force(&group, group.outcomes.newest_version());
    group.check(writers);
    wait_in_force(&group, group.operator.table().version);
}

/// Waits until each entry has applied this version or a later one.
#[track_caller]
fn wait_in_force(group: &Group, version: Version) {
    for node in &group.cluster.entries {
        let what = format!("version {version} at {}", node.name());
        eventually(&what, BOUND, || {
            node.version_in_force()
                .filter(|in_force| *in_force >= version)
        });
    }
}

/// Links between failure domains break and heal again and again while changes go on. No
/// entry ever returns to an older version, and at the end all agree.
#[test]
fn entry_versions_never_decrease() {
    let group = Group::build(builder().entries_each(2).service("service-0", 1));
    let writers = group.writers();
    let mut newest = vec![Version(0); group.cluster.entries.len()];
    for (_, domain) in crate::control::group::PLACES {
        cut_off(&group.cluster, domain);
        for _ in 0..10 {
            group.wait_progress(3);
            check_versions(&group, &mut newest);
        }
        group.cluster.network.heal();
        for _ in 0..10 {
            group.wait_progress(3);
            check_versions(&group, &mut newest);
        }
    }
    group.check(writers);
    wait_in_force(&group, group.operator.table().version);
}

/// Fails if an entry's version is older than the one recorded in `newest`, and updates
/// that.
fn check_versions(group: &Group, newest: &mut [Version]) {
    for (node, newest) in group.cluster.entries.iter().zip(newest) {
        if let Some(version) = node.version_in_force() {
            let name = node.name();
            assert!(version >= *newest, "{name}: {newest}, then {version}");
            *newest = version;
        }
    }
}
