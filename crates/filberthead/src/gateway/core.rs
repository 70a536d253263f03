//! State shared by the tasks of the requests duty: active routes, placement, and the exchange
//! with control.
//!
//! All of it lives on one thread. A `RefCell` borrow is never held across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::{Admission, Contact, Limiter, Offer, RefusalMeter};
use filberthead_endpoint::Client;
use filberthead_fleet::{Load, Member, Outbound, Stamp, Update, UpdateDelay};
use filberthead_limits::{Clients, Port, VmLimits};
use filberthead_observe::{GatewayMetrics, LogRateLimiter};
use filberthead_peer::Body;
use filberthead_pipeline::Memory;
use filberthead_place::{
    ConnectionBalancer, EndpointId, Holder, LargeResponseAdmission, Link, Placer, RetryDecision,
    RetryEnd, RetryId, RunVerdict, TimedRoute, UsualTimes,
};
use filberthead_ring::Sender;
use filberthead_route::{CallerBounds, KeyIndex, Matcher, Table};
use filberthead_settings::ContentionControl;
use filberthead_types::{
    ClusterId, FailureDomain, Fingerprint, Meaning, Moment, NodeName, Region, RequestPrints,
    ResultCode, ServiceName, Workspace,
};
use http::request::Parts;
use log::{Level, debug, info, log_enabled, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use super::body_memory::BodyMemory;
use super::bounds::Bounds;
use super::deadline::Deadline;
use super::headers::header_text;
use super::relay::Helpers;
use super::request::context::truncate;
use super::shares::FairShares;
use super::stop::{Phase, StopBegun, StopStage};
use super::waiting::Waiting;
use super::{ControlMessage, ProtocolNames};
use crate::Clock;
use crate::peers::Outgoing;

/// Timeout for connecting to an endpoint: twice the round trip between regions, with a margin for
/// a slow accept. An endpoint that lost power doesn't answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a message from any control replica after which a warning is logged.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Log lines per second for each result code of rejected requests. At half a kilobyte per line,
/// all codes together stay below 100 kB per second whatever callers send.
const LOG_LINES_PER_SECOND: u32 = 20;

/// Bytes of all requests together that are read ahead, and of answers that wait for those before
/// them. Enough for 8 requests of 1 KiB on each of 1,000 connections.
const MAX_AHEAD_MEMORY: usize = 8 * 1024 * 1024;
/// Endpoints that are logged for each kind of value that isn't valid.
const MAX_INVALID_LOGGED: usize = 64;

/// Least wait for other requests of a connection that is logged. Shorter ones make no answer late by
/// themselves: the shortest objectives are a quarter of a second.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(100);

/// How long a request that was sent ahead has waited for those before it.
pub(crate) struct InLine {
    /// From its arrival until it was started.
    pub(crate) before_start: Duration,
    /// From its response until those before it were sent; `None` if it wasn't started before its turn.
    pub(crate) of_answer: Option<Duration>,
}

/// Everything the requests duty needs at start.
pub(crate) struct CoreParts {
    pub(crate) clock: Clock,
    pub(crate) protocol: Arc<ProtocolNames>,
    pub(crate) placer: Placer,
    pub(crate) limiter: Limiter,
    /// Divides services that are short of capacity among workspaces.
    /// Shares of workspaces, if the settings turn them on.
    pub(crate) shares: Option<FairShares>,
    pub(crate) member: Member,
    pub(crate) identity: Identity,
    /// Region of each failure domain.
    pub(crate) regions: BTreeMap<FailureDomain, Region>,
    pub(crate) out: Sender<Outgoing>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) stop_begun: StopBegun,
    /// When contention control is on.
    pub(crate) contention_control: ContentionControl,
    /// Model of the VM's uplink, if its rate is configured.
    pub(crate) link: Option<Link>,
    /// Share of the uplink that large responses may use; `None` if its rate isn't configured.
    pub(crate) large_admission: Option<LargeResponseAdmission>,
    /// Number of open caller connections.
    pub(crate) connections: watch::Sender<usize>,
    /// What the VM gives the process.
    pub(crate) vm: VmLimits,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// Seed addresses of the control group, updated when the settings are reloaded.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// Who this gateway is, and where it runs.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) cluster: ClusterId,
    pub(crate) gateway: NodeName,
    pub(crate) domain: FailureDomain,
    pub(crate) region: Region,
}

/// The routes in force, ready for matching.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRoutes {
    /// Version given by the operator.
    pub(crate) version: u64,
    /// Index of the entry in control's log that put them in force.
    pub(crate) revision: u64,
    /// Number of routes.
    pub(crate) route_count: usize,
    /// The control replica that sent them.
    pub(crate) from: SocketAddr,
    /// When they were received.
    pub(crate) since: Moment,
    pub(crate) matcher: Matcher,
    pub(crate) bounds: CallerBounds,
    pub(crate) keys: KeyIndex,
    /// Whether requests need a key, except on public routes.
    pub(crate) needs_keys: bool,
}

impl ActiveRoutes {
    fn new(table: &Table, (version, revision): (u64, u64), from: SocketAddr, now: Moment) -> Self {
        Self {
            version,
            revision,
            route_count: table.routes.len(),
            from,
            since: now,
            matcher: Matcher::new(table),
            bounds: table.bounds,
            keys: KeyIndex::new(&table.workspaces),
            needs_keys: !table.workspaces.is_empty(),
        }
    }
}

/// Origin and delay of the updates of one message, for the log.
struct UpdateSource {
    from: SocketAddr,
    /// Time from the first announcement of the update, and the requests made for it.
    delay: UpdateDelay,
    /// Version stamp of the endpoint list that is now held.
    list_stamp: Stamp,
}

/// State of the requests duty.
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) protocol: Arc<ProtocolNames>,
    pub(crate) client: Client,
    /// Memory of the responses that are buffered.
    pub(crate) body_memory: Rc<BodyMemory>,
    /// Connections of callers, and what they make the gateway hold.
    pub(crate) callers: Rc<Clients>,
    /// The same for gateways that relay requests.
    pub(crate) relaying: Rc<Clients>,
    /// Memory of what is read ahead on callers' connections.
    pub(crate) ahead_memory: Rc<Memory>,
    pub(crate) placer: RefCell<Placer>,
    /// Requests that wait while their service is congested.
    pub(crate) waiting: Waiting,
    /// How long requests usually take.
    pub(crate) usual_times: RefCell<UsualTimes>,
    /// Keeps workspaces within their allotments.
    limiter: RefCell<Limiter>,
    /// Divides services that are short of capacity among workspaces.
    shares: Option<RefCell<FairShares>>,
    /// Refused requests by workspace, for the report to control.
    refusals: RefCell<RefusalMeter>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// When contention control is on.
    contention_control: ContentionControl,
    /// Model of the VM's uplink, if its rate is configured.
    link: Option<RefCell<Link>>,
    large_admission: Option<RefCell<LargeResponseAdmission>>,
    /// Compares the uplink's utilisation with other gateways'.
    balancer: RefCell<ConnectionBalancer>,
    pub(crate) identity: Identity,
    /// Gateways that requests can be relayed through.
    pub(crate) helpers: RefCell<Helpers>,
    /// Number of times that contact with endpoints was lost.
    contact_losses: watch::Sender<u32>,
    /// State of the protocol with the control replicas.
    member: RefCell<Member>,
    active_routes: RefCell<Option<Rc<ActiveRoutes>>>,
    bounds: watch::Sender<Option<CallerBounds>>,
    out: Sender<Outgoing>,
    phase: watch::Sender<Phase>,
    stop_begun: StopBegun,
    connections: watch::Sender<usize>,
    /// Number of requests being handled.
    running: Cell<usize>,
    seeds: RefCell<watch::Receiver<Vec<SocketAddr>>>,
    /// Whether no control replica has been heard from within [`CONTROL_TIMEOUT`].
    control_silent: Cell<bool>,
    /// When the endpoint list last changed.
    list_changed_at: Cell<Moment>,
    /// Number of gateways that the retry floor was last divided by; `None` if this one had no part
    /// of it.
    floor_divisor: Cell<Option<u32>>,
    /// When an endpoint last answered; `None` if none has.
    answered_at: Cell<Option<Moment>>,
    /// When the last proof of contact with control's leader was asked for; `None` without one.
    leader_proven_at: Cell<Option<Moment>>,
    /// Endpoints that have named something else than a rate as their limit, or than a time as their rest.
    invalid_limits: RefCell<BTreeSet<EndpointId>>,
    invalid_rests: RefCell<BTreeSet<EndpointId>>,
    /// Rate limit of the log lines about rejected requests, by result code.
    log_limiter: RefCell<LogRateLimiter<ResultCode>>,
    /// Rate limit of the log lines about requests that waited for others of their connection.
    line_log_limiter: RefCell<LogRateLimiter<()>>,
}

/// Counts a request as running until dropped.
pub(crate) struct RequestGuard(Rc<Core>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Counts a caller's connection as open until dropped.
pub(crate) struct ConnectionGuard(Rc<Core>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.send_modify(|open| *open -= 1);
    }
}

impl Core {
    pub(crate) fn new(parts: CoreParts) -> Rc<Self> {
        let clients = |port, bounds| Clients::new(port, bounds, parts.metrics.clients().port(port));
        Rc::new(Self {
            callers: clients(Port::Callers, parts.vm.callers()),
            relaying: clients(Port::Relay, parts.vm.others()),
            clock: parts.clock,
            protocol: parts.protocol,
            client: Client::with_connect_timeout(CONNECT_TIMEOUT),
            placer: RefCell::new(parts.placer),
            waiting: Waiting::new(rand::random()),
            usual_times: RefCell::default(),
            limiter: RefCell::new(parts.limiter),
            shares: parts.shares.map(RefCell::new),
            refusals: RefCell::default(),
            metrics: parts.metrics,
            contention_control: parts.contention_control,
            link: parts.link.map(RefCell::new),
            body_memory: Rc::default(),
            ahead_memory: Memory::new(MAX_AHEAD_MEMORY),
            large_admission: parts.large_admission.map(RefCell::new),
            balancer: RefCell::default(),
            helpers: RefCell::new(Helpers::new(&parts.identity, parts.regions)),
            identity: parts.identity,
            contact_losses: watch::Sender::new(0),
            member: RefCell::new(parts.member),
            active_routes: RefCell::new(None),
            bounds: watch::Sender::new(None),
            out: parts.out,
            phase: parts.phase,
            stop_begun: parts.stop_begun,
            connections: parts.connections,
            running: Cell::new(0),
            seeds: RefCell::new(parts.seeds),
            control_silent: Cell::new(true),
            list_changed_at: Cell::new(Moment::ZERO),
            floor_divisor: Cell::new(None),
            answered_at: Cell::new(None),
            leader_proven_at: Cell::new(None),
            invalid_limits: RefCell::default(),
            invalid_rests: RefCell::default(),
            log_limiter: RefCell::new(LogRateLimiter::new(LOG_LINES_PER_SECOND)),
            line_log_limiter: RefCell::new(LogRateLimiter::new(LOG_LINES_PER_SECOND)),
        })
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Accounts for the bytes of a short message sent on the uplink.
    pub(crate) fn record_sent(&self, bytes: usize) {
        if let Some(admission) = &self.large_admission {
            admission.borrow_mut().record_short(bytes);
        }
        self.record_sent_chunk(bytes);
    }

    /// Accounts for bytes of a large response sent on the uplink.
    pub(crate) fn record_sent_chunk(&self, bytes: usize) {
        if let Some(link) = &self.link {
            link.borrow_mut().record_sent(self.now(), bytes);
        }
    }

    /// Admits a large response, or returns the time after which the uplink has room for it.
    /// With `is_retry`, for a caller's repeated attempt, it may borrow from the next second.
    pub(crate) fn admit_large(&self, is_retry: bool) -> Result<(), Duration> {
        match &self.large_admission {
            Some(admission) => admission.borrow_mut().admit(self.now(), is_retry),
            None => Ok(()),
        }
    }

    /// Records the length of a large response.
    pub(crate) fn record_large(&self, bytes: u64) {
        if let Some(admission) = &self.large_admission {
            admission.borrow_mut().record_large(bytes);
        }
    }

    /// Time until the uplink is free for the next chunk of a large response; `None` if it is
    /// free.
    pub(crate) fn link_busy_for(&self) -> Option<Duration> {
        let now = self.now();
        let at = self.link.as_ref()?.borrow().next_chunk_at(now)?;
        Some(at.saturating_sub(now))
    }

    /// Utilisation of the uplink in thousandths.
    fn link_milli(&self, now: Moment) -> u32 {
        let link = self.link.as_ref();
        let used = link.map_or(0.0, |link| link.borrow_mut().utilisation(now));
        self.balancer.borrow_mut().set_utilisation(used);
        (used * 1000.0) as u32
    }

    /// Whether the response being sent should close the caller's connection, so that the caller
    /// reconnects and may reach another gateway.
    pub(crate) fn should_close_connection(&self) -> bool {
        self.is_leaving() || self.balancer.borrow_mut().should_close(self.now())
    }

    /// Largest chunk of a large response to send at once, in bytes.
    pub(crate) fn max_chunk(&self) -> usize {
        let link = self.link.as_ref();
        link.map_or(usize::MAX, |link| link.borrow().max_chunk())
    }

    /// The routes in force, or `None` until control has sent any.
    pub(crate) fn active_routes(&self) -> Option<Rc<ActiveRoutes>> {
        self.active_routes.borrow().clone()
    }

    /// Whether a recent proof shows that the active routes are the newest. Only then may a
    /// request that they don't allow be rejected permanently.
    pub(crate) fn is_proven(&self) -> bool {
        self.member.borrow().is_proven(self.now())
    }

    /// Decides whether a workspace's allotment has room for a request.
    pub(crate) fn admit(&self, workspace: &Workspace) -> Admission {
        self.admit_by(|limiter, now, contact| limiter.admit(now, workspace, contact))
    }

    /// Decides whether a workspace's allotment has room for a further attempt of a request.
    pub(crate) fn admit_retry(&self, workspace: &Workspace) -> Admission {
        self.admit_by(|limiter, now, contact| limiter.admit_retry(now, workspace, contact))
    }

    fn admit_by(
        &self,
        decide: impl FnOnce(&mut Limiter, Moment, Contact) -> Admission,
    ) -> Admission {
        let now = self.now();
        let contact = match self.member.borrow().has_current_totals(now) {
            true => Contact::Current,
            false => Contact::Alone {
                gateways: self.placer.borrow().gateway_count(now),
            },
        };
        let mut limiter = self.limiter.borrow_mut();
        let admission = decide(&mut limiter, now, contact);
        if limiter.is_report_due() {
            self.member.borrow_mut().hasten_report();
        }
        admission
    }

    /// Decides whether a workspace's request exceeds its share of a service that is short of capacity.
    /// Returns the work that is expected of the request if it is admitted; `None` while contention
    /// control is off.
    pub(crate) fn admit_share(
        &self,
        service: &ServiceName,
        workspace: &Workspace,
        priority: u8,
    ) -> Result<Option<Duration>, Duration> {
        let placer = self.placer.borrow();
        let Some(shares) = self.shares.as_ref().filter(|_| placer.contention_control()) else {
            return Ok(None);
        };
        let Some(work) = placer.mean_work(service) else {
            return Ok(None);
        };
        drop(placer);
        let offer = Offer {
            service,
            workspace,
            priority,
            work,
        };
        match shares.borrow_mut().admit(self.now(), offer) {
            Admission::Admitted => Ok(Some(work)),
            Admission::Refused { retry_after } => Err(retry_after),
        }
    }

    /// Records that a workspace's request was rejected and may come back.
    pub(crate) fn record_share_rejected(
        &self,
        service: &ServiceName,
        from: (&Workspace, u8),
        retry_after: Duration,
    ) {
        let placer = self.placer.borrow();
        if let Some(work) = placer.mean_work(service)
            && placer.contention_control()
            && let Some(shares) = &self.shares
        {
            let mut shares = shares.borrow_mut();
            shares.record_rejected(self.now(), service, from, (work, retry_after));
        }
    }

    /// Counts the work of a workspace's request that was answered.
    pub(crate) fn record_share_served(&self, service: &ServiceName, work: Duration) {
        if let Some(shares) = &self.shares {
            shares.borrow_mut().record_served(self.now(), service, work);
        }
    }

    /// Records that a request was rejected or timed out, as happens when a service is short of capacity.
    /// An attempt that a full endpoint refuses doesn't count by itself: another one may serve the request.
    pub(crate) fn record_shortage(&self, service: &ServiceName) {
        let is_on = self.placer.borrow().contention_control();
        let Some(shares) = self.shares.as_ref().filter(|_| is_on) else {
            return;
        };
        if shares.borrow_mut().record_shortage(self.now(), service) {
            self.member.borrow_mut().hasten_report();
        }
    }

    /// Takes a retry from the service's budget if there is one left.
    pub(crate) fn try_spend_retry(&self, now: Moment, service: &ServiceName) -> RetryDecision {
        let decision = self.placer.borrow_mut().try_spend_retry(now, service);
        self.metrics.record_retry(service, decision.is_granted());
        decision
    }

    /// Whether a request may be sent to an endpoint; if not, the time after which it may be at the
    /// earliest.
    pub(crate) fn check_request(&self, request: RequestPrints) -> Result<(), Duration> {
        let now = self.now();
        self.placer.borrow_mut().check_request(now, request)
    }

    /// Logs what the end of a run says about its request, and tells control soon if that may concern
    /// other gateways.
    pub(crate) fn note_verdict(&self, request: Fingerprint, verdict: RunVerdict) {
        match verdict {
            RunVerdict::Unchanged => {}
            RunVerdict::Cleared => {
                debug!(fingerprint:% = request; "request answered, no longer suspected");
            }
            RunVerdict::Suspected(endpoints) => {
                if endpoints > 1 {
                    info!(fingerprint:% = request, endpoints;
                        "request suspected, connections broke while endpoints ran it");
                    self.member.borrow_mut().hasten_report();
                }
            }
        }
    }

    /// Logs that what an endpoint names as its limit isn't a rate, once for each of a bounded number of
    /// endpoints.
    pub(crate) fn log_invalid_limit(&self, endpoint: &EndpointId) {
        if is_first(&self.invalid_limits, endpoint) {
            warn!(endpoint:% = endpoint; "limit of an endpoint isn't a rate, ignored");
        }
    }

    /// Logs that what an endpoint asks for as its rest isn't a number of seconds, as often.
    pub(crate) fn log_invalid_rest(&self, endpoint: &EndpointId) {
        if is_first(&self.invalid_rests, endpoint) {
            warn!(endpoint:% = endpoint; "rest of an endpoint isn't a number of seconds, ignored");
        }
    }

    fn log_ended_rests(&self, now: Moment) {
        let mut placer = self.placer.borrow_mut();
        for endpoint in placer.take_ended_rests(now) {
            info!(endpoint:%; "rest of an endpoint is over");
        }
        self.metrics
            .set_resting_endpoints(placer.resting_endpoints(now));
        self.metrics.set_longest_rest(placer.longest_rest(now));
        self.metrics
            .set_leaving_endpoints(placer.leaving_endpoints());
    }

    fn log_object_changes(&self, now: Moment) {
        let mut placer = self.placer.borrow_mut();
        for change in placer.take_object_changes() {
            info!(service:% = change.service, in_each_domain = change.in_each_domain,
                objects = change.objects; "distribution of objects changed");
        }
        self.metrics
            .set_slowed_endpoints(placer.slowed_endpoints(now));
        self.metrics
            .set_replicated_objects(placer.replicated_objects());
    }

    fn expire_suspicions(&self, now: Moment) {
        let mut placer = self.placer.borrow_mut();
        for request in placer.expire_suspicions(now) {
            warn!(fingerprint:% = request; "request quarantined, the endpoints that ran it are gone");
        }
        self.metrics
            .set_suspected_requests(placer.suspected_requests());
    }

    /// Records how a retry ended that was granted.
    pub(crate) fn end_retry(&self, service: &ServiceName, id: RetryId, end: RetryEnd) {
        let now = self.now();
        self.placer.borrow_mut().end_retry(now, service, id, end);
    }

    /// Records that an earlier attempt of the request that was granted this retry has ended without an
    /// answer.
    pub(crate) fn record_earlier_attempt(
        &self,
        service: &ServiceName,
        id: RetryId,
        holder: Holder,
    ) {
        let now = self.now();
        let mut placer = self.placer.borrow_mut();
        placer.record_earlier_attempt(now, service, id, holder);
    }

    /// Counts a retry that was sent for another gateway and ended without an answer.
    pub(crate) fn record_foreign_retry(&self, service: &ServiceName, holder: Holder) {
        let now = self.now();
        let mut placer = self.placer.borrow_mut();
        placer.record_foreign_retry(now, service, holder);
    }

    /// Age of the last proof of contact with control's leader; `None` without one.
    pub(crate) fn leader_proof_age(&self) -> Option<Duration> {
        let proven_at = self.leader_proven_at.get()?;
        Some(self.now().saturating_sub(proven_at))
    }

    fn record_proof(
        &self,
        placer: &mut Placer,
        now: Moment,
        asked_at: Moment,
        gateways: Option<u32>,
    ) {
        placer.record_proof(now, asked_at, gateways);
        let last = self.leader_proven_at.get();
        self.leader_proven_at.set(last.max(Some(asked_at)));
    }

    /// Logs and publishes a change of the number that the retry floor is divided by.
    fn log_floor_divisor(&self, divisor: Option<u32>) {
        let before = self.floor_divisor.replace(divisor);
        if before != divisor {
            let proven_ms = self.leader_proof_age().map(|age| age.as_millis());
            info!(gateways = divisor, before, proven_ms; "number of gateways sharing the retry floor");
        }
        self.metrics.set_floor_divisor(divisor.unwrap_or(0));
    }

    /// Takes an attempt that no endpoint has run off its workspace's allotment.
    pub(crate) fn refund(&self, workspace: &Workspace) {
        self.limiter.borrow_mut().refund(self.now(), workspace);
    }

    /// Counts the final answer to a request of a workspace.
    pub(crate) fn record_answer(&self, workspace: &Workspace, code: ResultCode) {
        self.metrics.record_workspace_request(workspace, code);
        if code.meaning() == Meaning::NotRun {
            let now = self.now();
            self.refusals.borrow_mut().record(now, workspace, code);
        }
    }

    /// Age of the proof that the active routes are the newest, counted from when it was
    /// requested; `None` without a proof.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        let proven_at = self.member.borrow().proven_at()?;
        Some(self.now().saturating_sub(proven_at))
    }

    /// Records that an endpoint has answered.
    pub(crate) fn record_answered(&self) {
        self.answered_at.set(Some(self.now()));
    }

    /// Time since an endpoint last answered; `None` if none has.
    pub(crate) fn since_answered(&self) -> Option<Duration> {
        let answered_at = self.answered_at.get()?;
        Some(self.now().saturating_sub(answered_at))
    }

    /// Subscribes to losses of contact with endpoints.
    pub(crate) fn contact_losses(&self) -> watch::Receiver<u32> {
        self.contact_losses.subscribe()
    }

    /// Tells the requests under way that contact with some endpoints is lost.
    pub(crate) fn notify_contact_lost(&self) {
        self.contact_losses
            .send_modify(|losses| *losses = losses.wrapping_add(1));
    }

    /// Subscribes to the request bounds of the active routes.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds.subscribe()
    }

    /// Milliseconds since the endpoint list last changed, and since a control replica was last
    /// heard from.
    pub(crate) fn data_ages(&self) -> (u128, u128) {
        let now = self.now();
        let last_seen = self.member.borrow().control_last_seen().unwrap_or_default();
        let since = |at: Moment| now.saturating_sub(at).as_millis();
        (since(self.list_changed_at.get()), since(last_seen))
    }

    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// When a request arrived, seen from a planned stop.
    pub(crate) fn stop_stage(&self, arrived: Instant) -> StopStage {
        self.stop_begun.stage(arrived)
    }

    /// Whether a request that arrived before a planned stop is known to take longer than the process has left.
    pub(crate) fn outlasts_stop(&self, route: &TimedRoute<'_>, deadline: Deadline) -> bool {
        let Some(times) = self.stop_begun.get() else {
            return false;
        };
        let left = times.expected_by.saturating_duration_since(Instant::now());
        let usual = self.usual_times.borrow().usual(route);
        deadline.remaining() > left && usual.is_some_and(|usual| usual > left)
    }

    /// By when a request must be answered that is passed on now; `None` if the process may have stopped before the
    /// request ends.
    pub(crate) fn deadline_in_stop(
        &self,
        stage: StopStage,
        route: &TimedRoute<'_>,
        deadline: Deadline,
    ) -> Option<Deadline> {
        let Some(times) = self.stop_begun.get() else {
            return Some(deadline);
        };
        let left = times.expected_by.saturating_duration_since(Instant::now());
        let remaining = deadline.remaining();
        let ends_in_time = match stage {
            StopStage::Before => true,
            StopStage::Early => self.usual_times.borrow().fits(route, remaining, left),
            StopStage::Late => remaining <= left,
        };
        ends_in_time.then(|| match stage {
            StopStage::Before => deadline,
            StopStage::Early | StopStage::Late => deadline.no_later_than(times.answer_by),
        })
    }

    /// The current phase, and whether the data held here suffices to serve requests.
    pub(crate) fn serving_state(&self) -> (Phase, bool) {
        let informed = self.member.borrow().is_synced(self.now());
        (*self.phase.borrow(), informed)
    }

    /// Whether a line about a rejection with this code may be logged now: the number of lines
    /// suppressed before it, or `None` if this one is to be suppressed too.
    pub(crate) fn may_log(&self, code: ResultCode) -> Option<u64> {
        self.log_limiter.borrow_mut().allow(self.now(), code)
    }

    pub(crate) fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.running.set(self.running.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    pub(crate) fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.send_modify(|open| *open += 1);
        ConnectionGuard(Rc::clone(self))
    }

    /// Applies a message from a control replica.
    pub(crate) fn handle_message(&self, received: ControlMessage) {
        let now = self.now();
        if self.control_silent.replace(false) {
            info!(from:% = received.from; "control replica reachable");
        }
        let mut member = self.member.borrow_mut();
        let (out, updates) = member.receive(now, received.from, received.message);
        self.send(out);
        let source = UpdateSource {
            from: received.from,
            delay: member.delay(),
            list_stamp: member.revisions().endpoints,
        };
        drop(member);
        for update in updates {
            self.apply(now, &source, update);
        }
        self.start_serving_if_ready(now);
    }

    /// Enters the phase `Serving` once routes and endpoints are known.
    fn start_serving_if_ready(&self, now: Moment) {
        if !self.member.borrow().is_synced(now) {
            return;
        }
        self.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Serving;
                info!("gateway ready");
            }
            starting
        });
    }

    /// Applies an update of routes, endpoints or figures of other gateways.
    fn apply(&self, now: Moment, source: &UpdateSource, update: Update) {
        let mut placer = self.placer.borrow_mut();
        let UpdateSource {
            from,
            delay,
            list_stamp,
        } = *source;
        let (questions, since_heard_of) = (delay.requests, delay.since_announced.as_millis());
        match update {
            Update::Routes {
                revision,
                version,
                table,
            } => {
                self.metrics.set_routes_version(version);
                info!(version, revision, routes = table.routes.len(), from:%, since_heard_of,
                    questions; "routes in force");
                placer.set_routes(&table);
                self.usual_times.borrow_mut().set_routes(&table);
                self.limiter.borrow_mut().set_workspaces(&table.workspaces);
                if let Some(shares) = &self.shares {
                    shares.borrow_mut().set_routes(&table);
                }
                let active_routes = ActiveRoutes::new(&table, (version, revision), from, now);
                self.active_routes.replace(Some(Rc::new(active_routes)));
                let bounds = Some(table.bounds);
                self.bounds
                    .send_if_modified(|current| std::mem::replace(current, bounds) != bounds);
            }
            Update::Evacuated(domains) => {
                info!(domains:? = domains; "evacuated failure domains");
                placer.set_evacuated(now, domains);
            }
            Update::Endpoints(list) => {
                self.list_changed_at.set(now);
                self.metrics.set_endpoints(list.len());
                info!(endpoints = list.len(), term = list_stamp.term, seq = list_stamp.seq, from:%,
                    since_heard_of, questions; "list of endpoints");
                let replaced = placer.set_endpoints(now, list);
                self.close_connections(&replaced);
            }
            Update::EndpointsChanged(change) => {
                self.list_changed_at.set(now);
                info!(changed = change.changed.len(), gone = change.gone.len(),
                    term = list_stamp.term, seq = list_stamp.seq, from:%, since_heard_of, questions;
                    "list of endpoints changed");
                let replaced = placer.change_endpoints(now, change);
                self.close_connections(&replaced);
                self.metrics.set_endpoints(placer.endpoint_count());
            }
            Update::Gateways(counts) => placer.set_gateways(now, &counts),
            Update::Demand(demand) => placer.set_demand(now, &demand),
            Update::Proven { asked_at, gateways } => {
                self.record_proof(&mut placer, now, asked_at, gateways);
            }
            Update::ReportAnswered => self.limiter.borrow_mut().confirm_report(),
            Update::Ratios(ratios) => self.limiter.borrow_mut().set_ratios(now, from, &ratios),
            Update::Shares(told) => {
                if let Some(shares) = &self.shares {
                    shares.borrow_mut().set(now, from, told);
                }
            }
            Update::Suspicions(told) => placer.set_suspicions(now, told),
            Update::Contended => self.enable_contention_control(&mut placer, "control"),
            Update::Helpers(list) => self.helpers.borrow_mut().set(list),
            Update::Links(milli) => {
                let mean = milli.map(|milli| f64::from(milli) / 1000.0);
                self.balancer.borrow_mut().set_mean_utilisation(now, mean);
            }
        }
    }

    /// Records that a caller has sent a request before its previous one was answered. Other gateways
    /// learn of it through control.
    pub(crate) fn record_sent_ahead(&self) {
        self.member.borrow_mut().set_contended();
        self.enable_contention_control(&mut self.placer.borrow_mut(), "caller");
    }

    /// Records a request that was sent ahead, once it is answered.
    pub(crate) fn record_pipelined(&self, head: &Parts, waited: InLine) {
        let ran_beside = waited.of_answer.is_some();
        self.metrics.record_pipelined(match ran_beside {
            true => "beside",
            false => "after",
        });
        let of_answer = waited.of_answer.unwrap_or_default();
        if waited.before_start.max(of_answer) < MIN_LOGGED_WAIT {
            return;
        }
        let omitted = self.line_log_limiter.borrow_mut().allow(self.now(), ());
        if let Some(omitted) = omitted {
            let id = header_text(&head.headers, &self.protocol.request_id);
            info!(request = truncate(id), before_start_ms = waited.before_start.as_millis(),
                answer_ms = of_answer.as_millis(), omitted; "request waited in line");
        }
    }

    /// Turns contention control on, unless the settings say otherwise.
    fn enable_contention_control(&self, placer: &mut Placer, told_by: &'static str) {
        if self.contention_control == ContentionControl::Auto && !placer.contention_control() {
            placer.enable_contention_control();
            info!(told_by; "contention control is on");
        }
    }

    /// Closes idle connections to processes of endpoints that have since restarted. A
    /// non-idempotent request sent on one would be lost without a way to tell whether it ran.
    fn close_connections(&self, replaced: &[SocketAddr]) {
        for addr in replaced {
            info!(addr:%; "an endpoint has started anew");
            self.client.close_idle(*addr);
        }
    }

    fn report_body_memory(&self) {
        self.metrics.set_body_memory(self.body_memory.used());
        let relief = self.body_memory.take_relief();
        let counts = [
            ("streamed", relief.streamed),
            ("ended", relief.ended),
            ("dropped", relief.dropped),
        ];
        for (how, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            self.metrics.record_unbuffered(how, count);
            info!(how, count, used = self.body_memory.used(); "memory for responses is short");
        }
    }

    /// Advances the exchange with control, and sends a report if one is due.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.start_serving_if_ready(now);
        self.report_body_memory();
        let mut member = self.member.borrow_mut();
        let mut seeds = self.seeds.borrow_mut();
        if seeds.has_changed().unwrap_or(false) {
            member.set_seeds(seeds.borrow_and_update().iter().copied());
        }
        let ready = *self.phase.borrow() == Phase::Serving;
        member.set_ready(ready);
        self.metrics.set_ready(ready);
        let is_cut_off = self.placer.borrow().is_cut_off();
        member.set_helps(ready && !is_cut_off);
        self.metrics.set_cut_off(is_cut_off);
        self.metrics.set_routes_proven(member.is_proven(now));
        self.metrics.set_running(self.running.get());
        self.log_floor_divisor(self.placer.borrow().floor_divisor(now));
        let unanswered = self.placer.borrow().unanswered_retries(now);
        self.metrics.set_unanswered_retries(unanswered);
        self.expire_suspicions(now);
        let limited = self.placer.borrow().limited_endpoints();
        self.metrics.set_limited_endpoints(limited);
        self.log_ended_rests(now);
        self.waiting.tick(self);
        if let Some(shares) = &self.shares {
            shares.borrow_mut().tick(now, &self.metrics);
        }
        self.log_object_changes(now);
        let placer = &self.placer;
        let out = member.tick(now, || {
            let mut placer = placer.borrow_mut();
            placer.update_plans(now);
            // Computing the estimates costs more than the log line.
            let estimates = match log_enabled!(Level::Debug) {
                true => placer.estimates(now),
                false => Vec::new(),
            };
            for estimate in estimates {
                debug!(service:% = estimate.service, away:? = estimate.remote_shares,
                    times:? = estimate.response_times, demand:? = estimate.demand,
                    capacity:? = estimate.capacity; "plan");
            }
            Load {
                demand: placer.take_demand(now),
                usage: self.limiter.borrow_mut().usage(now),
                refused: self.refusals.borrow_mut().report(now),
                work: match &self.shares {
                    Some(shares) => shares.borrow_mut().report(now),
                    None => Vec::new(),
                },
                link_milli: self.link_milli(now),
                suspicions: placer.suspicions(now),
            }
        });
        let silent = member
            .control_last_seen()
            .is_some_and(|at| now >= at + CONTROL_TIMEOUT);
        if silent && !self.control_silent.replace(true) {
            warn!("no control replica reachable");
        }
        drop(member);
        self.send(out);
    }

    fn send(&self, out: Vec<Outbound>) {
        for (to, message) in out {
            let body = Body::Fleet(message);
            // Dropped if the queue is full; reports and pulls are repeated.
            let _ = self.out.push(Outgoing { to, body });
        }
    }
}

/// Whether an endpoint is to be logged that has sent an invalid value: once each, and not too many.
fn is_first(logged: &RefCell<BTreeSet<EndpointId>>, endpoint: &EndpointId) -> bool {
    let mut logged = logged.borrow_mut();
    logged.len() < MAX_INVALID_LOGGED && logged.insert(endpoint.clone())
}
