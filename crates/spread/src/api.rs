//! Messages of the distribution protocol and their contents.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::{Epoch, FailureDomain, Incarnation, NodeName, Region, Version};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Stamp};

/// Identity, addresses and location of a running entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name, from its settings.
    pub name: NodeName,
    /// Identifies its process; random at each start.
    pub incarnation: Incarnation,
    /// Where it accepts messages from peers.
    pub peer_addr: SocketAddr,
    /// Where it accepts HTTP requests from callers and other entries.
    pub caller_addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is in a planned stop.
    pub leaving: bool,
}

/// Sender of a message, from the transport's envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub name: NodeName,
    /// Identifies its process; random at each start.
    pub incarnation: Incarnation,
    /// Where to send an answer.
    pub addr: SocketAddr,
}

/// The control replica that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Its term.
    pub term: Epoch,
    /// Where it accepts messages from other processes.
    pub addr: SocketAddr,
}

/// Heartbeat towards the leader: from a member to its relay, from a relay to the leader.
///
/// Its size doesn't depend on how many members the sender reports for, except for those
/// with another version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Version in force at the sender.
    pub version: Version,
    /// Hash of the list of members that the sender reports for, itself included.
    pub roster: Fingerprint,
    /// Hash of the sender's directory.
    pub directory: Fingerprint,
    /// Members with another version than the sender, as index in that list and version.
    pub other_versions: Vec<(u16, Version)>,
    /// That list, sorted by name. Sent in the first report to a receiver, after a change and
    /// on request; `None` otherwise.
    pub members: Option<Vec<MemberInfo>>,
}

/// Role in which a digest is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DigestKind {
    /// From the leader to relays and other replicas.
    Leader {
        /// The leader's term.
        term: Epoch,
    },
    /// From a relay to the members that report to it.
    Relay {
        /// Hash of the list of live members of the failure domain.
        roster: Fingerprint,
        /// The leader, if known.
        leader: Option<Leader>,
    },
    /// Between any two nodes, to detect which of them holds newer state.
    Peer {
        /// Whether it answers a digest. Answers aren't answered again.
        reply: bool,
    },
}

/// Summary of the sender's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Version of the table.
    pub version: Version,
    /// Hash of the view of that version.
    pub table: Fingerprint,
    /// Hash of the directory.
    pub directory: Fingerprint,
    /// Role of the sender.
    pub kind: DigestKind,
}

/// Directory record of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainRecord {
    /// Orders the records of a failure domain; the higher one is newer.
    pub stamp: Stamp,
    /// Live and leaving members, sorted by name.
    pub members: Vec<MemberInfo>,
}

/// Role of the process that answers a query.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Responder {
    /// Control leader whose lease was valid when it answered.
    Leader {
        /// Its term.
        term: Epoch,
    },
    /// Control replica that doesn't lead.
    Follower {
        /// The leader, if known.
        leader: Option<Leader>,
    },
    /// Entry.
    Entry {
        /// The entry itself.
        member: MemberInfo,
        /// Whether its version is proven to be the newest.
        proven: bool,
        /// All members of the failure domain that it knows, live or not; empty if the query
        /// came from another failure domain.
        peers: Vec<MemberInfo>,
    },
}

/// Answer to [`Message::Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// Nonce of the query.
    pub nonce: u64,
    /// Version that the sender holds.
    pub version: Version,
    /// Hash of the sender's directory.
    pub directory: Fingerprint,
    /// Role of the sender.
    pub responder: Responder,
}

/// Messages of the distribution protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat towards the leader.
    Report(Report),
    /// Requests a report that includes the list of members.
    ReportPull,
    /// Requests the live members of the failure domain.
    RosterPull,
    /// Live members of the failure domain as seen by its relay, sorted by name.
    Roster(Vec<MemberInfo>),
    /// Heartbeat from the leader, from a relay, or between peers.
    Digest(Digest),
    /// Requests the changes since a version.
    TablePull {
        /// Version that the sender holds; `None` requests the full table.
        base: Option<Version>,
    },
    /// Rows that changed.
    Delta {
        /// The rows.
        delta: ViewDelta,
        /// Hash of the resulting view.
        table: Fingerprint,
        /// Whether the receiver forwards it to its whole failure domain.
        push: bool,
    },
    /// The full table, for a node that is too far behind.
    Table {
        /// The table.
        view: Arc<View>,
        /// Its hash.
        table: Fingerprint,
    },
    /// Requests the directory records that are newer than these.
    DirectoryPull {
        /// Stamps of the records that the sender holds.
        stamps: Vec<(FailureDomain, Stamp)>,
    },
    /// Directory records.
    Directory {
        /// Highest term of a leader known to the sender.
        term: Epoch,
        /// The records.
        records: Vec<(FailureDomain, DomainRecord)>,
        /// Whether the receiver forwards it to its whole failure domain.
        push: bool,
    },
    /// A starting node requests the newest version.
    Query {
        /// Correlates the answer with this start of the node; random at each start.
        nonce: u64,
        /// The sender, so that its peers discover it at once.
        member: MemberInfo,
    },
    /// Answer to a query.
    Answer(Answer),
    /// Answer of a follower to a report.
    NotLeader {
        /// The leader, if known.
        leader: Option<Leader>,
    },
    /// The sender is stopping now.
    Bye,
}
