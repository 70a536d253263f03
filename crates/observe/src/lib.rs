//! Logs, metrics and the service-level burn report.
//!
//! None of the three can block the code that it observes: a log line that can't be
//! written is dropped and counted, a metric is an atomic number, and a sample is a few
//! numbers per minute. Their memory doesn't grow with what callers send: label values come
//! from the table and from enumerations in the code, and everything beyond a bound is
//! counted under one common label.

pub mod burn;
mod logging;
mod metrics;
mod order_trace;
pub mod samples;
mod trace;
mod words;

pub use logging::{
    DroppedLines, LogGuard, LogRateLimiter, LoggingError, format_line, init_logging, logger,
};
pub use metrics::{
    ClientMetrics, ConnectionTotals, ControlMetrics, EntryMetrics, GatewayMetrics, OrderResult,
    PeerMetrics, PeerTotals, RequestMetrics, SlotMetrics,
};
pub use order_trace::{OrderFilter, OrderTrace};
pub use trace::{Event, RequestTrace};
