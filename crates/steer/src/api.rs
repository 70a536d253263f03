//! Inputs and outputs of steering.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::View;
use filberthead_types::{
    Epoch, FailureDomain, Incarnation, Moment, NodeName, Region, RequestId, ResultCode, ServiceName,
};
use serde::{Deserialize, Serialize};

use crate::Availability;
use crate::lease::{Grant, Renew};

/// An endpoint as the platform's list or the settings describe it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Its name.
    pub name: NodeName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
}

/// An endpoint's state as a probe's answer reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// When the probe was sent.
    pub asked: Moment,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it has begun a planned stop.
    pub leaving: bool,
    /// Utilisation that it reports, 0 to 1.
    pub load: f64,
    /// Differs after a restart of the endpoint.
    pub incarnation: Incarnation,
}

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Its id, the same at every entry and endpoint.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// The caller's address; `None` if unknown. It determines the caller's home region, so
    /// an entry passes it on when it forwards the request.
    pub caller: Option<IpAddr>,
    /// Endpoints and entries that have already failed or refused this request.
    pub tried: Vec<NodeName>,
    /// The entry that forwarded the request to this one; `None` if it came from a caller.
    pub forwarded_by: Option<NodeName>,
}

/// The placement of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this endpoint, where a slot is reserved until [`Event::Finished`].
    Endpoint(Arc<EndpointInfo>),
    /// Forward it to another entry, which admits to its own endpoints. It counts as
    /// running there until [`Event::Finished`].
    Entry {
        /// Its name.
        name: NodeName,
        /// The address at which it accepts forwarded requests.
        addr: SocketAddr,
    },
    /// It waits in the bounded queue: [`Action::Place`] follows, at the latest with a refusal
    /// at its deadline.
    Queued,
    /// No entry admits to the endpoints at the moment because they are changing their owner, which
    /// takes about a renewal of leases. Place it again shortly; a refusal follows if it takes
    /// longer.
    AwaitOwner,
    /// Refuse it; nothing ran.
    Refuse {
        /// The reason.
        code: ResultCode,
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishKind {
    /// A complete answer that doesn't signal overload.
    Answered,
    /// The endpoint, or the entry it was forwarded to, refused; nothing ran.
    Shed,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke during the request, or the answer was incomplete.
    Broken,
    /// The caller or the deadline cancelled it.
    Cancelled,
}

/// An observation that is passed to steering.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Sent at least every 100 ms.
    Tick,
    /// A table version is in force.
    Table(Arc<View>),
    /// No table version is proven to be the newest. Weights are ignored until the next
    /// [`Table`](Self::Table); limits received so far still apply.
    NoTable,
    /// The endpoints of this failure domain, from the platform's list.
    Endpoints(Vec<EndpointInfo>),
    /// Names of endpoints that the platform's list shows as leaving.
    Leaving(Vec<NodeName>),
    /// All live entries, this one included.
    Entries(Vec<EntryInfo>),
    /// A probe was answered.
    Reading {
        /// The endpoint.
        endpoint: NodeName,
        /// Its answer.
        reading: Reading,
    },
    /// A probe failed.
    ProbeFailed {
        /// The endpoint.
        endpoint: NodeName,
    },
    /// An endpoint has rejected a request and asks for rest: it wants no new one from this entry for so
    /// long.
    RestAsked {
        /// The endpoint.
        endpoint: NodeName,
        /// The time.
        time: Duration,
    },
    /// A placed request ended and its slot is free, or its caller cancelled a queued one
    /// ([`FinishKind::Cancelled`]).
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        kind: FinishKind,
        /// Time from placement to the first byte of the answer.
        first_byte: Duration,
    },
    /// The connection pool of an endpoint has changed. Idle connections count towards
    /// the endpoint's limit just as busy ones do.
    Connections {
        /// The endpoint.
        endpoint: NodeName,
        /// Open connections to it, idle ones included.
        open: u32,
        /// Idle connections among them, which the next request can use.
        idle: u32,
    },
    /// This entry begins its planned stop: it hands over the endpoints that it owns.
    Stop,
    /// A message from another entry or from control arrived.
    Received {
        /// The sender.
        from: NodeName,
        /// The message.
        message: Message,
    },
}

/// An entry, as steering uses it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EntryInfo {
    /// Its name.
    pub name: NodeName,
    /// Differs after a restart of the entry.
    pub incarnation: Incarnation,
    /// The address at which it accepts requests.
    pub caller_addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is on a planned stop.
    pub leaving: bool,
}

/// Something that the daemon has to do for steering.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Carry out the decision on a queued request.
    Place {
        /// The request.
        id: RequestId,
        /// Its placement or refusal.
        decision: Decision,
    },
    /// Send a message to another entry.
    Send {
        /// The recipient.
        to: NodeName,
        /// The message.
        message: Message,
    },
    /// Send a message to the control leader.
    SendControl(Message),
    /// Probe an endpoint; [`Event::Reading`] or [`Event::ProbeFailed`] follows.
    Probe {
        /// The endpoint.
        endpoint: Arc<EndpointInfo>,
    },
}

/// An entry's capacity and load for one service, as it reports them to other entries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Slots that the entry owns at endpoints that aren't leaving.
    pub slots: u32,
    /// Slots that the entry may fill now: without those that backoff or slow start
    /// withhold, and within the row's limit.
    pub capacity: u32,
    /// Requests that run at its endpoints.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// How many more shifted requests it accepts.
    pub shift_room: u32,
    /// Mean time for which a request holds its slot, in microseconds.
    pub hold_micros: u32,
}

impl ServiceReport {
    /// Utilisation of the slots that it may fill.
    pub(crate) fn utilisation(&self) -> f64 {
        f64::from(self.running) / f64::from(self.capacity.max(1))
    }
}

/// Messages of steering between entries, and between entries and control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// An entry's capacity and load, to other entries.
    Report(Vec<ServiceReport>),
    /// An entry's request for its leases, to control.
    Renew(Renew),
    /// Control's answer to a [`Renew`].
    Grant(Grant),
    /// Requests another roster member's promise that it won't confirm the sender's removal.
    Ask {
        /// Serial of the request.
        serial: u64,
        /// Epoch of the roster that the sender follows.
        epoch: Epoch,
    },
    /// The promise that an [`Ask`](Self::Ask) requested.
    Promise {
        /// Serial of the request.
        serial: u64,
    },
}

/// Current use of an endpoint by this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUsage {
    /// Its name.
    pub name: NodeName,
    /// Slots that the entry may fill there; 0 if another entry owns it.
    pub slots: u32,
    /// Requests of this entry that run there.
    pub running: u32,
    /// Whether it is leaving or no longer listed.
    pub leaving: bool,
}

/// Current use of one service by this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Endpoints of the own failure domain.
    pub endpoints: Vec<EndpointUsage>,
}

/// A policy that places requests and answers look-ups.
pub trait Steering: Send {
    /// Places a request. Must be called once for each attempt; a placement counts as load of
    /// its endpoint or entry until [`Event::Finished`].
    fn place(&mut self, now: Moment, req: &RequestInfo) -> Decision;

    /// Returns the entries that a caller should use for a service, best first. If possible
    /// they are in more than one failure domain. Callers cache the answer, so a policy must
    /// expect requests that follow earlier answers.
    fn look_up(
        &mut self,
        now: Moment,
        service: &ServiceName,
        caller: Option<IpAddr>,
    ) -> Vec<NodeName>;

    /// Applies an observation and returns what to do next.
    fn observe(&mut self, now: Moment, event: Event) -> Vec<Action>;

    /// Whether a request that was placed at an endpoint may still be sent.
    fn may_send(&self, _now: Moment, _endpoint: &NodeName) -> bool {
        true
    }

    /// Current use of slots and queues, for metrics only. Empty if the policy doesn't count.
    fn usage(&self) -> Vec<ServiceUsage> {
        Vec::new()
    }

    /// What determines the slots for a service, for log lines only.
    fn explain(&self, _now: Moment, _service: &ServiceName) -> Availability {
        Availability::default()
    }
}
