//! The envelope and the bodies of all messages between processes.

use std::net::SocketAddr;

use filberthead_types::{ClusterId, Incarnation, NodeName, ReplicaId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Computes a cluster's identity from its name.
pub fn cluster_id(name: &str) -> ClusterId {
    ClusterId(xxh3_64(name.as_bytes()))
}

/// The sender of a message, and the address for replies.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// Node name from the sender's settings.
    pub name: NodeName,
    /// Random number drawn at the sender's start.
    pub incarnation: Incarnation,
    /// Where the sender receives messages.
    pub addr: SocketAddr,
    /// The sender's replica id; `None` unless it is a control replica.
    pub replica: Option<ReplicaId>,
}

/// A message as sent over the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub origin: Origin,
    /// How many messages the sender has received from the destination: acknowledges that
    /// the destination's own connection to the sender works.
    pub received: u64,
    /// The message of one of the protocols.
    pub body: Body,
}

/// What a control replica announces about itself to other replicas and to entries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HelloInfo {
    /// Whether the sender is the leader and holds a valid lease.
    pub leads: bool,
    /// Address of its administration API.
    pub operator_addr: SocketAddr,
    /// Where the leader receives messages, if the sender knows that another replica leads.
    pub leader: Option<SocketAddr>,
    /// Whether this is a reply to another replica's hello. A reply gets no reply itself.
    pub is_reply: bool,
}

/// The protocols that share the transport.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Replicated log.
    Consensus(filberthead_consensus::Message),
    /// A control replica announces itself (peer discovery).
    Hello(HelloInfo),
    /// Distribution of table versions and of cluster membership.
    Spread(filberthead_spread::Message),
    /// Quarantine of requests that crash endpoints.
    Quarantine(filberthead_ledger::quarantine::Message),
    /// At-most-once execution under idempotency keys.
    Ledger(filberthead_ledger::Message),
    /// Steering: leases of limits, and load reports.
    Steer(filberthead_steer::Message),
    /// Routes, evacuations and endpoints, between gateways and control.
    Fleet(filberthead_fleet::Message),
    /// Samples of an entry's counters, for the burn report.
    Samples(filberthead_observe::samples::SampleReport),
}

impl Body {
    /// Short stable name of the protocol, as a metrics label.
    pub fn protocol(&self) -> &'static str {
        match self {
            Self::Consensus(_) => "consensus",
            Self::Hello(_) => "hello",
            Self::Spread(_) => "spread",
            Self::Quarantine(_) => "quarantine",
            Self::Ledger(_) => "ledger",
            Self::Steer(_) => "steer",
            Self::Fleet(_) => "fleet",
            Self::Samples(_) => "samples",
        }
    }

    /// Metrics label: the kind of message if the protocol distinguishes several, otherwise the
    /// protocol.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Fleet(message) => message.kind(),
            other => other.protocol(),
        }
    }
}
