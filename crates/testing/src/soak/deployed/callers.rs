//! Callers of a deployment: each sends requests at its rate, whether earlier ones were answered late
//! or not, and repeats those that failed.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, sleep_until, timeout};

use super::deployment::{Deployment, ServiceSpec};
use super::plan::LoadChange;
use crate::client::{Answer, Call, CallError};
use crate::cluster::Place;
use crate::site::HOST;
use crate::soak::callers::{GatewayConnection, connect, connect_to, outcome_of, told};
use crate::soak::history::{CallerRequest, RequestOutcome};
use crate::soak::shared::SharedState;
use crate::soak::violations::NOT_RUN;

/// Number of distinct objects of a service.
const OBJECTS: u32 = 50;
/// Time that a caller waits beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(100);
/// A caller that is later than this leaves out the requests that it is behind.
const MAX_BEHIND: Duration = Duration::from_secs(2);
/// Pause of a caller that finds no gateway.
const NO_GATEWAY_PAUSE: Duration = Duration::from_millis(200);
/// One caller in this many repeats at once and often while callers abuse retries.
const ABUSER_EVERY: usize = 3;
/// Times that such a caller repeats a request, and any other.
const ABUSIVE_REPEATS: u32 = 4;
const REPEATS: u32 = 1;
/// One caller in this many looks gateways up again after this time.
const FOLLOWER_EVERY: usize = 3;
const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// One caller in this many keeps its look-ups, if the deployment's callers do.
const KEEPER_EVERY: usize = 3;
/// One caller in this many belongs to the workspace with an allotment, if not all have one.
const LIMITED_EVERY: usize = 12;

/// What callers currently do.
#[derive(Debug)]
pub(super) struct LoadState {
    factor_milli: AtomicU32,
    abuse: AtomicBool,
    /// One caller in this many leaves early; none if it is 0.
    leaver_every: AtomicUsize,
    moved: Mutex<Option<(usize, usize)>>,
}

impl Default for LoadState {
    fn default() -> Self {
        Self {
            factor_milli: AtomicU32::new(1000),
            abuse: AtomicBool::new(false),
            leaver_every: AtomicUsize::new(0),
            moved: Mutex::new(None),
        }
    }
}

impl LoadState {
    pub(super) fn apply(&self, change: LoadChange) {
        match change {
            LoadChange::Factor(factor) => {
                self.factor_milli
                    .store((factor * 1000.0) as u32, Ordering::Relaxed);
            }
            LoadChange::Abuse(abuse) => self.abuse.store(abuse, Ordering::Relaxed),
            LoadChange::LeaverEvery(every) => self.leaver_every.store(every, Ordering::Relaxed),
            LoadChange::Move(moved) => {
                *self.moved.lock().unwrap_or_else(PoisonError::into_inner) = moved;
            }
        }
    }

    fn factor(&self) -> f64 {
        f64::from(self.factor_milli.load(Ordering::Relaxed)) / 1000.0
    }

    /// Whether this caller leaves early.
    fn leaves(&self, caller: usize) -> bool {
        let every = self.leaver_every.load(Ordering::Relaxed);
        every > 0 && caller.is_multiple_of(every)
    }

    /// The failure domain that callers of this one look up gateways for.
    fn domain(&self, own: usize) -> usize {
        let moved = *self.moved.lock().unwrap_or_else(PoisonError::into_inner);
        match moved {
            Some((from, to)) if from == own => to,
            _ => own,
        }
    }
}

/// A caller.
pub(super) struct Caller {
    pub(super) shared: Arc<SharedState>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) load: Arc<LoadState>,
    /// Index of its failure domain.
    pub(super) domain: usize,
    /// Its number among all callers.
    pub(super) number: usize,
    pub(super) rng: StdRng,
    /// The gateway that it has found, by its index, and when.
    found: Option<(usize, Instant)>,
}

/// A request of a caller, which may be sent several times under ids of their own.
struct Wanted<'a> {
    service: &'a ServiceSpec,
    path: String,
    object: String,
    key: String,
    workspace: Option<String>,
    deadline: Instant,
}

impl Caller {
    pub(super) fn new(
        shared: &Arc<SharedState>,
        deployment: &Arc<Deployment>,
        load: &Arc<LoadState>,
        (domain, number): (usize, usize),
        seed: u64,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            deployment: Arc::clone(deployment),
            load: Arc::clone(load),
            domain,
            number,
            rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1)),
            found: None,
        }
    }

    /// Sends requests until the soak is over.
    pub(super) async fn run(mut self) {
        let deployment = Arc::clone(&self.deployment);
        let domain = &deployment.domains[self.domain];
        let interval = domain.callers as f64 / domain.requests;
        let mut connection = None;
        let mut looked_up = Instant::now();
        let mut due = Instant::now();
        let mut count = 0;
        while !self.shared.is_over() {
            let chance = 1.0 - self.rng.random::<f64>();
            due += Duration::from_secs_f64(-chance.ln() * interval / self.load.factor());
            due = due.max(Instant::now().checked_sub(MAX_BEHIND).unwrap_or(due));
            sleep_until(due.into()).await;
            count += 1;
            let wanted = self.draw(&deployment, count);
            if self.follows_lookups() && looked_up.elapsed() >= LOOKUP_TTL {
                connection = None;
            }
            if self.found.is_some_and(|found| !self.may_use(found)) {
                connection = None;
            }
            if connection.is_none() {
                looked_up = Instant::now();
            }
            connection = self.serve(connection, &wanted, count).await;
        }
    }

    /// Whether it looks gateways up again and again. Others keep their gateway while it answers.
    fn follows_lookups(&self) -> bool {
        self.number.is_multiple_of(FOLLOWER_EVERY)
    }

    fn draw<'a>(&mut self, deployment: &'a Deployment, count: usize) -> Wanted<'a> {
        let mut left = self.rng.random::<f64>();
        let services = &deployment.services;
        let found = services.iter().find(|service| {
            left -= service.share;
            left < 0.0
        });
        let service = found.unwrap_or(&services[0]);
        let object = self.rng.random_range(0..OBJECTS);
        let query = match service.bytes {
            0 => "page=1".to_owned(),
            bytes => format!("bytes={bytes}"),
        };
        let workspaces = deployment.workspaces;
        let member = match workspaces.limited_from {
            0 => self.number,
            _ if self.number % LIMITED_EVERY == LIMITED_EVERY - 1 => workspaces.limited_from,
            unlimited => self.number % unlimited,
        };
        let (key, workspace) = workspaces.key(member, count);
        Wanted {
            service,
            path: format!("/{}/{object}?{query}", service.name),
            object: object.to_string(),
            key,
            workspace,
            deadline: Instant::now() + service.deadline,
        }
    }

    /// Sends a request until it is served, can't be repeated or has been often enough. Returns the
    /// connection if it can be reused.
    async fn serve(
        &mut self,
        mut connection: Option<GatewayConnection>,
        wanted: &Wanted<'_>,
        count: usize,
    ) -> Option<GatewayConnection> {
        let abuses =
            self.number.is_multiple_of(ABUSER_EVERY) && self.load.abuse.load(Ordering::Relaxed);
        let repeats = if abuses { ABUSIVE_REPEATS } else { REPEATS };
        for repeat in 0..=repeats {
            let open = match connection.take() {
                Some(open) => open,
                None => match self.connect().await {
                    Some(open) => open,
                    None => {
                        sleep(NO_GATEWAY_PAUSE).await;
                        return None;
                    }
                },
            };
            let id = format!("c{}-{count}-{repeat}", self.number);
            let (reusable, outcome, retry_after) = self.send(open, wanted, id).await;
            if !may_repeat(wanted.service, outcome) {
                return reusable;
            }
            let left = wanted.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.shared.is_over() {
                return None;
            }
            if !abuses {
                sleep(retry_after.min(left / 3)).await;
            }
        }
        None
    }

    /// Whether it uses an address for a time of its own, whatever its gateway asks.
    fn keeps_lookups(&self) -> bool {
        !self.deployment.limits.kept_lookups.is_zero() && self.number % KEEPER_EVERY == 1
    }

    /// Whether it may still use a gateway that it found then.
    fn may_use(&self, (_, at): (usize, Instant)) -> bool {
        at.elapsed() < self.deployment.limits.kept_lookups
    }

    async fn connect(&mut self) -> Option<GatewayConnection> {
        if let Some(found) = self.found.take()
            && self.may_use(found)
            && let Some(connection) = connect_to(&self.shared, found.0).await
        {
            self.found = Some(found);
            return Some(connection);
        }
        let at = Instant::now();
        let place: &Place = &self.deployment.domains[self.load.domain(self.domain)].place;
        let connection = connect(&self.shared, &mut self.rng, place).await?;
        self.found = self.keeps_lookups().then_some((connection.gateway, at));
        Some(connection)
    }

    async fn send(
        &self,
        mut open: GatewayConnection,
        wanted: &Wanted<'_>,
        id: String,
    ) -> (Option<GatewayConnection>, RequestOutcome, Duration) {
        let service = wanted.service;
        let left = wanted.deadline.saturating_duration_since(Instant::now());
        let body = if service.method() == "POST" {
            "two packs"
        } else {
            ""
        };
        let call = Call::new(service.method(), &wanted.path)
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-affinity-key", &wanted.object)
            .header("x-deadline-ms", &left.as_millis().to_string())
            .header("api-key", &wanted.key)
            .body(body);
        let bound = if self.load.leaves(self.number) {
            service.objective / 2
        } else {
            left + PATIENCE
        };
        let sent = Instant::now();
        let result = timeout(bound, open.connection.send(&call)).await;
        let result = result.unwrap_or(Err(CallError::TimedOut));
        let outcome = outcome_of(&result, service.method(), &wanted.path, body);
        self.shared.history().requests.push(CallerRequest {
            id,
            request_line: format!("{} {}", service.method(), wanted.path),
            sent,
            deadline: Some(wanted.deadline),
            ended: Instant::now(),
            workspace: wanted.workspace.clone(),
            idempotent: service.method() == "GET",
            gateway: open.gateway,
            outcome,
            told: told(&result),
        });
        let retry_after = result.as_ref().map_or(Duration::ZERO, retry_after);
        let reusable = matches!(&result, Ok(answer) if answer.header("connection") != "close");
        (reusable.then_some(open), outcome, retry_after)
    }
}

/// The time that an answer asks the caller to wait; none if it doesn't.
fn retry_after(answer: &Answer) -> Duration {
    let seconds = answer.header("retry-after").parse::<f64>().unwrap_or(0.0);
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Whether a request with this outcome may be sent again.
fn may_repeat(service: &ServiceSpec, outcome: RequestOutcome) -> bool {
    let idempotent = service.method() == "GET";
    match outcome {
        RequestOutcome::Answered { status, .. } if NOT_RUN.contains(&status) => true,
        RequestOutcome::Answered { status, .. } => idempotent && status >= 500,
        RequestOutcome::ConnectFailed => true,
        RequestOutcome::Closed | RequestOutcome::Cut => idempotent,
        RequestOutcome::TimedOut => false,
    }
}
