//! Input and output of a [`Ledger`](crate::Ledger), and the messages between ledgers.

use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{FailureDomain, Incarnation, Moment, NodeName, ResultCode};
use serde::{Deserialize, Serialize};

use crate::{Generation, HomeId, Key, KeyPrefix, KeyRecord, Op};

/// Identifies one request in one ledger; assigned by the ledger's owner and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Digest of a request: service, method, path, query and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest(pub u128);

/// A running entry, with what a ledger needs of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its node name.
    pub name: NodeName,
    /// Incarnation of its process, drawn at random when it starts.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it has begun a planned stop.
    pub leaving: bool,
}

/// Numbers the pairs of primary and backup that a home has had: each change of either
/// raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeEpoch(pub u64);

impl HomeEpoch {
    /// The epoch after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Request of one member of an epoch to control, to continue without the other member. The
/// first claim on an epoch wins; every later claim on it gets the same result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The home.
    pub home: HomeId,
    /// The epoch whose other member is silent.
    pub epoch: HomeEpoch,
    /// Incarnation of the member that sends the claim.
    pub claimant: Incarnation,
}

/// Control's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimResult {
    /// The home.
    pub home: HomeId,
    /// The epoch that was claimed, and so has ended.
    pub epoch: HomeEpoch,
    /// Incarnation of the primary from the next epoch on.
    pub winner: Incarnation,
}

/// Messages between ledgers, and between ledgers and control.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Operations of a home's log, from its primary to its backup. Without any it is a
    /// heartbeat.
    Append {
        /// The home.
        home: HomeId,
        /// The epoch that the receiver is, or is to become, the backup of.
        epoch: HomeEpoch,
        /// Incarnation of the sender.
        primary: Incarnation,
        /// Incarnation of the receiver that the primary replicates to. A restarted receiver
        /// has lost the records that its predecessor acknowledged and must not acknowledge
        /// in its place.
        backup: Incarnation,
        /// Number of the first operation.
        first: u64,
        /// The operations.
        ops: Vec<Op>,
        /// Number of operations after which the receiver is the active backup: once it has
        /// all operations before this number, no key starts without its acknowledgement.
        /// `None` until the copy of the older records is complete.
        active_from: Option<u64>,
    },
    /// From backup to primary: the backup has all operations before `next`.
    Ack {
        /// The home.
        home: HomeId,
        /// The epoch.
        epoch: HomeEpoch,
        /// Number of the first operation that it doesn't have.
        next: u64,
    },
    /// From backup to primary: the backup begins a planned stop. It acknowledges no more
    /// operations of the epoch and never claims it, so that the primary may continue
    /// without it.
    Release {
        /// The home.
        home: HomeId,
        /// The epoch.
        epoch: HomeEpoch,
    },
    /// Heartbeat to the entries of the failure domain, with the homes that the sender is
    /// primary of.
    HeldHomes {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The homes, with their epochs.
        homes: Vec<(HomeId, HomeEpoch)>,
        /// The prefix that it hands out, `None` while it issues no new keys.
        prefix: Option<KeyPrefix>,
    },
    /// To the current primary: outcome of a request that was started at the sender before
    /// the home moved to another entry.
    Outcome {
        /// The home.
        home: HomeId,
        /// The record of the key, with the outcome.
        record: KeyRecord,
    },
    /// Confirms that the outcome in a [`Message::Outcome`] is on record.
    OutcomeRecorded {
        /// The home.
        home: HomeId,
        /// Generation of the key.
        generation: Generation,
        /// The key without its prefix.
        suffix: Box<str>,
    },
    /// From an entry to control.
    Claim(Claim),
    /// Control's answer to a [`Message::Claim`].
    ClaimResult(ClaimResult),
}

/// What a ledger is to process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed. Sent at least every quarter heartbeat.
    Tick,
    /// The live entries; whether this one is among them doesn't matter.
    Members(Vec<Member>),
    /// A request with a key asks whether it may run.
    Begin {
        /// Returned in [`Action::Decide`].
        token: Token,
        /// Its idempotency key.
        key: Key,
        /// Its digest.
        digest: Digest,
        /// When its caller stops waiting.
        deadline: Moment,
        /// How many entries have forwarded it before this one.
        hops: u8,
        /// The entry that an earlier [`Decision::Forward`] for the request named, if it
        /// couldn't be reached.
        failed: Option<NodeName>,
    },
    /// The caller of a request that waits for its decision is gone.
    Cancel {
        /// The request.
        token: Token,
    },
    /// The whole answer to a started request has arrived.
    Finished {
        /// The started request.
        token: Token,
        /// The answer, opaque to the ledger; `None` if it is too large to be stored.
        answer: Option<Bytes>,
    },
    /// A started request was handed to an endpoint, and its outcome isn't known.
    Unknown {
        /// The started request.
        token: Token,
    },
    /// No byte of a started request was sent to any endpoint, and none will be.
    NotRun {
        /// The started request.
        token: Token,
        /// Why.
        code: ResultCode,
    },
    /// A message from another entry or from control.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: Message,
    },
    /// The [`Action::Sync`] of this home with this number, and all before it, are on disk.
    Synced {
        /// The home.
        home: HomeId,
        /// Its number.
        number: u64,
    },
    /// This entry begins its planned stop and hands over its homes.
    Stop,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may run, once; its owner reports the end with the same token.
    Start,
    /// It has run before; this is its answer.
    Replay(Bytes),
    /// It is rejected.
    Refuse {
        /// The reason. The meaning of the code holds for every send of the key, past and
        /// future: after a "not run" the key never runs.
        code: ResultCode,
        /// Time after which a resend may be answered otherwise.
        retry_after: Duration,
    },
    /// Another entry decides about it.
    Forward {
        /// Its name.
        entry: NodeName,
    },
}

/// What the owner of a ledger is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Answers [`Event::Begin`]; exactly one for each request that isn't cancelled.
    Decide {
        /// The request.
        token: Token,
        /// The decision.
        decision: Decision,
    },
    /// Send a message to another entry. It may get lost.
    Send {
        /// Name of the receiver.
        to: NodeName,
        /// The message.
        message: Message,
    },
    /// Append to the journal of the home in the data folder and sync it, in the order of
    /// these actions, then report [`Event::Synced`].
    Sync {
        /// The home.
        home: HomeId,
        /// Number to report back in [`Event::Synced`].
        number: u64,
        /// The operations to append.
        ops: Vec<Op>,
        /// Whether they replace everything written before.
        rewrite: bool,
        /// Whether the journal is to be deleted instead.
        retire: bool,
    },
    /// Send a claim to control. The ledger repeats it until the result has arrived.
    Claim(Claim),
}
