//! HTTP client for endpoints, and for other entries to which requests are forwarded.
//!
//! [`Client::send`] classifies a request's outcome by whether it may have run
//! ([`SendOutcome`]): `NotSent` only if provably no byte reached the other side. An answer
//! owns its connection, which returns to the pool only after the whole answer was read and
//! is closed in every other case, so that a late or misdirected answer can't reach the next
//! request.
//!
//! All of this runs on one thread and is therefore not `Send`.

mod body;
mod client;
mod headers;
mod late;
mod pool;
mod probe;
mod read;
mod resume;
mod stream;

pub use body::RequestBody;
pub use client::{Answer, AnswerCheck, Client, SendOutcome, Unsent};
pub use headers::{Hop, KeyHop, answer_headers, remove_hop_by_hop, request_headers};
pub use late::LateHeads;
pub use pool::{Connection, Reuse};
pub use probe::{Health, ProbeError, probe};
pub use read::ReadError;
pub use resume::Resume;
