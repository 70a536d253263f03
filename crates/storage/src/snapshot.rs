//! Snapshot files, written atomically.

use filberthead_consensus::Snapshot;

use crate::error::{StorageError, damaged};
use crate::files::Folder;
use crate::record::{self, Decoded};

pub(crate) const PREFIX: &str = "snapshot-";
const BOOTSTRAP_FILE: &str = "bootstrap";

pub(crate) fn file_name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

/// The newest snapshot, or the default if there is none. An older one can't replace a
/// damaged newest one, as the entries between them are already removed.
pub(crate) fn read_newest(folder: &Folder) -> Result<Snapshot, StorageError> {
    match folder.file_names(PREFIX)?.pop() {
        Some(name) => Ok(read(folder, &name)?.unwrap_or_default()),
        None => Ok(Snapshot::default()),
    }
}

/// The first snapshot of the cluster, if it was bootstrapped in this folder.
pub(crate) fn read_bootstrap(folder: &Folder) -> Result<Option<Snapshot>, StorageError> {
    read(folder, BOOTSTRAP_FILE)
}

pub(crate) fn write(folder: &mut Folder, snapshot: &Snapshot) -> Result<(), StorageError> {
    let content = record::encode(snapshot.index, snapshot)?;
    folder.write_atomically(&file_name(snapshot.index), &content)?;
    Ok(())
}

pub(crate) fn write_bootstrap(
    folder: &mut Folder,
    snapshot: &Snapshot,
) -> Result<(), StorageError> {
    folder.write_atomically(BOOTSTRAP_FILE, &record::encode(snapshot.index, snapshot)?)?;
    Ok(())
}

/// Removes all snapshots older than `index`.
pub(crate) fn remove_before(folder: &Folder, index: u64) -> Result<(), StorageError> {
    let mut names = folder.file_names(PREFIX)?;
    names.retain(|name| *name < file_name(index));
    folder.remove(&names)
}

fn read(folder: &Folder, name: &str) -> Result<Option<Snapshot>, StorageError> {
    let Some(buf) = folder.read(name)? else {
        return Ok(None);
    };
    match record::decode(&buf, 0) {
        Decoded::Record { value, next, .. } if next == buf.len() => Ok(Some(value)),
        _ => Err(damaged(folder.file_path(name), 0, "no valid snapshot")),
    }
}
