//! An entry that missed hundreds of changes while it was down.

use filberthead_testing::operator::{BOUND, set_weight};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::{Revision, Version};

use crate::control::group::{Group, builder};

const CHANGES: u32 = 300;
/// The entry that is restarted.
const RESTARTED: &str = "entry-osijek-a-1";

fn group() -> Group {
    let builder = builder().service("orders", 1).entries_each(2);
    let builder = builder.entry_data(true);
    let group = Group::build(builder);
    let first = group
        .operator
        .accept(&set_weight("orders", "osijek", Revision(0), 1));
    for node in &group.cluster.entries {
        eventually("the first version in force", BOUND, || {
            node.version_in_force().filter(|version| *version >= first)
        });
    }
    group
}

/// Makes [`CHANGES`] changes and returns the newest version.
fn make_changes(group: &Group) -> Version {
    let mut newest = group.operator.table().version;
    for weight in 2..CHANGES + 2 {
        let change = set_weight("orders", "osijek", Revision(newest.0), weight);
        newest = group.operator.accept(&change);
    }
    newest
}

/// An entry's process dies and restarts after it has missed 300 changes. It applies no
/// weights until it has the newest ones.
#[test]
fn restarted_entry_applies_only_the_newest_version() {
    let mut group = group();
    group.cluster.entry(RESTARTED).kill();
    let newest = make_changes(&group);
    group.cluster.entry(RESTARTED).start();
    wait_newest_in_force(&mut group, newest);
}

/// Waits until the newest version is in force at the entry, and fails if it ever applies
/// an older one.
#[track_caller]
fn wait_newest_in_force(group: &mut Group, newest: Version) {
    let none = Version(0);
    wait_until("the newest version in force", BOUND, || {
        let in_force = group.cluster.entry(RESTARTED).version_in_force();
        let version = in_force.unwrap_or(none);
        assert!(version == none || version >= newest, "applies {version}");
        version >= newest
    });
}

/// As above, but the entry reaches no control replica when it restarts: the other entry
/// of its failure domain sends it the newest version.
#[test]
fn restarted_entry_without_control_gets_the_version_from_its_neighbour() {
    let mut group = group();
    group.cluster.entry(RESTARTED).kill();
    let newest = make_changes(&group);
    let controls: Vec<_> = group.cluster.controls.iter().map(|n| n.name()).collect();
    group.cluster.network.partition(&[&controls, &[RESTARTED]]);
    group.cluster.entry(RESTARTED).start();
    wait_newest_in_force(&mut group, newest);
}
