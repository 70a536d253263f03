//! Messages, and what they speak of.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::{Change, Delta, Table};
use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ServiceName};
use serde::{Deserialize, Serialize};

/// A message and where it goes.
pub type Outbound = (SocketAddr, Message);

/// Whether an endpoint is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; it is to get nothing new.
    Draining,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Endpoint {
    /// Its identity. One that restarts may have another, or keep it.
    pub id: String,
    /// The Unix millisecond of its start, which tells it from an earlier start under the
    /// same identity; `None` if the platform doesn't tell.
    pub incarnation: Option<Incarnation>,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens. Another endpoint may have the address after it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is to stay.
    pub state: EndpointState,
    /// How much longer it is cold, counted from when this was sent.
    pub cold_left: Duration,
}

/// Number of a list of endpoints: of two, the one of the higher term is newer, and within
/// a term the one with the higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader that read the list.
    pub term: u64,
    /// Counts the lists of that leader that differ from the one before.
    pub seq: u64,
}

/// How one list of endpoints differs from another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointChange {
    /// Number of the list that it changes.
    pub from: Stamp,
    /// Endpoints that are new or not as they were.
    pub changed: Vec<Endpoint>,
    /// Identities of those that are on the list no more.
    pub gone: Vec<String>,
}

/// Which revisions somebody holds. 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Revisions {
    /// Index in the replicated log of the change that is in force.
    pub routes: u64,
    /// Index in the replicated log of the newest evacuation or end of one.
    pub evacuated: u64,
    /// Newest list of endpoints.
    pub endpoints: Stamp,
}

impl Message {
    /// Short stable name of the kind of message, as a metrics label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Notice { .. } => "notice",
            Self::Proof { .. } => "proof",
            Self::Roster(_) => "roster",
            Self::Pull(_) => "ask",
            Self::PullEndpoints(_) => "ask-list",
            Self::Part(_) => "part",
            Self::PullPart { .. } => "ask-part",
            Self::Routes { .. } => "routes",
            Self::RoutesChanged { .. } => "routes-changed",
            Self::Evacuated { .. } => "evacuated",
            Self::Endpoints { .. } => "endpoints",
            Self::EndpointsChanged { .. } => "endpoints-changed",
            Self::Order { .. } => "order",
            Self::OrderDone { .. } => "order-done",
            Self::ReadIndex { .. } => "newest",
            Self::ReadIndexResult { .. } => "newest-is",
        }
    }

    /// Raises what its receiver holds by what it tells whole.
    pub(crate) fn advance(&self, revisions: &mut Revisions) {
        match (self, self.revision()) {
            (Self::Evacuated { revision, .. }, _) => {
                revisions.evacuated = revisions.evacuated.max(*revision)
            }
            (_, Some(Revision::Routes(revision))) => {
                revisions.routes = revisions.routes.max(revision)
            }
            (_, Some(Revision::Endpoints(stamp))) => {
                revisions.endpoints = revisions.endpoints.max(stamp)
            }
            (_, None) => {}
        }
    }

    /// What its receiver holds then, for those that may be long.
    pub(crate) fn revision(&self) -> Option<Revision> {
        match self {
            Self::Routes { revision, .. } | Self::RoutesChanged { revision, .. } => {
                Some(Revision::Routes(*revision))
            }
            Self::Endpoints { stamp, .. } | Self::EndpointsChanged { stamp, .. } => {
                Some(Revision::Endpoints(*stamp))
            }
            _ => None,
        }
    }
}

impl Revisions {
    /// Takes over what is newer in `other`.
    pub fn merge(&mut self, other: &Self) {
        self.routes = self.routes.max(other.routes);
        self.evacuated = self.evacuated.max(other.evacuated);
        self.endpoints = self.endpoints.max(other.endpoints);
    }

    /// Whether this revision is newer than what is held.
    pub(crate) fn is_older_than(&self, revision: Revision) -> bool {
        match revision {
            Revision::Routes(revision) => revision > self.routes,
            Revision::Endpoints(stamp) => stamp > self.endpoints,
        }
    }

    /// Whether anything in `other` is newer than here.
    pub fn is_behind(&self, other: &Self) -> bool {
        other.routes > self.routes
            || other.evacuated > self.evacuated
            || other.endpoints > self.endpoints
    }
}

/// A gateway as others need to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it takes requests of callers.
    pub caller_addr: SocketAddr,
}

/// What a gateway was asked to carry for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: ServiceName,
    /// Thousandths of a slot that its requests kept busy, on average, since the report
    /// before; refused requests count as if they had run.
    pub busy_milli: u32,
}

/// What a gateway says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Who it is.
    pub gateway: GatewayInfo,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// What it holds.
    pub revisions: Revisions,
    /// What it was asked to carry.
    pub demand: Vec<Demand>,
    /// Thousandths of its link that are in use.
    pub link_milli: u32,
    /// Comes back in the notice that answers it, if the replica can prove what that says.
    pub id: u64,
}

/// What a gateway said about itself to another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedReport {
    /// Who it is.
    pub gateway: GatewayInfo,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// What it was asked to carry.
    pub demand: Vec<Demand>,
    /// Thousandths of its link that are in use.
    pub link_milli: u32,
    /// Time since its report came, when this was sent.
    pub age: Duration,
}

/// What somebody holds, or will hold, of something that spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Revision {
    /// Routes, by their index in the replicated log.
    Routes(u64),
    /// A list of endpoints.
    Endpoints(Stamp),
}

/// A part of a message that is too long to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Digest of the whole message as it is encoded.
    pub digest: u64,
    /// What its receiver will hold.
    pub revision: Revision,
    /// Place of this part, from 0.
    pub index: u32,
    /// How many parts there are.
    pub count: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Order {
    /// Put routes in force.
    Routes(Arc<Change>),
    /// Send nothing more to the endpoints of a failure domain.
    Evacuate(FailureDomain),
    /// Take a failure domain back into service.
    Return(FailureDomain),
}

/// Why an order has no outcome. None of these is a refusal: the operator sends the order
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderError {
    /// No leader is known here, or the group is still being put together.
    NoLeader,
    /// It may take effect yet.
    OutcomeUnknown,
    /// Too much waits already.
    Busy,
}

/// Messages between gateways and control, and between control replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A gateway makes itself known; answered by a notice.
    Report(Report),
    /// What a replica holds, and who else there is.
    Notice {
        /// What it holds.
        revisions: Revisions,
        /// Where the control replicas are.
        replicas: Vec<SocketAddr>,
        /// How many gateways are live in each failure domain, as it knows.
        gateways: Vec<(FailureDomain, u32)>,
        /// Busy slots that all gateways of a region asked for, in thousandths.
        demand: Vec<(Region, ServiceName, u32)>,
        /// Thousandths of their links that gateways of the receiver's failure domain use on
        /// average, of those that callers are sent to.
        link_milli: Option<u32>,
        /// The question of the report that this answers, if it answers one.
        answered_report: Option<u64>,
        /// The question of the report that this answers, if its sender could prove at that
        /// moment that nothing newer than what it holds is accepted.
        proven_report: Option<u64>,
    },
    /// A replica that doesn't lead has learned from the leader that nothing newer than what
    /// it holds was accepted when this question was asked.
    Proof {
        /// The question of a report.
        proven_report: u64,
        /// What it holds.
        revisions: Revisions,
    },
    /// A replica tells the others of gateways that have reported to it.
    Roster(Vec<RelayedReport>),
    /// A gateway asks for all that is newer than this. Of what is long it gets the first part.
    Pull(Revisions),
    /// A replica asks for the list of endpoints, or what has changed in it since this one.
    PullEndpoints(Stamp),
    /// A part of a long message.
    Part(Part),
    /// A gateway asks for a part of the message with this digest.
    PullPart {
        /// The digest.
        digest: u64,
        /// Place of the part.
        index: u32,
    },
    /// The routes in force.
    Routes {
        /// Their revision.
        revision: u64,
        /// The operator's number of the change, for logs.
        version: u64,
        /// The table.
        table: Arc<Table>,
    },
    /// What has changed in the routes.
    RoutesChanged {
        /// The revision that comes of it.
        revision: u64,
        /// The operator's number of the last change, for logs.
        version: u64,
        /// The revision that it changes.
        from: u64,
        /// The changes, the oldest first.
        changes: Vec<Arc<Delta>>,
    },
    /// The evacuated failure domains.
    Evacuated {
        /// Revision of the set.
        revision: u64,
        /// The set.
        domains: BTreeSet<FailureDomain>,
    },
    /// All endpoints.
    Endpoints {
        /// Number of the list.
        stamp: Stamp,
        /// The list.
        list: Vec<Endpoint>,
    },
    /// What has changed in the list of endpoints.
    EndpointsChanged {
        /// Number of the list that comes of it.
        stamp: Stamp,
        /// The change.
        change: EndpointChange,
    },
    /// A replica that doesn't lead passes an order on to the leader.
    Order {
        /// Comes back with the outcome.
        token: u64,
        /// The order.
        order: Order,
    },
    /// What came of an order that was passed on.
    OrderDone {
        /// Token of the order.
        token: u64,
        /// Its outcome.
        result: Result<(), OrderError>,
    },
    /// A replica that doesn't lead asks how far it must have applied the log to know
    /// everything accepted by now.
    ReadIndex {
        /// Comes back with the answer.
        token: u64,
    },
    /// Answer to [`Message::ReadIndex`], proved by the leader's lease.
    ReadIndexResult {
        /// Token of the question.
        token: u64,
        /// Index in the log.
        result: Result<u64, OrderError>,
    },
}
