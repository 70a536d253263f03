//! Events, actions, messages and state that a replica exchanges with its owner.

use std::collections::BTreeSet;

use filberthead_types::{Epoch, ReplicaId};
use serde::{Deserialize, Serialize};

/// Correlates a proposal or read with its result; chosen by the owner of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The membership of a cluster: its voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards a majority.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but don't vote yet.
    pub learners: BTreeSet<ReplicaId>,
}

impl Members {
    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All replicas that receive the log: voters and learners.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.union(&self.learners).copied()
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term; committing it commits the entries of earlier
    /// terms.
    Noop,
    /// A command for the state machine, opaque here.
    Command(Vec<u8>),
    /// New membership; in effect as soon as it is in the log, committed or not.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: Epoch,
    /// Position in the log, from 1.
    pub index: u64,
    /// Content.
    pub payload: Payload,
}

/// Term and vote, which must be synced before a reply that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that this replica has entered.
    pub term: Epoch,
    /// Candidate that this replica voted for in that term, if any.
    pub vote: Option<ReplicaId>,
}

/// State of the state machine after `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry included.
    pub index: u64,
    /// Its term.
    pub term: Epoch,
    /// Membership in effect at `index`.
    pub members: Members,
    /// The state machine, opaque here.
    pub data: Vec<u8>,
}

/// The stored state that a replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Durable {
    /// Last synced term and vote.
    pub hard_state: HardState,
    /// Newest snapshot; default (index 0) if none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Messages between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted, without raising any replica's term.
    PreVote {
        /// Term that the sender would campaign in.
        term: Epoch,
        /// Last entry of the sender's log.
        last_index: u64,
        /// Its term.
        last_term: Epoch,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, else the voter's own term, so that a replica
        /// that missed elections learns the current term.
        term: Epoch,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term that the sender campaigns in.
        term: Epoch,
        /// Last entry of the sender's log.
        last_index: u64,
        /// Its term.
        last_term: Epoch,
    },
    /// Answer to [`Message::Vote`], sent once the vote is synced.
    VoteReply {
        /// The voter's term.
        term: Epoch,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat if there are none.
    Append {
        /// The leader's term.
        term: Epoch,
        /// Index of the entry before the first one sent.
        prev_index: u64,
        /// Its term.
        prev_term: Epoch,
        /// Consecutive entries that start at `prev_index + 1`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Current heartbeat round; echoed in the reply, from which the leader
        /// computes its lease.
        round: u64,
    },
    /// Answer to [`Message::Append`], sent once the entries are synced.
    AppendReply {
        /// The follower's term.
        term: Epoch,
        /// If `success`, the last index that matches the leader's log; else the index
        /// after which the leader should try next.
        index: u64,
        /// Whether the log matched at `prev_index`.
        success: bool,
        /// `round` of the message that this answers.
        round: u64,
    },
    /// A snapshot, for a follower that needs entries that the leader has discarded.
    InstallSnapshot {
        /// The leader's term.
        term: Epoch,
        /// The snapshot.
        snapshot: Snapshot,
        /// As in [`Message::Append`].
        round: u64,
    },
}

/// Input to [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed. The owner sends this at least every quarter of a heartbeat
    /// period.
    Tick,
    /// A message arrived.
    Received {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// The owner proposes an entry for the log.
    Propose {
        /// Returned in [`Action::Proposed`].
        token: Token,
        /// Content of the entry.
        proposal: Proposal,
    },
    /// The owner requests a linearizable read of its state machine.
    Read {
        /// Returned in [`Action::ReadReady`] or [`Action::ReadRefused`].
        token: Token,
    },
    /// The [`Persist`] with this sequence number and all earlier ones are synced.
    Persisted {
        /// Its sequence number.
        seq: u64,
    },
    /// The owner has encoded its state machine as of `index`; entries up to there may
    /// be discarded.
    SnapshotTaken {
        /// Last entry included.
        index: u64,
        /// The encoded state machine, opaque here.
        data: Vec<u8>,
    },
}

/// Content of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Proposal {
    /// A command for the state machine.
    Command(Vec<u8>),
    /// Adds a replica as a learner.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// Why a proposal was rejected, or why its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposeError {
    /// This replica holds no valid lease; nothing was appended.
    NotLeader {
        /// The current leader, if another replica is known to lead.
        leader: Option<ReplicaId>,
    },
    /// Another membership change is not committed yet, or this one is not possible or
    /// would leave no majority of responsive voters; nothing was appended.
    MembershipRefused,
    /// The learner's log is too far behind for it to vote; nothing was appended.
    LearnerBehind,
    /// The limit on uncommitted bytes is reached; nothing was appended.
    Overloaded,
    /// Leadership was lost after the entry was appended: it may yet be committed.
    OutcomeUnknown,
}

/// Changes to write and sync, in the order of `seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Persist {
    /// Number to report back in [`Event::Persisted`].
    pub seq: u64,
    /// New term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// New snapshot, written before `entries`. If the stored entry at its index has its
    /// term, entries up to that index may be discarded; else all stored entries must be.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; they replace all stored entries from the first one's index on.
    pub entries: Vec<Entry>,
}

/// Output of [`Replica::step`](crate::Replica::step), to be performed by the owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The recipient.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Write and sync this, then report [`Event::Persisted`].
    Persist(Persist),
    /// Apply these committed entries in order.
    Apply(Vec<Entry>),
    /// Replace the state machine with this committed snapshot.
    Restore(Snapshot),
    /// A proposal was committed and passed to [`Action::Apply`], or it failed.
    Proposed {
        /// Token of the proposal.
        token: Token,
        /// Index of the committed entry, or why it failed.
        result: Result<u64, ProposeError>,
    },
    /// The read may be served now from the state machine as applied so far.
    ReadReady {
        /// Token of the read.
        token: Token,
    },
    /// The read was rejected: this replica can't prove that it is the leader.
    ReadRefused {
        /// Token of the read.
        token: Token,
        /// The current leader, if another replica is known to lead.
        leader: Option<ReplicaId>,
    },
    /// Take a snapshot and report it with [`Event::SnapshotTaken`] at any later time.
    TakeSnapshot,
}

/// Role of a replica, by its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Receives the log; no vote.
    Learner,
    /// A voter that follows a leader or waits for one.
    Follower,
    /// Asks the voters whether they would grant their votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Won an election. It may serve reads and proposals only while its lease is valid.
    Leader,
}

/// State of a replica as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Epoch,
    /// The leader of its term, if it knows one; may be itself.
    pub leader: Option<ReplicaId>,
    /// Whether it is a leader that may serve reads at this moment.
    pub holds_lease: bool,
    /// Last entry in its log.
    pub last_index: u64,
    /// Last entry known to be committed.
    pub commit: u64,
    /// Membership in effect.
    pub members: Members,
    /// On a leader, the last matching index of each other replica; else empty.
    pub progress: Vec<(ReplicaId, u64)>,
}
