//! State shared by callers, operators and the runner that injects faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::history::History;
use super::workspaces::Workspaces;
use crate::site::{Site, config_with_workspaces};

/// Services, each with the kind of its route.
pub(super) const SERVICES: &[(&str, &str)] = &[
    ("orders", "unsafe"),
    ("catalogue", "safe"),
    ("lessons", "download"),
];

/// Latency objective of the routes. A quarter of it must be left before the deadline for a request to
/// be retried.
const OBJECTIVE_MS: u64 = 1_000;

/// Makes the routes of a version.
type MakeRoutes = Box<dyn Fn(u64) -> String + Send + Sync>;

/// Addresses of the processes, and the history so far.
pub(super) struct SharedState {
    /// Gateways' addresses for callers.
    pub(super) gateways: Vec<SocketAddr>,
    /// Replicas' addresses for look-ups.
    pub(super) lookups: Vec<SocketAddr>,
    /// Replicas' addresses for operators' calls.
    pub(super) orders: Vec<SocketAddr>,
    /// Number of starts and kills of each gateway: it changes whenever a gateway loses its state.
    pub(super) incarnations: Vec<AtomicU32>,
    make_routes: MakeRoutes,
    newest: AtomicU64,
    sent_bodies: Mutex<BTreeMap<u64, String>>,
    history: Mutex<History>,
    over: AtomicBool,
}

impl SharedState {
    pub(super) fn new(site: &Site) -> Self {
        Self::with_routes(site, Box::new(routes))
    }

    /// State of a soak in which operators change between these routes.
    pub(super) fn with_routes(site: &Site, make_routes: MakeRoutes) -> Self {
        let addrs = |nodes: &[crate::cluster::Node], key: &str| {
            nodes.iter().map(|node| node.addr(key)).collect::<Vec<_>>()
        };
        Self {
            gateways: addrs(&site.gateways, "caller"),
            lookups: addrs(&site.controls, "lookups"),
            orders: addrs(&site.controls, "orders"),
            incarnations: site.gateways.iter().map(|_| AtomicU32::new(0)).collect(),
            make_routes,
            newest: AtomicU64::new(0),
            sent_bodies: Mutex::default(),
            history: Mutex::default(),
            over: AtomicBool::new(false),
        }
    }

    pub(super) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The highest version that was assigned to routes.
    pub(super) fn newest(&self) -> u64 {
        self.newest.load(Ordering::Relaxed)
    }

    /// The highest version that was accepted; 0 if none was.
    pub(super) fn accepted(&self) -> u64 {
        let history = self.history();
        let accepted = history
            .changes
            .iter()
            .filter(|change| change.accepted.is_some());
        accepted.map(|change| change.version).max().unwrap_or(0)
    }

    /// A new version, `step` above the last, and its routes: those of all services, and one that
    /// only this version has.
    pub(super) fn next_routes(&self, step: u64) -> (u64, String) {
        let version = self.newest.fetch_add(step, Ordering::Relaxed) + step;
        let body = (self.make_routes)(version);
        let mut sent_bodies = self
            .sent_bodies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        sent_bodies.insert(version, body.clone());
        (version, body)
    }

    /// Whether `body` is exactly what was generated as this version.
    pub(super) fn matches_sent(&self, version: u64, body: &str) -> bool {
        let sent_bodies = self
            .sent_bodies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        sent_bodies.get(&version).is_some_and(|sent| sent == body)
    }

    pub(super) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub(super) fn finish(&self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// Path of the route that only this version has.
pub(super) fn probe_path(version: u64) -> String {
    format!("/only-{version}/")
}

fn routes(version: u64) -> String {
    let text = config_with_workspaces(version, SERVICES, &Workspaces::default().all());
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("it was made as JSON");
    if let Some(routes) = value["routes"].as_array_mut() {
        for route in routes.iter_mut() {
            route["target_latency_ms"] = OBJECTIVE_MS.into();
        }
        let mut route = routes[1].clone();
        route["name"] = format!("r-only-{version}").into();
        route["path_prefix"] = probe_path(version).into();
        routes.push(route);
    }
    value.to_string()
}
