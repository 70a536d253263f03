//! Settings of logging, the same for all programs.

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
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

/// Settings of the section `[log]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Format of lines.
    pub format: LogFormat,
    /// Where lines are written.
    pub stream: LogStream,
}
