//! Spreading of table versions and of the directory of entries, as step functions free
//! of I/O.
//!
//! A [`source::Source`] runs on each control replica and speaks while that replica
//! leads; a [`node::Node`] runs on each entry. The entries of a failure domain report
//! to the first of them by name, which reports for all of them to the leader and hands
//! on what comes from there. `docs/design/spreading.md` gives the ways weighed.
//!
//! Invariants relied on:
//!
//! - A source is fed committed views only. Two views of one version are equal wherever
//!   they come from, so a table may be taken from anybody, a deposed leader included.
//! - Versions in force at a node only go up, and a node that has seen proof that a
//!   version exists acts on no lower one, not even after a restart.
//! - A failure domain's line in the directory has a [`Stamp`] with the leader's term;
//!   the higher stamp wins everywhere, so a deposed leader's line loses.

mod api;
mod config;
mod directory;
mod fingerprint;
mod history;
mod reports;
mod roster;

pub mod node;
pub mod source;

pub use api::{Answer, Digest, DigestKind, Leader, MemberInfo, Message, Report, Sender};
pub use api::{DomainRecord, Responder};
pub use config::{Config, ConfigBuilder, DEFAULT_SUSPEND_THRESHOLD};
pub use directory::{Directory, Stamp};
pub use fingerprint::Fingerprint;
