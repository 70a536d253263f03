//! State that all requests of the endpoints duty share: steering, connections, metrics.

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
use filberthead_limits::{Clients, Port, PortBounds, PortCounters};
use filberthead_peer::Body;
use filberthead_place::NamedRest;
use filberthead_ring::Sender;
use filberthead_steer::{
    Action, Decision, EndpointInfo, Event, FinishKind, Reading, RequestInfo, RetryBudget,
    ServiceUsage, Steering,
};
use filberthead_types::{Incarnation, NodeName, RequestId, ResultCode, ServiceName};
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use log::{debug, info};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::Instant;

use super::context::RequestContext;
use super::crash_tracking::{CrashTracker, EndpointRun};
use crate::Clock;
use crate::entry::cluster::ClusterReader;
use crate::entry::ledger::LedgerHandle;
use crate::entry::measures::Measures;
use crate::peers::Outgoing;

/// How often a request is placed again while its endpoints change their owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that wait for that at most; further ones are refused at once.
const MAX_OWNER_WAITS: usize = 64;
/// Retry-After of those.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Set in the ids of attempts, to distinguish them from ids of requests.
const ATTEMPT_BIT: u64 = 1 << 63;

/// Identity of this entry.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// The entry's name.
    pub(crate) node: NodeName,
    /// Random number of this process, drawn at its start.
    pub(crate) incarnation: Incarnation,
}

/// The parts of a [`Core`]; unlike it, they can be sent to another thread.
pub(crate) struct CoreParts {
    /// Identity of this entry.
    pub(crate) identity: Identity,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Timeout of a request without a deadline of its own.
    pub(crate) request_timeout: Duration,
    /// Table in force and live entries.
    pub(crate) cluster: ClusterReader,
    /// Selects targets for requests.
    pub(crate) steering: Box<dyn Steering>,
    /// Decides whether requests with a key may run.
    pub(crate) ledger: LedgerHandle,
    /// Messages to be sent.
    pub(crate) out: Sender<Outgoing>,
    /// Bounds and counters of the bodies of requests with a key.
    pub(crate) bodies: (PortBounds, Arc<PortCounters>),
    /// Publishes the number of requests in progress.
    pub(crate) running: watch::Sender<usize>,
    /// Metrics of requests, slots and drains.
    pub(crate) measures: Measures,
}

/// State that the requests of an entry share. Used on one thread; no `RefCell` borrow is
/// held across an await.
pub(crate) struct Core {
    /// Identity of this entry.
    pub(crate) identity: Identity,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Connections to endpoints and other entries.
    pub(crate) client: Client,
    /// Timeout of a request without a deadline of its own; also the maximum time that an
    /// answer may make no progress.
    pub(crate) request_timeout: Duration,
    /// Table in force and live entries.
    pub(crate) cluster: ClusterReader,
    /// Decides whether requests with a key may run.
    pub(crate) ledger: LedgerHandle,
    /// Bodies of requests with a key.
    pub(crate) bodies: Rc<Clients>,
    steering: RefCell<Box<dyn Steering>>,
    /// Detects requests that crash endpoints.
    pub(super) crash_tracker: CrashTracker,
    /// Attempts that wait in steering's queue, by attempt id.
    queued: RefCell<HashMap<RequestId, oneshot::Sender<Decision>>>,
    retry_budget: RefCell<RetryBudget>,
    out: Sender<Outgoing>,
    running: watch::Sender<usize>,
    measures: RefCell<Measures>,
    /// Whether this entry had slots for each service when its usage was last recorded.
    available: RefCell<HashMap<ServiceName, bool>>,
    /// A permit for each request that may wait for a new owner of its endpoints.
    owner_waits: Semaphore,
    next_attempt: Cell<u64>,
}

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An endpoint: its name and address.
    Endpoint(NodeName, SocketAddr),
    /// Another entry: its name and the address where it accepts requests.
    Entry(NodeName, SocketAddr),
}

impl Target {
    /// Name of the endpoint or entry.
    pub(crate) fn name(&self) -> &NodeName {
        match self {
            Self::Endpoint(name, _) | Self::Entry(name, _) => name,
        }
    }

    /// Address that requests are sent to.
    pub(crate) fn addr(&self) -> SocketAddr {
        match self {
            Self::Endpoint(_, addr) | Self::Entry(_, addr) => *addr,
        }
    }
}

/// The result of placing an attempt.
#[derive(Debug)]
pub(crate) enum Placement {
    /// It may be sent to this target.
    Placed(Target, Slot),
    /// It was refused; the duration is the Retry-After.
    Refused(ResultCode, Duration),
    /// The caller disconnected while the attempt was queued.
    Abandoned,
}

/// The slot of an attempt in steering; released when dropped.
pub(crate) struct Slot {
    core: Rc<Core>,
    id: RequestId,
    placed_at: Instant,
    /// Time from placement to the head of the answer; `None` before that.
    first_byte: Option<Duration>,
    /// The run at an endpoint; `None` if the target is an entry.
    run: Option<EndpointRun>,
    /// How the attempt ended, for steering; `None` if steering holds no slot for it.
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
            placed_at: Instant::now(),
            first_byte: None,
            run: None,
            kind: Some(FinishKind::Cancelled),
        }
    }

    /// Drops the slot without a report to steering, which holds none for it.
    fn disarm(mut self) {
        self.kind = None;
    }

    /// Attaches the run at an endpoint, which ends with the slot.
    pub(super) fn set_run(&mut self, run: EndpointRun) {
        self.run = Some(run);
    }

    /// Records the time to the first byte: the head of the answer has arrived.
    pub(crate) fn answered(&mut self) {
        self.first_byte = Some(self.placed_at.elapsed());
    }

    /// Releases the slot and reports how the attempt ended. A slot that is dropped without
    /// this counts as cancelled.
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
        let first_byte = self.first_byte.unwrap_or_else(|| self.placed_at.elapsed());
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
    /// Creates the core from its parts.
    pub(crate) fn new(parts: CoreParts) -> Self {
        Self {
            crash_tracker: CrashTracker::new(parts.identity.node.clone()),
            identity: parts.identity,
            clock: parts.clock,
            client: Client::default(),
            request_timeout: parts.request_timeout,
            cluster: parts.cluster,
            ledger: parts.ledger,
            bodies: Clients::new(Port::KeyedBodies, parts.bodies.0, parts.bodies.1),
            steering: RefCell::new(parts.steering),
            queued: RefCell::default(),
            retry_budget: RefCell::default(),
            out: parts.out,
            running: parts.running,
            measures: RefCell::new(parts.measures),
            available: RefCell::default(),
            owner_waits: Semaphore::new(MAX_OWNER_WAITS),
            next_attempt: Cell::new(0),
        }
    }

    /// Counts a request as running until the returned guard is dropped, and adds its share
    /// to the retry budget.
    pub(crate) fn start_request(self: &Rc<Self>) -> Running {
        self.retry_budget.borrow_mut().record_request();
        self.running.send_modify(|running| *running += 1);
        let core = Rc::clone(self);
        Running { core }
    }

    /// Records a finished request in the metrics. Each request is recorded once in the whole
    /// system: at the entry that the caller sent it to.
    pub(crate) fn count_finished(&self, ctx: &RequestContext, code: ResultCode, took: Duration) {
        if ctx.from_entry {
            return;
        }
        let region = ctx.tried.last().and_then(|name| {
            let cluster = self.cluster.borrow();
            let entry = cluster.entries.iter().find(|entry| entry.name == *name);
            entry.map(|entry| entry.region.clone())
        });
        let mut measures = self.measures.borrow_mut();
        measures.record_request(&ctx.service, region, code, took);
    }

    /// Records the slots in use now.
    pub(crate) fn record_usage(&self) {
        let usage = self.steering.borrow().usage();
        self.log_changed_availability(&usage);
        let mut measures = self.measures.borrow_mut();
        measures.record_usage(self.clock.now(), &usage);
    }

    /// Logs services that have lost their last slot at this entry, or have slots again.
    fn log_changed_availability(&self, usage: &[ServiceUsage]) {
        let now = self.clock.now();
        let steering = self.steering.borrow();
        let mut available = self.available.borrow_mut();
        for ServiceUsage { service, .. } in usage {
            let why = steering.explain(now, service);
            let is_available = why.slots > 0;
            if available.insert(service.clone(), is_available) != Some(is_available) {
                info!(service:%, available = is_available, why:%; "slots of this entry");
            }
        }
    }

    /// Takes one retry from the budget; false if there is none.
    pub(crate) fn try_spend_retry(&self) -> bool {
        self.retry_budget.borrow_mut().try_spend()
    }

    /// Number of retries left in the budget.
    pub(crate) fn retries_left(&self) -> u32 {
        self.retry_budget.borrow().remaining()
    }

    /// Places an attempt, waiting in steering's queue if necessary until `abandoned`
    /// resolves. Each attempt gets an id of its own, because the same request may arrive
    /// here twice after a broken connection between two entries.
    pub(crate) async fn place(
        self: &Rc<Self>,
        info: &mut RequestInfo,
        abandoned: impl Future<Output = ()>,
    ) -> Placement {
        info.id = self.attempt_id();
        tokio::pin!(abandoned);
        let decision = tokio::select! {
            decision = self.decide(info) => decision,
            () = &mut abandoned => return Placement::Abandoned,
        };
        let slot = Slot::new(self, info.id);
        let decision = match decision {
            Decision::Queued => self.wait_in_queue(info, abandoned).await,
            decision => WaitResult::Decided(decision),
        };
        match decision {
            WaitResult::Decided(decision) => to_placement(decision, slot),
            WaitResult::Abandoned => Placement::Abandoned,
            WaitResult::TimedOut => {
                Placement::Refused(ResultCode::DeadlineBeforeRun, Duration::ZERO)
            }
        }
    }

    /// Steering's decision, after the endpoints have got an owner if they are just changing it.
    async fn decide(&self, info: &RequestInfo) -> Decision {
        let place = || self.steering.borrow_mut().place(self.clock.now(), info);
        let mut decision = place();
        if matches!(decision, Decision::AwaitOwner) {
            decision = match self.owner_waits.try_acquire() {
                Ok(_permit) => await_owner(place).await,
                Err(_) => Decision::Refuse {
                    code: ResultCode::NoEndpoint,
                    retry_after: OWNER_RETRY_AFTER,
                },
            };
        }
        self.log_unavailable(info, &decision);
        decision
    }

    /// Logs why no endpoint is available for a request.
    fn log_unavailable(&self, info: &RequestInfo, decision: &Decision) {
        let Decision::Refuse {
            code: ResultCode::NoEndpoint,
            ..
        } = decision
        else {
            return;
        };
        let now = self.clock.now();
        let why = self.steering.borrow().explain(now, &info.service);
        info!(service:% = info.service, why:%; "no endpoint is available");
    }

    /// A slot that steering doesn't hold, for an attempt that it didn't place.
    pub(super) fn untracked_slot(self: &Rc<Self>) -> Slot {
        let mut slot = Slot::new(self, self.attempt_id());
        slot.kind = None;
        slot
    }

    /// Waits for steering's decision on a queued attempt, at most until its deadline.
    async fn wait_in_queue(
        &self,
        info: &RequestInfo,
        abandoned: impl Future<Output = ()>,
    ) -> WaitResult {
        let (tx, rx) = oneshot::channel();
        self.queued.borrow_mut().insert(info.id, tx);
        let deadline = self.clock.instant(info.deadline);
        let result = tokio::select! {
            decision = rx => decision.map_or(WaitResult::TimedOut, WaitResult::Decided),
            () = abandoned => WaitResult::Abandoned,
            () = tokio::time::sleep_until(deadline) => WaitResult::TimedOut,
        };
        self.queued.borrow_mut().remove(&info.id);
        result
    }

    /// Passes an event to steering and performs the actions that it returns.
    pub(crate) fn observe(self: &Rc<Self>, event: Event) {
        let actions = self.steering.borrow_mut().observe(self.clock.now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    /// Whether a request may still be sent to the target that it was placed at.
    pub(super) fn may_send(&self, target: &Target) -> bool {
        let now = self.clock.now();
        match target {
            Target::Endpoint(name, _) => self.steering.borrow().may_send(now, name),
            Target::Entry(..) => true,
        }
    }

    /// Records the rest that an endpoint asks for with a rejection.
    pub(super) fn record_rest<T>(self: &Rc<Self>, target: &Target, answer: &Response<T>) {
        let Target::Endpoint(endpoint, _) = target else {
            return;
        };
        if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let values = answer.headers().get_all(RETRY_AFTER).iter();
        let NamedRest::For(time) = NamedRest::read(values.map(HeaderValue::as_bytes)) else {
            return;
        };
        if self.may_send(target) && !time.is_zero() {
            info!(endpoint:%, rest_ms = time.as_millis(); "endpoint asks for rest");
        }
        let endpoint = endpoint.clone();
        self.observe(Event::RestAsked { endpoint, time });
    }

    /// The entries for a look-up of a group of callers, in order of preference.
    pub(crate) fn look_up(&self, service: &ServiceName, group: CallerGroup) -> Vec<NodeName> {
        let now = self.clock.now();
        let mut steering = self.steering.borrow_mut();
        steering.look_up(now, service, Some(group.address()))
    }

    /// Reports the open and idle connections to these endpoints to steering.
    pub(crate) fn report_connections(self: &Rc<Self>, endpoints: &[(NodeName, SocketAddr)]) {
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
                // If the attempt has been abandoned meanwhile, there is no receiver; its
                // dropped `Slot` reports that to steering.
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

    /// Sends a message; drops it if the address is unknown or the ring full. Steering
    /// resends what needs an answer.
    pub(super) fn send(&self, to: Option<SocketAddr>, body: Body) {
        if let Some(to) = to {
            let _ = self.out.push(Outgoing { to, body });
        }
    }

    /// Performs a health check and reports its result to steering and the crash tracker.
    async fn probe(self: Rc<Self>, info: Arc<EndpointInfo>) {
        let asked = self.clock.now();
        let endpoint = info.name.clone();
        match probe(&self.client, info.addr, self.attempt_id()).await {
            Ok(health) => {
                self.record_probe_success(&endpoint, health.incarnation);
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
                self.record_probe_failure(&endpoint, &e);
                self.observe(Event::ProbeFailed { endpoint });
            }
        }
    }

    /// Whether the table is the newest, so that a service missing from it doesn't exist.
    pub(super) fn is_current(&self) -> bool {
        self.cluster.borrow().current
    }

    /// A new id, unique among the attempts of this process.
    fn attempt_id(&self) -> RequestId {
        let next = self.next_attempt.get();
        self.next_attempt.set(next.wrapping_add(1));
        let incarnation = u128::from(self.identity.incarnation.0);
        RequestId(incarnation << 64 | u128::from(ATTEMPT_BIT | next))
    }
}

/// The result of waiting in steering's queue.
enum WaitResult {
    Decided(Decision),
    Abandoned,
    TimedOut,
}

/// Converts steering's decision; `slot` is kept only if there is a target.
/// Places a request again until its endpoints have an owner or it is refused.
async fn await_owner(place: impl Fn() -> Decision) -> Decision {
    loop {
        tokio::time::sleep(OWNER_POLL_INTERVAL).await;
        let decision = place();
        if !matches!(decision, Decision::AwaitOwner) {
            return decision;
        }
    }
}

fn to_placement(decision: Decision, slot: Slot) -> Placement {
    let target = match decision {
        Decision::Endpoint(endpoint) => Target::Endpoint(endpoint.name.clone(), endpoint.addr),
        Decision::Entry { name, addr } => Target::Entry(name, addr),
        Decision::Refuse { code, retry_after } => {
            slot.disarm();
            return Placement::Refused(code, retry_after);
        }
        // Steering never queues a request again that it has removed from its queue; if it
        // did, the slot dropped here would remove it.
        Decision::Queued | Decision::AwaitOwner => {
            return Placement::Refused(ResultCode::Overloaded, Duration::ZERO);
        }
    };
    Placement::Placed(target, slot)
}
