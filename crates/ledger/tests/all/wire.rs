//! Packets and disk writes in flight in a test cluster.

use std::cmp::Ordering;
use std::hash::{DefaultHasher, Hash, Hasher};

use filberthead_ledger::{Claim, HomeId, Message, Op};
use filberthead_types::Incarnation;

use crate::cluster::Slot;

/// A packet in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Packet {
    Message {
        from: Slot,
        to: Slot,
        body: HashedMessage,
    },
    Claim {
        from: Slot,
        claim: Claim,
    },
    ClaimResult {
        to: Slot,
        claim: Claim,
        winner: Incarnation,
    },
    Request {
        to: Slot,
        key: String,
        digest: u128,
        hops: u8,
    },
}

impl Packet {
    /// The receiver, if the packet carries operations from a primary to a backup.
    pub(crate) fn append_receiver(&self) -> Option<Slot> {
        match self {
            Self::Message { to, body, .. } => match body.message() {
                Message::Append { ops, .. } if !ops.is_empty() => Some(*to),
                _ => None,
            },
            _ => None,
        }
    }
}

/// A disk write in flight. Disks complete writes in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DiskWrite {
    pub(crate) home: HomeId,
    pub(crate) number: u64,
    pub(crate) ops: Vec<Op>,
    pub(crate) rewrite: bool,
    pub(crate) retire: bool,
}

/// A message ordered by its digest, so that packets can be stored in a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct HashedMessage {
    digest: u64,
    message: WithoutOrder,
}

/// Compares as equal to any other message, so that the derived order of [`HashedMessage`]
/// depends on the digest alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WithoutOrder(Message);

impl PartialOrd for WithoutOrder {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WithoutOrder {
    fn cmp(&self, _: &Self) -> Ordering {
        Ordering::Equal
    }
}

impl HashedMessage {
    pub(crate) fn new(message: Message) -> Self {
        let mut hasher = DefaultHasher::new();
        message.hash(&mut hasher);
        Self {
            digest: hasher.finish(),
            message: WithoutOrder(message),
        }
    }

    pub(crate) fn message(&self) -> &Message {
        &self.message.0
    }
}
