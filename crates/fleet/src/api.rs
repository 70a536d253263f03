//! Messages between gateways and control, and their contents.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::{AdmitRatio, RefusedRate, ServiceShares, ServiceWork, Usage};
use filberthead_route::{Change, Delta, Table};
use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{EvacuationOrder, OrderOutcome, Suspicion};

/// A message and its destination.
pub type Outbound = (SocketAddr, Message);

/// Whether new requests may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and must receive no new ones.
    Draining,
}

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Endpoint {
    /// Its identity. A restart may keep it or change it.
    pub id: String,
    /// Start time in Unix milliseconds, which distinguishes it from an earlier start under
    /// the same identity; `None` if the platform doesn't provide it.
    pub incarnation: Option<Incarnation>,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens. A later endpoint may reuse the address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether new requests may be sent to it.
    pub state: EndpointState,
    /// Remaining warm-up time at the moment of sending.
    pub cold_left: Duration,
}

/// Version of the list of endpoints, ordered by term and then by sequence number.
///
/// The default, with both at 0, means no list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader that read the list.
    pub term: u64,
    /// Sequence number within the term, increased whenever the list has changed.
    pub seq: u64,
}

/// Difference between two lists of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointChange {
    /// Version of the list that it applies to.
    pub from: Stamp,
    /// Added or modified endpoints.
    pub changed: Vec<Endpoint>,
    /// Identities of removed endpoints.
    pub gone: Vec<String>,
}

/// The revisions that a process holds. 0 means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Revisions {
    /// Log index of the routes in force.
    pub routes: u64,
    /// Log index of the newest change to the set of evacuated failure domains.
    pub evacuated: u64,
    /// Version of the newest list of endpoints.
    pub endpoints: Stamp,
}

impl Message {
    /// Short stable name of the message kind, used as a metrics label.
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
            Self::OrderRevisionQuery { .. } => "order-revision",
            Self::OrderRevision { .. } => "order-revision-is",
            Self::EvacuationOrder { .. } => "evacuation-order",
            Self::EvacuationOrderDone { .. } => "evacuation-order-done",
            Self::Features(_) => "features",
        }
    }

    /// Advances the receiver's revisions by the state that this message carries completely.
    pub(crate) fn advance(&self, held: &mut Revisions) {
        match (self, self.revision()) {
            (Self::Evacuated { revision, .. }, _) => held.evacuated = held.evacuated.max(*revision),
            (_, Some(Revision::Routes(revision))) => held.routes = held.routes.max(revision),
            (_, Some(Revision::Endpoints(stamp))) => held.endpoints = held.endpoints.max(stamp),
            (_, None) => {}
        }
    }

    /// The revision that the receiver reaches by applying this message; `None` for kinds that
    /// are never split into parts.
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
    /// Raises each revision to that of `other` where that is higher.
    pub fn merge(&mut self, other: &Self) {
        self.routes = self.routes.max(other.routes);
        self.evacuated = self.evacuated.max(other.evacuated);
        self.endpoints = self.endpoints.max(other.endpoints);
    }

    /// Whether `revision` is higher than the one held of the same kind.
    pub(crate) fn is_older_than(&self, revision: Revision) -> bool {
        match revision {
            Revision::Routes(revision) => revision > self.routes,
            Revision::Endpoints(stamp) => stamp > self.endpoints,
        }
    }

    /// Whether any revision in `other` is higher.
    pub fn is_behind(&self, other: &Self) -> bool {
        other.routes > self.routes
            || other.evacuated > self.evacuated
            || other.endpoints > self.endpoints
    }
}

/// Identity and location of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it accepts requests from callers.
    pub caller_addr: SocketAddr,
    /// Where it accepts requests that other gateways relay.
    pub relay_addr: SocketAddr,
}

/// A gateway that others may relay requests through.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Helper {
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it accepts relayed requests.
    pub addr: SocketAddr,
}

/// Load that callers offered to a gateway for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: ServiceName,
    /// Average number of busy slots since the previous report, in thousandths; rejected
    /// requests count as if they had run.
    pub busy_milli: u32,
}

/// State of a gateway, sent periodically to control.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub gateway: GatewayInfo,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether other gateways may relay requests through it.
    pub helps: bool,
    /// Whether it has seen the load that contention control is for.
    pub contended: bool,
    /// The revisions that it holds.
    pub revisions: Revisions,
    /// Offered load for each service.
    pub demand: Vec<Demand>,
    /// Requests of each workspace with an allotment.
    pub usage: Vec<Usage>,
    /// Requests of workspaces that it has refused lately.
    pub refused: Vec<RefusedRate>,
    /// Expected work of workspaces' requests to each service.
    pub work: Vec<ServiceWork>,
    /// Utilisation of its network link in thousandths.
    pub link_milli: u32,
    /// What it holds against requests that may crash endpoints.
    pub suspicions: Vec<Suspicion>,
    /// Identifies the report in the notice and the proof that answer it.
    pub id: u64,
}

/// A gateway's report, as relayed by the control replica that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedReport {
    /// The gateway that sent the report.
    pub gateway: GatewayInfo,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether other gateways may relay requests through it.
    pub helps: bool,
    /// Whether it has seen the load that contention control is for.
    pub contended: bool,
    /// Offered load for each service.
    pub demand: Vec<Demand>,
    /// Requests of each workspace with an allotment.
    pub usage: Vec<Usage>,
    /// Requests of workspaces that it has refused lately.
    pub refused: Vec<RefusedRate>,
    /// Expected work of workspaces' requests to each service.
    pub work: Vec<ServiceWork>,
    /// Utilisation of its network link in thousandths.
    pub link_milli: u32,
    /// What it holds against requests that may crash endpoints.
    pub suspicions: Vec<Suspicion>,
    /// Age of the report at the moment of relaying.
    pub age: Duration,
}

/// Revision of one kind of state that may be sent in parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Revision {
    /// Log index of routes.
    Routes(u64),
    /// Version of a list of endpoints.
    Endpoints(Stamp),
}

/// One part of a message that is too long to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// Digest of the complete encoded message.
    pub digest: u64,
    /// The revision that the receiver reaches with the complete message.
    pub revision: Revision,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the message.
    pub count: u32,
    /// Content of this part.
    pub bytes: Vec<u8>,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Order {
    /// Replaces the routes in force.
    Routes(Arc<Change>),
    /// Stops sending requests to the endpoints of a failure domain.
    Evacuate(FailureDomain),
    /// Ends the evacuation of a failure domain.
    Return(FailureDomain),
}

impl fmt::Display for Order {
    /// What is ordered, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Routes(change) => write!(f, "routes {}", change.version),
            Self::Evacuate(domain) => write!(f, "evacuate {domain}"),
            Self::Return(domain) => write!(f, "return {domain}"),
        }
    }
}

/// Why the outcome of an order isn't known. None of these is a rejection: the operator
/// retries the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum OrderError {
    /// No leader is known, or the consensus group is still being formed.
    NoLeader,
    /// The order may still take effect.
    OutcomeUnknown,
    /// Too many requests are queued.
    Busy,
    /// The operator that sent the order has closed its connection; nothing was logged.
    SenderGone,
    /// Other orders about the failure domain were committed first.
    Superseded,
    /// The order may have waited unread, so nothing was logged.
    Delayed,
}

/// Messages between gateways and control, and between control replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat of a gateway, answered by a notice.
    Report(Report),
    /// State of a control replica: the answer to a report, and sent unasked when long updates
    /// are available.
    Notice {
        /// The revisions that it holds.
        revisions: Revisions,
        /// Addresses of the control replicas.
        replicas: Vec<SocketAddr>,
        /// Number of gateways in each failure domain, lately silent ones included.
        gateways: Vec<(FailureDomain, u32)>,
        /// Total load of each service by region, in thousandths of a busy slot.
        demand: Vec<(Region, ServiceName, u32)>,
        /// The part of its requests that may be sent, for each workspace near its allotment.
        ratios: Vec<AdmitRatio>,
        /// How the capacity of services that are short of it is divided among workspaces.
        shares: Vec<ServiceShares>,
        /// Mean link utilisation of the ready gateways in the receiver's failure domain, in
        /// thousandths; `None` if there are none.
        link_milli: Option<u32>,
        /// Some of the gateways that requests may be relayed through; the receiver may be one.
        helpers: Vec<Helper>,
        /// What gateways hold against requests that may crash endpoints.
        suspicions: Vec<Suspicion>,
        /// Whether a gateway has seen the load that contention control is for.
        contended: bool,
        /// Id of the report that this answers; `None` if sent unasked.
        answered_report: Option<u64>,
        /// Id of the report that this answers, if the sender could prove at that moment that
        /// no newer revision than its own has been accepted.
        proven_report: Option<u64>,
        /// Number of gateways that the leader counts, if the sender is the leader and has watched
        /// for long enough to know.
        leaders_count: Option<u32>,
    },
    /// A follower has learned from the leader that no newer revision than the follower's had
    /// been accepted when this report arrived.
    Proof {
        /// Id of the report.
        proven_report: u64,
        /// The revisions that the sender holds.
        revisions: Revisions,
        /// Number of gateways that the leader counts, if it has watched for long enough to know.
        leaders_count: Option<u32>,
    },
    /// A replica relays the reports of gateways to the other replicas.
    Roster(Vec<RelayedReport>),
    /// A gateway requests everything newer than these revisions. Of a long message it receives
    /// the first part.
    Pull(Revisions),
    /// A replica requests the changes since this list of endpoints, or the complete list.
    PullEndpoints(Stamp),
    /// One part of a long message.
    Part(Part),
    /// A gateway requests a part of the message with this digest.
    PullPart {
        /// Digest of the complete message.
        digest: u64,
        /// Index of the part.
        index: u32,
    },
    /// The routes in force.
    Routes {
        /// Their log index.
        revision: u64,
        /// Version number that the operator gave the routes, for logs.
        version: u64,
        /// The table.
        table: Arc<Table>,
    },
    /// Changes to the routes.
    RoutesChanged {
        /// The revision after the changes.
        revision: u64,
        /// Version number that the operator gave the resulting routes, for logs.
        version: u64,
        /// The revision that the changes apply to.
        from: u64,
        /// The changes, oldest first.
        changes: Vec<Arc<Delta>>,
    },
    /// The evacuated failure domains.
    Evacuated {
        /// Log index of the newest change to the set.
        revision: u64,
        /// The complete set.
        domains: BTreeSet<FailureDomain>,
    },
    /// The complete list of endpoints.
    Endpoints {
        /// Version of the list.
        stamp: Stamp,
        /// The list.
        list: Vec<Endpoint>,
    },
    /// A change to the list of endpoints.
    EndpointsChanged {
        /// Version of the list after the change.
        stamp: Stamp,
        /// The change.
        change: EndpointChange,
    },
    /// A follower forwards an operator's order to the leader.
    Order {
        /// Correlates the outcome with the order.
        token: u64,
        /// The order.
        order: Order,
    },
    /// Outcome of a forwarded order.
    OrderDone {
        /// Token of the order.
        token: u64,
        /// Its outcome.
        result: Result<(), OrderError>,
    },
    /// A follower requests the log index that it must have applied to hold everything accepted
    /// so far.
    ReadIndex {
        /// Correlates the answer with the request.
        token: u64,
    },
    /// Answer to [`Message::ReadIndex`], backed by the leader's lease.
    ReadIndexResult {
        /// Token of the request.
        token: u64,
        /// The log index.
        result: Result<u64, OrderError>,
        /// Number of gateways that the leader counts, if it has watched for long enough to know.
        gateways: Option<u32>,
    },
    /// A replica requests the order revision of a failure domain from the leader.
    OrderRevisionQuery {
        /// Correlates the answer with the request.
        token: u64,
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Answer to [`Message::OrderRevisionQuery`], backed by the leader's lease.
    OrderRevision {
        /// Token of the request.
        token: u64,
        /// The order revision; `None` while the group can't commit conditional orders.
        result: Result<Option<u64>, OrderError>,
    },
    /// A replica forwards an order about an evacuation to the leader.
    EvacuationOrder {
        /// Correlates the outcome with the order.
        token: u64,
        /// The order.
        order: EvacuationOrder,
    },
    /// Outcome of [`Message::EvacuationOrder`].
    EvacuationOrderDone {
        /// Token of the order.
        token: u64,
        /// Its outcome.
        result: Result<OrderOutcome, OrderError>,
    },
    /// The level of features that a control replica supports. Replicas of releases that don't know
    /// this message drop it.
    Features(u32),
}
