//! Requests that callers and operators sent, and the answers that they received.

use std::time::Instant;

use super::evacuations::EvacuationOrder;

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete answer arrived.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is, byte for byte, an endpoint's answer to this request.
        matches: bool,
    },
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection failed before an answer began.
    Closed,
    /// The connection ended in the middle of an answer.
    Cut,
    /// The caller's timeout passed.
    TimedOut,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its unique id.
    pub id: String,
    /// Its method and path.
    pub request_line: String,
    /// When it was sent.
    pub sent: Instant,
    /// Until when its answer is wanted, as the gateway was told; `None` if it wasn't.
    pub deadline: Option<Instant>,
    /// When its outcome was known.
    pub ended: Instant,
    /// The workspace that holds its key; `None` if none does.
    pub workspace: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Index of the gateway that it was sent to.
    pub gateway: usize,
    /// Its outcome.
    pub outcome: RequestOutcome,
    /// What its answer told of the endpoint that made it; `None` if nothing.
    pub told: Option<Told>,
}

/// What an answer that a gateway passed on told of the endpoint that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Identity of the endpoint.
    pub endpoint: String,
    /// When the answer had arrived.
    pub at: Instant,
    /// Whether it names the rate that the endpoint takes.
    pub limit: bool,
    /// Whether it says that the endpoint is leaving.
    pub leaving: bool,
}

/// Routes that an operator read from a control replica.
#[derive(Clone, Debug)]
pub struct RoutesRead {
    /// Index of the replica.
    pub control: usize,
    /// When the request was sent.
    pub sent: Instant,
    /// Version of the routes.
    pub version: u64,
    /// Whether they are, byte for byte, what operators sent as that version.
    pub as_sent: bool,
}

/// Routes that an operator sent.
#[derive(Clone, Debug)]
pub struct RoutesChange {
    /// Version of the routes.
    pub version: u64,
    /// Whether they are valid.
    pub valid: bool,
    /// When an answer said that they were accepted; `None` if none did.
    pub accepted: Option<Instant>,
    /// Status of the answer that refused them; `None` if none did.
    pub refused: Option<u16>,
}

/// A change of the service that a route leads to.
#[derive(Clone, Debug)]
pub struct RouteMove {
    /// The service that the route is named after.
    pub route: String,
    /// The service that it leads to from then on.
    pub to: String,
    /// Versions above this one have the change.
    pub after: u64,
    /// When the first of them may have been sent.
    pub at: Instant,
}

/// A request to a gateway on a route that only one version has.
#[derive(Clone, Debug)]
pub struct RouteProbe {
    /// Index of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway; see `SharedState::incarnations`.
    pub incarnation: u32,
    /// The version that has the route.
    pub version: u64,
    /// Whether the gateway had the route.
    pub has_route: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// When the answer was complete.
    pub answered: Instant,
}

/// All recorded requests.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of callers.
    pub requests: Vec<CallerRequest>,
    /// Routes that operators read.
    pub reads: Vec<RoutesRead>,
    /// Routes that operators sent.
    pub changes: Vec<RoutesChange>,
    /// Routes that were moved to other services, in order.
    pub moves: Vec<RouteMove>,
    /// Requests on routes of a single version.
    pub probes: Vec<RouteProbe>,
    /// Orders about evacuations.
    pub evacuations: Vec<EvacuationOrder>,
}

impl History {
    /// When a version above this one was first accepted; `None` if none was.
    pub fn accepted_after(&self, version: u64) -> Option<Instant> {
        let newer = self.changes.iter().filter(|c| c.version > version);
        newer.filter_map(|change| change.accepted).min()
    }

    /// Number of requests that were answered with 200.
    pub fn served(&self) -> usize {
        let is_served = |request: &&CallerRequest| {
            let outcome = request.outcome;
            matches!(outcome, RequestOutcome::Answered { status: 200, .. })
        };
        self.requests.iter().filter(is_served).count()
    }
}
