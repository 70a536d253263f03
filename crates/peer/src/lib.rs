//! Messages and transport between the system's own processes.
//!
//! Messages are one-way: each process has one TCP connection per destination that it sends on,
//! and receives on those that its peers opened. A reply is a separate message to the address in
//! the envelope. A network fault in one direction therefore affects that direction alone, and a
//! sender never waits for a receiver: messages to a destination that doesn't read are queued in a
//! bounded queue, then dropped and counted. A connection that no longer delivers is
//! detected by missing acknowledgements and reopened ([`liveness`]). Every protocol on top
//! of this package retries the messages that need a reply.

mod codec;
mod connection;
mod counters;
mod inbound;
pub mod liveness;
mod message;
mod outbox;
mod sending;
mod transport;
mod wire;

pub use codec::{DecodeError, MAX_MESSAGE_LEN, decode, encode};
pub use counters::{ConnectionCounters, Counters};
pub use inbound::Deliver;
pub use message::{Body, Envelope, HelloInfo, Origin, cluster_id};
pub use outbox::Outbox;
pub use sending::{Outgoing, send_queued};
pub use transport::{Transport, TransportError};
