//! Executes a plan and checks the result.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use http::HeaderMap;
use tokio::task::JoinHandle;

use super::evacuations::{
    AppliedSet, EVACUATION_BOUND, EvacuationChange, EvacuationRecord, applied_sets,
    find_evacuation_violations,
};
use super::evacuators::{self, Sequence};
use super::history::{CallerRequest, RequestOutcome};
use super::nodes::Nodes;
use super::plan::{Load, Plan, Step};
use super::retries::{ServiceArrival, WorstWindow, worst_windows};
use super::shared::{SERVICES, SharedState, probe_path};
use super::violations::{EndpointRun, Limits, Violation, find_violations};
use super::workspaces::Workspaces;
use super::{callers, operators};
use crate::cluster::Place;
use crate::proxy::FaultProxy;
use crate::runtime;
use crate::site::{Behaviour, Site, SitePrograms, is_answer, proven_version, request};

/// Failure domains; a region is a name without its end. The first two are those of a usual [`Site`], of which the
/// second one may be evacuated; beside evacuations there are all, and all but the first may be.
static DOMAINS: [&str; 7] = [
    "zagreb-a",
    "split-a",
    "rijeka-a",
    "osijek-a",
    "pula-a",
    "zadar-a",
    "sibenik-a",
];
/// Time for which traffic goes on after the faults of a plan beside evacuations: longer than an evacuation
/// takes.
const SETTLE_TIME: Duration = EVACUATION_BOUND.saturating_add(Duration::from_secs(2));
/// Attempts that the routes of a [`Site`] allow.
const MAX_ATTEMPTS: usize = 2;
/// Time that a gateway has for a planned stop: it accepts callers for 0.6 of it, and the rest is
/// longer than any request's deadline, so that no request needs to be cut.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time in which the system must recover once all faults are over: many times what it normally
/// takes, for debug builds on a busy machine.
const RECOVERY_BOUND: Duration = Duration::from_secs(60);
/// Time after which draining or evacuated endpoints may get no more requests.
const REMOVAL_BOUND: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Requests to each gateway and service in one check of whether removed endpoints get any.
const BURST: usize = 10;
/// Warm-up time of an added endpoint, in milliseconds.
const COLD_MS: u64 = 2_000;

/// Result of a soak.
#[derive(Debug)]
pub struct Report {
    /// Seed of its plan.
    pub seed: u64,
    /// Number of steps.
    pub steps: usize,
    /// Number of callers' requests.
    pub requests: usize,
    /// Number of those answered with 200.
    pub served: usize,
    /// Number of accepted changes of routes.
    pub accepted: usize,
    /// Number of successful reads of routes by operators.
    pub shown: usize,
    /// Number of acknowledged orders about evacuations, and of all.
    pub evacuations: (usize, usize),
    /// The window of each service that came closest to its retry budget.
    pub retries: Vec<WorstWindow>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Folder with settings, logs and data; it is kept if there are violations.
    pub dir: std::path::PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} steps, {} requests, {} served, {} changes accepted, {} reads, \
             {} of {} orders about evacuations acknowledged, {} violations",
            self.seed,
            self.steps,
            self.requests,
            self.served,
            self.accepted,
            self.shown,
            self.evacuations.0,
            self.evacuations.1,
            self.violations.len()
        )?;
        for window in &self.retries {
            let WorstWindow {
                service,
                retries,
                allowed,
            } = window;
            write!(
                f,
                "\n  {service}: {retries} of {allowed} retries in a window"
            )?;
        }
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Executes a plan and checks the result.
///
/// # Panics
///
/// Panics if a process can't be started.
pub fn run_plan(programs: SitePrograms, plan: &Plan) -> Report {
    let mut runner = Runner::start(programs, plan);
    let start = Instant::now();
    for timed in &plan.steps {
        runner.wait_until(start + timed.at);
        runner.apply(&timed.step);
    }
    runner.wait_until(start + plan.size.duration);
    runner.end_faults();
    if plan.load == Load::BesideEvacuations {
        runner.wait_until(Instant::now() + SETTLE_TIME);
    }
    runner.end_traffic();
    runner.check_recovery();
    runner.report(plan)
}

struct Runner {
    nodes: Nodes,
    shared: Arc<SharedState>,
    tasks: Vec<JoinHandle<()>>,
    /// Number of orders about evacuations that steps asked for.
    evacuations: usize,
    /// Times of faults, in order.
    faults: Vec<(Instant, Instant)>,
    /// The same moment by the clock of logs and by that of the harness.
    epoch: (SystemTime, Instant),
    seed: u64,
    sent_requests: usize,
    violations: Vec<Violation>,
}

impl Runner {
    fn start(programs: SitePrograms, plan: &Plan) -> Self {
        let size = plan.size;
        let domains = domains(plan.load);
        let mut builder = Site::builder(programs)
            .replicas(size.controls)
            .tolerate((size.controls - 1) / 2)
            .seeds(size.controls.min(3))
            .gateways(size.gateways)
            .stop_grace(STOP_GRACE)
            .retry_floor(plan.load.retry_floor());
        if plan.load == Load::BesideEvacuations {
            let all = domains.iter().cycle();
            let all = all.map(|domain| Place::new(domain.trim_end_matches("-a"), domain));
            let controls = all.clone().take(size.controls).collect();
            let gateways = all.skip(size.controls).take(size.gateways).collect();
            builder = builder.placed(controls, gateways);
        }
        let mut site = builder.start();
        for domain in domains {
            for (service, _) in SERVICES {
                for _ in 0..size.endpoints {
                    site.add_linked_endpoint(service, domain);
                }
            }
        }
        let shared = Arc::new(SharedState::new(&site));
        let (_, first) = shared.next_routes(1);
        let accepted = site.order("config.put", &first);
        assert!(accepted.status.is_success(), "the first routes are valid");
        (0..size.gateways).for_each(|gateway| site.wait_serving(gateway));
        let mut runner = Self {
            nodes: Nodes::new(site, Arc::clone(&shared)),
            shared,
            tasks: Vec::new(),
            evacuations: 0,
            faults: Vec::new(),
            epoch: (SystemTime::now(), Instant::now()),
            seed: plan.seed,
            sent_requests: 0,
            violations: Vec::new(),
        };
        runner.begin_traffic(plan);
        runner
    }

    fn begin_traffic(&mut self, plan: &Plan) {
        let (seed, load) = (plan.seed, plan.load);
        for number in 0..plan.size.callers {
            let shared = Arc::clone(&self.shared);
            self.spawn(callers::call(
                shared,
                load,
                number,
                seed ^ (number as u64 + 1),
            ));
        }
        // Two operators change routes concurrently, and one reads.
        for number in 100..102 {
            self.spawn(operators::change(Arc::clone(&self.shared), seed ^ number));
        }
        self.spawn(operators::read(Arc::clone(&self.shared), seed ^ 200));
        if load == Load::BesideEvacuations {
            self.begin_evacuations(Instant::now() + plan.size.duration);
        }
    }

    fn begin_evacuations(&mut self, end: Instant) {
        for number in 0..evacuators::OPERATORS * evacuators::ORDERS_EACH {
            let sequence = Sequence {
                operator: number / evacuators::ORDERS_EACH,
                domain: number,
            };
            let (shared, seed) = (Arc::clone(&self.shared), self.seed ^ (300 + number as u64));
            let evacuated = &DOMAINS[1..];
            let orders = evacuators::order_until(shared, evacuated, sequence, (end, seed));
            self.spawn(orders);
        }
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(runtime::handle().spawn(task));
    }

    fn wait_until(&mut self, due: Instant) {
        loop {
            self.violations.extend(self.nodes.restart_ended());
            if !self.nodes.is_calm() {
                self.record_fault(Instant::now());
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    fn apply(&mut self, step: &Step) {
        let began = Instant::now();
        if !self.nodes.apply(step) {
            self.apply_external(step);
        }
        if !matches!(step, Step::Evacuate | Step::EndEvacuation) {
            self.record_fault(began);
        }
    }

    /// Records that there is a fault now, and has been since `began`.
    fn record_fault(&mut self, began: Instant) {
        let now = Instant::now();
        match self.faults.last_mut() {
            Some((_, ended)) if began <= *ended + 2 * POLL_INTERVAL => *ended = now,
            _ => self.faults.push((began, now)),
        }
    }

    /// Applies steps that concern endpoints and operators.
    fn apply_external(&mut self, step: &Step) {
        let site = &mut self.nodes.site;
        match step {
            Step::SetBehaviour(endpoint, new) => site.endpoints[*endpoint].set_behaviour(*new),
            Step::CutEndpoint(endpoint) => {
                site.link(*endpoint).into_iter().for_each(FaultProxy::hold);
            }
            Step::HealEndpoint(endpoint) => {
                site.link(*endpoint).into_iter().for_each(FaultProxy::heal);
            }
            Step::Drain(endpoint) => {
                site.endpoints[*endpoint].drain();
                site.show_endpoints();
            }
            Step::ReplaceInstance(endpoint) => {
                let id = format!("{}-again", site.endpoints[*endpoint].id());
                site.endpoints[*endpoint].replace_instance(&id);
            }
            Step::Join(service) => {
                let number = site.add_linked_endpoint(SERVICES[*service].0, DOMAINS[0]);
                site.endpoints[number].set_warmup_left(COLD_MS);
                site.show_endpoints();
            }
            Step::Evacuate => self.order_evacuation(EvacuationChange::Start),
            Step::EndEvacuation => self.order_evacuation(EvacuationChange::End),
            _ => {}
        }
    }

    fn order_evacuation(&mut self, change: EvacuationChange) {
        self.evacuations += 1;
        let (shared, seed) = (
            Arc::clone(&self.shared),
            self.seed ^ self.evacuations as u64,
        );
        let operator = self.evacuations % evacuators::OPERATORS;
        self.spawn(evacuators::order_once(
            shared, operator, DOMAINS[1], change, seed,
        ));
    }

    /// Reverts all faults and restarts all processes that are down.
    fn end_faults(&mut self) {
        let began = Instant::now();
        let site = &self.nodes.site;
        site.network.heal();
        for (number, endpoint) in site.endpoints.iter().enumerate() {
            endpoint.set_behaviour(Behaviour::Serves);
            site.link(number).into_iter().for_each(FaultProxy::heal);
        }
        site.show_endpoints();
        for node in &site.controls {
            node.proxy("orders").heal();
        }
        self.nodes.resume_all();
        while self.nodes.is_any_stopping() {
            self.wait_until(Instant::now() + POLL_INTERVAL);
        }
        self.record_fault(began);
    }

    fn end_traffic(&mut self) {
        self.shared.finish();
        runtime::join(std::mem::take(&mut self.tasks));
    }

    /// Waits until all replicas and gateways have recovered, and checks that removed endpoints
    /// get no requests.
    fn check_recovery(&mut self) {
        let accepted = self.shared.accepted();
        let controls = self.nodes.site.controls.len();
        for control in 0..controls {
            let what = format!("control {control} proves version {accepted}");
            self.require_recovery(&what, |runner| {
                let node = &runner.nodes.site.controls[control];
                proven_version(node).is_some_and(|version| version >= accepted)
            });
        }
        for gateway in 0..self.nodes.site.gateways.len() {
            let what = format!("gateway {gateway} serves the newest routes, {accepted} or later");
            self.require_recovery(&what, |runner| runner.serves_newest(gateway, accepted));
        }
        self.check_removed_endpoints();
    }

    /// Whether a gateway serves the routes that control currently proves to be the newest. They
    /// are read again each time, since a change whose operator got no answer may take effect
    /// after all others.
    fn serves_newest(&mut self, gateway: usize, accepted: u64) -> bool {
        let newest = proven_version(&self.nodes.site.controls[0]);
        let Some(newest) = newest.filter(|newest| *newest >= accepted) else {
            return false;
        };
        let paths = paths(newest);
        paths.iter().all(|path| self.is_served(gateway, path))
    }

    fn require_recovery(&mut self, what: &str, holds: impl FnMut(&mut Self) -> bool) {
        if !self.holds_within(RECOVERY_BOUND, holds) {
            self.violations
                .push(Violation::NotRecovered(what.to_owned()));
        }
    }

    fn holds_within(&mut self, bound: Duration, mut holds: impl FnMut(&mut Self) -> bool) -> bool {
        let end = Instant::now() + bound;
        while Instant::now() < end {
            if holds(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn is_served(&mut self, gateway: usize, path: &str) -> bool {
        self.sent_requests += 1;
        let sent = Instant::now();
        let id = format!("end-{}", self.sent_requests);
        let method = if path.starts_with("/orders") {
            "POST"
        } else {
            "GET"
        };
        let (key, workspace) = Workspaces::default().key(0, 1);
        let result = self
            .nodes
            .site
            .request(gateway, &request(method, path, &id).header("api-key", &key));
        let (outcome, served) = match result {
            Ok(answer) => {
                let status = answer.status.as_u16();
                let matches = is_answer(method, path, b"", &answer.body);
                (RequestOutcome::Answered { status, matches }, status == 200)
            }
            Err(_) => (RequestOutcome::Closed, false),
        };
        let is_unknown = matches!(outcome, RequestOutcome::Answered { status: 404, .. });
        if !is_unknown {
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
        }
        served
    }

    /// Indices of endpoints that are draining, or whose failure domain's evacuation was accepted.
    fn removed_endpoints(&mut self) -> Vec<usize> {
        let record = self.evacuation_record();
        let endpoints = self.nodes.site.endpoints.iter().enumerate();
        let removed =
            endpoints.filter(|(_, e)| e.is_draining() || record.is_evacuated_at_end(e.domain()));
        removed.map(|(number, _)| number).collect()
    }

    fn evacuation_record(&self) -> EvacuationRecord {
        let (system_time, instant) = self.epoch;
        let to_instant = |at: SystemTime| match at.duration_since(system_time) {
            Ok(after) => instant + after,
            Err(before) => instant - before.duration(),
        };
        let controls = self.nodes.site.controls.iter().enumerate();
        let applied = controls.flat_map(|(replica, node)| -> Vec<AppliedSet> {
            applied_sets(replica, &node.running().log(), to_instant)
        });
        EvacuationRecord {
            orders: self.shared.history().evacuations.clone(),
            applied: applied.collect(),
            kills: self.nodes.control_kills.clone(),
            faults: self.faults.clone(),
        }
    }

    fn check_removed_endpoints(&mut self) {
        let removed = self.removed_endpoints();
        let mut at_fault = Vec::new();
        self.holds_within(REMOVAL_BOUND, |runner| {
            at_fault = runner.burst(&removed);
            at_fault.is_empty()
        });
        let violations = at_fault.into_iter().map(Violation::SentToRemovedEndpoint);
        self.violations.extend(violations);
    }

    /// Sends requests to all gateways, and returns which of the removed endpoints ran any.
    fn burst(&mut self, removed: &[usize]) -> Vec<usize> {
        let count =
            |runner: &Self, endpoint: usize| runner.nodes.site.endpoints[endpoint].runs().len();
        let before: Vec<_> = removed.iter().map(|e| count(self, *e)).collect();
        for gateway in 0..self.nodes.site.gateways.len() {
            for number in 0..BURST {
                for (service, _) in SERVICES {
                    self.is_served(gateway, &format!("/{service}/{number}"));
                }
            }
        }
        let pairs = removed.iter().zip(before);
        let got = pairs.filter(|(e, before)| count(self, **e) > *before);
        got.map(|(e, _)| *e).collect()
    }

    /// All requests that reached endpoints.
    fn arrivals(&self) -> Vec<ServiceArrival> {
        let endpoints = self.nodes.site.endpoints.iter();
        let arrivals = endpoints.flat_map(|endpoint| {
            let arrived = endpoint.arrivals().into_iter();
            arrived.map(|arrival| ServiceArrival {
                service: endpoint.service().to_owned(),
                id: arrival.id,
                at: arrival.at,
            })
        });
        arrivals.collect()
    }

    /// Writes what operators ordered beside the logs.
    fn write_orders(&self, record: &EvacuationRecord) {
        let (system_time, instant) = self.epoch;
        let at = |moment: Instant| {
            let at = system_time + moment.saturating_duration_since(instant);
            humantime::format_rfc3339_millis(at).to_string()
        };
        let path = self.nodes.site.dir().join("evacuation-orders.log");
        // The report is complete without this file.
        let _ = std::fs::write(path, record.to_text(at));
    }

    fn report(mut self, plan: &Plan) -> Report {
        let endpoints = self.nodes.site.endpoints.iter().enumerate();
        let ran: Vec<EndpointRun> = endpoints
            .flat_map(|(endpoint, e)| {
                e.runs().into_iter().map(move |run| EndpointRun {
                    endpoint,
                    id: run.id,
                    request_line: run.request_line,
                    workspace: text(&run.headers, "x-tenant"),
                    has_key: run.headers.contains_key("api-key"),
                    at: run.at,
                })
            })
            .collect();
        let arrivals = self.arrivals();
        let history = self.shared.history().clone();
        self.violations.extend(find_violations(
            &history,
            &ran,
            &arrivals,
            Limits {
                max_attempts: MAX_ATTEMPTS,
                retry_floor: plan.load.retry_floor(),
                workspaces: Workspaces::default(),
                planned_only: plan.planned_only,
            },
        ));
        let evacuations = self.evacuation_record();
        let endpoints = &self.nodes.site.endpoints;
        let domain_of = |endpoint: usize| endpoints[endpoint].domain();
        let found = find_evacuation_violations(&evacuations, &ran, domain_of);
        self.violations.extend(found);
        if !self.violations.is_empty() {
            self.nodes.site.keep();
            self.write_orders(&evacuations);
        }
        Report {
            seed: plan.seed,
            steps: plan.steps.len(),
            requests: history.requests.len(),
            served: history.served(),
            accepted: history
                .changes
                .iter()
                .filter(|t| t.accepted.is_some())
                .count(),
            shown: history.reads.len(),
            evacuations: evacuations.acknowledged(),
            retries: worst_windows(&history, &arrivals, plan.load.retry_floor()),
            violations: self.violations,
            dir: self.nodes.site.dir().to_owned(),
        }
    }
}

/// The failure domains of a soak with this load.
fn domains(load: Load) -> &'static [&'static str] {
    match load {
        Load::Mixed | Load::FewReads => &DOMAINS[..2],
        Load::BesideEvacuations => &DOMAINS,
    }
}

/// A path on each service's route, and one on the route that only this version has.
fn paths(version: u64) -> Vec<String> {
    let services = SERVICES.iter().map(|(name, _)| format!("/{name}/end"));
    services
        .chain([format!("{}end", probe_path(version))])
        .collect()
}

/// A header's value as text; `None` without one.
fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
