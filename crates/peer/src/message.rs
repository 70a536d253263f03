//! The envelope and all bodies.

use std::net::SocketAddr;

use filberthead_types::{ClusterId, Incarnation, NodeName, ReplicaId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identity of the cluster of that name.
pub fn cluster_id(name: &str) -> ClusterId {
    ClusterId(xxh3_64(name.as_bytes()))
}

/// Who sent a message, and where an answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// Name from the sender's settings.
    pub name: NodeName,
    /// Drawn at the sender's start.
    pub incarnation: Incarnation,
    /// Where the sender takes messages.
    pub addr: SocketAddr,
    /// Set by control replicas.
    pub replica: Option<ReplicaId>,
}

/// A message as it goes over the wire.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub origin: Origin,
    /// How many messages the sender has had from the receiver: what tells the receiver
    /// that its own connection to the sender carries.
    pub received: u64,
    /// What is said.
    pub body: Body,
}

/// What a control replica says about itself to other replicas and to entries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HelloInfo {
    /// Whether the sender leads with a valid lease.
    pub leads: bool,
    /// Where its administration API listens.
    pub operator_addr: SocketAddr,
    /// Where the leader takes messages, if the sender knows of another replica that leads.
    pub leader: Option<SocketAddr>,
    /// Whether it answers a greeting. It isn't answered itself then.
    pub is_reply: bool,
}

/// The protocols that share the transport.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Replicated log.
    Consensus(filberthead_consensus::Message),
    /// A control replica makes itself known.
    Hello(HelloInfo),
    /// Table versions and members.
    Spread(filberthead_spread::Message),
    /// Requests that crash endpoints.
    Quarantine(filberthead_ledger::quarantine::Message),
    /// At-most-once records.
    Ledger(filberthead_ledger::Message),
    /// Shares and readings.
    Steer(filberthead_steer::Message),
    /// Routes, evacuations and endpoints, between gateways and control.
    Fleet(filberthead_fleet::Message),
    /// What an entry counted, for the burn report.
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

    /// The kind of message where the protocol tells several apart, else the protocol.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Fleet(message) => message.kind(),
            other => other.protocol(),
        }
    }
}
