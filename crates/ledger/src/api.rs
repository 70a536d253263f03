//! What goes into a ledger and what comes out of it.

use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{FailureDomain, Incarnation, Moment, NodeName, ResultCode};
use serde::{Deserialize, Serialize};

use crate::{Generation, HomeId, Key, KeyPrefix, KeyRecord, Op};

/// One pass of a request through the ledger; chosen by the ledger's owner, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Digest of what a request is: service, method, path, query and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest(pub u128);

/// A running entry, as far as ledgers care.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: NodeName,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is on a planned stop.
    pub leaving: bool,
}

/// Who holds a home, numbered: each change of holder or backup raises the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeEpoch(pub u64);

impl HomeEpoch {
    /// The next higher number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One of a config's two members asks to go on alone. Control gives a home's config to
/// the first one that asks, and the same answer to everybody who asks later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The home.
    pub home: HomeId,
    /// The config whose other member is silent.
    pub epoch: HomeEpoch,
    /// Incarnation of the member that asks.
    pub claimant: Incarnation,
}

/// Control's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimResult {
    /// The home.
    pub home: HomeId,
    /// The config that ended.
    pub epoch: HomeEpoch,
    /// Who holds the home from the next config on.
    pub winner: Incarnation,
}

/// Messages between ledgers, and between ledgers and control.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Records of a home, from its holder to its backup. With no records a heartbeat.
    Append {
        /// The home.
        home: HomeId,
        /// The config that the receiver is, or is to become, backup of.
        epoch: HomeEpoch,
        /// Incarnation of the sender.
        primary: Incarnation,
        /// Incarnation of the receiver that the holder means. A restarted receiver has
        /// lost what its predecessor acknowledged and must not speak for it.
        backup: Incarnation,
        /// Number of the first record.
        first: u64,
        /// The records.
        ops: Vec<Op>,
        /// Once the receiver has all records before this number it is the backup: no
        /// key is started any more without its acknowledgement.
        active_from: Option<u64>,
    },
    /// The backup has all records before `next`.
    Ack {
        /// The home.
        home: HomeId,
        /// The config.
        epoch: HomeEpoch,
        /// Number of the first record that it doesn't have.
        next: u64,
    },
    /// The backup goes on a planned stop: it acknowledges no more records of the config
    /// and never claims it, so that the holder may go on without it.
    Release {
        /// The home.
        home: HomeId,
        /// The config.
        epoch: HomeEpoch,
    },
    /// Heartbeat to the entries of the failure domain: what the sender holds.
    HeldHomes {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Homes that it holds, with their configs.
        homes: Vec<(HomeId, HomeEpoch)>,
        /// The prefix that it hands out.
        prefix: Option<KeyPrefix>,
    },
    /// A request that ran at the sender has an outcome, but its home has moved on.
    Outcome {
        /// The home.
        home: HomeId,
        /// The record of the key.
        record: KeyRecord,
    },
    /// [`Message::Outcome`] is on record.
    OutcomeRecorded {
        /// The home.
        home: HomeId,
        /// Period of the key.
        generation: Generation,
        /// The key, its prefix left out.
        suffix: Box<str>,
    },
    /// To control.
    Claim(Claim),
    /// From control.
    ClaimResult(ClaimResult),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed. Sent at least every quarter heartbeat.
    Tick,
    /// The entries known to be live, this one included or not.
    Members(Vec<Member>),
    /// A request with a key asks for leave to run.
    Begin {
        /// Comes back in [`Action::Decide`].
        token: Token,
        /// Its key.
        key: Key,
        /// What the request is.
        digest: Digest,
        /// When its caller gives up.
        deadline: Moment,
        /// How many entries have passed it on before it came here.
        hops: u8,
        /// The entry that an earlier [`Decision::Forward`] of the request named, if it
        /// couldn't be reached.
        failed: Option<NodeName>,
    },
    /// The caller of a pass that waits is gone.
    Cancel {
        /// The pass.
        token: Token,
    },
    /// A started request has its whole answer.
    Finished {
        /// The pass that was started.
        token: Token,
        /// The answer, opaque here; `None` if it is too large to be kept.
        answer: Option<Bytes>,
    },
    /// A started request was handed to an endpoint and its outcome is not known.
    Unknown {
        /// The pass that was started.
        token: Token,
    },
    /// No byte of a started request went to any endpoint, and none will.
    NotRun {
        /// The pass that was started.
        token: Token,
        /// Why.
        code: ResultCode,
    },
    /// A message of another entry, or of control.
    Received {
        /// Who sent it.
        from: NodeName,
        /// The message.
        message: Message,
    },
    /// The [`Action::Sync`] of this home with this number, and all before it, are synced.
    Synced {
        /// The home.
        home: HomeId,
        /// Its number.
        number: u64,
    },
    /// This entry starts its planned stop: it hands over its homes.
    Stop,
}

/// Whether, and how, a request goes on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It may run, once; report how it ended with the same pass.
    Start,
    /// It has run; this is its answer.
    Replay(Bytes),
    /// It doesn't go on.
    Refuse {
        /// Why. The code's meaning holds for every send of the key, past and future: a
        /// key that was told "not run" never runs.
        code: ResultCode,
        /// When a resend may bring more.
        retry_after: Duration,
    },
    /// Another entry decides.
    Forward {
        /// Its name.
        entry: NodeName,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Answer to [`Event::Begin`]; exactly one for each pass that isn't cancelled.
    Decide {
        /// The pass.
        token: Token,
        /// How it goes on.
        decision: Decision,
    },
    /// Send a message to another entry; it may be lost.
    Send {
        /// To whom.
        to: NodeName,
        /// The message.
        message: Message,
    },
    /// Write to the home's journal in the data folder and sync, in this order, then
    /// report [`Event::Synced`].
    Sync {
        /// The home.
        home: HomeId,
        /// Number to report back.
        number: u64,
        /// What to append.
        ops: Vec<Op>,
        /// Whether it replaces all that was written before.
        rewrite: bool,
        /// Whether the journal is to be removed instead.
        retire: bool,
    },
    /// Send a claim to control. It is repeated until its verdict has come.
    Claim(Claim),
}
