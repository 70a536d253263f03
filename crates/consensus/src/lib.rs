//! The replicated log as a state machine without I/O.
//!
//! [`Replica::step`] takes an [`Event`] and the current time and returns the
//! [`Action`]s to perform. It owns no socket, file or clock, so the same code runs in
//! the daemon, under a paused clock, in the exhaustive explorer and in the fuzzer.
//!
//! The protocol is Raft with pre-vote, check-quorum, a leader lease, learners and
//! membership changes by one replica at a time; `docs/design/consensus.md` gives the
//! reasons. The owner of a replica must follow three rules:
//!
//! - Perform the actions of a step in order, and finish [`Action::Apply`] before
//!   answering an [`Action::ReadReady`] that follows it.
//! - Report [`Event::Persisted`] only after the sync; if the sync fails, stop the
//!   replica for good.
//! - Never use a replica identity with more than one data folder.

mod api;
mod config;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod progress;
mod replica;
mod sync;

pub use api::{
    Action, Durable, Entry, Event, HardState, Members, Message, Payload, Persist, Proposal,
    ProposeError, Role, Snapshot, Status, Token,
};
#[doc(hidden)]
pub use config::Guards;
pub use config::{Config, ConfigBuilder};
pub use replica::Replica;
