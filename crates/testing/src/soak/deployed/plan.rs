//! Generates what happens to a deployment, and when, from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::crashing::CrashingRequest;
use super::deployment::Deployment;
use super::trouble::{self, TroubleKind};
use crate::crowd::Unfinished;
use crate::proxy::Flow;
use crate::site::EndpointCommand;
use crate::soak::plan::{Step, Target};

/// Time before the first fault. Gateways have their part of the floor after it.
const INITIAL_DELAY: Duration = Duration::from_secs(16);
/// Time between the starts of two faults, as a factor on the interval asked for.
const INTERVAL_SPREAD: std::ops::Range<f64> = 0.2..1.8;

/// A change of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointAction {
    /// It is killed.
    Kill,
    /// It starts as a new instance if it is down.
    Start,
    /// Its process is suspended.
    Freeze,
    /// Its process is resumed.
    Resume,
    /// It is told a command.
    Command(EndpointCommand),
    /// Its link forwards nothing.
    Hold,
    /// What it is sent is delayed by this many milliseconds.
    Delay(u64),
    /// Its link works again, and its address leads to it again.
    Pass,
    /// It is marked as draining on the list.
    Drain,
    /// Its address leads to the endpoint with this index.
    TakenOverBy(usize),
}

/// A change of what callers do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadChange {
    /// They send this many times as many requests as usual.
    Factor(f64),
    /// Some of them repeat at once and often.
    Abuse(bool),
    /// One in this many leaves before its deadline; none if it is 0.
    LeaverEvery(usize),
    /// Callers of the first failure domain look up gateways for the second one; `None`: all look
    /// them up for their own.
    Move(Option<(usize, usize)>),
}

/// Something that happens to a deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To processes under test or the links between them.
    Process(Step),
    /// To the endpoint with this index.
    Endpoint(usize, EndpointAction),
    /// To what callers do.
    Load(LoadChange),
    /// To the links between these gateways and all endpoints.
    EndpointLinks(Vec<usize>, Flow),
    /// A request that crashes endpoints comes again and again.
    CrashingRequest(CrashingRequest),
    /// The route of the first service leads to the endpoints of the second one, or of its own again.
    MoveRoute(usize, usize),
    /// A crowd comes that stops short of the end of what it sends.
    Crowd(ComingCrowd),
}

/// A crowd of clients at one port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ComingCrowd {
    /// The process.
    pub target: Target,
    /// Key of the port in its `ready` line.
    pub port: &'static str,
    /// What they leave unfinished.
    pub unfinished: Unfinished,
    /// Number of clients.
    pub clients: usize,
    /// How long they stay.
    pub stay: Duration,
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// Time since traffic started.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// All that happens to a deployment in one soak.
#[derive(Clone, Debug, PartialEq)]
pub struct DeployedPlan {
    /// The seed that it was generated from.
    pub seed: u64,
    /// The deployment.
    pub deployment: Deployment,
    /// Time during which faults start.
    pub duration: Duration,
    /// The faults, each with its time.
    pub troubles: Vec<(Duration, TroubleKind)>,
    /// Their actions, sorted by time.
    pub actions: Vec<TimedAction>,
}

/// What goes on beside the faults of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Background {
    None,
    FailingServices,
}

impl DeployedPlan {
    /// Generates the plan of a seed out of faults of these kinds.
    /// The time between the starts of two is drawn around `interval`.
    pub fn new(
        seed: u64,
        deployment: Deployment,
        times: (Duration, Duration),
        kinds: &[TroubleKind],
    ) -> Self {
        Self::generate(seed, deployment, times, kinds, Background::None)
    }

    /// Like [`new`](Self::new), while the endpoints of each service fail again and again, so that retries are
    /// wanted all the time.
    pub fn with_failing_services(
        seed: u64,
        deployment: Deployment,
        times: (Duration, Duration),
        kinds: &[TroubleKind],
    ) -> Self {
        Self::generate(seed, deployment, times, kinds, Background::FailingServices)
    }

    fn generate(
        seed: u64,
        deployment: Deployment,
        (duration, interval): (Duration, Duration),
        kinds: &[TroubleKind],
        background: Background,
    ) -> Self {
        let mut generator = Generator::new(StdRng::seed_from_u64(seed), &deployment);
        let mut troubles = Vec::new();
        let mut at = INITIAL_DELAY;
        while at < duration && !kinds.is_empty() {
            let kind = kinds[generator.rng.random_range(0..kinds.len())];
            trouble::add(&mut generator, kind, at);
            troubles.push((at, kind));
            at += interval.mul_f64(generator.rng.random_range(INTERVAL_SPREAD));
        }
        if background == Background::FailingServices {
            trouble::fail_services(&mut generator, INITIAL_DELAY, duration);
        }
        let mut actions = generator.actions;
        actions.retain(|timed| timed.at < duration);
        actions.sort_by_key(|timed| timed.at);
        Self {
            seed,
            deployment,
            duration,
            troubles,
            actions,
        }
    }
}

/// Draws random actions. The order of draws determines the plan of a seed.
pub(super) struct Generator {
    pub(super) rng: StdRng,
    pub(super) controls: usize,
    pub(super) gateways: usize,
    /// Failure domain of each process and endpoint.
    pub(super) domains: Domains,
    /// Service of each endpoint, by index.
    pub(super) services: Vec<usize>,
    pub(super) service_count: usize,
    /// Name of each service, and whether its requests may run more than once.
    pub(super) service_kinds: Vec<(String, bool)>,
    /// Number of requests so far that crash endpoints.
    pub(super) crashing: usize,
    pub(super) run_times: Vec<Duration>,
    /// Length of a gateway's planned stop.
    pub(super) stop_grace: Duration,
    actions: Vec<TimedAction>,
}

/// Index of the failure domain of each process and endpoint.
pub(super) struct Domains {
    pub(super) count: usize,
    pub(super) controls: Vec<usize>,
    pub(super) gateways: Vec<usize>,
    pub(super) endpoints: Vec<usize>,
}

impl Generator {
    fn new(rng: StdRng, deployment: &Deployment) -> Self {
        let index = |name: &str| {
            let mut domains = deployment.domains.iter();
            let found = domains.position(|domain| domain.place.failure_domain == name);
            found.unwrap_or(0)
        };
        let (controls, gateways) = (deployment.controls(), deployment.gateways());
        let endpoints = endpoints(deployment);
        Self {
            rng,
            controls: controls.len(),
            gateways: gateways.len(),
            domains: Domains {
                count: deployment.domains.len(),
                controls: controls.iter().map(|p| index(&p.failure_domain)).collect(),
                gateways: gateways.iter().map(|p| index(&p.failure_domain)).collect(),
                endpoints: endpoints.iter().map(|(_, name)| index(name)).collect(),
            },
            services: endpoints.iter().map(|(service, _)| *service).collect(),
            service_count: deployment.services.len(),
            service_kinds: deployment
                .services
                .iter()
                .map(|service| (service.name.clone(), service.method() == "GET"))
                .collect(),
            crashing: 0,
            run_times: deployment.services.iter().map(|s| s.work).collect(),
            stop_grace: deployment.limits.stop_grace,
            actions: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, at: Duration, action: Action) {
        self.actions.push(TimedAction { at, action });
    }

    pub(super) fn process(&mut self, at: Duration, step: Step) {
        self.push(at, Action::Process(step));
    }

    pub(super) fn endpoint(&mut self, at: Duration, endpoint: usize, action: EndpointAction) {
        self.push(at, Action::Endpoint(endpoint, action));
    }

    pub(super) fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Endpoints of a service, drawn with this probability each, one at least.
    pub(super) fn draw_endpoints(&mut self, share: f64) -> Vec<usize> {
        let service = self.rng.random_range(0..self.service_count);
        let all: Vec<usize> = (0..self.services.len())
            .filter(|endpoint| self.services[*endpoint] == service)
            .collect();
        let drawn: Vec<usize> = all
            .iter()
            .copied()
            .filter(|_| self.rng.random_bool(share))
            .collect();
        match drawn.is_empty() {
            true => vec![all[self.rng.random_range(0..all.len())]],
            false => drawn,
        }
    }
}

/// Service index and failure domain of each endpoint.
pub(super) fn endpoints(deployment: &Deployment) -> Vec<(usize, String)> {
    let services = deployment.services.iter().enumerate();
    let of_service = services.flat_map(|(service, spec)| {
        let domains = spec.endpoints.iter();
        domains
            .flat_map(move |(domain, count)| std::iter::repeat_n((service, domain.clone()), *count))
    });
    of_service.collect()
}
