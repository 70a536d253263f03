//! Messages and transport between the system's own processes.
//!
//! Messages are one-way: each process has one nng `push` socket per destination and one
//! `pull` socket to receive. A reply is a separate message to the address in the envelope.
//! A network fault in one direction therefore affects that direction alone, and a sender
//! never waits for a receiver: messages to a destination that doesn't read are queued in a
//! bounded buffer, then dropped and counted. A connection that no longer delivers is
//! detected by missing acknowledgements and reopened ([`liveness`]). Every protocol on top
//! of this package retries the messages that need a reply.

mod codec;
pub mod liveness;
mod message;
mod transport;

pub use codec::{DecodeError, MAX_MESSAGE_LEN, decode, encode};
pub use message::{Body, Envelope, HelloInfo, Origin, cluster_id};
pub use transport::{Counters, Deliver, Outbox, Transport, TransportError};
