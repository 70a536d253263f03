//! Bounds in sum on what the clients of a port make a process hold: connections, and bytes of requests that
//! aren't complete.
//!
//! Where a port has no room, the client that has kept the process waiting for longest gives way: an idle
//! connection, an unfinished head or an unfinished body. Clients that send a request at once and wait for its
//! answer are the last to be affected. A request that was read whole is never given up here.

mod body;
mod clients;
mod counters;
mod serve;
mod stream;
mod vm;

pub use body::{BodyError, read_body};
pub use clients::{Admitted, Clients, HeldBody, PortBounds};
pub use counters::{ClientCounters, ClientTotals, Port, PortCounters};
pub use serve::{ServeBounds, accept, serve_connection};
pub use stream::CountedStream;
pub use vm::VmLimits;
