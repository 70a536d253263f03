//! HTTP server for callers: look-ups and requests.
//!
//! A look-up is answered on the connection's own thread from bytes prepared when the table
//! or the set of entries last changed ([`Directory`]); it never waits for another thread. A
//! request becomes a [`Call`] and is passed through a bounded ring to the thread that sends
//! requests to endpoints, which answers through the call's own channel.
//!
//! Invariants relied on elsewhere:
//!
//! - a call that couldn't be pushed into the ring is refused at once: as not run, or, with
//!   an idempotency key, as not checked, because an earlier send with the key may have run;
//! - a call whose answer channel is dropped without an answer is answered as one that may
//!   have run, never as one that didn't;
//! - a streamed answer is complete only after [`BodyPart::End`]; if the channel closes
//!   without it, the caller's connection is closed, so that no truncated answer looks
//!   complete.

mod answer;
mod call;
mod connection;
mod directory;
mod heartbeat;
mod route;
mod server;
mod stream;

pub use answer::{Answer, AnswerBody, BodyPart, IncompleteBody, Refusal, insert_result_headers};
pub use call::{Call, Execution, ForwardedBy};
pub use directory::{CallerGroup, Directory, DirectoryBuilder, Entry};
pub use heartbeat::{Heartbeat, StartNumber};
pub use route::MAX_KEY_LEN;
pub use server::{Bounds, LookupObserver, Phase, Server};
