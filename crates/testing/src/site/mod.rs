//! A small deployment on the platform: control replicas that manage their own membership,
//! gateways, and stand-ins for the platform's list and endpoints.
//!
//! Every address in the processes' settings is that of a proxy, so that links can be cut and a
//! replica can restart on another port.

mod endpoint;
mod journal;
mod list;
mod process_endpoint;
mod rest;
mod slots;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub use endpoint::{Arrival, Behaviour, CRASHING_PATH, Run, SiteEndpoint, is_answer};
pub use journal::{
    AskedRest, Journal, JournalClock, NamedLimit, Origin, Records, RunEnd, SaidLeaving,
};
pub use list::{Line, SiteList};
pub use process_endpoint::{
    EndpointCommand, EndpointSpec, ProcessEndpoint, RestCommand, run_endpoint,
};
pub use rest::{Rest, RestScope};

use crate::client::{Answer, Call, CallError};
use crate::cluster::{Ini, Node, Place};
use crate::proxy::{FaultProxy, Network};
use crate::wait_until;

const ANY_PORT: &str = "127.0.0.1:0";
/// Generous, for debug builds on a machine that runs other tests too.
const BOUND: Duration = Duration::from_secs(60);
/// `host` header of the tests' requests.
pub const HOST: &str = "shop.example";

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct SitePrograms {
    /// `filberthead-control`.
    pub control: PathBuf,
    /// `filberthead-gateway`.
    pub gateway: PathBuf,
}

/// Builds a [`Site`].
#[derive(Clone, Debug)]
pub struct SiteBuilder {
    programs: SitePrograms,
    places: Vec<Place>,
    control_places: Vec<Place>,
    gateway_places: Vec<Place>,
    gateway_settings: Vec<(&'static str, &'static str, String)>,
    replicas: usize,
    gateways: usize,
    seeds: usize,
    tolerate: usize,
    stop_grace: Duration,
    retry_floor: Option<u32>,
    relays: bool,
}

/// A deployment under test.
#[derive(Debug)]
pub struct Site {
    /// Control replicas; the first ones are the seeds.
    pub controls: Vec<Node>,
    /// Gateways.
    pub gateways: Vec<Node>,
    /// All endpoints that were started, including those no longer on the list.
    pub endpoints: Vec<SiteEndpoint>,
    /// The platform's list.
    pub list: SiteList,
    /// The links between the processes.
    pub network: Network,
    /// Proxies in front of endpoints, by index into `endpoints`.
    links: BTreeMap<usize, FaultProxy>,
    builder: SiteBuilder,
    dir: tempfile::TempDir,
}

impl Site {
    /// A builder that starts with three replicas, one gateway, two failure domains and one seed.
    pub fn builder(programs: SitePrograms) -> SiteBuilder {
        SiteBuilder {
            programs,
            places: vec![
                Place::new("zagreb", "zagreb-a"),
                Place::new("split", "split-a"),
            ],
            control_places: Vec::new(),
            gateway_places: Vec::new(),
            gateway_settings: Vec::new(),
            replicas: 3,
            gateways: 1,
            seeds: 1,
            tolerate: 1,
            stop_grace: Duration::from_secs(3),
            retry_floor: None,
            relays: true,
        }
    }

    /// The folder of settings, logs and data.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps [`dir`](Self::dir) when the site is dropped.
    pub fn keep(&mut self) {
        self.dir.disable_cleanup(true);
    }

    /// The control replica with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[track_caller]
    pub fn control(&mut self, name: &str) -> &mut Node {
        let mut nodes = self.controls.iter_mut();
        nodes.find(|n| n.name() == name).expect("a replica")
    }

    /// Starts another control replica with a new address, an empty data folder and the same
    /// seeds as the others.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't start.
    #[track_caller]
    pub fn add_control(&mut self) -> &Node {
        let seeds: Vec<_> = self.controls.iter().map(|n| n.addr("peer")).collect();
        let mut node = self.new_control(self.controls.len() + 1);
        write_seeds(node.settings(), &seeds[..self.builder.seeds]);
        node.settings().set("group", "first_start", "false");
        node.start();
        self.controls.push(node);
        &self.controls[self.controls.len() - 1]
    }

    /// Adds an endpoint to the list.
    pub fn add_endpoint(&mut self, service: &str, domain: &str) -> &SiteEndpoint {
        let number = self.new_endpoint(service, domain);
        self.show_endpoints();
        &self.endpoints[number]
    }

    /// Starts an endpoint that isn't on the list yet, and returns its index.
    fn new_endpoint(&mut self, service: &str, domain: &str) -> usize {
        let number = self.endpoints.len();
        let id = format!("i-{}", number + 1);
        self.endpoints
            .push(SiteEndpoint::start(&id, service, domain));
        number
    }

    /// Adds an endpoint to the list under the address of a proxy in front of it, and returns its
    /// index.
    pub fn add_linked_endpoint(&mut self, service: &str, domain: &str) -> usize {
        let number = self.new_endpoint(service, domain);
        let endpoint = &self.endpoints[number];
        let proxy = self.network.proxy(&endpoint.id());
        proxy.retarget(endpoint.addr());
        endpoint.set_proxy_addr(proxy.addr());
        self.links.insert(number, proxy);
        self.show_endpoints();
        number
    }

    /// The proxy in front of an endpoint; `None` if it has none.
    pub fn link(&self, endpoint: usize) -> Option<&FaultProxy> {
        self.links.get(&endpoint)
    }

    /// Ends the proxy in front of an endpoint: its address refuses connections from now on.
    pub fn remove_link(&mut self, endpoint: usize) {
        self.links.remove(&endpoint);
    }

    /// Replaces the list by all endpoints that haven't left it.
    pub fn show_endpoints(&self) {
        let listed = self.endpoints.iter().filter(|e| !e.is_gone());
        self.list.set(listed.map(SiteEndpoint::line).collect());
    }

    /// Sends an operator's call to the replicas in rotation until one answers with another status
    /// than 503.
    ///
    /// # Panics
    ///
    /// Panics if none does within a minute.
    #[track_caller]
    pub fn order(&self, call: &str, body: &str) -> Answer {
        let mut answer = None;
        wait_until(call, BOUND, || {
            answer = self.controls.iter().find_map(|node| {
                let answer = order_at(node, call, body).ok()?;
                (answer.status != 503).then_some(answer)
            });
            answer.is_some()
        });
        answer.expect("the wait ends with an answer")
    }

    /// Installs routes: every path of [`HOST`] under `/SERVICE/` goes to that service. `services`
    /// are pairs of a name and the kind of its route.
    ///
    /// # Panics
    ///
    /// Panics if they aren't accepted.
    #[track_caller]
    pub fn put_routes(&self, version: u64, services: &[(&str, &str)]) {
        let answer = self.order("config.put", &config(version, services));
        assert_eq!(answer.status, 200, "routes are accepted");
    }

    /// Waits until a gateway's readiness check succeeds.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't within a minute.
    #[track_caller]
    pub fn wait_serving(&self, gateway: usize) {
        wait_until("the gateway is ready", BOUND, || self.is_serving(gateway));
    }

    /// Whether a gateway's readiness check succeeds.
    pub fn is_serving(&self, gateway: usize) -> bool {
        let node = &self.gateways[gateway];
        let addr = node.try_direct_addr("readiness");
        let answer = addr.map(|addr| Call::get("/-/readyz").send(addr));
        matches!(answer, Some(Ok(answer)) if answer.status == 200)
    }

    /// Sends a request to a gateway.
    ///
    /// # Errors
    ///
    /// As [`Call::send`].
    pub fn request(&self, gateway: usize, call: &Call) -> Result<Answer, CallError> {
        call.send(self.gateways[gateway].addr("caller"))
    }
}

/// Sends an operator's call to one replica.
///
/// # Errors
///
/// As [`Call::send`].
pub fn order_at(node: &Node, call: &str, body: &str) -> Result<Answer, CallError> {
    let call = Call::new("POST", &format!("/-/rpc?call={call}")).body(body.to_owned());
    let addr = node.addr("orders");
    call.bound(Duration::from_secs(2)).send(addr)
}

/// Version of the routes that a replica has proved to be the newest; `None` if it can't.
pub fn proven_version(node: &Node) -> Option<u64> {
    let answer = order_at(node, "config.get", "").ok()?;
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    body["version"].as_u64()
}

/// A request with the headers that the platform's callers send.
pub fn request(method: &str, path: &str, id: &str) -> Call {
    Call::new(method, path)
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", "20000")
}

/// Routes in the platform's JSON format: each service with its route's kind under its own prefix.
pub fn config(version: u64, services: &[(&str, &str)]) -> String {
    config_value(version, services).to_string()
}

/// The same with workspaces, each in the platform's JSON format.
pub fn config_with_workspaces(
    version: u64,
    services: &[(&str, &str)],
    workspaces: &[serde_json::Value],
) -> String {
    let mut config = config_value(version, services);
    config["tenants"] = workspaces.into();
    config.to_string()
}

fn config_value(version: u64, services: &[(&str, &str)]) -> serde_json::Value {
    let route = |(name, kind): &(&str, &str)| {
        serde_json::json!({
            "name": format!("r-{name}"), "host": HOST, "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20000, "target_latency_ms": 15000, "priority": 1,
            "service": name, "max_attempts": 2, "sticky_sessions": true, "allowed_regions": [],
        })
    };
    let service = |(name, _): &(&str, &str)| {
        serde_json::json!({
            "name": name, "health_path": "/healthz", "max_connections": 330,
            "warmup_s": 3.0, "warmup_per_s": 9.4,
        })
    };
    serde_json::json!({
        "version": version,
        "routes": services.iter().map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

impl SiteBuilder {
    /// Number of control replicas. Default 3.
    #[must_use]
    pub fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Number of gateways, distributed round-robin over the failure domains. Default 1.
    #[must_use]
    pub fn gateways(mut self, gateways: usize) -> Self {
        self.gateways = gateways;
        self
    }

    /// Places control replicas and gateways here, one in each, instead of round-robin over two
    /// failure domains.
    #[must_use]
    pub fn placed(mut self, controls: Vec<Place>, gateways: Vec<Place>) -> Self {
        self.replicas = controls.len();
        self.gateways = gateways.len();
        let all = controls.iter().chain(&gateways).cloned();
        self.places = all.fold(Vec::new(), |mut places, place| {
            if !places.contains(&place) {
                places.push(place);
            }
            places
        });
        self.control_places = controls;
        self.gateway_places = gateways;
        self
    }

    /// Sets a key in the settings of all gateways.
    #[must_use]
    pub fn gateway_setting(
        mut self,
        section: &'static str,
        key: &'static str,
        value: impl std::fmt::Display,
    ) -> Self {
        self.gateway_settings
            .push((section, key, value.to_string()));
        self
    }

    /// Number of replicas that are seeds. Default 1.
    #[must_use]
    pub fn seeds(mut self, seeds: usize) -> Self {
        self.seeds = seeds;
        self
    }

    /// Number of replicas whose loss the group tolerates. Default 1.
    #[must_use]
    pub fn tolerate(mut self, tolerate: usize) -> Self {
        self.tolerate = tolerate;
        self
    }

    /// Time that a gateway has from the stop signal until it ends. Default 3 s.
    #[must_use]
    pub fn stop_grace(mut self, grace: Duration) -> Self {
        self.stop_grace = grace;
        self
    }

    /// Retries that all gateways together may make in each window beyond the ratio. Default: that of
    /// the settings.
    #[must_use]
    pub fn retry_floor(mut self, floor: u32) -> Self {
        self.retry_floor = Some(floor);
        self
    }

    /// Whether the gateways know settings of relayed requests, as those of earlier builds don't. Default
    /// true.
    #[must_use]
    pub fn relays(mut self, relays: bool) -> Self {
        self.relays = relays;
        self
    }

    /// Starts the site and waits until each process is ready.
    ///
    /// # Panics
    ///
    /// Panics if one isn't within a minute.
    #[track_caller]
    pub fn start(self) -> Site {
        let dir = tempfile::Builder::new().prefix("filberthead-").tempdir();
        let network = Network::new();
        let mut site = Site {
            controls: Vec::new(),
            gateways: Vec::new(),
            endpoints: Vec::new(),
            list: SiteList::start(),
            network,
            links: BTreeMap::new(),
            builder: self.clone(),
            dir: dir.expect("a folder for the test"),
        };
        site.controls = (1..=self.replicas).map(|n| site.new_control(n)).collect();
        site.gateways = (1..=self.gateways).map(|n| site.new_gateway(n)).collect();
        let seeds: Vec<_> = site.controls.iter().map(|n| n.addr("peer")).collect();
        let seeds = &seeds[..self.seeds];
        let nodes = site.controls.iter_mut().chain(&mut site.gateways);
        for node in nodes {
            write_seeds(node.settings(), seeds);
            node.spawn();
        }
        for node in site.controls.iter_mut().chain(&mut site.gateways) {
            node.wait_ready();
        }
        for node in &mut site.controls {
            node.settings().set("group", "first_start", "false");
        }
        site
    }
}

fn write_seeds(settings: &mut Ini, seeds: &[SocketAddr]) {
    let list: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    settings.set("group", "seeds", list.join(","));
}

impl Site {
    fn new_control(&self, number: usize) -> Node {
        let name = format!("control-{number}");
        let keys = &["peer", "operator", "orders", "lookups"];
        let program = &self.builder.programs.control;
        let place = self.place(&self.builder.control_places, number);
        let node = self.node(&name, place, "control", program, keys);
        let mut node = self.without_lookups(node, "lookups");
        let data = node.data().display().to_string();
        let (peer, operator) = (node.addr("peer"), node.addr("operator"));
        let places = self.builder.places.iter();
        let domains: Vec<&str> = places.map(|place| place.failure_domain.as_str()).collect();
        node.settings()
            .set("peers", "listen", ANY_PORT)
            .set("peers", "advertise", peer)
            .set("operators", "listen", ANY_PORT)
            .set("operators", "advertise", operator)
            .set("storage", "data", data)
            .set("group", "first_start", "true")
            .set("group", "tolerate", self.builder.tolerate)
            .set("orders", "listen", ANY_PORT)
            .set("lookups", "listen", ANY_PORT)
            .set("platform", "list", self.list.addr())
            .set("platform", "domains", domains.join(","))
            .set("platform", "rate", "1000");
        node
    }

    fn new_gateway(&self, number: usize) -> Node {
        let name = format!("gateway-{number}");
        let keys: &[&str] = match self.builder.relays {
            true => &["peer", "caller", "relay"],
            false => &["peer", "caller"],
        };
        let program = &self.builder.programs.gateway;
        let place = self.place(&self.builder.gateway_places, number);
        let node = self.node(&name, place, "gateway", program, keys);
        let mut node = self.without_lookups(node, "caller");
        let (peer, caller) = (node.addr("peer"), node.addr("caller"));
        if self.builder.relays {
            let relay = node.addr("relay");
            node.settings()
                .set("relay", "listen", ANY_PORT)
                .set("relay", "advertise", relay);
        }
        node.settings()
            .set("peers", "listen", ANY_PORT)
            .set("peers", "advertise", peer)
            .set("callers", "listen", ANY_PORT)
            .set("callers", "advertise", caller)
            .set("readiness", "listen", ANY_PORT)
            .set("status", "listen", ANY_PORT)
            .set(
                "stop",
                "grace",
                format!("{}s", self.builder.stop_grace.as_secs()),
            );
        if let Some(floor) = self.builder.retry_floor {
            node.settings().set("budgets", "retry_floor", floor);
        }
        for (section, key, value) in &self.builder.gateway_settings {
            node.settings().set(section, key, value);
        }
        // The seeds' own ports are right, so the `port` setting, which replaces them, is left out.
        for place in &self.builder.places {
            let section = format!("failure_domain {}", place.failure_domain);
            node.settings().set(&section, "region", &place.region);
        }
        node
    }

    /// In a placed site, with its many callers, the proxy of this address doesn't look up who connects.
    fn without_lookups(&self, node: Node, key: &'static str) -> Node {
        match self.builder.gateway_places.is_empty() {
            true => node,
            false => node.with_unlinked(&[key]),
        }
    }

    /// Where the process with this number, from 1, runs: round-robin over all places if `own` names
    /// none for it.
    fn place(&self, own: &[Place], number: usize) -> Place {
        let places = &self.builder.places;
        let round_robin = &places[(number - 1) % places.len()];
        own.get(number - 1).unwrap_or(round_robin).clone()
    }

    fn node(
        &self,
        name: &str,
        place: Place,
        role: &str,
        program: &Path,
        keys: &[&'static str],
    ) -> Node {
        let folder = self.dir().file_name().unwrap_or_default();
        let cluster = folder.to_string_lossy().to_ascii_lowercase();
        let mut node = Node::new(name, program, self.dir(), place, &self.network, keys);
        let place = node.place().clone();
        node.settings()
            .set("node", "role", role)
            .set("node", "cluster", cluster)
            .set("node", "name", name)
            .set("node", "region", place.region)
            .set("node", "failure_domain", place.failure_domain)
            .set("log", "level", "debug");
        node
    }
}
