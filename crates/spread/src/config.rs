//! Times and bounds.

use std::time::Duration;

use filberthead_types::Version;

/// Default of [`ConfigBuilder::suspend_threshold`].
pub const DEFAULT_SUSPEND_THRESHOLD: Duration = Duration::from_secs(5);

/// Times and bounds of a node or source.
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
    /// Starts from the defaults that each method names.
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

    /// Silence after which nodes of one failure domain take each other for dead, and
    /// after which a relay looks for another leader. Default 3 s.
    #[must_use]
    pub fn member_timeout(mut self, silence: Duration) -> Self {
        self.cfg.member_timeout = silence;
        self
    }

    /// Silence after which the leader takes a failure domain off the directory; long
    /// enough for it to have replaced a dead relay. Default 6 s.
    #[must_use]
    pub fn domain_timeout(mut self, silence: Duration) -> Self {
        self.cfg.domain_timeout = silence;
        self
    }

    /// Time between two digests to a random node of the own failure domain. Default 2 s.
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

    /// How long a node that starts acts on nothing while no version is proven to it;
    /// after that it is [`Cautious`](crate::node::Readiness::Cautious). Default 3 s.
    #[must_use]
    pub fn start_timeout(mut self, wait: Duration) -> Self {
        self.cfg.start_timeout = wait;
        self
    }

    /// Time between two steps after which a node takes itself for suspended and starts
    /// over. Default 5 s.
    #[must_use]
    pub fn suspend_threshold(mut self, suspend_threshold: Duration) -> Self {
        self.cfg.suspend_threshold = suspend_threshold;
        self
    }

    /// Time after which something asked for is asked for again. Default 300 ms.
    #[must_use]
    pub fn pull_retry(mut self, retry: Duration) -> Self {
        self.cfg.pull_retry = retry;
        self
    }

    /// Steps of the table that are kept; a node further behind gets a whole table.
    /// Default 512.
    #[must_use]
    pub fn kept_deltas(mut self, steps: usize) -> Self {
        self.cfg.kept_deltas = steps;
        self
    }

    /// Version that an earlier process of this node is known to have acted on, where a
    /// disk has kept it. Default 0.
    #[must_use]
    pub fn watermark(mut self, version: Version) -> Self {
        self.cfg.watermark = version;
        self
    }

    /// Seed of the random choices. Default 0; daemons draw one.
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
