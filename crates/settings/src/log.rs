//! Settings of logs, the same for each process.

/// How a log line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Plain,
}

/// Where log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd)]
pub enum LogStream {
    /// The standard output, after the `ready` line.
    Stdout,
    /// The standard error output.
    #[default]
    Stderr,
}

/// From the section `[log]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// How a line is written.
    pub format: LogFormat,
    /// Where lines are written.
    pub stream: LogStream,
}
