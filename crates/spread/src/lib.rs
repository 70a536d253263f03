//! Distribution of table versions and of the directory of entries, as step functions
//! free of I/O.
//!
//! A [`source::Source`] runs on each control replica and publishes while that replica
//! leads; a [`node::Node`] runs on each entry. The entries of a failure domain report to
//! the first of them by name, the relay. It reports to the leader for all of them and
//! forwards the leader's updates. `docs/design/spreading.md` compares the alternatives.
//!
//! Invariants:
//!
//! - A source receives committed views only. Two views of the same version are equal
//!   wherever they come from, so a table may be accepted from any process, a deposed
//!   leader included.
//! - Versions in force at a node only increase, and a node that has evidence of a version
//!   acts on no lower one, not even after a restart.
//! - A failure domain's record in the directory has a [`Stamp`] with the leader's term;
//!   the higher stamp wins everywhere, so a deposed leader's record is ignored.

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
