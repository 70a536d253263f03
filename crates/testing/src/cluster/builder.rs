//! Writes the settings of a system and starts it.

use std::net::SocketAddr;

use super::{Cluster, Endpoint, Node, Place, Programs, cluster_name};
use crate::platform::PlatformList;
use crate::proxy::Network;
use crate::standin::{Script, Standin};

const ANY_PORT: &str = "127.0.0.1:0";

#[derive(Clone, Debug)]
struct Setting {
    section: String,
    key: String,
    value: String,
}

/// Builds a [`Cluster`].
#[derive(Debug)]
pub struct Builder {
    pub(super) programs: Programs,
    places: Vec<Place>,
    replicas: usize,
    entries_each: usize,
    services: Vec<(String, usize)>,
    script: Script,
    platform: bool,
    entry_data: bool,
    control_settings: Vec<Setting>,
    entry_settings: Vec<Setting>,
}

impl Builder {
    pub(super) fn new(programs: Programs) -> Self {
        Self {
            programs,
            places: vec![
                Place::new("zagreb", "zagreb-a"),
                Place::new("split", "split-a"),
            ],
            replicas: 3,
            entries_each: 1,
            services: Vec::new(),
            script: Script::default(),
            platform: false,
            entry_data: false,
            control_settings: Vec::new(),
            entry_settings: Vec::new(),
        }
    }

    /// Regions and failure domains. Default: `zagreb-a` in `zagreb`, `split-a` in `split`.
    #[must_use]
    pub fn places(mut self, places: &[(&str, &str)]) -> Self {
        let place = |(region, failure_domain): &(&str, &str)| Place::new(region, failure_domain);
        self.places = places.iter().map(place).collect();
        self
    }

    /// Number of control replicas, distributed round-robin over the failure domains. Default 3.
    #[must_use]
    pub fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Number of entries in each failure domain. Default 1.
    #[must_use]
    pub fn entries_each(mut self, entries: usize) -> Self {
        self.entries_each = entries;
        self
    }

    /// Adds a service with `endpoints_each` endpoints in each failure domain.
    #[must_use]
    pub fn service(mut self, name: &str, endpoints_each: usize) -> Self {
        self.services.push((name.to_owned(), endpoints_each));
        self
    }

    /// Initial behaviour of all endpoints.
    #[must_use]
    pub fn script(mut self, script: Script) -> Self {
        self.script = script;
        self
    }

    /// Whether entries read endpoints from the platform's list instead of their settings.
    /// Default false.
    #[must_use]
    pub fn platform(mut self, platform: bool) -> Self {
        self.platform = platform;
        self
    }

    /// Whether entries have a data folder. Default false.
    #[must_use]
    pub fn entry_data(mut self, data: bool) -> Self {
        self.entry_data = data;
        self
    }

    /// Sets a key in each control replica's settings.
    #[must_use]
    pub fn control_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        self.control_settings.push(setting(section, key, value));
        self
    }

    /// Sets a key in each entry's settings.
    #[must_use]
    pub fn entry_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        self.entry_settings.push(setting(section, key, value));
        self
    }

    /// Prepares all settings and starts proxies and stand-ins, but no daemon.
    ///
    /// # Panics
    ///
    /// Panics if a folder can't be created or a port can't be bound.
    pub fn prepare(self) -> Cluster {
        let dir = tempfile::Builder::new().prefix("filberthead-").tempdir();
        let dir = dir.expect("a folder for the test");
        let network = Network::new();
        let platform = PlatformList::start();
        let platform_proxy = network.proxy("platform");
        platform_proxy.retarget(platform.addr());
        let mut cluster = Cluster {
            controls: Vec::new(),
            entries: Vec::new(),
            endpoints: self.endpoints(&network),
            network,
            platform,
            platform_proxy,
            builder: self,
            dir,
        };
        cluster.platform.set(cluster.vms());
        cluster.controls = cluster.builder.controls(&cluster);
        cluster.entries = cluster.builder.entries(&cluster);
        write_peer_addresses(&mut cluster);
        cluster
    }

    /// Starts the system and waits until each daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics if one isn't within a minute.
    #[track_caller]
    pub fn start(self) -> Cluster {
        let mut cluster = self.prepare();
        cluster.controls.iter_mut().for_each(Node::spawn);
        cluster.controls.iter_mut().for_each(Node::wait_ready);
        cluster.entries.iter_mut().for_each(Node::spawn);
        cluster.entries.iter_mut().for_each(Node::wait_ready);
        cluster
    }

    fn endpoints(&self, network: &Network) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for place in &self.places {
            for (service, each) in &self.services {
                for number in 1..=*each {
                    let name = format!("{service}-{}-{number}", place.failure_domain);
                    endpoints.push(self.endpoint(&name, service, place, network));
                }
            }
        }
        endpoints
    }

    fn endpoint(&self, name: &str, service: &str, place: &Place, network: &Network) -> Endpoint {
        let standin = Standin::start(name);
        standin.script(|script| *script = self.script.clone());
        let proxy = network.proxy(name);
        proxy.retarget(standin.addr());
        Endpoint {
            name: name.to_owned(),
            service: service.to_owned(),
            place: place.clone(),
            standin,
            proxy,
        }
    }

    fn controls(&self, cluster: &Cluster) -> Vec<Node> {
        let places = self.places.iter().cycle().take(self.replicas);
        places
            .enumerate()
            .map(|(number, place)| self.control(cluster, &format!("control-{}", number + 1), place))
            .collect()
    }

    pub(super) fn control(&self, cluster: &Cluster, name: &str, place: &Place) -> Node {
        let program = &self.programs.control;
        let keys = &["peer", "operator"];
        let mut node = Node::new(
            name,
            program,
            cluster.dir(),
            place.clone(),
            &cluster.network,
            keys,
        );
        write_common(&mut node, "control");
        advertise(&mut node, "peers", "peer");
        advertise(&mut node, "operators", "operator");
        write_data(&mut node);
        write_settings(&mut node, &self.control_settings);
        node
    }

    fn entries(&self, cluster: &Cluster) -> Vec<Node> {
        let mut entries = Vec::new();
        for place in &self.places {
            for number in 1..=self.entries_each {
                let name = format!("entry-{}-{number}", place.failure_domain);
                entries.push(self.entry(cluster, &name, place));
            }
        }
        entries
    }

    fn entry(&self, cluster: &Cluster, name: &str, place: &Place) -> Node {
        let program = &self.programs.entry;
        let keys = &["peer", "caller"];
        let mut node = Node::new(
            name,
            program,
            cluster.dir(),
            place.clone(),
            &cluster.network,
            keys,
        );
        write_common(&mut node, "entry");
        advertise(&mut node, "peers", "peer");
        advertise(&mut node, "callers", "caller");
        node.settings().set("status", "listen", ANY_PORT);
        if self.entry_data {
            write_data(&mut node);
        }
        if self.platform {
            let url = format!("http://{}/vms", cluster.platform_proxy.addr());
            node.settings().set("platform", "url", url);
        } else {
            write_endpoints(&mut node, &cluster.endpoints);
        }
        write_settings(&mut node, &self.entry_settings);
        node
    }
}

/// Sets the replicas' and seeds' addresses in all settings.
fn write_peer_addresses(cluster: &mut Cluster) {
    let replicas = peers_of(&cluster.controls);
    let seeds = peers_of(&cluster.entries);
    for node in cluster.controls.iter_mut().chain(&mut cluster.entries) {
        write_replicas(node, &replicas);
    }
    for node in &mut cluster.entries {
        let others = seeds.iter().filter(|(name, _)| name != node.name());
        let list: Vec<_> = others.map(|(_, addr)| addr.to_string()).collect();
        if !list.is_empty() {
            node.settings().set("peers", "seeds", list.join(", "));
        }
    }
}

/// Sets the addresses of all replicas other than the node itself.
pub(super) fn write_replicas(node: &mut Node, replicas: &[(String, SocketAddr)]) {
    for (name, addr) in replicas {
        if name != node.name() {
            let section = format!("replica {name}");
            node.settings().set(&section, "peer", addr);
        }
    }
}

pub(super) fn peers_of(nodes: &[Node]) -> Vec<(String, SocketAddr)> {
    nodes
        .iter()
        .map(|node| (node.name().to_owned(), node.addr("peer")))
        .collect()
}

fn setting(section: &str, key: &str, value: &str) -> Setting {
    Setting {
        section: section.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

fn write_common(node: &mut Node, role: &str) {
    let cluster = node.data().parent().map(cluster_name).unwrap_or_default();
    let (name, place) = (node.name().to_owned(), node.place().clone());
    node.settings()
        .set("node", "role", role)
        .set("node", "cluster", cluster)
        .set("node", "name", name)
        .set("node", "region", place.region)
        .set("node", "failure_domain", place.failure_domain)
        .set("log", "level", "info");
}

fn advertise(node: &mut Node, section: &str, key: &str) {
    let addr = node.addr(key);
    node.settings()
        .set(section, "listen", ANY_PORT)
        .set(section, "advertise", addr);
}

fn write_data(node: &mut Node) {
    let data = node.data().display().to_string();
    node.settings().set("storage", "data", data);
}

fn write_endpoints(node: &mut Node, endpoints: &[Endpoint]) {
    let place = node.place().clone();
    for endpoint in endpoints.iter().filter(|end| end.place == place) {
        let section = format!("endpoint {}", endpoint.name);
        node.settings()
            .set(&section, "service", &endpoint.service)
            .set(&section, "address", endpoint.addr());
    }
}

fn write_settings(node: &mut Node, settings: &[Setting]) {
    for setting in settings {
        node.settings()
            .set(&setting.section, &setting.key, &setting.value);
    }
}
