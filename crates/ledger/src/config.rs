//! Times and bounds of a ledger.

use std::time::Duration;

/// Guards that the ledger's promises rest on. A test switches one off to show that its
/// checks notice; nothing else may.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A start is given out only once the backup has recorded it.
    pub record_before_start: bool,
    /// Records of another config of a home than the one in force are dropped.
    pub check_epoch: bool,
    /// A copy claims its home only once it is complete.
    pub complete_before_claim: bool,
    /// A journal is given up before a first backup counts.
    pub retire_journal_before_backup: bool,
    /// A restarted backup doesn't go on where its predecessor was.
    pub check_backup_incarnation: bool,
    /// A key told "not run" stays closed.
    pub close_refused: bool,
    /// Keys older than the home's records are never started.
    pub check_watermarks: bool,
}

impl Guards {
    /// Every guard in place.
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
    /// Starts from the defaults that each method names.
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
    /// Keys on record at most in the homes held here; as many again may be kept as backup
    /// for each other entry of the failure domain. Default 100,000.
    #[must_use]
    pub fn max_keys(mut self, keys: usize) -> Self {
        self.cfg.max_keys = keys;
        self
    }

    /// Bytes of stored answers at most; a running key counts with the largest answer
    /// that may be stored, so that a started key never lacks room. Default 64 MiB.
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

    /// Resends that wait for one running key at most; further ones are told at once that
    /// it is still running. Default 8.
    #[must_use]
    pub fn max_waiters(mut self, waiters: usize) -> Self {
        self.cfg.max_waiters = waiters;
        self
    }

    /// Refused keys that are remembered one by one; above that the home closes all keys
    /// of its prefix at once and hands out the next one. Default 10,000.
    #[must_use]
    pub fn max_closed(mut self, keys: usize) -> Self {
        self.cfg.max_closed = keys;
        self
    }

    /// How long a key is kept at least after the last moment at which it could start.
    /// Default 24 h.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.cfg.retention = retention;
        self
    }

    /// How long keys of a prefix may still start after the next one is handed out. Must
    /// be longer than callers cache a look-up's answer. Default 10 min.
    #[must_use]
    pub fn start_window(mut self, window: Duration) -> Self {
        self.cfg.start_window = window;
        self
    }

    /// How long one prefix is handed out. Default 1 h.
    #[must_use]
    pub fn generation_period(mut self, period: Duration) -> Self {
        self.cfg.generation_period = period;
        self
    }

    /// Time between messages to other entries when there is nothing to say.
    /// Default 500 ms.
    #[must_use]
    pub fn heartbeat(mut self, period: Duration) -> Self {
        self.cfg.heartbeat = period;
        self
    }

    /// Time after which what isn't acknowledged is sent again. Default 100 ms.
    #[must_use]
    pub fn resend_after(mut self, period: Duration) -> Self {
        self.cfg.resend_after = period;
        self
    }

    /// Silence after which a holder or backup claims the home for itself. Default 2 s.
    #[must_use]
    pub fn failover_timeout(mut self, silence: Duration) -> Self {
        self.cfg.failover_timeout = silence;
        self
    }

    /// Most bytes of records in one message. Default 256 KiB.
    #[must_use]
    pub fn max_batch_bytes(mut self, bytes: usize) -> Self {
        self.cfg.max_batch_bytes = bytes;
        self
    }

    /// Whether homes without a backup are kept in a data folder, by
    /// [`Action::Sync`](crate::Action::Sync). Default no.
    #[must_use]
    pub fn journal(mut self, journal: bool) -> Self {
        self.cfg.journal = journal;
        self
    }

    /// Switches guards off, in tests of the checks themselves.
    #[doc(hidden)]
    #[must_use]
    pub fn guards(mut self, guards: Guards) -> Self {
        self.cfg.guards = guards;
        self
    }

    /// The finished settings.
    pub fn build(self) -> Config {
        self.cfg
    }
}
