//! Logs, metrics and the service-level burn report.
//!
//! All three watch the system without being able to hold it up: a log line that can't be
//! written is dropped and counted, a metric is an atomic number, a sample is a few
//! numbers a minute. None of them grows with what callers send: label sets come from the
//! table and from enumerations of the code, and whatever can't be bounded so is counted
//! under one label.

pub mod burn;
mod logging;
mod metrics;
pub mod samples;
mod trace;

pub use logging::{
    DroppedLines, LogGuard, LogRateLimiter, LoggingError, format_line, init_logging, logger,
};
pub use metrics::{
    ControlMetrics, EntryMetrics, GatewayMetrics, PeerMetrics, PeerTotals, RequestMetrics,
    SlotMetrics,
};
pub use trace::{Event, RequestTrace};
