//! Times and bounds of a replica.

use std::time::Duration;

/// Times and bounds of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    pub(crate) heartbeat: Duration,
    pub(crate) election_timeout: Duration,
    pub(crate) election_jitter: Duration,
    pub(crate) lease: Duration,
    pub(crate) max_batch_bytes: usize,
    pub(crate) max_uncommitted_bytes: usize,
    pub(crate) snapshot_after: u64,
    pub(crate) snapshot_after_bytes: usize,
    pub(crate) seed: u64,
    pub(crate) guards: Guards,
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct ConfigBuilder {
    cfg: Config,
    jitter: Option<Duration>,
}

impl Config {
    /// Starts from the defaults that each method names.
    pub fn builder() -> ConfigBuilder {
        ConfigBuilder {
            cfg: Self {
                heartbeat: Duration::from_millis(200),
                election_timeout: Duration::from_millis(800),
                election_jitter: Duration::ZERO,
                lease: Duration::from_millis(700),
                max_batch_bytes: 256 * 1024,
                max_uncommitted_bytes: 8 * 1024 * 1024,
                snapshot_after: 1024,
                snapshot_after_bytes: 4 * 1024 * 1024,
                seed: 0,
                guards: Guards::default(),
            },
            jitter: None,
        }
    }
}

impl ConfigBuilder {
    /// Time between a leader's heartbeats. Default 200 ms.
    #[must_use]
    pub fn heartbeat(mut self, period: Duration) -> Self {
        self.cfg.heartbeat = period;
        self
    }

    /// Shortest silence of a leader after which a replica asks for votes, and the time
    /// for which it refuses its own vote after it heard from a leader or started. A
    /// try that fails is repeated after half of it, which two round trips have to fit
    /// in. Default 800 ms.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Duration) -> Self {
        self.cfg.election_timeout = timeout;
        self
    }

    /// Most that is added at random to the silence before a replica asks for votes, so
    /// that two replicas seldom ask at once. Default: half of the election timeout.
    #[must_use]
    pub fn election_jitter(mut self, jitter: Duration) -> Self {
        self.jitter = Some(jitter);
        self
    }

    /// How long a majority's answers to a heartbeat let a leader answer for the table,
    /// counted from the moment the heartbeat was sent. Must be shorter than the
    /// election timeout by more than clocks of two machines drift apart in that time;
    /// [`Self::build`] cuts it to nine tenths of the election timeout. Default 700 ms.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.cfg.lease = lease;
        self
    }

    /// Most bytes of entries in one message; a single larger entry still goes out.
    /// Default 256 KiB.
    #[must_use]
    pub fn max_batch_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_batch_bytes = bytes;
        self
    }

    /// Bytes of commands that may wait for a majority; a proposal beyond them is
    /// refused, so that a leader whose followers are slow doesn't grow. Default 8 MiB.
    #[must_use]
    pub fn max_uncommitted_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_uncommitted_bytes = bytes;
        self
    }

    /// Applied entries after which a snapshot is asked for. Default 1024.
    #[must_use]
    pub fn snapshot_after(mut self, entries: u64) -> Self {
        self.cfg.snapshot_after = entries;
        self
    }

    /// Bytes of applied entries after which a snapshot is asked for, if they are twice what
    /// the last one takes. A newcomer has to take in the snapshot and what follows before it
    /// votes, and disks and memory are small. Default 4 MiB.
    #[must_use]
    pub fn snapshot_after_bytes(mut self, bytes: usize) -> Self {
        self.cfg.snapshot_after_bytes = bytes;
        self
    }

    /// Seed of the random part of election timeouts. Default 0; daemons draw one.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.cfg.seed = seed;
        self
    }

    /// Removes guards, for tests that prove that a checker notices.
    #[doc(hidden)]
    #[must_use]
    pub fn guards(mut self, guards: Guards) -> Self {
        self.cfg.guards = guards;
        self
    }

    /// The finished settings.
    pub fn build(self) -> Config {
        let mut cfg = self.cfg;
        cfg.election_jitter = self.jitter.unwrap_or(cfg.election_timeout / 2);
        cfg.lease = cfg.lease.min(cfg.election_timeout * 9 / 10);
        cfg
    }
}

/// Rules that keep a replica safe. All hold by default; a test takes one away to
/// prove that its checker would notice.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Ask whether votes would be granted before raising the term. For availability
    /// only; the explorer does without it to reach further.
    pub pre_vote: bool,
    /// Votes and acknowledgements leave only once they are synced.
    pub sync_before_send: bool,
    /// The lease counts from the moment the heartbeat was sent, not acknowledged.
    pub lease_from_send: bool,
    /// The lease is compared with the clock before each answer.
    pub lease_expires: bool,
    /// No vote while a leader was heard within the election timeout.
    pub refuse_votes_while_leader_is_live: bool,
    /// No vote within one election timeout of a restart.
    pub wait_after_restart: bool,
    /// Learners don't count towards a majority.
    pub learners_do_not_count: bool,
    /// Only entries of the leader's own term are committed by counting replicas.
    pub commit_own_term_only: bool,
    /// No read before the opening entry of the term is committed.
    pub noop_before_read: bool,
    /// Votes go only to candidates whose log is at least as new.
    pub compare_logs: bool,
    /// No membership change before the last one is committed.
    pub one_change_at_a_time: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            pre_vote: true,
            sync_before_send: true,
            lease_from_send: true,
            lease_expires: true,
            refuse_votes_while_leader_is_live: true,
            wait_after_restart: true,
            learners_do_not_count: true,
            commit_own_term_only: true,
            noop_before_read: true,
            compare_logs: true,
            one_change_at_a_time: true,
        }
    }
}
