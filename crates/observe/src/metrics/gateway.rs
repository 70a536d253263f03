//! Metrics of a gateway.

use std::time::Duration;

use filberthead_types::{Region, ResultCode, ServiceName, Workspace};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{BoundedValues, KindLabels, ReasonLabels, other};
use super::{ClientMetrics, PeerMetrics, encoded, observe, registry, set, wait_histogram};

/// `kind` label of requests that were answered before a route was found.
const NO_KIND: &str = "none";

/// Labels of finished requests. All values are from enumerations in the code.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct OutcomeLabels {
    kind: &'static str,
    code: u16,
    result: &'static str,
}

/// Labels of requests of other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CodeLabels {
    code: u16,
    result: &'static str,
}

/// Labels of finished requests of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
    code: u16,
    result: &'static str,
}

/// Labels of decisions about retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RetryLabels {
    service: String,
    result: &'static str,
}

/// Labels of attempts that were sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SentLabels {
    service: String,
    to: &'static str,
    granted: &'static str,
}

/// Labels of figures about a service in a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct SiteLabels {
    service: String,
    region: String,
}

/// Services that get series of their own; all others share one.
const MAX_SERVICES: usize = 256;
/// Workspaces that get series of their own; all others share one.
const MAX_WORKSPACES: usize = 256;

/// Metrics of a gateway, shared by its duties.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    durations: Family<KindLabels, Histogram, fn() -> Histogram>,
    workspace_requests: Family<WorkspaceLabels, Counter>,
    workspaces: BoundedValues<String>,
    attempts: Family<ReasonLabels, Counter>,
    pipelined: Family<ReasonLabels, Counter>,
    relayed: Family<ReasonLabels, Counter>,
    helped: Family<CodeLabels, Counter>,
    contact_probes: Family<ReasonLabels, Counter>,
    cut_off: Gauge,
    retries: Family<RetryLabels, Counter>,
    sent: Family<SentLabels, Counter>,
    services: BoundedValues<String>,
    floor_divisor: Gauge,
    unanswered_retries: Gauge,
    suspected_requests: Gauge,
    limited_endpoints: Gauge,
    slowed_endpoints: Gauge,
    replicated_objects: Gauge,
    body_memory: Gauge,
    unbuffered: Family<ReasonLabels, Counter>,
    resting_endpoints: Gauge,
    longest_rest: Gauge,
    rests: Counter,
    leaving_endpoints: Gauge,
    waiting_requests: Gauge,
    waited: Histogram,
    windows: Family<SiteLabels, Gauge>,
    shared_services: Gauge,
    running: Gauge,
    routes_version: Gauge,
    routes_proven: Gauge,
    endpoints: Gauge,
    ready: Gauge,
    peers: PeerMetrics,
    clients: ClientMetrics,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Registers all metrics, with the value zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            durations: Family::new_with_constructor(wait_histogram),
            workspace_requests: Family::default(),
            workspaces: BoundedValues::new(MAX_WORKSPACES),
            attempts: Family::default(),
            pipelined: Family::default(),
            relayed: Family::default(),
            helped: Family::default(),
            contact_probes: Family::default(),
            cut_off: Gauge::default(),
            retries: Family::default(),
            sent: Family::default(),
            services: BoundedValues::new(MAX_SERVICES),
            floor_divisor: Gauge::default(),
            unanswered_retries: Gauge::default(),
            suspected_requests: Gauge::default(),
            limited_endpoints: Gauge::default(),
            slowed_endpoints: Gauge::default(),
            replicated_objects: Gauge::default(),
            body_memory: Gauge::default(),
            unbuffered: Family::default(),
            resting_endpoints: Gauge::default(),
            longest_rest: Gauge::default(),
            rests: Counter::default(),
            leaving_endpoints: Gauge::default(),
            waiting_requests: Gauge::default(),
            waited: wait_histogram(),
            windows: Family::default(),
            shared_services: Gauge::default(),
            running: Gauge::default(),
            routes_version: Gauge::default(),
            routes_proven: Gauge::default(),
            endpoints: Gauge::default(),
            ready: Gauge::default(),
            peers: PeerMetrics::default(),
            clients: ClientMetrics::default(),
        };
        metrics.registry = registry(|registry| metrics.register(registry));
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        self.peers.register(registry);
        self.clients.register(registry);
        let requests = "Requests by kind of route, none where no route was found, and result code";
        registry.register("gateway_requests", requests, self.requests.clone());
        registry.register_with_unit(
            "gateway_request_duration",
            "Time from a request's arrival to its final answer, by kind of route",
            Unit::Seconds,
            self.durations.clone(),
        );
        let by_workspace = "Requests by workspace, other beyond the first 256, and result code";
        registry.register(
            "gateway_workspace_requests",
            by_workspace,
            self.workspace_requests.clone(),
        );
        let attempts = "Attempts at endpoints by how they ended";
        registry.register("gateway_attempts", attempts, self.attempts.clone());
        let pipelined = "Requests that callers sent before their previous one was answered, by \
            whether they ran beside those before them or after";
        registry.register(
            "gateway_pipelined_requests",
            pipelined,
            self.pipelined.clone(),
        );
        let relayed = "Attempts to relay a request through another gateway by how they ended";
        registry.register("gateway_relayed", relayed, self.relayed.clone());
        let helped = "Requests that other gateways relayed through this one, by result code";
        registry.register("gateway_helped", helped, self.helped.clone());
        let probes = "Probes of endpoints in failure domains without contact, by outcome";
        registry.register(
            "gateway_contact_probes",
            probes,
            self.contact_probes.clone(),
        );
        let cut_off = "1 while there is no contact with any endpoint";
        registry.register("gateway_cut_off", cut_off, self.cut_off.clone());
        let retries = "Retries granted, refused and given back, by service, other beyond the first \
            256";
        registry.register("gateway_retries", retries, self.retries.clone());
        let sent = "Attempts that were sent to endpoints and other gateways, by service, and by what \
            allowed them: first ones, retries, those granted elsewhere, and none";
        registry.register("gateway_sent", sent, self.sent.clone());
        let divisor =
            "Number of gateways that the retry floor is divided by, 0 without a part of it";
        registry.register("gateway_floor_divisor", divisor, self.floor_divisor.clone());
        let unanswered = "Retries that ended without a response and may still arrive";
        registry.register(
            "gateway_unanswered_retries",
            unanswered,
            self.unanswered_retries.clone(),
        );
        let suspected = "Requests that endpoints may have ended under";
        registry.register(
            "gateway_suspected_requests",
            suspected,
            self.suspected_requests.clone(),
        );
        let limited = "Endpoints that name the rate of requests that they take";
        registry.register(
            "gateway_limited_endpoints",
            limited,
            self.limited_endpoints.clone(),
        );
        let slowed = "Endpoints whose VMs work slower than usual by what they report";
        registry.register(
            "gateway_slowed_endpoints",
            slowed,
            self.slowed_endpoints.clone(),
        );
        let replicated = "Objects that this gateway sends to more than one endpoint";
        registry.register(
            "gateway_replicated_objects",
            replicated,
            self.replicated_objects.clone(),
        );
        let resting = "Endpoints that have asked this gateway for rest and get no requests";
        registry.register_with_unit(
            "gateway_body_memory",
            "Memory of buffered responses",
            Unit::Bytes,
            self.body_memory.clone(),
        );
        let unbuffered =
            "Responses that were streamed, ended or dropped as memory was short, by which of these";
        registry.register("gateway_unbuffered", unbuffered, self.unbuffered.clone());
        registry.register(
            "gateway_resting_endpoints",
            resting,
            self.resting_endpoints.clone(),
        );
        let longest = "Seconds until the last endpoint at rest is back";
        registry.register(
            "gateway_longest_rest_seconds",
            longest,
            self.longest_rest.clone(),
        );
        let rests = "Answers of endpoints that asked for rest";
        registry.register("gateway_rests_asked_for", rests, self.rests.clone());
        let leaving = "Endpoints that have said that they are leaving and get no requests";
        registry.register(
            "gateway_leaving_endpoints",
            leaving,
            self.leaving_endpoints.clone(),
        );
        let waiting = "Requests that wait until the endpoints of their service have room";
        registry.register(
            "gateway_waiting_requests",
            waiting,
            self.waiting_requests.clone(),
        );
        registry.register_with_unit(
            "gateway_waited",
            "Time for which requests have waited, whether they were started or rejected then",
            Unit::Seconds,
            self.waited.clone(),
        );
        let windows =
            "Requests that may be in flight for a service in a region while that is limited";
        registry.register("gateway_window", windows, self.windows.clone());
        let shared = "Services short of capacity that is divided among workspaces";
        registry.register(
            "gateway_shared_services",
            shared,
            self.shared_services.clone(),
        );
        let running = "Requests without a final answer";
        registry.register("gateway_running", running, self.running.clone());
        let version = "Operators' number of the routes in force";
        registry.register(
            "gateway_routes_version",
            version,
            self.routes_version.clone(),
        );
        let proven = "1 while control has lately proved that the routes in force are the newest";
        registry.register("gateway_routes_proven", proven, self.routes_proven.clone());
        let endpoints = "Endpoints on the platform's list as known here";
        registry.register("gateway_endpoints", endpoints, self.endpoints.clone());
        let ready = "1 while callers may be sent here";
        registry.register("gateway_ready", ready, self.ready.clone());
    }

    /// Counts a request that was answered `took` after its arrival. `kind` is the kind of
    /// its route; `None` if no route was found.
    pub fn record_request(&self, kind: Option<&'static str>, code: ResultCode, took: Duration) {
        let kind = kind.unwrap_or(NO_KIND);
        let labels = OutcomeLabels {
            kind,
            code: code.number(),
            result: code.slug(),
        };
        self.requests.get_or_create_owned(&labels).inc();
        let duration = self.durations.get_or_create_owned(&KindLabels { kind });
        observe(&duration, took);
    }

    /// Counts a request of a workspace that was answered.
    pub fn record_workspace_request(&self, workspace: &Workspace, code: ResultCode) {
        let name = workspace.as_str().to_owned();
        let labels = WorkspaceLabels {
            workspace: self.workspaces.admit(name).unwrap_or_else(other),
            code: code.number(),
            result: code.slug(),
        };
        self.workspace_requests.get_or_create_owned(&labels).inc();
    }

    /// Counts an attempt at an endpoint, by its outcome.
    pub fn record_attempt(&self, outcome: &'static str) {
        let labels = ReasonLabels { reason: outcome };
        self.attempts.get_or_create_owned(&labels).inc();
    }

    /// Counts a request that was sent ahead: `beside` if it ran beside those before it, else `after`.
    pub fn record_pipelined(&self, order: &'static str) {
        let labels = ReasonLabels { reason: order };
        self.pipelined.get_or_create_owned(&labels).inc();
    }

    /// Counts an attempt to relay a request through another gateway, by its outcome.
    pub fn record_relayed(&self, outcome: &'static str) {
        let labels = ReasonLabels { reason: outcome };
        self.relayed.get_or_create_owned(&labels).inc();
    }

    /// Counts a request that another gateway relayed through this one.
    pub fn record_helped(&self, code: ResultCode) {
        let labels = CodeLabels {
            code: code.number(),
            result: code.slug(),
        };
        self.helped.get_or_create_owned(&labels).inc();
    }

    /// Counts a probe of an endpoint in a failure domain without contact.
    pub fn record_contact_probe(&self, answered: bool) {
        let reason = if answered { "answered" } else { "unanswered" };
        let labels = ReasonLabels { reason };
        self.contact_probes.get_or_create_owned(&labels).inc();
    }

    /// Sets whether there is no contact with any endpoint.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.set(cut_off.into());
    }

    /// Counts a retry that the budget of its service granted or refused.
    pub fn record_retry(&self, service: &ServiceName, is_granted: bool) {
        let result = if is_granted { "granted" } else { "refused" };
        self.count_retry(service, result);
    }

    /// Counts a retry that was granted and given back, since nothing of it was sent.
    pub fn record_retry_given_back(&self, service: &ServiceName) {
        self.count_retry(service, "given-back");
    }

    fn count_retry(&self, service: &ServiceName, result: &'static str) {
        let name = service.as_str().to_owned();
        let labels = RetryLabels {
            service: self.services.admit(name).unwrap_or_else(other),
            result,
        };
        self.retries.get_or_create_owned(&labels).inc();
    }

    /// Counts an attempt that was sent `to` an endpoint or gateway, by what allowed it: `first`, `retry`,
    /// `elsewhere` for a retry that another gateway granted, `none`.
    pub fn record_sent(&self, service: &ServiceName, to: &'static str, granted: &'static str) {
        let name = service.as_str().to_owned();
        let labels = SentLabels {
            service: self.services.admit(name).unwrap_or_else(other),
            to,
            granted,
        };
        self.sent.get_or_create_owned(&labels).inc();
    }

    /// Sets the number of retries that ended without a response and may still arrive.
    pub fn set_unanswered_retries(&self, retries: u32) {
        set(&self.unanswered_retries, retries.into());
    }

    /// Sets the number of requests that endpoints may have ended under.
    pub fn set_suspected_requests(&self, requests: usize) {
        set(&self.suspected_requests, requests as u64);
    }

    /// Sets the number of endpoints that name the rate of requests that they take.
    pub fn set_limited_endpoints(&self, endpoints: usize) {
        set(&self.limited_endpoints, endpoints as u64);
    }

    /// Sets the number of endpoints whose VMs work slower than usual.
    pub fn set_slowed_endpoints(&self, endpoints: usize) {
        set(&self.slowed_endpoints, endpoints as u64);
    }

    /// Sets the number of objects that are sent to more than one endpoint.
    pub fn set_replicated_objects(&self, objects: usize) {
        set(&self.replicated_objects, objects as u64);
    }

    /// Sets the memory of buffered responses.
    pub fn set_body_memory(&self, bytes: usize) {
        set(&self.body_memory, bytes as u64);
    }

    /// Counts responses that were `streamed`, `ended` or `dropped` as memory was short.
    pub fn record_unbuffered(&self, how: &'static str, count: u64) {
        let labels = ReasonLabels { reason: how };
        self.unbuffered.get_or_create_owned(&labels).inc_by(count);
    }

    /// Sets the number of endpoints that are at rest.
    pub fn set_resting_endpoints(&self, endpoints: usize) {
        set(&self.resting_endpoints, endpoints as u64);
    }

    /// Sets the time until the last endpoint at rest is back.
    pub fn set_longest_rest(&self, left: Duration) {
        set(&self.longest_rest, left.as_secs());
    }

    /// Sets the number of endpoints that have said that they are leaving.
    pub fn set_leaving_endpoints(&self, endpoints: usize) {
        set(&self.leaving_endpoints, endpoints as u64);
    }

    /// Sets the number of services whose capacity is divided among workspaces.
    pub fn set_shared_services(&self, services: usize) {
        set(&self.shared_services, services as u64);
    }

    /// Counts an answer of an endpoint that asked for rest.
    pub fn record_rest(&self) {
        self.rests.inc();
    }

    /// Sets the number of requests that wait for room at endpoints.
    pub fn set_waiting(&self, requests: usize) {
        set(&self.waiting_requests, requests as u64);
    }

    /// Records how long a request has waited.
    pub fn record_waited(&self, waited: Duration) {
        observe(&self.waited, waited);
    }

    /// Sets how many requests may be in flight for a service in a region.
    pub fn set_window(&self, service: &ServiceName, region: &Region, window: f64) {
        let labels = self.site_labels(service, region);
        let gauge = self.windows.get_or_create_owned(&labels);
        set(&gauge, window as u64);
    }

    /// Removes the figure of a window that is unlimited again.
    pub fn remove_window(&self, service: &ServiceName, region: &Region) {
        self.windows.remove(&self.site_labels(service, region));
    }

    fn site_labels(&self, service: &ServiceName, region: &Region) -> SiteLabels {
        let service = service.as_str().to_owned();
        SiteLabels {
            service: self.services.admit(service).unwrap_or_else(other),
            region: region.as_str().to_owned(),
        }
    }

    /// Sets the number of gateways that the retry floor is divided by; 0 if this one has no part.
    pub fn set_floor_divisor(&self, gateways: u32) {
        set(&self.floor_divisor, gateways.into());
    }

    /// Sets how many requests have no final answer yet.
    pub fn set_running(&self, running: usize) {
        set(&self.running, running as u64);
    }

    /// Sets the version of the routes in force.
    pub fn set_routes_version(&self, version: u64) {
        set(&self.routes_version, version);
    }

    /// Sets whether control has recently proven the routes in force to be the newest.
    pub fn set_routes_proven(&self, proven: bool) {
        self.routes_proven.set(proven.into());
    }

    /// Sets how many endpoints this gateway has in its list.
    pub fn set_endpoints(&self, endpoints: usize) {
        set(&self.endpoints, endpoints as u64);
    }

    /// Sets whether this gateway is ready for callers.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready.into());
    }

    /// Counters of peer messages and rings.
    pub fn peers(&self) -> &PeerMetrics {
        &self.peers
    }

    /// Metrics of the connections to each port.
    pub fn clients(&self) -> &ClientMetrics {
        &self.clients
    }

    /// The response body of `/metrics`.
    pub fn encode(&self) -> String {
        self.clients.record();
        encoded(&self.registry)
    }
}
