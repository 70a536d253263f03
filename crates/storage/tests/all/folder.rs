//! Identity, cluster, lock and bootstrap of a data folder.

use std::fs;

use filberthead_consensus::{Durable, HardState, Snapshot};
use filberthead_storage::{Disk, StorageError};
use filberthead_types::{Epoch, ReplicaId};

use crate::support::{
    CLUSTER, entries, entry, files, hard_state, history, load, members, open, snapshot,
    write_history,
};

#[test]
fn written_state_is_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), history().len());
    let found = load(folder.path());
    let snapshot = snapshot(20, 2).snapshot.expect("set");
    let hard_state = HardState {
        term: Epoch(3),
        vote: Some(ReplicaId(2)),
    };
    let expected = Durable {
        hard_state,
        snapshot,
        entries: vec![entry(21, 3), entry(22, 3), entry(23, 3)],
    };
    assert_eq!(found, expected);
}

#[test]
fn conflicting_tail_is_replaced() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 5);
    let terms: Vec<_> = load(folder.path())
        .entries
        .iter()
        .map(|e| (e.index, e.term.0))
        .collect();
    let expected = [(2, 1), (3, 1), (4, 1), (5, 1), (6, 1), (7, 2), (8, 2)];
    assert_eq!(terms, expected);
}

#[test]
fn snapshots_bound_the_folder_size() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = open(folder.path());
    disk.bootstrap(&members(), vec![]).expect("bootstrapped");
    let mut largest = 0;
    for round in 0..20 {
        let first = 2 + round * 50;
        disk.persist(&entries(first, first + 49, 1))
            .expect("synced");
        disk.persist(&snapshot(first + 49, 1)).expect("synced");
        let sizes = files(folder.path()).into_iter().map(|name| {
            let path = folder.path().join(name);
            path.metadata().expect("a file").len()
        });
        largest = largest.max(sizes.sum());
    }
    assert!(largest < 2000, "{largest}");
    let names = files(folder.path());
    assert_eq!(names.len(), 6, "{names:?}");
}

/// A disk is wiped and its VM returns: under its old identity, others would rely on votes
/// and entries that it no longer has.
#[test]
fn wiped_folder_gets_a_new_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("data");
    write_history(&path, 3);
    let before = open(&path).replica();
    assert_eq!(open(&path).replica(), before);
    fs::remove_dir_all(&path).expect("wiped");
    let disk = open(&path);
    assert_ne!(disk.replica(), before);
    assert_eq!(disk.load().expect("loads"), Durable::default());
}

/// Only the identity is lost: a new one would inherit the votes of the old one.
#[test]
fn log_without_identity_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 3);
    fs::remove_file(folder.path().join("identity")).expect("removed");
    let rejected = Disk::open(folder.path(), CLUSTER);
    assert!(matches!(
        rejected,
        Err(StorageError::IdentityMissing { .. })
    ));
}

#[test]
fn folder_of_another_cluster_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 1);
    let rejected = Disk::open(folder.path(), "other");
    assert!(matches!(rejected, Err(StorageError::OtherCluster { .. })));
}

/// A service manager starts the daemon while the old process still runs: two writers would
/// interleave their records.
#[test]
fn second_open_is_rejected_until_the_first_closes() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = open(folder.path());
    let rejected = Disk::open(folder.path(), CLUSTER);
    assert!(matches!(rejected, Err(StorageError::Locked { .. })));
    drop(first);
    open(folder.path());
}

#[test]
fn bootstrap_is_idempotent_and_rejects_other_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = open(folder.path());
    disk.bootstrap(&members(), vec![1]).expect("bootstrapped");
    disk.bootstrap(&members(), vec![1]).expect("the same");
    let other = disk.bootstrap(&members(), vec![2]);
    assert!(matches!(other, Err(StorageError::BootstrapConflict { .. })));
    disk.persist(&entries(2, 5, 1)).expect("synced");
    disk.persist(&snapshot(4, 1)).expect("synced");
    disk.bootstrap(&members(), vec![1]).expect("still the same");
    let first = disk.load().expect("loads").snapshot;
    assert_eq!(first.index, 4);
}

#[test]
fn bootstrap_writes_the_same_first_snapshot_everywhere() {
    let [one, two] = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    for folder in [&one, &two] {
        open(folder.path())
            .bootstrap(&members(), vec![9])
            .expect("bootstrapped");
    }
    let expected = Durable {
        snapshot: Snapshot {
            index: 1,
            term: Epoch(0),
            members: members(),
            data: vec![9],
        },
        ..Durable::default()
    };
    assert_eq!(load(one.path()), expected);
    assert_eq!(load(two.path()), expected);
}

/// A replica that has received state from a leader must not bootstrap a cluster of its own.
#[test]
fn replica_with_state_does_not_bootstrap() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = open(folder.path());
    disk.persist(&hard_state(4, 2)).expect("synced");
    let rejected = disk.bootstrap(&members(), vec![]);
    assert!(matches!(
        rejected,
        Err(StorageError::BootstrapConflict { .. })
    ));
}

#[test]
fn entries_with_a_gap_are_not_written() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 2);
    let before = load(folder.path());
    let rejected = open(folder.path()).persist(&entries(9, 9, 1));
    assert!(matches!(rejected, Err(StorageError::Damaged { .. })));
    assert_eq!(load(folder.path()), before);
}

/// The note is replaced atomically; a damaged one reads as missing.
#[test]
fn note_is_replaced_atomically() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = Disk::open(folder.path(), CLUSTER).expect("a new folder");
    assert_eq!(disk.read_note().expect("a folder"), None);
    disk.write_note(b"first").expect("a working disk");
    disk.write_note(b"second").expect("a working disk");
    drop(disk);
    let disk = Disk::open(folder.path(), CLUSTER).expect("a known folder");
    assert_eq!(
        disk.read_note().expect("a folder").as_deref(),
        Some(&b"second"[..])
    );
    drop(disk);
    std::fs::write(folder.path().join("note"), b"torn").expect("a file");
    let disk = Disk::open(folder.path(), CLUSTER).expect("a known folder");
    assert_eq!(disk.read_note().expect("a folder"), None);
}
