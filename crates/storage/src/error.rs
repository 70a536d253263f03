//! Errors of a data folder.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a data folder can't be used. Retrying the same operation doesn't help.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation of the system failed; the replica must stop.
    #[snafu(display("can't {action} {}", path.display()))]
    Io {
        /// The operation, such as "open".
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is used by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster.
    #[snafu(display("{} belongs to cluster `{found}`, not `{expected}`", path.display()))]
    OtherCluster {
        /// The folder.
        path: PathBuf,
        /// Name in the folder.
        found: String,
        /// Name in the settings.
        expected: String,
    },
    /// There is a log or snapshot, but the identity file is missing.
    #[snafu(display(
        "{} holds a log or snapshot but no identity: wipe the folder and add it as a new replica",
        path.display()
    ))]
    IdentityMissing {
        /// The folder.
        path: PathBuf,
    },
    /// Stored bytes differ from what was synced.
    #[snafu(display(
        "{} is damaged at byte {offset} ({reason}): wipe the folder and add it as a new replica",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Position of the damage, in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// The folder holds state other than that of the bootstrap.
    #[snafu(display("{} is in use: it can't begin another cluster", path.display()))]
    BootstrapConflict {
        /// The folder.
        path: PathBuf,
    },
    /// A record couldn't be encoded.
    #[snafu(display("can't encode a record"))]
    Encode {
        /// The codec's error.
        source: postcard::Error,
    },
    /// An earlier operation failed, so the disk rejects further writes.
    #[snafu(display("{} is closed after an earlier failure", path.display()))]
    Closed {
        /// The folder.
        path: PathBuf,
    },
}

/// Builds a [`StorageError::Damaged`].
pub(crate) fn damaged(path: PathBuf, offset: usize, reason: &'static str) -> StorageError {
    let offset = offset as u64;
    DamagedSnafu {
        path,
        offset,
        reason,
    }
    .build()
}
