//! Configuration of a replica.

use std::time::Duration;

/// Timing and limits of a replica.
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
    /// Returns a builder with the defaults that its methods document.
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

    /// Minimum time without a message from the leader before a replica starts an
    /// election, and the time for which it grants no vote after a leader's message or
    /// after its start. A failed election is retried after half of it, which must cover
    /// two round trips. Default 800 ms.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Duration) -> Self {
        self.cfg.election_timeout = timeout;
        self
    }

    /// Maximum random addition to the time before an election, so that two replicas
    /// seldom start one at once. Default: half of the election timeout.
    #[must_use]
    pub fn election_jitter(mut self, jitter: Duration) -> Self {
        self.jitter = Some(jitter);
        self
    }

    /// Time for which a leader may serve reads and proposals after a majority has
    /// acknowledged a heartbeat, counted from the moment the heartbeat was sent. Must be
    /// shorter than the election timeout by more than two clocks drift apart in that
    /// time; [`Self::build`] limits it to nine tenths of the election timeout.
    /// Default 700 ms.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.cfg.lease = lease;
        self
    }

    /// Maximum bytes of entries in one message; a single larger entry is still sent.
    /// Default 256 KiB.
    #[must_use]
    pub fn max_batch_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_batch_bytes = bytes;
        self
    }

    /// Maximum bytes of uncommitted entries; further proposals are rejected, so that
    /// slow followers don't make the leader's memory grow. A single larger proposal is
    /// still accepted. Default 8 MiB.
    #[must_use]
    pub fn max_uncommitted_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_uncommitted_bytes = bytes;
        self
    }

    /// Number of applied entries after which a snapshot is requested. Default 1024.
    #[must_use]
    pub fn snapshot_after(mut self, entries: u64) -> Self {
        self.cfg.snapshot_after = entries;
        self
    }

    /// Bytes of applied entries after which a snapshot is requested, provided they are also
    /// twice the size of the last snapshot. A new replica has to receive the snapshot and all
    /// later entries before it votes, and disks and memory are small. Default 4 MiB.
    #[must_use]
    pub fn snapshot_after_bytes(mut self, bytes: usize) -> Self {
        self.cfg.snapshot_after_bytes = bytes;
        self
    }

    /// Seed of the election jitter. Default 0; a daemon sets a random one.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.cfg.seed = seed;
        self
    }

    /// Disables safety rules, for tests which prove that a checker detects it.
    #[doc(hidden)]
    #[must_use]
    pub fn guards(mut self, guards: Guards) -> Self {
        self.cfg.guards = guards;
        self
    }

    /// Returns the configuration, with the lease limited as [`Self::lease`] states.
    pub fn build(self) -> Config {
        let mut cfg = self.cfg;
        cfg.election_jitter = self.jitter.unwrap_or(cfg.election_timeout / 2);
        cfg.lease = cfg.lease.min(cfg.election_timeout * 9 / 10);
        cfg
    }
}

/// Safety rules of the protocol. All are on by default; a test disables one to prove
/// that its checker detects the violation.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Run a pre-vote before raising the term. For availability only; the explorer
    /// disables it to reach further.
    pub pre_vote: bool,
    /// Votes and acknowledgements are sent only after what they state is synced.
    pub sync_before_send: bool,
    /// The lease starts when the heartbeat is sent, not when it is acknowledged.
    pub lease_from_send: bool,
    /// The lease is compared with the clock before each read or proposal.
    pub lease_expires: bool,
    /// No vote within one election timeout of a leader's message.
    pub refuse_votes_while_leader_is_live: bool,
    /// No vote within one election timeout of a restart.
    pub wait_after_restart: bool,
    /// Learners don't count towards a majority.
    pub learners_do_not_count: bool,
    /// Only entries of the leader's own term are committed by counting replicas.
    pub commit_own_term_only: bool,
    /// No read before the first entry of the leader's term is committed.
    pub noop_before_read: bool,
    /// Votes are granted only to candidates whose log is at least as up to date.
    pub compare_logs: bool,
    /// No membership change before the previous one is committed.
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
