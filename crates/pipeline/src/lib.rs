//! Finds requests that a caller sends ahead on a connection, without I/O.
//!
//! A server parses and answers one request of a connection at a time. A [`Pipeline`] stands between
//! the socket and that server. It passes on one request at a time ([`Pipeline::pass_on`]), and finds
//! those behind it that may run meanwhile ([`Pipeline::next`]).
//!
//! The server tells when it begins with a request, how long its body is ([`Pipeline::begin`]), and
//! when its answer is complete ([`Pipeline::finish`]). So only the end of a head has to be found here,
//! and only heads without a body are parsed here.

mod head;
mod memory;
mod pipeline;

pub use memory::{Memory, MemoryShare};
pub use pipeline::{Begun, Limits, Next, Pipeline};
