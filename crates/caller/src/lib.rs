//! HTTP towards callers: look-ups and requests.
//!
//! A look-up is answered on the connection's own thread from bytes that were made
//! when the table or the set of entries last changed ([`Directory`]); it never waits
//! for another thread. A request becomes a [`Call`] and goes through a bounded ring to
//! the thread that talks to endpoints, which answers through the call's own channel.
//!
//! Invariants relied on elsewhere:
//!
//! - a call that couldn't be put into the ring is refused at once: as not run, or, under
//!   an idempotency key, as not checked, for an earlier send of the key may have run;
//! - a call whose answering side vanished without a word is answered as one that may
//!   have run, never as one that didn't;
//! - a streamed answer is complete only after [`BodyPart::End`]; whatever else ends the
//!   channel breaks the caller's connection, so that no cut answer looks whole.

mod answer;
mod call;
mod connection;
mod directory;
mod heartbeat;
mod route;
mod server;

pub use answer::{Answer, AnswerBody, BodyPart, IncompleteBody, Refusal, insert_result_headers};
pub use call::{Call, Execution, ForwardedBy};
pub use directory::{CallerGroup, Directory, DirectoryBuilder, Entry};
pub use heartbeat::{Heartbeat, StartNumber};
pub use route::MAX_KEY_LEN;
pub use server::{Bounds, LookupObserver, Phase, Server};
