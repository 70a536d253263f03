//! Input and output of a [`Quarantine`](super::Quarantine), and the messages between
//! entries.

use std::time::Duration;

use filberthead_types::{Fingerprint, NodeName};
use serde::{Deserialize, Serialize};

/// Identifies one run of a request at an endpoint; assigned by the owner of the quarantine
/// and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Identifies the loss of an endpoint; the same at every entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LossId {
    /// The entry that recorded it.
    pub reporter: NodeName,
    /// Number of the loss at that entry.
    pub number: u64,
    /// The endpoint.
    pub endpoint: NodeName,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The endpoint sent a whole answer, whatever its status.
    Answered,
    /// The connection broke before the end of the answer.
    Lost,
    /// The request was never sent or was cancelled, or its deadline passed.
    Other,
}

/// Messages between the quarantines of entries. Their `Debug` form is logged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Runs of one fingerprint broke at two endpoints, which may have died.
    Broke {
        /// The losses.
        ids: Vec<LossId>,
        /// What ran.
        fingerprint: Fingerprint,
    },
    /// The process of an endpoint died while these ran.
    Crashed {
        /// The loss.
        id: LossId,
        /// What ran.
        fingerprints: Vec<Fingerprint>,
    },
    /// These were answered, or their only loss was that of a whole failure domain.
    Cleared {
        /// The fingerprints.
        fingerprints: Vec<Fingerprint>,
    },
}

/// What a quarantine is to process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed. Sent about once a second.
    Tick,
    /// A request is sent to an endpoint.
    Started {
        /// Its run.
        run: RunId,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The endpoint.
        endpoint: NodeName,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        end: RunEnd,
    },
    /// An endpoint whose process was gone answers health checks again.
    Up {
        /// The endpoint.
        endpoint: NodeName,
    },
    /// The process of an endpoint is gone.
    Died {
        /// The endpoint.
        endpoint: NodeName,
        /// Whether another process already answers in its place.
        replaced: bool,
        /// Number of endpoints that were live at this entry a moment ago.
        endpoints: usize,
    },
    /// A message from another entry.
    Received(Message),
}

/// What the owner of a quarantine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the message to every other live entry.
    Broadcast(Message),
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Check {
    /// It may run.
    Run,
    /// It may run only at this entry, which recorded the death of an endpoint that ran it.
    RunAt {
        /// The entry.
        entry: NodeName,
    },
    /// It is refused, with result code 1207.
    Refuse {
        /// Time after which it may be checked again.
        retry_after: Duration,
    },
}

/// Times and bounds of a quarantine.
#[derive(Clone, Debug)]
pub struct Config {
    pub(super) confirm_within: Duration,
    pub(super) period: Duration,
    pub(super) ambiguous_period: Duration,
    pub(super) max_period: Duration,
    pub(super) max_suspected: usize,
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    cfg: Config,
}

impl Config {
    /// A builder with the defaults that each method names.
    pub fn builder() -> ConfigBuilder {
        ConfigBuilder {
            cfg: Self {
                confirm_within: Duration::from_secs(5),
                period: Duration::from_secs(600),
                ambiguous_period: Duration::from_secs(60),
                max_period: Duration::from_secs(24 * 3600),
                max_suspected: 4096,
            },
        }
    }
}

impl ConfigBuilder {
    /// How long after a connection broke the death of its endpoint may be detected. Default
    /// 5 s.
    #[must_use]
    pub fn confirm_within(mut self, within: Duration) -> Self {
        self.cfg.confirm_within = within;
        self
    }

    /// How long a fingerprint is refused after its second loss; doubled by each further
    /// one. Also how long a single loss counts. Default 10 min.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.cfg.period = period;
        self
    }

    /// The same if another fingerprint also ran at each of its losses, so that either may
    /// be the cause. Default 1 min.
    #[must_use]
    pub fn ambiguous_period(mut self, period: Duration) -> Self {
        self.cfg.ambiguous_period = period;
        self
    }

    /// Longest time that a fingerprint is refused. Default 24 h.
    #[must_use]
    pub fn max_period(mut self, period: Duration) -> Self {
        self.cfg.max_period = period;
        self
    }

    /// Most fingerprints with losses; above that the one whose history expires first is
    /// evicted. Default 4096.
    #[must_use]
    pub fn max_suspected(mut self, fingerprints: usize) -> Self {
        self.cfg.max_suspected = fingerprints.max(1);
        self
    }

    /// The finished configuration.
    pub fn build(self) -> Config {
        self.cfg
    }
}
