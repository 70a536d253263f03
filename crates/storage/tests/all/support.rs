//! Sample changes and a sync that fails on demand.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use filberthead_consensus::{Durable, Entry, HardState, Members, Payload, Persist, Snapshot};
use filberthead_storage::{Disk, FileSync};
use filberthead_types::{Epoch, ReplicaId};

pub(crate) const CLUSTER: &str = "test";

pub(crate) fn open(path: &Path) -> Disk {
    Disk::open(path, CLUSTER).expect("opens")
}

pub(crate) fn load(path: &Path) -> Durable {
    open(path).load().expect("loads")
}

pub(crate) fn members() -> Members {
    Members {
        voters: [1, 2, 3].map(ReplicaId).into(),
        ..Members::default()
    }
}

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term: Epoch(term),
        index,
        payload: Payload::Command(vec![index as u8; 5]),
    }
}

pub(crate) fn entries(from: u64, to: u64, term: u64) -> Persist {
    Persist {
        entries: (from..=to).map(|index| entry(index, term)).collect(),
        ..Persist::default()
    }
}

pub(crate) fn hard_state(term: u64, vote: u64) -> Persist {
    Persist {
        hard_state: Some(HardState {
            term: Epoch(term),
            vote: Some(ReplicaId(vote)),
        }),
        ..Persist::default()
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> Persist {
    Persist {
        snapshot: Some(Snapshot {
            index,
            term: Epoch(term),
            members: members(),
            data: vec![7; 40],
        }),
        ..Persist::default()
    }
}

/// Changes of each kind: votes, entries, a conflicting tail and its replacement, a snapshot
/// taken locally, one from the leader, and entries after them.
pub(crate) fn history() -> Vec<Persist> {
    vec![
        hard_state(1, 1),
        entries(2, 4, 1),
        entries(5, 9, 1),
        hard_state(2, 3),
        entries(7, 8, 2),
        snapshot(6, 1),
        entries(9, 10, 2),
        snapshot(20, 2),
        Persist {
            entries: vec![entry(21, 3)],
            ..hard_state(3, 2)
        },
        entries(22, 23, 3),
    ]
}

/// Bootstraps a folder and writes the first `count` changes of [`history`].
pub(crate) fn write_history(path: &Path, count: usize) {
    let mut disk = open(path);
    disk.bootstrap(&members(), vec![1, 2, 3])
        .expect("bootstrapped");
    for persist in &history()[..count] {
        disk.persist(persist).expect("synced");
    }
}

/// The stored state after each number of changes of [`history`].
pub(crate) fn states() -> Vec<Durable> {
    let state = |count| {
        let folder = tempfile::tempdir().expect("a folder");
        write_history(folder.path(), count);
        load(folder.path())
    };
    (0..=history().len()).map(state).collect()
}

/// The only file whose name starts with `prefix`.
pub(crate) fn file(path: &Path, prefix: &str) -> PathBuf {
    let mut found = files(path);
    found.retain(|name| name.starts_with(prefix));
    assert_eq!(found.len(), 1, "{found:?}");
    path.join(&found[0])
}

pub(crate) fn files(path: &Path) -> Vec<String> {
    let names = fs::read_dir(path).expect("a folder");
    let name = |e: io::Result<fs::DirEntry>| e.expect("an entry").file_name();
    let mut names: Vec<_> = names
        .map(|e| name(e).to_string_lossy().into_owned())
        .collect();
    names.sort();
    names
}

/// A sync that fails after `successes_left` successes.
#[derive(Debug)]
pub(crate) struct FailingSync {
    pub(crate) successes_left: usize,
}

impl FileSync for FailingSync {
    fn sync(&mut self, file: &File) -> io::Result<()> {
        if self.successes_left == 0 {
            return Err(io::Error::other("the disk is gone"));
        }
        self.successes_left -= 1;
        file.sync_data()
    }
}
