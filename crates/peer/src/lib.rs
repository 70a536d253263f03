//! Messages and transport between the system's own processes.
//!
//! Messages go one way, over one nng `push` socket to each destination into one `pull`
//! socket of the receiver. A reply is a message of its own, to the address in the
//! envelope. So a cut in one direction shows as just that, and no sender ever waits for
//! a receiver: a destination that doesn't drain costs a bounded buffer, then messages
//! to it are dropped and counted. A connection that has gone silent is found out by what
//! the other side acknowledges, and made anew ([`liveness`]). Every protocol above this
//! package repeats what it needs answered.

mod codec;
pub mod liveness;
mod message;
mod transport;

pub use codec::{DecodeError, MAX_MESSAGE_LEN, decode, encode};
pub use message::{Body, Envelope, HelloInfo, Origin, cluster_id};
pub use transport::{Counters, Deliver, Outbox, Transport, TransportError};
