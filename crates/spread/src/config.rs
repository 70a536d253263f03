//! Timeouts and limits.

use std::time::Duration;

use filberthead_types::Version;

/// Default of [`ConfigBuilder::suspend_threshold`].
pub const DEFAULT_SUSPEND_THRESHOLD: Duration = Duration::from_secs(5);

/// Timeouts and limits of a node or source.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) heartbeat_period: Duration,
    pub(crate) member_timeout: Duration,
    pub(crate) domain_timeout: Duration,
    pub(crate) gossip_period: Duration,
    pub(crate) remote_gossip_period: Duration,
    pub(crate) start_timeout: Duration,
    pub(crate) suspend_threshold: Duration,
    pub(crate) pull_retry: Duration,
    pub(crate) kept_deltas: usize,
    pub(crate) watermark: Version,
    pub(crate) seed: u64,
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    cfg: Config,
}

impl Config {
    /// A builder with the defaults given at each method.
    pub fn builder() -> ConfigBuilder {
        ConfigBuilder {
            cfg: Self {
                heartbeat_period: Duration::from_secs(1),
                member_timeout: Duration::from_secs(3),
                domain_timeout: Duration::from_secs(6),
                gossip_period: Duration::from_secs(2),
                remote_gossip_period: Duration::from_secs(10),
                start_timeout: Duration::from_secs(3),
                suspend_threshold: DEFAULT_SUSPEND_THRESHOLD,
                pull_retry: Duration::from_millis(300),
                kept_deltas: 512,
                watermark: Version(0),
                seed: 0,
            },
        }
    }
}

impl ConfigBuilder {
    /// Time between two reports, and between two digests. Default 1 s.
    #[must_use]
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.cfg.heartbeat_period = period;
        self
    }

    /// Silence after which nodes of one failure domain consider each other dead, and after
    /// which a relay looks for another leader. Default 3 s.
    #[must_use]
    pub fn member_timeout(mut self, silence: Duration) -> Self {
        self.cfg.member_timeout = silence;
        self
    }

    /// Silence after which the leader removes a failure domain from the directory; long
    /// enough for the domain to replace a dead relay first. Default 6 s.
    #[must_use]
    pub fn domain_timeout(mut self, silence: Duration) -> Self {
        self.cfg.domain_timeout = silence;
        self
    }

    /// Time between two digests to a random node of the same failure domain. Default 2 s.
    #[must_use]
    pub fn gossip_period(mut self, period: Duration) -> Self {
        self.cfg.gossip_period = period;
        self
    }

    /// Time between two digests to a random node of another failure domain. Default 10 s.
    #[must_use]
    pub fn remote_gossip_period(mut self, period: Duration) -> Self {
        self.cfg.remote_gossip_period = period;
        self
    }

    /// How long a starting node serves nothing while no version is proven; after that it is
    /// [`Cautious`](crate::node::Readiness::Cautious). Default 3 s.
    #[must_use]
    pub fn start_timeout(mut self, wait: Duration) -> Self {
        self.cfg.start_timeout = wait;
        self
    }

    /// Time between two steps after which a node assumes that its process was suspended and
    /// starts over. Default 5 s.
    #[must_use]
    pub fn suspend_threshold(mut self, suspend_threshold: Duration) -> Self {
        self.cfg.suspend_threshold = suspend_threshold;
        self
    }

    /// Time after which an unanswered pull is repeated. Default 300 ms.
    #[must_use]
    pub fn pull_retry(mut self, retry: Duration) -> Self {
        self.cfg.pull_retry = retry;
        self
    }

    /// Number of table deltas that are kept; a node further behind receives the full table.
    /// Default 512.
    #[must_use]
    pub fn kept_deltas(mut self, steps: usize) -> Self {
        self.cfg.kept_deltas = steps;
        self
    }

    /// Highest version that an earlier process of this node acted on, if persisted on disk.
    /// The node acts on no lower one. Default 0.
    #[must_use]
    pub fn watermark(mut self, version: Version) -> Self {
        self.cfg.watermark = version;
        self
    }

    /// Seed of the random number generator. Default 0; daemons use a random one.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.cfg.seed = seed;
        self
    }

    /// The finished settings.
    pub fn build(self) -> Config {
        self.cfg
    }
}
