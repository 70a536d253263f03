//! What goes into steering and what comes out of it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::View;
use filberthead_types::{
    Epoch, FailureDomain, Incarnation, Moment, NodeName, Region, RequestId, ResultCode, ServiceName,
};
use serde::{Deserialize, Serialize};

use crate::lease::{Grant, Renew};

/// An endpoint as the platform's list or the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Its name.
    pub name: NodeName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// One reading of an endpoint's state, with its age known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// When the endpoint was asked.
    pub asked: Moment,
    /// Whether it says that it takes requests.
    pub ready: bool,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Its own word on how full it is, 0 to 1.
    pub load: f64,
    /// Tells a restarted endpoint from its predecessor.
    pub incarnation: Incarnation,
}

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Its id on every hop.
    pub id: RequestId,
    /// The service asked for.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller gives up.
    pub deadline: Moment,
    /// The caller's address, if it is known. It settles the caller's home region, so
    /// an entry that forwards a request passes it on.
    pub caller: Option<IpAddr>,
    /// Endpoints and entries that have already failed or refused this request.
    pub tried: Vec<NodeName>,
    /// The entry that handed it here, if it came from another one.
    pub forwarded_by: Option<NodeName>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// To this endpoint, which has a slot reserved until [`Event::Finished`].
    Endpoint(Arc<EndpointInfo>),
    /// To another entry, which admits to its own endpoints. It counts as running there
    /// until [`Event::Finished`].
    Entry {
        /// Its name.
        name: NodeName,
        /// Where it takes forwarded requests.
        addr: SocketAddr,
    },
    /// Into the bounded queue: [`Action::Place`] names its place later, at the latest
    /// when its deadline makes waiting useless.
    Queued,
    /// Nowhere; nothing ran.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishKind {
    /// A whole answer that is no sign of overload.
    Answered,
    /// The endpoint, or the entry it was forwarded to, refused; nothing ran.
    Shed,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke, or the answer was cut.
    Broken,
    /// The caller or the deadline cancelled it.
    Cancelled,
}

/// What was observed.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Sent at least every 100 ms.
    Tick,
    /// A table version is in force.
    Table(Arc<View>),
    /// No table version may be acted on: none is proven to be the newest. Weights count
    /// for nothing until the next [`Table`](Self::Table); limits known so far still hold.
    NoTable,
    /// The endpoints of this failure domain, as the platform's list has them.
    Endpoints(Vec<EndpointInfo>),
    /// Names that the platform's list shows as leaving.
    Leaving(Vec<NodeName>),
    /// The entries known to be live, this one included: name, HTTP address, place.
    Entries(Vec<EntryInfo>),
    /// A probe was answered.
    Reading {
        /// The endpoint.
        endpoint: NodeName,
        /// What it said.
        reading: Reading,
    },
    /// A probe failed.
    ProbeFailed {
        /// The endpoint.
        endpoint: NodeName,
    },
    /// A placed request ended and its slot is free, or a queued one was given up by its
    /// caller ([`FinishKind::Cancelled`]).
    Finished {
        /// The request.
        id: RequestId,
        /// How.
        kind: FinishKind,
        /// Time from placement to the first byte of the answer.
        first_byte: Duration,
    },
    /// The connection pool of an endpoint has changed. Idle connections count towards
    /// the endpoint's budget just as busy ones do.
    Connections {
        /// The endpoint.
        endpoint: NodeName,
        /// Connections open to it, idle ones included.
        open: u32,
        /// Of these, idle ones that the next request can use.
        idle: u32,
    },
    /// This entry starts its planned stop: it hands over what it owns.
    Stop,
    /// A message of another entry or of control.
    Received {
        /// Who sent it.
        from: NodeName,
        /// The message.
        message: Message,
    },
}

/// An entry as steering sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EntryInfo {
    /// Its name.
    pub name: NodeName,
    /// Drawn at its start.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub caller_addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is on a planned stop.
    pub leaving: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A queued request has its place, or its refusal.
    Place {
        /// The request.
        id: RequestId,
        /// Where it goes.
        decision: Decision,
    },
    /// Send a message to another entry.
    Send {
        /// To whom.
        to: NodeName,
        /// The message.
        message: Message,
    },
    /// Send a message to the control leader.
    SendControl(Message),
    /// Ask an endpoint for a reading.
    Probe {
        /// The endpoint.
        endpoint: Arc<EndpointInfo>,
    },
}

/// What an entry tells others about its room for one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Slots of endpoints that the entry admits to and that aren't leaving.
    pub slots: u32,
    /// Slots that the entry may fill now: without those of endpoints in back-off or
    /// slow start, and within the row's limit.
    pub capacity: u32,
    /// Of these, filled.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
    /// Shifted requests that it would take on top of those running.
    pub shift_room: u32,
    /// Mean time for which a request holds its slot, in microseconds.
    pub hold_micros: u32,
}

impl ServiceReport {
    /// Filled part of the slots.
    pub(crate) fn utilisation(&self) -> f64 {
        f64::from(self.running) / f64::from(self.capacity.max(1))
    }
}

/// Messages of steering between entries and control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// An entry's room, to other entries.
    Report(Vec<ServiceReport>),
    /// An entry asks control for its leases.
    Renew(Renew),
    /// Control's answer.
    Grant(Grant),
    /// A member of a roster asks another one for a promise not to help remove it.
    Ask {
        /// Number of the question.
        serial: u64,
        /// Epoch of the roster that the asking member follows.
        epoch: Epoch,
    },
    /// The promise.
    Promise {
        /// Number of the question.
        serial: u64,
    },
}

/// An endpoint that the entry admits to, at the moment of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUsage {
    /// Its name.
    pub name: NodeName,
    /// Slots that the entry may fill there; 0 if another one admits to it.
    pub slots: u32,
    /// Requests of this entry that run there.
    pub running: u32,
    /// Whether it leaves.
    pub leaving: bool,
}

/// What an entry has in use of one service, at the moment of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Endpoints of the own failure domain.
    pub endpoints: Vec<EndpointUsage>,
}

/// A policy that places requests.
pub trait Steering: Send {
    /// Places a request. Must be called once for each attempt; a placement counts
    /// against the place it names until [`Event::Finished`].
    fn place(&mut self, now: Moment, req: &RequestInfo) -> Decision;

    /// Names the entries that a caller should use for a service, best first. Entries
    /// of more than one failure domain are listed where there are any. Callers cache
    /// the answer, so a policy must reckon with answers that are still out.
    fn look_up(
        &mut self,
        now: Moment,
        service: &ServiceName,
        caller: Option<IpAddr>,
    ) -> Vec<NodeName>;

    /// Takes in what was observed.
    fn observe(&mut self, now: Moment, event: Event) -> Vec<Action>;

    /// What is in use, for metrics; nothing is decided by it. A policy that doesn't
    /// count says nothing.
    fn usage(&self) -> Vec<ServiceUsage> {
        Vec::new()
    }
}
