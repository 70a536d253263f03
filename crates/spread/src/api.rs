//! What nodes tell each other about versions and members.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::{Epoch, FailureDomain, Incarnation, NodeName, Region, Version};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Stamp};

/// A running entry as its peers and callers know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name from its settings.
    pub name: NodeName,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peer_addr: SocketAddr,
    /// Where callers and other entries reach it over HTTP.
    pub caller_addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is on a planned stop.
    pub leaving: bool,
}

/// Who sent a message, as the transport's envelope says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub name: NodeName,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Where an answer goes.
    pub addr: SocketAddr,
}

/// The control replica that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Its term.
    pub term: Epoch,
    /// Where it takes messages of other processes.
    pub addr: SocketAddr,
}

/// Heartbeat of a node to the one above it: a member to its relay, a relay to the
/// leader. Its size doesn't depend on how many members stand behind the sender, but
/// for those that lag.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Version in force at the sender.
    pub version: Version,
    /// Hash of the members that the sender reports for, itself included.
    pub roster: Fingerprint,
    /// Hash of the sender's directory.
    pub directory: Fingerprint,
    /// Members with another version than the sender: place in the roster, version.
    pub other_versions: Vec<(u16, Version)>,
    /// The members by name, in the first report to a receiver, after a change and when
    /// asked for.
    pub members: Option<Vec<MemberInfo>>,
}

/// In which part a digest is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DigestKind {
    /// By the leader, to relays and other replicas.
    Leader {
        /// The leader's term.
        term: Epoch,
    },
    /// By a relay, to the members that report to it.
    Relay {
        /// Hash of the live members of the failure domain.
        roster: Fingerprint,
        /// The leader as far as known.
        leader: Option<Leader>,
    },
    /// Between any two nodes, to find out who has something newer.
    Peer {
        /// Whether it answers a digest; such a one isn't answered again.
        reply: bool,
    },
}

/// What the sender holds, in brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Version of the table.
    pub version: Version,
    /// Hash of the view of that version.
    pub table: Fingerprint,
    /// Hash of the directory.
    pub directory: Fingerprint,
    /// The sender's part.
    pub kind: DigestKind,
}

/// A failure domain's line in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainRecord {
    /// Which of two lines is newer.
    pub stamp: Stamp,
    /// Live and leaving members, by name.
    pub members: Vec<MemberInfo>,
}

/// What a node that answers a query is.
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
        /// The leader as far as known.
        leader: Option<Leader>,
    },
    /// Entry.
    Entry {
        /// The entry itself.
        member: MemberInfo,
        /// Whether its own version is proven.
        proven: bool,
        /// To an asker of its failure domain: all members there that it knows, heard
        /// of lately or not.
        peers: Vec<MemberInfo>,
    },
}

/// Answer to [`Message::Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// From the query.
    pub nonce: u64,
    /// Version that the sender holds.
    pub version: Version,
    /// Hash of the sender's directory.
    pub directory: Fingerprint,
    /// Who says so.
    pub responder: Responder,
}

/// Messages of the spreading protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat towards the leader.
    Report(Report),
    /// Asks for a report with its members.
    ReportPull,
    /// Asks for the live members of the failure domain.
    RosterPull,
    /// Live members of the failure domain by name, as its relay knows them.
    Roster(Vec<MemberInfo>),
    /// Heartbeat away from the leader, or between peers.
    Digest(Digest),
    /// Asks for what is newer than a version.
    TablePull {
        /// Version that the sender holds; `None` asks for a whole table.
        base: Option<Version>,
    },
    /// Rows that changed.
    Delta {
        /// The rows.
        delta: ViewDelta,
        /// Hash of the view after them.
        table: Fingerprint,
        /// Whether the receiver is to hand it on to all of its failure domain.
        push: bool,
    },
    /// A whole table, for a node that is too far behind.
    Table {
        /// The table.
        view: Arc<View>,
        /// Its hash.
        table: Fingerprint,
    },
    /// Asks for the lines of the directory that are newer than these.
    DirectoryPull {
        /// Stamps that the sender holds.
        stamps: Vec<(FailureDomain, Stamp)>,
    },
    /// Lines of the directory.
    Directory {
        /// Newest term that the sender knows a leader of.
        term: Epoch,
        /// The lines.
        records: Vec<(FailureDomain, DomainRecord)>,
        /// Whether the receiver is to hand it on to all of its failure domain.
        push: bool,
    },
    /// A node that starts asks for the newest version.
    Query {
        /// Comes back in the answer; drawn anew at each start.
        nonce: u64,
        /// The sender, so that its peers know it at once.
        member: MemberInfo,
    },
    /// Answer to a query.
    Answer(Answer),
    /// Answer of a control replica that doesn't lead to a report.
    NotLeader {
        /// The leader as far as known.
        leader: Option<Leader>,
    },
    /// The sender stops now.
    Bye,
}
