//! The actor that monitors the duties of a process.
//!
//! If a duty ends by itself, the whole process ends at once. A process with a dead thread would
//! otherwise keep its leases and listening sockets while doing half of its work, and callers
//! would see timeouts instead of the refused connections that a dead process gives. The actor's
//! mailbox is unbounded, but only timers and signals of this process write to it.

use std::time::Duration;

use log::{error, info};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use crate::stop::StopSource;
use crate::{Duty, DutyError};

/// How often the supervisor checks that each duty is still running.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Why a process ended other than by a planned stop.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SuperviseError {
    /// Signal handlers can't be installed.
    #[snafu(display("can't receive signals"))]
    Signal {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The actor can't be started.
    #[snafu(display("can't start the supervisor"))]
    Start {
        /// ractor's error.
        source: ractor::SpawnErr,
    },
    /// A duty ended by itself.
    #[snafu(display("duty `{name}` ended"))]
    DutyEnded {
        /// Name of the duty.
        name: String,
    },
    /// A duty panicked during the stop.
    #[snafu(display("a duty failed during the stop"))]
    Join {
        /// Which duty.
        source: DutyError,
    },
}

/// Messages to the supervisor.
#[derive(Debug)]
enum Message {
    /// Check that each duty is still running.
    Check,
    /// The process received SIGTERM or SIGINT.
    Terminate,
}

/// Why monitoring ended.
enum EndReason {
    /// The process is to stop.
    Terminate,
    /// The duty of this name ended by itself.
    Ended(String),
}

struct Supervisor;

/// The actor's state: the duties, and where it sends them with the reason for the end.
struct Monitored {
    duties: Vec<Duty>,
    end: mpsc::Sender<(EndReason, Vec<Duty>)>,
}

impl Actor for Supervisor {
    type Msg = Message;
    type State = Monitored;
    type Arguments = Monitored;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        monitored: Monitored,
    ) -> Result<Monitored, ActorProcessingErr> {
        myself.send_interval(CHECK_PERIOD, || Message::Check);
        Ok(monitored)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        monitored: &mut Monitored,
    ) -> Result<(), ActorProcessingErr> {
        let reason = match message {
            Message::Check => find_ended(&monitored.duties).map(EndReason::Ended),
            Message::Terminate => Some(EndReason::Terminate),
        };
        if let Some(reason) = reason {
            let duties = std::mem::take(&mut monitored.duties);
            monitored.end.send((reason, duties)).await?;
            myself.stop(None);
        }
        Ok(())
    }
}

fn find_ended(duties: &[Duty]) -> Option<String> {
    let duty = duties.iter().find(|duty| duty.is_finished())?;
    Some(duty.name().to_owned())
}

/// The signals that a process handles. The handlers are installed before the `ready` line is
/// written: a signal between the two, SIGHUP too, ended the process at once and cut callers'
/// requests.
pub(crate) struct Signals {
    term: Signal,
    hup: Signal,
    int: Signal,
}

impl Signals {
    /// Installs the handlers. Signals that arrive before [`supervise`] runs are kept for it.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses.
    pub(crate) fn install(runtime: &Runtime) -> Result<Self, SuperviseError> {
        let _guard = runtime.enter();
        Ok(Self {
            term: signal(SignalKind::terminate()).context(SignalSnafu)?,
            hup: signal(SignalKind::hangup()).context(SignalSnafu)?,
            int: signal(SignalKind::interrupt()).context(SignalSnafu)?,
        })
    }
}

/// Monitors `duties` until the process receives SIGTERM or SIGINT, then runs `before_stop`, the
/// daemon's own part of a planned stop, and stops the duties. Calls `reload` for each SIGHUP,
/// which would otherwise end the process.
///
/// # Errors
///
/// Fails if a duty ends by itself or panics.
pub(crate) async fn supervise<Fut: Future<Output = ()>>(
    duties: Vec<Duty>,
    signals: Signals,
    stop: StopSource,
    mut reload: impl FnMut() + 'static,
    before_stop: impl FnOnce() -> Fut,
) -> Result<(), SuperviseError> {
    let (tx, mut rx) = mpsc::channel(1);
    let monitored = Monitored { duties, end: tx };
    let Signals {
        mut term,
        mut hup,
        mut int,
    } = signals;
    let (actor, _) = Actor::spawn(None, Supervisor, monitored)
        .await
        .context(StartSnafu)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        // The actor has stopped only if a duty has ended, which is reported separately.
        let _ = actor.send_message(Message::Terminate);
    });
    let reason = loop {
        tokio::select! {
            reason = rx.recv() => break reason,
            _ = hup.recv() => reload(),
        }
    };
    match reason {
        Some((EndReason::Terminate, duties)) => {
            info!("planned stop begins");
            before_stop().await;
            stop.stop();
            join_all(duties).context(JoinSnafu)
        }
        Some((EndReason::Ended(name), _)) => {
            error!(duty = name.as_str(); "a duty ended unexpectedly");
            DutyEndedSnafu { name }.fail()
        }
        None => DutyEndedSnafu { name: "supervisor" }.fail(),
    }
}

fn join_all(duties: Vec<Duty>) -> Result<(), DutyError> {
    duties.into_iter().try_for_each(Duty::join)
}
