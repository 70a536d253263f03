//! Threads that each carry one duty.

use std::future::Future;
use std::thread::JoinHandle;

use snafu::{ResultExt, Snafu};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Work that stays on the thread of its duty.
pub type LocalFuture = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// Why a duty can't start or ended badly.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DutyError {
    /// The thread can't be started.
    #[snafu(display("can't start the thread of duty `{name}`"))]
    Start {
        /// The duty.
        name: String,
        /// The system's word.
        source: std::io::Error,
    },
    /// The thread panicked.
    #[snafu(display("duty `{name}` panicked"))]
    Panicked {
        /// The duty.
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
    /// Starts a thread with a current-thread runtime and runs the future that `make`
    /// returns, and what it spawns locally, until that future ends.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread or no event queue.
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

    /// Whether the thread has ended, by itself or by a panic.
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
