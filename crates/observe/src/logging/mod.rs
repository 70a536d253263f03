//! Log lines with stable keys, on the standard error output or the standard output.
//!
//! A line has `ts`, `level`, `process`, `target` and `msg`, then the keys that the call
//! added. Writing can block for as long as whoever reads the other end pleases, and a
//! duty that blocks misses its heartbeats. So a call only puts its line into a bounded
//! queue, and a thread of its own writes it out. When the queue is full the line is
//! dropped and counted, and the next line that gets through tells how many are missing.

mod line;
mod queue;
mod rate_limit;

use std::io::Write;
use std::sync::mpsc::sync_channel;
use std::time::SystemTime;

use filberthead_settings::{LogSettings, LogStream};
use log::{Level, Log, Record};
use snafu::{ResultExt, Snafu};

pub use line::format_line;
pub(crate) use queue::dropped_lines;
pub use queue::{DroppedLines, LogGuard};
use queue::{FormatMissing, QueueWriter, write_lines};
pub use rate_limit::LogRateLimiter;

/// Lines that wait to be written. At a kilobyte each that is a few megabytes, and a
/// burst of this size takes a terminal or a pipe well under a second to swallow.
const QUEUE_LINES: usize = 4096;

/// Why logging can't start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LoggingError {
    /// The thread that writes can't be started.
    #[snafu(display("can't start the thread that writes logs"))]
    Thread {
        /// The system's word.
        source: std::io::Error,
    },
    /// A logger is already there.
    #[snafu(display("logging has been started before"))]
    Started {
        /// The log crate's word.
        source: log::SetLoggerError,
    },
}

/// Starts logging for this process, to the stream that its settings name.
///
/// Lines are written for as long as the guard is kept; dropping it writes out what is
/// queued, for a second at most.
///
/// # Errors
///
/// Fails if it has been called before, or if no thread can be started.
pub fn init_logging(settings: &LogSettings, process: &str) -> Result<LogGuard, LoggingError> {
    let out: Box<dyn Write + Send> = match settings.stream {
        LogStream::Stdout => Box::new(std::io::stdout()),
        LogStream::Stderr => Box::new(std::io::stderr()),
    };
    let (logger, guard) = logger(settings, process, out)?;
    log::set_boxed_logger(logger).context(StartedSnafu)?;
    log::set_max_level(settings.level);
    Ok(guard)
}

/// Makes a logger that writes to `out`, without making it the logger of this process.
///
/// # Errors
///
/// Fails if no thread can be started.
pub fn logger(
    settings: &LogSettings,
    process: &str,
    out: impl Write + Send + 'static,
) -> Result<(Box<dyn Log>, LogGuard), LoggingError> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let dropped = DroppedLines::default();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx, out))
        .context(ThreadSnafu)?;
    let writer = QueueWriter::new(
        tx.clone(),
        dropped.clone(),
        format_missing(settings, process),
    );
    let (_, logger) = dispatch(settings, process, Box::new(writer)).into_log();
    Ok((logger, LogGuard::new(tx, dropped)))
}

fn dispatch(
    settings: &LogSettings,
    process: &str,
    writer: Box<dyn Write + Send>,
) -> fern::Dispatch {
    let format = settings.format;
    let process = process.to_owned();
    fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| {
            let line = format_line(format, &process, SystemTime::now(), message, record);
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::writer(writer, "\n"))
}

/// Makes the line that tells how many are missing before it.
fn format_missing(settings: &LogSettings, process: &str) -> FormatMissing {
    let format = settings.format;
    let process = process.to_owned();
    Box::new(move |count| {
        let pairs = [("missing", count)];
        let record = Record::builder()
            .level(Level::Warn)
            .target(module_path!())
            .key_values(&pairs)
            .build();
        let message = format_args!("log lines are missing here");
        format_line(format, &process, SystemTime::now(), &message, &record)
    })
}
