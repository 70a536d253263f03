//! HTTP towards endpoints, and towards other entries that requests are passed on to.
//!
//! [`Client::send`] says how a request ended in terms of what may have run
//! ([`SendOutcome`]): only what is provably untouched by the other side is `NotSent`. An
//! answer holds its connection; the connection goes back to the pool only when the
//! whole answer was read, and is closed in every other case, so that a late or
//! crossed answer can't reach the next request.
//!
//! Everything here lives on one thread and is not `Send` for that reason.

mod body;
mod client;
mod headers;
mod pool;
mod probe;
mod resume;

pub use body::RequestBody;
pub use client::{Answer, AnswerCheck, Client, SendOutcome};
pub use headers::{Hop, KeyHop, answer_headers, remove_hop_by_hop, request_headers};
pub use pool::{Connection, Reuse};
pub use probe::{Health, ProbeError, probe};
pub use resume::Resume;
