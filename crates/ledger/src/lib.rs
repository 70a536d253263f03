//! At-most-once ledger, and quarantine of crashing requests, as step functions free of I/O.
//!
//! A request that isn't idempotent carries a [`Key`]. Its prefix names a home: a set of
//! keys that one entry at a time, the holder, may start. [`Ledger`] is what one entry
//! knows of homes; it is told what happens by [`Event`]s and answers with [`Action`]s.
//! [`ClaimResults`] is control's part: who goes on when holder and backup lose each other.
//!
//! Invariants, checked at each step of the random runs and the exploration in `tests`:
//!
//! - a key starts at most once, whatever entries crash, stop, sleep or lose each other;
//! - a key that was refused with a code that means "not run" never starts afterwards;
//! - a replayed answer is the one that the only run of the key gave.
//!
//! They rest on three things. Homes are founded under an incarnation that no other process
//! ever has, so there is one first holder. A start is on record at every member of a
//! home's config before it is given out, so every later holder knows it. And a config ends
//! only by an act of the member that leaves, or by a verdict that never changes, so there
//! is one next holder. No clock is part of any of them; clocks only decide when to ask for
//! a verdict and when to close and drop old keys.

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
