//! Times and bounds of a ledger.

use std::time::Duration;

/// Safety checks of the ledger. A test disables one to show that its own checks detect the
/// consequences; nothing else may.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A request may run only once the backup has recorded its start.
    pub record_before_start: bool,
    /// Operations of another epoch of a home than its current one are dropped.
    pub check_epoch: bool,
    /// A backup claims its home only once its copy is complete.
    pub complete_before_claim: bool,
    /// The journal of a home is deleted before its first backup becomes active.
    pub retire_journal_before_backup: bool,
    /// A restarted backup doesn't continue the log of its predecessor.
    pub check_backup_incarnation: bool,
    /// A key refused as "not run" stays closed.
    pub close_refused: bool,
    /// Keys of generations whose records may be dropped are never started.
    pub check_watermarks: bool,
}

impl Guards {
    /// All guards enabled.
    pub const ALL: Self = Self {
        record_before_start: true,
        check_epoch: true,
        complete_before_claim: true,
        retire_journal_before_backup: true,
        check_backup_incarnation: true,
        close_refused: true,
        check_watermarks: true,
    };
}

/// Times and bounds of a ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    pub(crate) max_keys: usize,
    pub(crate) max_bytes: usize,
    pub(crate) max_answer: usize,
    pub(crate) max_waiters: usize,
    pub(crate) max_closed: usize,
    pub(crate) retention: Duration,
    pub(crate) start_window: Duration,
    pub(crate) generation_period: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) resend_after: Duration,
    pub(crate) failover_timeout: Duration,
    pub(crate) max_batch_bytes: usize,
    pub(crate) journal: bool,
    pub(crate) guards: Guards,
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
                max_keys: 100_000,
                max_bytes: 64 * 1024 * 1024,
                max_answer: 64 * 1024,
                max_waiters: 8,
                max_closed: 10_000,
                retention: Duration::from_secs(24 * 3600),
                start_window: Duration::from_secs(600),
                generation_period: Duration::from_secs(3600),
                heartbeat: Duration::from_millis(500),
                resend_after: Duration::from_millis(100),
                failover_timeout: Duration::from_secs(2),
                max_batch_bytes: 256 * 1024,
                journal: false,
                guards: Guards::ALL,
            },
        }
    }
}

impl ConfigBuilder {
    /// Most keys on record in the homes that this entry is primary of; as many again may be
    /// stored as backup for each other entry of the failure domain. Default 100,000.
    #[must_use]
    pub fn max_keys(mut self, keys: usize) -> Self {
        self.cfg.max_keys = keys;
        self
    }

    /// Most bytes of stored answers. A running key counts with the largest answer that may
    /// be stored, so that there is always space for the answer of a started key. Default 64
    /// MiB.
    #[must_use]
    pub fn max_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_bytes = bytes;
        self
    }

    /// Largest answer that is stored for replay, in bytes. Default 64 KiB.
    #[must_use]
    pub fn max_answer(mut self, bytes: usize) -> Self {
        self.cfg.max_answer = bytes;
        self
    }

    /// Most resends that wait for one running key; further ones are answered at once that
    /// it is still running. Default 8.
    #[must_use]
    pub fn max_waiters(mut self, waiters: usize) -> Self {
        self.cfg.max_waiters = waiters;
        self
    }

    /// Most refused keys with a record each; above that the home closes all keys of its
    /// prefix at once and issues the next prefix. Default 10,000.
    #[must_use]
    pub fn max_closed(mut self, keys: usize) -> Self {
        self.cfg.max_closed = keys;
        self
    }

    /// Least time that a key stays on record after the last moment at which it could start.
    /// Default 24 h.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.cfg.retention = retention;
        self
    }

    /// How long keys of a prefix may still start after the next prefix is issued. Must be
    /// longer than callers cache a look-up. Default 10 min.
    #[must_use]
    pub fn start_window(mut self, window: Duration) -> Self {
        self.cfg.start_window = window;
        self
    }

    /// How long a prefix is handed out before the next one is issued. Default 1 h.
    #[must_use]
    pub fn generation_period(mut self, period: Duration) -> Self {
        self.cfg.generation_period = period;
        self
    }

    /// Interval of messages to other entries when there is nothing else to send. Default
    /// 500 ms.
    #[must_use]
    pub fn heartbeat(mut self, period: Duration) -> Self {
        self.cfg.heartbeat = period;
        self
    }

    /// Time after which an unacknowledged operation is sent again. Default 100 ms.
    #[must_use]
    pub fn resend_after(mut self, period: Duration) -> Self {
        self.cfg.resend_after = period;
        self
    }

    /// How long a primary or backup must be silent before the other one claims the home.
    /// Default 2 s.
    #[must_use]
    pub fn failover_timeout(mut self, silence: Duration) -> Self {
        self.cfg.failover_timeout = silence;
        self
    }

    /// Most bytes of operations in one message. Default 256 KiB.
    #[must_use]
    pub fn max_batch_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_batch_bytes = bytes;
        self
    }

    /// Whether homes without a backup are stored in a data folder, by
    /// [`Action::Sync`](crate::Action::Sync). Default no.
    #[must_use]
    pub fn journal(mut self, journal: bool) -> Self {
        self.cfg.journal = journal;
        self
    }

    /// Sets the enabled guards, in tests of the checks themselves.
    #[doc(hidden)]
    #[must_use]
    pub fn guards(mut self, guards: Guards) -> Self {
        self.cfg.guards = guards;
        self
    }

    /// The finished configuration.
    pub fn build(self) -> Config {
        self.cfg
    }
}
