//! The log, snapshots and identity of a replica on disk.
//!
//! A [`Disk`] owns one data folder:
//!
//! | file | holds |
//! |---|---|
//! | `lock` | an advisory lock, so that two processes can't write one log |
//! | `identity` | the replica's identity and the cluster's name |
//! | `bootstrap` | the first snapshot, if this folder began a cluster |
//! | `snapshot-N` | the state machine after entry N |
//! | `log-G` | generation G of the log: the state after the snapshot, then later changes |
//! | `note` | opaque bytes that the owner needs right after a restart; not part of the log |
//! | `synced` | sequence number of the last synced log record, itself written without a sync |
//!
//! # Invariants
//!
//! - [`Disk::persist`] returns success only after the data is synced. After any failure
//!   the disk rejects all further writes: the kernel drops pages whose write-back failed,
//!   so a second sync would report success for lost data.
//! - Files are replaced atomically: written under a temporary name, synced and renamed,
//!   and the folder synced. Exceptions are appends to the newest log, `lock` and `synced`.
//! - Only the end of the newest log may be torn. Any other checksum failure is damage, and
//!   the replica does not start.

mod disk;
mod error;
mod files;
mod identity;
mod log;
mod record;
mod snapshot;

pub use disk::Disk;
pub use error::StorageError;
#[doc(hidden)]
pub use files::{FileSync, KernelSync};
