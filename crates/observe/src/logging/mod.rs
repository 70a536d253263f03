//! Log lines with stable keys, on the standard error output or the standard output.
//!
//! A line has `ts`, `level`, `process`, `target` and `msg`, then the keys of the log call.
//! Writing blocks while the reader of the output doesn't read, and a duty that blocks
//! misses its heartbeats. So a log call only puts its line into a bounded queue, which a
//! separate thread writes out. When the queue is full the line is dropped and counted, and
//! the next line that is queued is preceded by one with the number of missing lines.

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

/// Capacity of the queue, in lines. At a kilobyte each that is a few megabytes, and a
/// terminal or pipe reads a burst of this size in well under a second.
const QUEUE_LINES: usize = 4096;

/// Why logging could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LoggingError {
    /// The writer thread could not be started.
    #[snafu(display("can't start the log writer thread"))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
    /// The process already has a logger.
    #[snafu(display("logging has already been started"))]
    Started {
        /// The `log` crate's error.
        source: log::SetLoggerError,
    },
}

/// Starts logging for this process, to the stream given in its settings.
///
/// Dropping the guard waits until the queued lines are written, for a second at most.
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

/// Creates a logger that writes to `out`, without installing it as the process's logger.
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

/// Returns a function that formats the line with the number of missing lines.
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
