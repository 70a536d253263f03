//! A duty: a thread that runs one part of a daemon.

use std::future::Future;
use std::thread::JoinHandle;

use snafu::{ResultExt, Snafu};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// A future that stays on its duty's thread.
pub type LocalFuture = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// Why a duty can't start, or failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DutyError {
    /// The thread or its runtime can't be started.
    #[snafu(display("can't start the thread of duty `{name}`"))]
    Start {
        /// Name of the duty.
        name: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The thread panicked.
    #[snafu(display("duty `{name}` panicked"))]
    Panicked {
        /// Name of the duty.
        name: String,
    },
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    name: String,
    thread: JoinHandle<()>,
}

impl Duty {
    /// Starts a thread with a current-thread runtime. It runs the future that `make` returns, and
    /// the local tasks spawned from it, until that future ends.
    ///
    /// # Errors
    ///
    /// Fails if the system can't create the thread or its event queue.
    pub fn spawn<F, Fut>(name: &str, make: F) -> Result<Self, DutyError>
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(StartSnafu { name })?;
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || LocalSet::new().block_on(&runtime, make()))
            .context(StartSnafu { name })?;
        Ok(Self {
            name: name.to_owned(),
            thread,
        })
    }

    /// The duty's name, as in logs and thread lists.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the thread has ended, normally or by a panic.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the thread to end.
    ///
    /// # Errors
    ///
    /// Fails if it panicked.
    pub fn join(self) -> Result<(), DutyError> {
        let name = self.name;
        self.thread.join().map_err(|_| DutyError::Panicked { name })
    }
}
