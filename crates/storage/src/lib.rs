//! Synced log, snapshots and identity of a replica on disk.
//!
//! A [`Disk`] owns one data folder:
//!
//! | file | holds |
//! |---|---|
//! | `lock` | an advisory lock, so that two processes can't write one log |
//! | `identity` | the replica's identity and the cluster's name |
//! | `bootstrap` | the first snapshot, if this folder began a cluster |
//! | `snapshot-N` | the state machine after entry N |
//! | `log-G` | generation G of the log: all state after the snapshot, then what came since |
//! | `note` | what its owner wants back at once after a restart; the log does without |
//! | `synced` | how far the log was synced, written without a sync of its own |
//!
//! # Invariants
//!
//! - [`Disk::persist`] returns success only after the data is synced. After any failure
//!   the disk refuses all further work: the kernel drops pages whose write-back failed,
//!   so a second sync would report success for data that is gone.
//! - A file other than the newest log is written whole under a temporary name, synced,
//!   renamed, and its folder synced; it is there whole or not at all.
//! - Only the end of the newest log may be torn. Anything else that fails its checksum
//!   is damage, and the replica does not start.

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
