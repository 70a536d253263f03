//! What callers and operators sent, and what they were told.

use std::time::Instant;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole answer came.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is, byte for byte, what an endpoint answers to this very request.
        matches: bool,
    },
    /// No connection could be made.
    ConnectFailed,
    /// The connection ended before an answer began.
    Closed,
    /// The connection ended in the middle of an answer.
    Cut,
    /// The caller gave up.
    TimedOut,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id, which no other request has.
    pub id: String,
    /// Its method and path.
    pub request_line: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Number of the gateway that got it.
    pub gateway: usize,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// Routes that a control replica showed to an operator.
#[derive(Clone, Debug)]
pub struct RoutesRead {
    /// Number of the replica.
    pub control: usize,
    /// When it was asked.
    pub sent: Instant,
    /// The version.
    pub version: u64,
    /// Whether they are, byte for byte, what was sent under that number.
    pub as_sent: bool,
}

/// Routes that an operator sent.
#[derive(Clone, Debug)]
pub struct RoutesChange {
    /// Their version.
    pub version: u64,
    /// Whether they are valid.
    pub valid: bool,
    /// When they were first accepted.
    pub accepted: Option<Instant>,
    /// With which status they were first refused.
    pub refused: Option<u16>,
}

/// What a gateway did with a route that only one version has.
#[derive(Clone, Debug)]
pub struct RouteProbe {
    /// Number of the gateway.
    pub gateway: usize,
    /// Number of its start.
    pub incarnation: u32,
    /// The version.
    pub version: u64,
    /// Whether the gateway knew the route.
    pub has_route: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// When its answer was there.
    pub answered: Instant,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers.
    pub requests: Vec<CallerRequest>,
    /// What operators read.
    pub reads: Vec<RoutesRead>,
    /// What operators changed.
    pub changes: Vec<RoutesChange>,
    /// Routes of single versions that were tried.
    pub probes: Vec<RouteProbe>,
}
