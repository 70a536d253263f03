//! Starts a deployment, applies a plan to it and checks the result.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::callers::{Caller, LoadState};
use super::cold::most_while_cold;
use super::contact::{EndpointCut, Tries, find_unserved, tries_during};
use super::crashing::{CrashSummary, crash_summaries, find_unheld};
use super::deployment::{Deployment, ServiceSpec};
use super::faults::{Downtime, Faults};
use super::given_up::{PlannedStop, find_given_up};
use super::grants::{Grants, Ungranted, find_sent_without_retry, find_ungranted};
use super::leaving::{LeavingSummary, find_sent_to_leaving, leaving_summary};
use super::limits::{LimitSummary, find_exceeded, limit_summaries};
use super::plan::{Action, ComingCrowd, DeployedPlan, EndpointAction, endpoints};
use super::rest::{RestSummary, find_unrested, rest_summary};
use super::sent::Senders;
use crate::client::Call;
use crate::proxy::{Direction, Flow, Network};
use crate::runtime;
use crate::site::{
    Behaviour, EndpointCommand, EndpointSpec, HOST, JournalClock, ProcessEndpoint, Records, Site,
    SitePrograms, request,
};
use crate::soak::history::{CallerRequest, History, RequestOutcome, RouteMove};
use crate::soak::nodes::Nodes;
use crate::soak::operators;
use crate::soak::plan::Target;
use crate::soak::retries::{
    Retry, ServiceArrival, WorstWindow, is_within, retries_by_service, worst_windows_with_starts,
};
use crate::soak::shared::SharedState;
use crate::soak::violations::{EndpointRun, Limits, Violation, find_violations};

/// Requests that wait at an endpoint before it rejects others.
/// Memory that processes may use by default, in bytes.
const PROCESS_MEMORY: u64 = 256 * 1024 * 1024;
const QUEUE: u32 = 9;
/// Requests that an endpoint runs at once.
const SLOTS: u32 = 3;
const MAX_CONNECTIONS: u32 = 330;
/// Time until a change of an endpoint shows on the list, at most; endpoints warm up there too.
const LIST_INTERVAL: Duration = Duration::from_millis(800);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between two changes of routes.
const CHANGE_MS: std::ops::Range<u64> = 1_500..5_000;
/// Time in which the deployment must recover once all faults are over.
const RECOVERY_BOUND: Duration = Duration::from_secs(60);
/// Time after which an endpoint that has ended by itself is started again.
const RESTARTED_AFTER: Duration = Duration::from_millis(2_500);
/// A retry arrives late if its request was sent longer before than its deadline and this.
const LATE_AFTER: Duration = Duration::from_millis(100);

/// Paths of the programs of a deployment.
#[derive(Clone, Debug)]
pub struct SoakPrograms {
    /// The programs under test.
    pub site: SitePrograms,
    /// `filberthead-site-endpoint`.
    pub endpoint: PathBuf,
    /// Whether the gateways know settings of relayed requests.
    pub relays: bool,
}

/// The retries of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRetries {
    /// The window in which they came closest to the budget, or exceeded it most.
    pub worst: WorstWindow,
    /// Those in that window that arrived after their request's deadline.
    pub late: usize,
    /// All of them.
    pub total: usize,
}

/// Result of a soak of a deployment.
#[derive(Debug)]
pub struct DeployedReport {
    /// Seed of its plan.
    pub seed: u64,
    /// Number of faults.
    pub troubles: usize,
    /// Number of requests, and of those answered with 200.
    pub requests: (usize, usize),
    /// Number of requests by outcome: the status, or how it failed.
    pub outcomes: BTreeMap<String, usize>,
    /// The retries of each service that got any.
    pub retries: Vec<ServiceRetries>,
    /// Most requests that a cold endpoint got within a second, and the bound.
    pub cold: (usize, usize),
    /// First tries during each cut between gateways and endpoints, at the gateways cut off and at the
    /// others.
    pub cuts: Vec<(Tries, Tries)>,
    /// The requests that crash endpoints.
    pub crashing: Vec<CrashSummary>,
    /// The endpoints that named the rate that they take.
    pub limits: Vec<LimitSummary>,
    /// The endpoints that asked for rest.
    pub rests: Vec<RestSummary>,
    /// The endpoints that said that they were leaving.
    pub leaving: Vec<LeavingSummary>,
    /// The requests that arrived at endpoints more often than gateways have granted.
    pub ungranted: Vec<Ungranted>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Folder with settings, logs, journals and data; it is kept if there are violations.
    pub dir: PathBuf,
}

impl fmt::Display for DeployedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {} requests, {} served, cold {} of {}, {} violations",
            self.seed,
            self.troubles,
            self.requests.0,
            self.requests.1,
            self.cold.0,
            self.cold.1,
            self.violations.len()
        )?;
        let outcomes = self
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name}: {count}"));
        write!(f, "\n  {}", outcomes.collect::<Vec<_>>().join(", "))?;
        for service in &self.retries {
            let worst = &service.worst;
            let part = worst.retries as f64 / worst.allowed.max(1) as f64;
            write!(
                f,
                "\n  {}: {} of {} retries in a window ({part:.2}), {} of them late; {} in all",
                worst.service, worst.retries, worst.allowed, service.late, service.total
            )?;
        }
        for (cut_off, others) in self.cuts.iter().filter(|(cut_off, _)| cut_off.sent > 0) {
            write!(
                f,
                "\n  cut off from endpoints: {} of {} first tries served, elsewhere {} of {}",
                cut_off.served, cut_off.sent, others.served, others.sent
            )?;
        }
        for request in &self.crashing {
            write!(
                f,
                "\n  {}: sent {} times, {} endpoints ended, reached endpoints {} times too late",
                request.request_line, request.sent, request.crashed, request.late_arrivals
            )?;
        }
        for limit in &self.limits {
            write!(
                f,
                "\n  {} named {:.2} a second: {} of {} in the worst window, {:.2} of it used in {:.1} s",
                limit.endpoint,
                limit.per_s,
                limit.worst,
                limit.allowed(),
                limit.used(),
                limit.lasted.as_secs_f64()
            )?;
        }
        for rest in &self.rests {
            write!(f, "\n  {rest}")?;
        }
        for leaving in &self.leaving {
            write!(f, "\n  {leaving}")?;
        }
        for request in &self.ungranted {
            let (first, last) = (request.arrivals.first(), request.arrivals.last());
            let within = last.zip(first).map(|(last, first)| *last - *first);
            write!(
                f,
                "\n  {} arrived {} times within {:.2} s, last at {}, with {} retries granted",
                request.id,
                request.arrivals.len(),
                within.unwrap_or_default().as_secs_f64(),
                request.service,
                request.granted
            )?;
        }
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Applies a plan and checks the result.
///
/// # Panics
///
/// Panics if a process can't be started.
pub fn run_deployed(programs: &SoakPrograms, plan: &DeployedPlan) -> DeployedReport {
    let mut runner = Runner::start(programs, plan);
    let start = Instant::now();
    for timed in &plan.actions {
        runner.wait_until(start + timed.at);
        runner.apply(&timed.action);
    }
    runner.wait_until(start + plan.duration);
    runner.end_faults();
    runner.check_recovery();
    runner.report(plan)
}

/// Index of the service that the route of another one leads to, by the latter's.
type MovedRoutes = Arc<Mutex<BTreeMap<usize, usize>>>;

struct Runner {
    nodes: Nodes,
    shared: Arc<SharedState>,
    deployment: Arc<Deployment>,
    moved_routes: MovedRoutes,
    load: Arc<LoadState>,
    endpoints: Vec<ProcessEndpoint>,
    /// When endpoints are started again that have ended by themselves, by index.
    restarts: BTreeMap<usize, Instant>,
    /// The links between gateways and endpoints.
    endpoint_network: Network,
    /// Cuts between gateways and endpoints that last, and those that are over.
    open_cuts: Vec<EndpointCut>,
    cuts: Vec<EndpointCut>,
    /// Times during which processes or the links between them were disturbed.
    disturbed: Vec<(Instant, Instant)>,
    /// Times in which gateways were stopping, down or suspended, and which were so when last looked at.
    downtimes: Vec<Downtime>,
    down: BTreeSet<usize>,
    /// When endpoints were suspended and when their links were held or slow, by index; those that last
    /// end when they began.
    suspended: BTreeMap<usize, Vec<(Instant, Instant)>>,
    links_late: BTreeMap<usize, Vec<(Instant, Instant)>>,
    clock: JournalClock,
    /// When the list next shows what endpoints have become.
    list_due: Instant,
    tasks: Vec<JoinHandle<()>>,
    checks: usize,
    violations: Vec<Violation>,
}

impl Runner {
    fn start(programs: &SoakPrograms, plan: &DeployedPlan) -> Self {
        let deployment = Arc::new(plan.deployment.clone());
        let site = start_site(programs, &deployment);
        // Faults of links between processes come and go without these.
        let endpoint_network = site.network.separate();
        let mut endpoints = new_endpoints(programs, &deployment, &site, &endpoint_network);
        endpoints.iter_mut().for_each(ProcessEndpoint::spawn);
        endpoints.iter_mut().for_each(ProcessEndpoint::wait_ready);
        let moved_routes = MovedRoutes::default();
        let (in_routes, moved) = (Arc::clone(&deployment), Arc::clone(&moved_routes));
        let make_routes = Box::new(move |version| {
            let moved = moved.lock().unwrap_or_else(PoisonError::into_inner);
            make_routes(version, &in_routes, &moved)
        });
        let shared = Arc::new(SharedState::with_routes(&site, make_routes));
        let (_, first) = shared.next_routes(1);
        let mut runner = Self {
            nodes: Nodes::new(site, Arc::clone(&shared)),
            shared,
            deployment,
            moved_routes,
            load: Arc::new(LoadState::default()),
            endpoints,
            restarts: BTreeMap::new(),
            endpoint_network,
            open_cuts: Vec::new(),
            cuts: Vec::new(),
            disturbed: Vec::new(),
            downtimes: Vec::new(),
            down: BTreeSet::new(),
            suspended: BTreeMap::new(),
            links_late: BTreeMap::new(),
            clock: JournalClock::now(),
            list_due: Instant::now(),
            tasks: Vec::new(),
            checks: 0,
            violations: Vec::new(),
        };
        runner.show_list();
        let site = &runner.nodes.site;
        let accepted = site.order("config.put", &first);
        assert!(accepted.status.is_success(), "the first routes are valid");
        (0..site.gateways.len()).for_each(|gateway| site.wait_serving(gateway));
        // Endpoints are warm when traffic begins.
        std::thread::sleep(runner.deployment.limits.warmup);
        runner.begin_traffic(plan.seed);
        runner
    }

    fn begin_traffic(&mut self, seed: u64) {
        let mut number = 0;
        let deployment = Arc::clone(&self.deployment);
        for (domain, spec) in deployment.domains.iter().enumerate() {
            for _ in 0..spec.callers {
                let place = (domain, number);
                let caller = Caller::new(&self.shared, &deployment, &self.load, place, seed);
                self.spawn(caller.run());
                number += 1;
            }
        }
        let shared = Arc::clone(&self.shared);
        self.spawn(operators::change_every(shared, CHANGE_MS, seed ^ (1 << 32)));
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(runtime::handle().spawn(task));
    }

    fn wait_until(&mut self, due: Instant) {
        loop {
            self.violations.extend(self.nodes.restart_ended());
            let is_disturbed = !self.nodes.is_calm();
            self.record_disturbance(is_disturbed);
            self.record_downtimes();
            self.restart_ended_endpoints();
            if self.list_due <= Instant::now() {
                self.show_list();
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Starts endpoints again some time after they have ended by themselves.
    fn restart_ended_endpoints(&mut self) {
        let now = Instant::now();
        for (number, endpoint) in self.endpoints.iter_mut().enumerate() {
            if endpoint.has_ended() {
                self.restarts.insert(number, now + RESTARTED_AFTER);
            }
        }
        let due = self.restarts.extract_if(.., |_, due| now >= *due);
        let due: Vec<usize> = due.map(|(number, _)| number).collect();
        for number in due {
            self.endpoints[number].spawn();
            self.endpoints[number].wait_ready();
        }
    }

    fn show_list(&mut self) {
        self.list_due = Instant::now() + LIST_INTERVAL;
        let lines = self.endpoints.iter().filter_map(ProcessEndpoint::line);
        self.nodes.site.list.set(lines.collect());
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Process(step) => {
                self.nodes.apply(step);
                self.record_disturbance(true);
                self.record_downtimes();
            }
            Action::Endpoint(endpoint, action) => self.apply_to_endpoint(*endpoint, *action),
            Action::Load(change) => self.load.apply(*change),
            Action::EndpointLinks(gateways, flow) => self.set_endpoint_links(gateways, *flow),
            Action::CrashingRequest(request) => {
                let shared = Arc::clone(&self.shared);
                self.spawn(request.clone().send(shared, self.deployment.workspaces));
            }
            Action::MoveRoute(route, to) => self.move_route(*route, *to),
            Action::Crowd(crowd) => self.admit_crowd(*crowd),
        }
    }

    /// Lets a crowd come to a process that runs, in a thread of its own.
    fn admit_crowd(&mut self, crowd: ComingCrowd) {
        let site = &self.nodes.site;
        let node = match crowd.target {
            Target::Control(number) => site.controls.get(number),
            Target::Gateway(number) => site.gateways.get(number),
        };
        let Some(addr) = node.and_then(|node| node.try_direct_addr(crowd.port)) else {
            return;
        };
        let line = match crowd.port {
            "orders" => "POST /-/rpc?call=config.put".to_owned(),
            _ => format!("POST /{}/unfinished", self.deployment.services[0].name),
        };
        std::thread::spawn(move || {
            let held = crowd.unfinished.send(addr, crowd.clients, &line);
            std::thread::sleep(crowd.stay);
            drop(held);
        });
    }

    /// Finds processes that have taken more memory than their settings say that they may.
    fn find_fat(&mut self) {
        let site = &mut self.nodes.site;
        for node in site.controls.iter_mut().chain(&mut site.gateways) {
            if !node.process().is_running() {
                continue;
            }
            let bytes = node.process_ref().peak_resident_bytes();
            if bytes > PROCESS_MEMORY {
                self.violations.push(Violation::MemoryExceeded {
                    process: node.name().to_owned(),
                    bytes,
                });
            }
        }
    }

    /// Lets the route of a service lead to another one from the next version of routes on.
    fn move_route(&mut self, route: usize, to: usize) {
        let mut moved = self
            .moved_routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        moved.insert(route, to);
        let services = &self.deployment.services;
        self.shared.history().moves.push(RouteMove {
            route: services[route].name.clone(),
            to: services[to].name.clone(),
            after: self.shared.newest(),
            at: Instant::now(),
        });
    }

    /// Cuts gateways off from all endpoints, or ends that.
    fn set_endpoint_links(&mut self, gateways: &[usize], flow: Flow) {
        let site = &self.nodes.site;
        let names = gateways.iter().map(|number| site.gateways[*number].name());
        let links: Vec<(&str, &str)> = names
            .flat_map(|gateway| {
                let endpoints = self.endpoints.iter();
                endpoints.map(move |endpoint| (gateway, endpoint.spec().name.as_str()))
            })
            .collect();
        self.endpoint_network.set_links(&links, flow);
        let now = Instant::now();
        let ended = self.open_cuts.extract_if(.., |cut| {
            cut.gateways
                .iter()
                .any(|gateway| gateways.contains(gateway))
        });
        self.cuts
            .extend(ended.map(|cut| EndpointCut { to: now, ..cut }));
        if flow != Flow::Pass {
            self.open_cuts.push(EndpointCut {
                gateways: gateways.to_vec(),
                from: now,
                to: now,
            });
        }
    }

    /// Notes whether processes are disturbed otherwise.
    fn record_disturbance(&mut self, is_disturbed: bool) {
        let now = Instant::now();
        match self.disturbed.last_mut() {
            Some(last) if is_disturbed && now < last.1 + POLL_INTERVAL * 5 => last.1 = now,
            _ if is_disturbed => self.disturbed.push((now, now)),
            _ => {}
        }
    }

    /// Notes which gateways are stopping, down or suspended. The time of one lasts until it is found up.
    fn record_downtimes(&mut self) {
        let (now, down) = (Instant::now(), self.nodes.down_gateways());
        for gateway in &self.down {
            let mut times = self.downtimes.iter_mut();
            if let Some(lasting) = times.rfind(|time| time.gateway == *gateway) {
                lasting.to = now;
            }
        }
        let begun = down.difference(&self.down).map(|gateway| Downtime {
            gateway: *gateway,
            from: now,
            to: now,
        });
        self.downtimes.extend(begun);
        self.down = down;
    }

    /// Notes when an endpoint is suspended or its link late, and when that is over.
    fn record_late(&mut self, number: usize, action: EndpointAction) {
        let (times, begins) = match action {
            EndpointAction::Freeze => (&mut self.suspended, true),
            EndpointAction::Resume => (&mut self.suspended, false),
            EndpointAction::Hold | EndpointAction::Delay(_) => (&mut self.links_late, true),
            EndpointAction::Pass => (&mut self.links_late, false),
            _ => return,
        };
        let (now, times) = (Instant::now(), times.entry(number).or_default());
        if begins {
            times.push((now, now));
            return;
        }
        let lasting = times.iter_mut().filter(|(from, to)| from == to);
        lasting.for_each(|(_, to)| *to = now);
    }

    fn apply_to_endpoint(&mut self, number: usize, action: EndpointAction) {
        self.record_late(number, action);
        let other = match action {
            EndpointAction::TakenOverBy(other) => self.endpoints[other].addr(),
            _ => None,
        };
        let endpoint = &mut self.endpoints[number];
        match action {
            EndpointAction::Kill => endpoint.kill(),
            EndpointAction::Start => {
                endpoint.spawn();
                endpoint.wait_ready();
            }
            EndpointAction::Freeze => {
                endpoint.process().into_iter().for_each(|p| p.suspend());
            }
            EndpointAction::Resume => {
                endpoint.process().into_iter().for_each(|p| p.resume());
            }
            EndpointAction::Command(command) => endpoint.command(command),
            EndpointAction::Hold => endpoint.link().hold(),
            EndpointAction::Delay(ms) => {
                let delay = Flow::Delay(Duration::from_millis(ms));
                endpoint.link().set(Direction::ToServer, delay);
            }
            EndpointAction::Pass => {
                endpoint.link().heal();
                if let Some(own) = endpoint.addr() {
                    endpoint.link().retarget(own);
                }
            }
            EndpointAction::Drain => endpoint.drain(),
            EndpointAction::TakenOverBy(_) => {
                if let Some(other) = other {
                    endpoint.link().retarget(other);
                    endpoint.link().cut();
                }
            }
        }
    }

    /// Reverts all faults, restarts all processes that are down, and ends traffic.
    fn end_faults(&mut self) {
        self.find_fat();
        self.nodes.site.network.heal();
        let all: Vec<usize> = (0..self.nodes.site.gateways.len()).collect();
        self.set_endpoint_links(&all, Flow::Pass);
        self.endpoint_network.heal();
        for number in 0..self.endpoints.len() {
            self.record_late(number, EndpointAction::Resume);
            self.record_late(number, EndpointAction::Pass);
        }
        for endpoint in &mut self.endpoints {
            endpoint.process().into_iter().for_each(|p| p.resume());
            // Gateways leave it alone until it starts anew.
            if endpoint.is_leaving() {
                endpoint.kill();
            }
            endpoint.spawn();
            endpoint.wait_ready();
            endpoint.command(EndpointCommand::Behave(Behaviour::Serves, 1.0));
            endpoint.command(EndpointCommand::NameLimit(None));
            endpoint.command(EndpointCommand::AskForRest(None));
            let usual = endpoint.spec().run_time;
            endpoint.command(EndpointCommand::RunFor(usual));
            endpoint.link().heal();
            if let Some(own) = endpoint.addr() {
                endpoint.link().retarget(own);
            }
        }
        self.nodes.resume_all();
        self.record_downtimes();
        self.show_list();
        while self.nodes.is_any_stopping() {
            self.wait_until(Instant::now() + POLL_INTERVAL);
        }
        self.shared.finish();
        runtime::join(std::mem::take(&mut self.tasks));
    }

    /// Waits until each gateway serves each service again.
    fn check_recovery(&mut self) {
        for gateway in 0..self.nodes.site.gateways.len() {
            for service in 0..self.deployment.services.len() {
                let end = Instant::now() + RECOVERY_BOUND;
                while !self.is_served(gateway, service) {
                    if Instant::now() >= end {
                        let name = &self.deployment.services[service].name;
                        let what = format!("gateway {gateway} serves {name}");
                        self.violations.push(Violation::NotRecovered(what));
                        break;
                    }
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        }
    }

    fn is_served(&mut self, gateway: usize, service: usize) -> bool {
        self.checks += 1;
        let spec = &self.deployment.services[service];
        let (method, path) = (spec.method(), format!("/{}/end", spec.name));
        let id = format!("end-{}", self.checks);
        let (key, workspace) = self.deployment.workspaces.key(0, 1);
        let call: Call = request(method, &path, &id).header("api-key", &key);
        let sent = Instant::now();
        let result = self.nodes.site.request(gateway, &call);
        let outcome = crate::soak::callers::outcome_of(&result, method, &path, "");
        self.shared.history().requests.push(CallerRequest {
            id,
            request_line: format!("{method} {path}"),
            sent,
            deadline: None,
            ended: Instant::now(),
            workspace,
            idempotent: method == "GET",
            gateway,
            outcome,
            told: None,
        });
        matches!(outcome, RequestOutcome::Answered { status: 200, .. })
    }

    fn report(mut self, plan: &DeployedPlan) -> DeployedReport {
        let limits = self.deployment.limits;
        let records: Vec<Vec<Records>> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.records(&self.clock))
            .collect();
        let arrivals = self.arrivals(&records);
        let history = self.shared.history().clone();
        self.violations.extend(find_violations(
            &history,
            &endpoint_runs(&records),
            &arrivals,
            Limits {
                max_attempts: limits.max_attempts,
                retry_floor: limits.retry_floor,
                workspaces: self.deployment.workspaces,
                planned_only: false,
            },
        ));
        let requests = &history.requests;
        self.violations
            .extend(find_unserved(&self.cuts, requests, &self.disturbed));
        let tries = |cut| tries_during(cut, &self.cuts, requests, &self.disturbed);
        let cuts = self.cuts.iter().map(tries).collect();
        let crashing = crash_summaries(requests, &records, &self.disturbed);
        self.violations.extend(find_unheld(&crashing));
        let limits_named = self.named_limits(requests, &records);
        self.violations.extend(find_exceeded(&limits_named));
        let given_up = self.find_given_up(requests, &records);
        self.violations.extend(given_up);
        let senders = self.senders();
        let rests = self.rests(requests, &records, &senders);
        self.violations.extend(find_unrested(&rests));
        let leaving = self.leaving(requests, &records, &senders);
        self.violations.extend(find_sent_to_leaving(&leaving));
        let cold = self.check_cold(&records);
        let grants = self.grants();
        let ungranted = match grants.is_empty() {
            true => Vec::new(),
            false => find_ungranted(&arrivals, &grants),
        };
        let without_retry = find_sent_without_retry(&ungranted, &self.downtimes);
        self.violations.extend(without_retry);
        if !self.violations.is_empty() {
            self.nodes.site.keep();
        }
        let served = history.served();
        DeployedReport {
            seed: plan.seed,
            troubles: plan.troubles.len(),
            requests: (history.requests.len(), served),
            outcomes: outcomes(&history.requests),
            retries: self.service_retries(&history, &arrivals),
            cold: (cold, limits.cold_bound()),
            cuts,
            crashing,
            limits: limits_named,
            rests,
            leaving,
            ungranted,
            violations: self.violations,
            dir: self.nodes.site.dir().to_owned(),
        }
    }

    /// All requests that reached endpoints.
    fn arrivals(&self, records: &[Vec<Records>]) -> Vec<ServiceArrival> {
        let endpoints = self.endpoints.iter().zip(records);
        let arrivals = endpoints.flat_map(|(endpoint, starts)| {
            let arrived = starts.iter().flat_map(|start| &start.arrivals);
            arrived.map(|arrival| ServiceArrival {
                service: endpoint.spec().service.clone(),
                id: arrival.id.clone(),
                at: arrival.at,
            })
        });
        arrivals.collect()
    }

    /// The retries that the gateways have logged.
    fn grants(&self) -> Grants {
        let mut grants = Grants::default();
        for gateway in &self.nodes.site.gateways {
            grants.read(&gateway.process_ref().log());
        }
        grants
    }

    fn find_given_up(
        &self,
        requests: &[CallerRequest],
        records: &[Vec<Records>],
    ) -> Vec<Violation> {
        let grace = self.deployment.limits.stop_grace;
        let stops = self.nodes.stops.iter().map(|(gateway, at)| PlannedStop {
            gateway: *gateway,
            from: *at,
            to: *at + grace,
            restarted: self.nodes.next_start(*gateway, *at),
        });
        let stops: Vec<PlannedStop> = stops.collect();
        let time = |request: &CallerRequest| {
            let path = request.request_line.split('/').nth(1).unwrap_or_default();
            let mut services = self.deployment.services.iter();
            let spec = services.find(|spec| spec.name == path);
            spec.map_or(Duration::ZERO, |spec| spec.deadline.min(spec.timeout))
        };
        find_given_up(requests, records, &stops, &self.cuts, time)
    }

    fn named_limits(
        &self,
        requests: &[CallerRequest],
        records: &[Vec<Records>],
    ) -> Vec<LimitSummary> {
        let requests = requests.iter().map(|r| (r.id.as_str(), r)).collect();
        let starts = self.starts(records);
        let of_start = |(_, id, start): (_, String, &_)| {
            limit_summaries(&id, start, &requests, &self.disturbed)
        };
        starts.flat_map(of_start).collect()
    }

    /// Index, identity and records of each start of each endpoint.
    fn starts<'a>(
        &'a self,
        records: &'a [Vec<Records>],
    ) -> impl Iterator<Item = (usize, String, &'a Records)> {
        let endpoints = self.endpoints.iter().zip(records).enumerate();
        endpoints.flat_map(|(index, (endpoint, starts))| {
            let numbered = (1..).zip(starts);
            numbered.map(move |(number, start)| (index, endpoint.id_of_start(number), start))
        })
    }

    /// Whose connections the proxies in front of endpoints have forwarded.
    fn senders(&self) -> Senders {
        let endpoints = self.endpoints.iter();
        let connections = endpoints.flat_map(|endpoint| endpoint.link().connections());
        let gateways = &self.nodes.site.gateways;
        Senders::new(connections, |name| {
            gateways.iter().position(|gateway| gateway.name() == name)
        })
    }

    fn faults(&self) -> Faults<'_> {
        Faults {
            down: &self.downtimes,
            cuts: &self.cuts,
        }
    }

    fn rests(
        &self,
        requests: &[CallerRequest],
        records: &[Vec<Records>],
        senders: &Senders,
    ) -> Vec<RestSummary> {
        let requests = requests.iter().map(|r| (r.id.as_str(), r)).collect();
        let of_start = |(index, id, start): (usize, String, &_)| {
            let times = [&self.suspended, &self.links_late].map(|times| times.get(&index));
            let late: Vec<_> = times.into_iter().flatten().flatten().copied().collect();
            rest_summary(&id, start, &requests, &late, senders, self.faults())
        };
        self.starts(records).filter_map(of_start).collect()
    }

    fn leaving(
        &self,
        requests: &[CallerRequest],
        records: &[Vec<Records>],
        senders: &Senders,
    ) -> Vec<LeavingSummary> {
        let requests = requests.iter().map(|r| (r.id.as_str(), r)).collect();
        let of_start = |(_, id, start): (usize, String, &_)| {
            leaving_summary(&id, start, &requests, senders, self.faults())
        };
        self.starts(records).filter_map(of_start).collect()
    }

    /// Adds the endpoints that got too many requests while they were cold to the violations, and
    /// returns the most that one got.
    fn check_cold(&mut self, records: &[Vec<Records>]) -> usize {
        let limits = self.deployment.limits;
        let mut most = 0;
        for (endpoint, starts) in self.endpoints.iter().zip(records) {
            let got = starts.iter().map(|s| most_while_cold(s, limits.warmup));
            let got = got.max().unwrap_or(0);
            if got > limits.cold_bound() {
                let name = endpoint.spec().name.clone();
                self.violations
                    .push(Violation::ColdLimitExceeded(name, got));
            }
            most = most.max(got);
        }
        most
    }

    fn service_retries(
        &self,
        history: &History,
        arrivals: &[ServiceArrival],
    ) -> Vec<ServiceRetries> {
        let requests = &history.requests;
        let floor = self.deployment.limits.retry_floor;
        let worst = worst_windows_with_starts(history, arrivals, floor);
        let sent: BTreeMap<&str, Instant> =
            requests.iter().map(|r| (r.id.as_str(), r.sent)).collect();
        let by_service = retries_by_service(arrivals);
        let of_service = |(start, worst): (Instant, WorstWindow)| {
            let mut services = self.deployment.services.iter();
            let spec = services.find(|spec| spec.name == worst.service);
            let patience = spec.map_or(Duration::ZERO, |spec| spec.deadline) + LATE_AFTER;
            let all = by_service.get(worst.service.as_str());
            let all = all.map_or(&[][..], Vec::as_slice);
            let is_late = |retry: &&Retry<'_>| {
                let sent = sent.get(retry.id);
                sent.is_some_and(|sent| retry.at > *sent + patience)
            };
            let within = all.iter().filter(|retry| is_within(start, retry.at));
            ServiceRetries {
                late: within.filter(is_late).count(),
                total: all.len(),
                worst,
            }
        };
        worst.into_iter().map(of_service).collect()
    }
}

fn outcomes(requests: &[CallerRequest]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in requests {
        let name = match request.outcome {
            RequestOutcome::Answered { status, .. } => status.to_string(),
            failed => format!("{failed:?}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn start_site(programs: &SoakPrograms, deployment: &Deployment) -> Site {
    let limits = deployment.limits;
    let controls = deployment.controls();
    Site::builder(programs.site.clone())
        .relays(programs.relays)
        .seeds(controls.len().min(3))
        .placed(controls, deployment.gateways())
        .tolerate(limits.tolerate)
        .stop_grace(limits.stop_grace)
        .retry_floor(limits.retry_floor)
        .gateway_setting("budgets", "retry_ratio", limits.retry_ratio)
        .gateway_setting(
            "budgets",
            "retry_window",
            format_args!("{}s", limits.retry_window.as_secs()),
        )
        .gateway_setting("log", "level", "info")
        .start()
}

fn new_endpoints(
    programs: &SoakPrograms,
    deployment: &Deployment,
    site: &Site,
    network: &Network,
) -> Vec<ProcessEndpoint> {
    let placed = endpoints(deployment).into_iter().enumerate();
    let endpoint = |(number, (service, domain)): (usize, (usize, String))| {
        let service = &deployment.services[service];
        let spec = EndpointSpec {
            name: format!("endpoint-{number}"),
            service: service.name.clone(),
            domain,
            slots: SLOTS,
            queue: QUEUE,
            run_time: service.work,
            warmup: deployment.limits.warmup,
        };
        let link = network.proxy(&spec.name);
        ProcessEndpoint::new(spec, &programs.endpoint, site.dir(), link)
    };
    placed.map(endpoint).collect()
}

fn endpoint_runs(records: &[Vec<Records>]) -> Vec<EndpointRun> {
    let endpoints = records.iter().enumerate();
    let runs = endpoints.flat_map(|(endpoint, starts)| {
        let ran = starts.iter().flat_map(|start| &start.runs);
        ran.map(move |(run, workspace, has_key)| EndpointRun {
            endpoint,
            id: run.id.clone(),
            request_line: run.request_line.clone(),
            workspace: workspace.clone(),
            has_key: *has_key,
            at: run.at,
        })
    });
    runs.collect()
}

/// Routes of a version in the platform's JSON format, those of some services `moved` to others.
/// Versions differ by a route that nobody uses.
fn make_routes(version: u64, deployment: &Deployment, moved: &BTreeMap<usize, usize>) -> String {
    let limits = deployment.limits;
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let route = |name: String, prefix: String, service: &ServiceSpec, to: &ServiceSpec| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": service.kind,
            "timeout_ms": ms(service.timeout), "target_latency_ms": ms(service.objective),
            "priority": 1, "service": to.name, "max_attempts": limits.max_attempts,
            "sticky_sessions": true, "allowed_regions": [],
        })
    };
    let services = &deployment.services;
    let in_use = services.iter().enumerate().map(|(number, service)| {
        let to = &services[*moved.get(&number).unwrap_or(&number)];
        let (name, prefix) = (format!("r-{}", service.name), format!("/{}/", service.name));
        route(name, prefix, service, to)
    });
    let only = route(
        format!("r-only-{version}"),
        format!("/only-{version}/"),
        &services[0],
        &services[0],
    );
    let routes: Vec<Value> = in_use.chain([only]).collect();
    let services = services.iter().map(|service| {
        json!({
            "name": service.name, "health_path": "/healthz", "max_connections": MAX_CONNECTIONS,
            "warmup_s": limits.warmup.as_secs_f64(), "warmup_per_s": limits.warmup_per_s,
        })
    });
    json!({
        "version": version,
        "routes": routes,
        "services": services.collect::<Vec<_>>(),
        "tenants": deployment.workspaces.all(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}
