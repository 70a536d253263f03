//! Recovery after a crash at any moment.

use std::fs::{self, OpenOptions};
use std::path::Path;

use filberthead_consensus::Durable;
use filberthead_storage::{Disk, StorageError};

use crate::support::{
    CLUSTER, FailingSync, entries, file, files, history, load, members, open, snapshot, states,
    write_history,
};

/// The process crashes at each sync in turn. At the next start the folder must hold the
/// state before or after the change being written, or, if the change has a snapshot, the
/// state with the snapshot and nothing else of the change.
#[test]
fn crash_at_any_sync_applies_a_change_entirely_or_not_at_all() {
    let states = states();
    let mut completed_without_failure = false;
    for successes_left in 0..100 {
        let folder = tempfile::tempdir().expect("a folder");
        let Some(completed) = run_until_failure(folder.path(), successes_left) else {
            completed_without_failure = true;
            break;
        };
        let found = load(folder.path());
        let mut allowed: Vec<Durable> = states.iter().skip(completed).take(2).cloned().collect();
        allowed.push(state_between(&states, completed));
        assert!(
            allowed.contains(&found),
            "{successes_left} {completed} {found:?}"
        );
        // The folder accepts further changes.
        let last = found
            .entries
            .last()
            .map_or(found.snapshot.index, |e| e.index);
        let next = entries(last + 1, last + 2, 9);
        open(folder.path()).persist(&next).expect("synced");
        assert_eq!(load(folder.path()).entries.last(), next.entries.last());
    }
    assert!(completed_without_failure);
}

/// Runs the history and returns how many changes were synced before a sync failed.
fn run_until_failure(path: &Path, successes_left: usize) -> Option<usize> {
    open(path)
        .bootstrap(&members(), vec![1, 2, 3])
        .expect("bootstrapped");
    let sync = Box::new(FailingSync { successes_left });
    let mut disk = Disk::open_with(path, CLUSTER, sync).expect("opens");
    for (completed, persist) in history().iter().enumerate() {
        if disk.persist(persist).is_err() {
            let again = disk.persist(persist);
            assert!(matches!(again, Err(StorageError::Closed { .. })));
            return Some(completed);
        }
    }
    None
}

/// The state when the snapshot of a change is on disk but the rest of it isn't.
fn state_between(states: &[Durable], completed: usize) -> Durable {
    let mut state = states[completed].clone();
    if let Some(snapshot) = &history()[completed].snapshot {
        let same = |e: &_| (snapshot.index, snapshot.term) == entry_id(e);
        if state.entries.iter().any(same) {
            state.entries.retain(|e| e.index > snapshot.index);
        } else {
            state.entries.clear();
        }
        state.snapshot = snapshot.clone();
    }
    state
}

fn entry_id(entry: &filberthead_consensus::Entry) -> (u64, filberthead_types::Epoch) {
    (entry.index, entry.term)
}

/// A power loss during a write leaves any part of the last record. No reply has depended on
/// it yet, so it is truncated, and the log continues from there.
#[test]
fn torn_tail_of_any_length_is_truncated() {
    let original = tempfile::tempdir().expect("a folder");
    write_history(original.path(), 4);
    let before = load(original.path());
    let kept = fs::read(file(original.path(), "log-"))
        .expect("a log")
        .len();
    let marker = fs::read(original.path().join("synced")).expect("a marker");
    open(original.path())
        .persist(&entries(10, 12, 2))
        .expect("synced");
    let full = fs::read(file(original.path(), "log-"))
        .expect("a log")
        .len();
    for len in kept..full {
        let folder = copy_folder(original.path());
        // The write was not synced, so the `synced` file does not include it.
        fs::write(folder.path().join("synced"), &marker).expect("written");
        let log = file(folder.path(), "log-");
        let log = OpenOptions::new().write(true).open(log).expect("a log");
        log.set_len(len as u64).expect("truncated");
        assert_eq!(load(folder.path()), before);
        open(folder.path())
            .persist(&entries(10, 10, 3))
            .expect("synced");
        assert_eq!(load(folder.path()).entries.len(), before.entries.len() + 1);
    }
}

/// After a power loss a file may have its new length, but zeros in place of the data.
#[test]
fn tail_of_zeros_is_truncated() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 4);
    let before = load(folder.path());
    let log = file(folder.path(), "log-");
    let mut content = fs::read(&log).expect("a log");
    content.extend([0; 300]);
    fs::write(&log, content).expect("written");
    assert_eq!(load(folder.path()), before);
}

/// The process crashes after the snapshot is written and before the log is compacted: the
/// entries that it covers must not reappear, and later ones must stay.
#[test]
fn crash_between_snapshot_and_log_compaction() {
    let original = tempfile::tempdir().expect("a folder");
    write_history(original.path(), 3);
    let old_log = file(original.path(), "log-");
    let old = fs::read(&old_log).expect("a log");
    let mut disk = open(original.path());
    disk.persist(&snapshot(6, 1)).expect("synced");
    drop(disk);
    fs::remove_file(file(original.path(), "log-")).expect("removed");
    fs::remove_file(original.path().join("synced")).expect("removed");
    fs::write(&old_log, old).expect("written");
    let found = load(original.path());
    assert_eq!(found.snapshot.index, 6);
    let indexes: Vec<_> = found.entries.iter().map(|e| e.index).collect();
    assert_eq!(indexes, [7, 8, 9]);
}

/// Temporary files are left by a crash and removed regardless of their content.
#[test]
fn temporary_files_are_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    write_history(folder.path(), 4);
    let before = load(folder.path());
    let name = "snapshot-00000000000000000099.tmp";
    fs::write(folder.path().join(name), b"half").expect("written");
    assert_eq!(load(folder.path()), before);
    assert!(!files(folder.path()).iter().any(|f| f.ends_with(".tmp")));
}

/// Copies the files of a folder into a temporary one.
pub(crate) fn copy_folder(from: &Path) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    for name in files(from) {
        fs::copy(from.join(&name), folder.path().join(&name)).expect("copied");
    }
    folder
}
