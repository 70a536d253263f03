//! The data folder of a replica.

use std::fs::{File, TryLockError};
use std::path::Path;

use filberthead_consensus::{Durable, Members, Persist, Snapshot};
use filberthead_types::{Epoch, ReplicaId};
use snafu::ResultExt;

use crate::error::{BootstrapConflictSnafu, ClosedSnafu, IoSnafu, LockedSnafu};
use crate::error::{StorageError, damaged};
use crate::files::{FileSync, Folder, KernelSync};
use crate::log::{self, Log};
use crate::record::{self, Decoded};
use crate::{identity, snapshot};

const LOCK_FILE: &str = "lock";
const NOTE_FILE: &str = "note";

/// Index of the first snapshot of a new cluster.
const FIRST_INDEX: u64 = 1;

/// An open data folder. Its methods block on disk I/O, so it should be used from a thread
/// of its own.
#[derive(Debug)]
pub struct Disk {
    folder: Folder,
    replica: ReplicaId,
    log: Log,
    snapshot_index: u64,
    closed: bool,
    /// Holds the advisory lock while the folder is open.
    _lock: File,
}

impl Disk {
    /// Opens the data folder of a replica of `cluster`, or creates it with a new identity.
    /// Truncates a torn tail of the log, and syncs the log.
    ///
    /// # Errors
    ///
    /// Fails if another process has opened the folder, if it belongs to another cluster, if
    /// anything in it but the log's tail is damaged, or on an I/O error.
    pub fn open(folder: impl AsRef<Path>, cluster: &str) -> Result<Self, StorageError> {
        Self::open_with(folder, cluster, Box::new(KernelSync))
    }

    /// As [`Self::open`], with a given sync, so that tests can inject failures.
    #[doc(hidden)]
    pub fn open_with(
        path: impl AsRef<Path>,
        cluster: &str,
        sync: Box<dyn FileSync>,
    ) -> Result<Self, StorageError> {
        let mut folder = Folder::open(path.as_ref(), sync)?;
        let lock = acquire_lock(&folder)?;
        folder.remove_temporary()?;
        let has_state = !folder.file_names(log::PREFIX)?.is_empty()
            || !folder.file_names(snapshot::PREFIX)?.is_empty();
        let replica = identity::load_or_create(&mut folder, cluster, has_state)?;
        let newest = snapshot::read_newest(&folder)?;
        let mut log = Log::open(&mut folder)?;
        align_log_with_snapshot(&mut folder, &newest, &mut log)?;
        snapshot::remove_before(&folder, newest.index)?;
        Ok(Self {
            folder,
            replica,
            log,
            snapshot_index: newest.index,
            closed: false,
            _lock: lock,
        })
    }

    /// Opens a folder again after a failed write or sync. What is read back is rewritten to a
    /// new file and synced, since the kernel may hold pages that never reached the disk.
    ///
    /// # Errors
    ///
    /// As [`Self::open`].
    pub fn reopen(folder: impl AsRef<Path>, cluster: &str) -> Result<Self, StorageError> {
        let mut disk = Self::open(folder, cluster)?;
        disk.log.rewrite(&mut disk.folder)?;
        Ok(disk)
    }

    /// Identity of the replica, generated at random when the folder was created.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns the stored state, for [`filberthead_consensus::Replica::new`].
    ///
    /// # Errors
    ///
    /// Fails if the snapshot can't be read.
    pub fn load(&self) -> Result<Durable, StorageError> {
        Ok(Durable {
            hard_state: self.log.state.hard_state,
            snapshot: snapshot::read_newest(&self.folder)?,
            entries: self.log.state.entries.clone(),
        })
    }

    /// Bootstraps a cluster: writes the first snapshot, at index 1 and term 0. All initial
    /// replicas must use the same members and data. A second call with the same arguments
    /// does nothing.
    ///
    /// # Errors
    ///
    /// Fails if the folder holds other state, or on an I/O error.
    pub fn bootstrap(&mut self, members: &Members, data: Vec<u8>) -> Result<(), StorageError> {
        self.check_open()?;
        let first = Snapshot {
            index: FIRST_INDEX,
            term: Epoch(0),
            members: members.clone(),
            data,
        };
        let path = self.folder.path();
        match snapshot::read_bootstrap(&self.folder)? {
            Some(found) if found == first => return Ok(()),
            Some(_) => return BootstrapConflictSnafu { path }.fail(),
            None => {}
        }
        let is_new = self.log.is_empty() && self.snapshot_index == 0;
        // A crash between the two writes below leaves only the first file.
        let bootstrap_interrupted =
            self.log.is_empty() && snapshot::read_newest(&self.folder)? == first;
        if !is_new && !bootstrap_interrupted {
            return BootstrapConflictSnafu { path }.fail();
        }
        self.close_on_error(|disk| {
            snapshot::write(&mut disk.folder, &first)?;
            snapshot::write_bootstrap(&mut disk.folder, &first)?;
            disk.log.state.base = first.index;
            disk.snapshot_index = first.index;
            Ok(())
        })
    }

    /// Writes the changes of a [`Persist`], and returns once they are synced.
    ///
    /// # Errors
    ///
    /// After any failure the disk is closed: the changes may or may not be durable, and a
    /// second sync can't tell. The replica must stop and start again from the folder.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), StorageError> {
        self.check_open()?;
        self.close_on_error(|disk| match &persist.snapshot {
            None => disk.log.append(&mut disk.folder, persist),
            Some(new_snapshot) => disk.persist_snapshot(new_snapshot, persist),
        })
    }

    /// Atomically replaces the file `note`, opaque bytes of the owner. The log doesn't depend
    /// on it.
    ///
    /// # Errors
    ///
    /// As [`Self::persist`].
    pub fn write_note(&mut self, note: &[u8]) -> Result<(), StorageError> {
        self.check_open()?;
        let buf = record::encode(0, &note)?;
        self.close_on_error(|disk| disk.folder.write_atomically(NOTE_FILE, &buf).map(drop))
    }

    /// Returns the content of the file `note`, or `None` if it is missing or damaged.
    ///
    /// # Errors
    ///
    /// Fails on an I/O error.
    pub fn read_note(&self) -> Result<Option<Vec<u8>>, StorageError> {
        let buf = self.folder.read(NOTE_FILE)?.unwrap_or_default();
        Ok(match record::decode::<Vec<u8>>(&buf, 0) {
            Decoded::Record { value, .. } => Some(value),
            _ => None,
        })
    }

    fn persist_snapshot(
        &mut self,
        new_snapshot: &Snapshot,
        persist: &Persist,
    ) -> Result<(), StorageError> {
        snapshot::write(&mut self.folder, new_snapshot)?;
        self.snapshot_index = new_snapshot.index;
        self.log
            .start_generation(&mut self.folder, new_snapshot, persist)?;
        snapshot::remove_before(&self.folder, new_snapshot.index)
    }

    fn check_open(&self) -> Result<(), StorageError> {
        if self.closed {
            let path = self.folder.path();
            return ClosedSnafu { path }.fail();
        }
        Ok(())
    }

    /// Runs `operation`, and closes the disk for good if it fails.
    fn close_on_error(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        let result = operation(self);
        self.closed = result.is_err();
        result
    }
}

fn acquire_lock(folder: &Folder) -> Result<File, StorageError> {
    let lock = folder.open_in_place(LOCK_FILE)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => LockedSnafu {
            path: folder.path(),
        }
        .fail(),
        Err(TryLockError::Error(e)) => Err(e).context(IoSnafu {
            action: "lock",
            path: folder.file_path(LOCK_FILE),
        }),
    }
}

/// Starts the log's next generation if a crash prevented that after the newest snapshot
/// was written.
fn align_log_with_snapshot(
    folder: &mut Folder,
    newest: &Snapshot,
    log: &mut Log,
) -> Result<(), StorageError> {
    let base = log.state.base;
    if log.is_empty() {
        log.state.base = newest.index;
        return Ok(());
    }
    if newest.index < base {
        let path = folder.file_path(&snapshot::file_name(base));
        return Err(damaged(
            path,
            0,
            "the snapshot that the log builds on is missing",
        ));
    }
    if newest.index > base {
        return log.start_generation(folder, newest, &Persist::default());
    }
    Ok(())
}
