//! At-most-once execution of requests by idempotency key, and quarantine of requests that
//! crash endpoints, both as step functions free of I/O.
//!
//! A request that isn't idempotent carries a [`Key`]. The key's prefix names its home: a
//! set of keys that only one entry at a time, the home's primary, may start. Where the
//! failure domain has a second entry, that one is the backup and stores the same records.
//! [`Ledger`] is the state of one entry for all homes that it is or was primary or backup
//! of; its owner passes it [`Event`]s and carries out the [`Action`]s that it returns.
//! [`ClaimResults`] is the part that runs in the control replicas: it decides which member
//! continues when primary and backup can't reach each other.
//!
//! Invariants, checked at each step of the random runs and the exploration in `tests`:
//!
//! - A key starts at most once, even if entries crash, stop, are suspended or lose contact.
//! - A key that was refused with a code that means "not run" never starts afterwards.
//! - A replayed answer is the one that the only run of the key gave.
//!
//! They hold for three reasons. A home is created under the incarnation of its creator,
//! which no other process ever has, so there is one first primary. A start is on record at
//! every member of the home's epoch before the request may run, so every later primary has
//! that record. And an epoch ends only by an act of the member that leaves it, or by a
//! claim result, which never changes, so there is one next primary. None of this depends on
//! a clock; clocks only decide when to send a claim and when to close and drop old keys.

mod api;
mod backup;
mod claim_results;
mod config;
mod home;
mod journal;
mod key;
mod ledger;
mod log;
mod outcome;
mod primary;
pub mod quarantine;
mod receive;
mod record;
mod requests;
mod route;
mod tick;

pub use api::{
    Action, Claim, ClaimResult, Decision, Digest, Event, HomeEpoch, Member, Message, Token,
};
pub use claim_results::{ClaimResults, MAX_CLAIM_RESULTS};
pub use config::{Config, ConfigBuilder, Guards};
pub use key::{Generation, HomeId, Key, KeyPrefix, MAX_SUFFIX_LEN, ParseKeyError};
pub use ledger::Ledger;
pub use record::{KeyRecord, Op, Stage, Watermarks};
pub use route::MAX_HOPS;
