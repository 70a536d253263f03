//! Rules for the links between the named processes of a test.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::owner::Owners;
use super::{FaultProxy, Flow, Flows, Rules};

/// Name of the test process itself, for links to and from the test's own connections.
const TEST: &str = "test";

/// All proxies of a test, each in front of a named process, and the links between these
/// processes.
///
/// A link has one direction: it carries the bytes that `from` sends to `to`, whichever of the
/// two opened the connection. The test's own connections belong to no link unless a test sets
/// one, so that it can still reach processes that are cut off from each other.
#[derive(Clone, Debug, Default)]
pub struct Network {
    owners: Owners,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    proxies: Vec<(Arc<str>, Arc<watch::Sender<Rules>>)>,
    links: BTreeMap<(String, String), Flow>,
}

impl Network {
    /// A network in which all links forward bytes.
    pub fn new() -> Self {
        let network = Self::default();
        network.register(TEST, std::process::id());
        network
    }

    /// Starts a proxy in front of the process named `server`.
    pub fn proxy(&self, server: &str) -> FaultProxy {
        let proxy = FaultProxy::start_with(self.owners.clone());
        self.update(|shared| {
            let rules = Arc::clone(proxy.rules());
            shared.proxies.push((server.into(), rules));
        });
        proxy
    }

    /// Sets the process id of a named process, at its start and each restart.
    pub fn register(&self, name: &str, pid: u32) {
        self.owners.register(name, pid);
    }

    /// Sets how all bytes that `from` sends to `to` are forwarded.
    pub fn set(&self, from: &str, to: &str, flow: Flow) {
        self.update(|shared| shared.set(from, to, flow));
    }

    /// Cuts the link from `from` to `to`; the opposite link stays as it is.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.set(from, to, Flow::Hold);
    }

    /// Cuts all links between processes of different groups.
    pub fn partition(&self, groups: &[&[&str]]) {
        self.set_between(groups, Flow::Hold);
    }

    /// Sets all links between processes of different groups, in both directions.
    pub fn set_between(&self, groups: &[&[&str]], flow: Flow) {
        self.update(|shared| {
            for (a, group) in groups.iter().enumerate() {
                let others = groups.iter().enumerate().filter(|(b, _)| *b != a);
                for to in others.flat_map(|(_, other)| other.iter()) {
                    group.iter().for_each(|from| shared.set(from, to, flow));
                }
            }
        });
    }

    /// Sets how all bytes between these processes are forwarded, in both directions.
    pub fn set_links(&self, links: &[(&str, &str)], flow: Flow) {
        self.update(|shared| {
            for (a, b) in links {
                shared.set(a, b, flow);
                shared.set(b, a, flow);
            }
        });
    }

    /// A network of other links between the same processes: a change of one leaves the other alone.
    #[must_use]
    pub fn separate(&self) -> Self {
        Self {
            owners: self.owners.clone(),
            shared: Arc::default(),
        }
    }

    /// Whether any link has a rule.
    pub fn has_rules(&self) -> bool {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        !shared.links.is_empty()
    }

    /// Removes the rules of all links.
    pub fn heal(&self) {
        self.update(|shared| shared.links.clear());
    }

    fn update(&self, change: impl FnOnce(&mut Shared)) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut shared);
        shared.update_proxies();
    }
}

impl Shared {
    fn set(&mut self, from: &str, to: &str, flow: Flow) {
        self.links.insert((from.to_owned(), to.to_owned()), flow);
    }

    fn update_proxies(&self) {
        for (server, rules) in &self.proxies {
            let links = self.links_to(server);
            rules.send_modify(|rules| rules.links = links);
        }
    }

    /// Flows that the proxy in front of `server` applies, by the connecting process.
    fn links_to(&self, server: &str) -> Vec<(Arc<str>, Flows)> {
        let mut links: BTreeMap<&str, Flows> = BTreeMap::new();
        for ((from, to), &flow) in &self.links {
            if to == server {
                links.entry(from).or_default().to_server = flow;
            }
            if from == server {
                links.entry(to).or_default().to_client = flow;
            }
        }
        links
            .into_iter()
            .map(|(client, flows)| (Arc::from(client), flows))
            .collect()
    }
}
