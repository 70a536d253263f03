//! Steering, connections and what else all requests of the endpoints duty share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_caller::CallerGroup;
use filberthead_endpoint::{Client, probe};
use filberthead_ledger::quarantine::RunEnd;
use filberthead_peer::Body;
use filberthead_ring::Sender;
use filberthead_steer::{
    Action, Decision, EndpointInfo, Event, FinishKind, Reading, RequestInfo, Steering,
};
use filberthead_types::{Incarnation, NodeName, RequestId, ResultCode, ServiceName};
use log::debug;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::budget::RetryBudget;
use super::job::Job;
use super::suspicion::{EndpointRun, Suspicion};
use crate::Clock;
use crate::entry::cluster::ClusterReader;
use crate::entry::ledger::LedgerHandle;
use crate::entry::measures::Measures;
use crate::peers::Outgoing;

/// Sets the ids of attempts apart from those of requests.
const ATTEMPT_BIT: u64 = 1 << 63;

/// Who this entry is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Its name.
    pub(crate) node: NodeName,
    /// Drawn at its start.
    pub(crate) incarnation: Incarnation,
}

/// What a [`Core`] is made of; may pass between threads.
pub(crate) struct CoreParts {
    /// Who this entry is.
    pub(crate) identity: Identity,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// How long a request may take that names no deadline.
    pub(crate) request_timeout: Duration,
    /// Table and entries.
    pub(crate) cluster: ClusterReader,
    /// Decides where requests go.
    pub(crate) steering: Box<dyn Steering>,
    /// Decides whether requests under a key may run.
    pub(crate) ledger: LedgerHandle,
    /// Messages out.
    pub(crate) out: Sender<Outgoing>,
    /// Tells others how many requests are in progress.
    pub(crate) running: watch::Sender<usize>,
    /// Counts requests, slots and drains.
    pub(crate) measures: Measures,
}

/// What the requests of an entry share. Lives on one thread; no borrow of a cell is
/// held across a wait.
pub(crate) struct Core {
    /// Who this entry is.
    pub(crate) identity: Identity,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Connections.
    pub(crate) client: Client,
    /// How long a request may take that names no deadline; also how long an endpoint
    /// may leave an answer without progress.
    pub(crate) request_timeout: Duration,
    /// Table and entries.
    pub(crate) cluster: ClusterReader,
    /// Decides whether requests under a key may run.
    pub(crate) ledger: LedgerHandle,
    steering: RefCell<Box<dyn Steering>>,
    /// Which requests crash endpoints.
    pub(super) suspicion: Suspicion,
    queued: RefCell<HashMap<RequestId, oneshot::Sender<Decision>>>,
    budget: RefCell<RetryBudget>,
    out: Sender<Outgoing>,
    running: watch::Sender<usize>,
    measures: RefCell<Measures>,
    next_attempt: Cell<u64>,
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// To an endpoint.
    Endpoint(NodeName, SocketAddr),
    /// To another entry.
    Entry(NodeName, SocketAddr),
}

impl Target {
    /// Its name.
    pub(crate) fn name(&self) -> &NodeName {
        match self {
            Self::Endpoint(name, _) | Self::Entry(name, _) => name,
        }
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        match self {
            Self::Endpoint(_, addr) | Self::Entry(_, addr) => *addr,
        }
    }
}

/// What became of the wish to place an attempt.
#[derive(Debug)]
pub(crate) enum Placement {
    /// It has its place.
    Placed(Target, Slot),
    /// It gets none.
    Refused(ResultCode, Duration),
    /// Its caller gave up while it was queued.
    Abandoned,
}

/// A place that an attempt holds; given back when dropped.
pub(crate) struct Slot {
    core: Rc<Core>,
    id: RequestId,
    placed: Instant,
    first_byte: Option<Duration>,
    /// The run at an endpoint that the place is used for.
    run: Option<EndpointRun>,
    /// `None` once there is nothing to give back.
    kind: Option<FinishKind>,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slot")
            .field("id", &self.id)
            .field("kind", &self.kind)
            .finish_non_exhaustive()
    }
}

impl Slot {
    fn new(core: &Rc<Core>, id: RequestId) -> Self {
        Self {
            core: Rc::clone(core),
            id,
            placed: Instant::now(),
            first_byte: None,
            run: None,
            kind: Some(FinishKind::Cancelled),
        }
    }

    fn disarm(mut self) {
        self.kind = None;
    }

    /// The place is at an endpoint, and used now.
    pub(super) fn run(&mut self, run: EndpointRun) {
        self.run = Some(run);
    }

    /// The head of an answer is here.
    pub(crate) fn answered(&mut self) {
        self.first_byte = Some(self.placed.elapsed());
    }

    /// Gives the place back and says how the attempt ended. Without this, a dropped
    /// slot counts as cancelled.
    pub(crate) fn finish(mut self, kind: FinishKind) {
        if self.kind.is_some() {
            self.kind = Some(kind);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(kind) = self.kind else {
            return;
        };
        if let Some(run) = self.run.take() {
            run.end(match kind {
                FinishKind::Answered | FinishKind::Shed => RunEnd::Answered,
                FinishKind::Broken => RunEnd::Lost,
                FinishKind::ConnectFailed | FinishKind::Cancelled => RunEnd::Other,
            });
        }
        let first_byte = self.first_byte.unwrap_or_else(|| self.placed.elapsed());
        self.core.observe(Event::Finished {
            id: self.id,
            kind,
            first_byte,
        });
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    core: Rc<Core>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.core.running.send_modify(|running| *running -= 1);
    }
}

impl Core {
    /// Joins the parts.
    pub(crate) fn new(parts: CoreParts) -> Self {
        Self {
            suspicion: Suspicion::new(parts.identity.node.clone()),
            identity: parts.identity,
            clock: parts.clock,
            client: Client::default(),
            request_timeout: parts.request_timeout,
            cluster: parts.cluster,
            ledger: parts.ledger,
            steering: RefCell::new(parts.steering),
            queued: RefCell::default(),
            budget: RefCell::default(),
            out: parts.out,
            running: parts.running,
            measures: RefCell::new(parts.measures),
            next_attempt: Cell::new(0),
        }
    }

    /// Counts a request from its arrival to its end.
    pub(crate) fn begin(self: &Rc<Self>) -> Running {
        self.budget.borrow_mut().earn();
        self.running.send_modify(|running| *running += 1);
        let core = Rc::clone(self);
        Running { core }
    }

    /// Counts a request that has ended, once in the whole system: at the entry that its
    /// caller sent it to.
    pub(crate) fn count(&self, job: &Job, code: ResultCode, took: Duration) {
        if job.from_entry {
            return;
        }
        let region = job.tried.last().and_then(|name| {
            let cluster = self.cluster.borrow();
            let entry = cluster.entries.iter().find(|entry| entry.name == *name);
            entry.map(|entry| entry.region.clone())
        });
        let mut measures = self.measures.borrow_mut();
        measures.finished(&job.service, region, code, took);
    }

    /// Takes in what is in use at this moment.
    pub(crate) fn measure(&self) {
        let usage = self.steering.borrow().usage();
        let mut measures = self.measures.borrow_mut();
        measures.used(self.clock.now(), &usage);
    }

    /// Whether the budget allows a retry now.
    pub(crate) fn may_retry(&self) -> bool {
        self.budget.borrow_mut().spend()
    }

    /// Retries that the budget has left.
    pub(crate) fn retries_left(&self) -> u32 {
        self.budget.borrow().left()
    }

    /// Asks steering for a place and waits in its queue if need be. `abandoned` ends
    /// the wait. Steering sees each attempt under an id of its own, because the same
    /// request may come here twice after a broken connection between two entries.
    pub(crate) async fn place(
        self: &Rc<Self>,
        info: &mut RequestInfo,
        abandoned: impl Future<Output = ()>,
    ) -> Placement {
        info.id = self.attempt_id();
        let decision = self.steering.borrow_mut().place(self.clock.now(), info);
        let slot = Slot::new(self, info.id);
        let decision = match decision {
            Decision::Queued => self.wait(info, abandoned).await,
            decision => Queued::Decided(decision),
        };
        match decision {
            Queued::Decided(decision) => settle(decision, slot),
            Queued::Abandoned => Placement::Abandoned,
            Queued::Late => Placement::Refused(ResultCode::DeadlineBeforeRun, Duration::ZERO),
        }
    }

    /// A place that steering knows nothing of.
    pub(super) fn unplaced(self: &Rc<Self>) -> Slot {
        let mut slot = Slot::new(self, self.attempt_id());
        slot.kind = None;
        slot
    }

    async fn wait(&self, info: &RequestInfo, abandoned: impl Future<Output = ()>) -> Queued {
        let (tx, rx) = oneshot::channel();
        self.queued.borrow_mut().insert(info.id, tx);
        let deadline = self.clock.instant(info.deadline);
        let queued = tokio::select! {
            decision = rx => decision.map_or(Queued::Late, Queued::Decided),
            () = abandoned => Queued::Abandoned,
            () = tokio::time::sleep_until(deadline) => Queued::Late,
        };
        self.queued.borrow_mut().remove(&info.id);
        queued
    }

    /// Tells steering what was observed and does what it answers.
    pub(crate) fn observe(self: &Rc<Self>, event: Event) {
        let actions = self.steering.borrow_mut().observe(self.clock.now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    /// Lets steering answer a look-up of a group of callers.
    pub(crate) fn look_up(&self, service: &ServiceName, group: CallerGroup) -> Vec<NodeName> {
        let now = self.clock.now();
        let mut steering = self.steering.borrow_mut();
        steering.look_up(now, service, Some(group.address()))
    }

    /// Tells steering what connections to these endpoints are open.
    pub(crate) fn count_connections(self: &Rc<Self>, endpoints: &[(NodeName, SocketAddr)]) {
        for (endpoint, addr) in endpoints {
            let open = self.client.open_count(*addr);
            let idle = self.client.idle_count(*addr);
            let endpoint = endpoint.clone();
            self.observe(Event::Connections {
                endpoint,
                open,
                idle,
            });
        }
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Place { id, decision } => {
                // Nobody waits any more if the request was given up at this moment; the
                // slot of its waiting place tells steering so when it is dropped.
                if let Some(tx) = self.queued.borrow_mut().remove(&id) {
                    let _ = tx.send(decision);
                }
            }
            Action::Send { to, message } => {
                let to = self.cluster.borrow().peer_addr(&to);
                self.send(to, Body::Steer(message));
            }
            Action::SendControl(message) => {
                let to = self.cluster.borrow().control;
                self.send(to, Body::Steer(message));
            }
            Action::Probe { endpoint } => {
                tokio::task::spawn_local(Rc::clone(self).probe(endpoint));
            }
        }
    }

    /// Sends to a destination that is known at the moment; steering repeats what it
    /// needs answered.
    pub(super) fn send(&self, to: Option<SocketAddr>, body: Body) {
        if let Some(to) = to {
            let _ = self.out.push(Outgoing { to, body });
        }
    }

    async fn probe(self: Rc<Self>, info: Arc<EndpointInfo>) {
        let asked = self.clock.now();
        let endpoint = info.name.clone();
        match probe(&self.client, info.addr, self.attempt_id()).await {
            Ok(health) => {
                self.answered_probe(&endpoint, health.incarnation);
                let reading = Reading {
                    asked,
                    ready: health.ready,
                    leaving: health.leaving,
                    load: health.load,
                    incarnation: health.incarnation,
                };
                self.observe(Event::Reading { endpoint, reading });
            }
            Err(e) => {
                debug!(endpoint:%, error:% = e; "probe failed");
                self.failed_probe(&endpoint, &e);
                self.observe(Event::ProbeFailed { endpoint });
            }
        }
    }

    /// Whether what the table lacks doesn't exist.
    pub(super) fn is_current(&self) -> bool {
        self.cluster.borrow().current
    }

    fn attempt_id(&self) -> RequestId {
        let next = self.next_attempt.get();
        self.next_attempt.set(next.wrapping_add(1));
        let incarnation = u128::from(self.identity.incarnation.0);
        RequestId(incarnation << 64 | u128::from(ATTEMPT_BIT | next))
    }
}

/// What came out of waiting in steering's queue.
enum Queued {
    Decided(Decision),
    Abandoned,
    Late,
}

fn settle(decision: Decision, slot: Slot) -> Placement {
    let target = match decision {
        Decision::Endpoint(endpoint) => Target::Endpoint(endpoint.name.clone(), endpoint.addr),
        Decision::Entry { name, addr } => Target::Entry(name, addr),
        Decision::Refuse { code, retry_after } => {
            slot.disarm();
            return Placement::Refused(code, retry_after);
        }
        // Steering never queues a request that it takes out of its queue; if it did,
        // the slot dropped here would take it out for good.
        Decision::Queued => return Placement::Refused(ResultCode::Overloaded, Duration::ZERO),
    };
    Placement::Placed(target, slot)
}
