//! What goes into a quarantine and what comes out of it.

use std::time::Duration;

use filberthead_types::NodeName;
use serde::{Deserialize, Serialize};

/// Digest of what an endpoint is asked: service, method, path, query and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// One run of a request at an endpoint; chosen by the owner, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// The loss of an endpoint; the same one whoever hears of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LossId {
    /// The entry that saw it.
    pub reporter: NodeName,
    /// Counted there.
    pub number: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The endpoint gave a whole answer, whatever its status.
    Answered,
    /// The connection broke before that.
    Lost,
    /// It was never sent, was cancelled, or its deadline passed.
    Other,
}

/// Messages between the quarantines of entries.
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
    /// An endpoint died while these ran.
    Crashed {
        /// The loss.
        id: LossId,
        /// What ran.
        fingerprints: Vec<Fingerprint>,
    },
    /// These were answered, or accused for no good reason.
    Cleared {
        /// The fingerprints.
        fingerprints: Vec<Fingerprint>,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed. Sent about once a second.
    Tick,
    /// A request is handed to an endpoint.
    Started {
        /// This run of it.
        run: RunId,
        /// The request.
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
    /// An endpoint that was gone answers health checks again.
    Up {
        /// The endpoint.
        endpoint: NodeName,
    },
    /// The process of an endpoint is gone.
    Died {
        /// The endpoint.
        endpoint: NodeName,
        /// Whether another process answers in its place already.
        replaced: bool,
        /// Endpoints that this entry knew as live a moment ago.
        endpoints: usize,
    },
    /// A message of another entry.
    Received(Message),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Tell every other live entry.
    Broadcast(Message),
}

/// Whether a request may be handed to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Check {
    /// Yes.
    Run,
    /// Only at this entry, which saw an endpoint lost under it.
    RunAt {
        /// The entry.
        entry: NodeName,
    },
    /// No; result code 1207.
    Refuse {
        /// When it may be looked at again.
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
    /// Starts from the defaults that each method names.
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
    /// How long after a connection broke the death of its endpoint may be learned.
    /// Default 5 s.
    #[must_use]
    pub fn confirm_within(mut self, within: Duration) -> Self {
        self.cfg.confirm_within = within;
        self
    }

    /// How long a fingerprint is refused after its second loss; doubled by each further
    /// one. Also how long one loss counts. Default 10 min.
    #[must_use]
    pub fn period(mut self, period: Duration) -> Self {
        self.cfg.period = period;
        self
    }

    /// The same while another fingerprint was there at each of its losses, so that either
    /// may be the cause. Default 1 min.
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

    /// Fingerprints under suspicion at most; above that the one whose time ends first is
    /// forgotten. Default 4096.
    #[must_use]
    pub fn max_suspected(mut self, fingerprints: usize) -> Self {
        self.cfg.max_suspected = fingerprints.max(1);
        self
    }

    /// The finished settings.
    pub fn build(self) -> Config {
        self.cfg
    }
}
