//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::split::Split;
use crate::{Route, Table};

/// A table prepared for matching.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Matched>>>,
}

/// A route with what matching prepared for it.
#[derive(Debug)]
pub struct Matched {
    /// The route.
    pub route: Arc<Route>,
    /// Deals its requests out to its targets.
    pub split: Split,
}

impl Matcher {
    /// Prepares a table.
    pub fn new(table: &Table) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Matched>>> = HashMap::new();
        for route in &table.routes {
            let matched = Matched {
                split: Split::new(&route.targets),
                route: Arc::clone(route),
            };
            hosts
                .entry(host_name(&route.host).to_ascii_lowercase())
                .or_default()
                .push(Arc::new(matched));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|matched| std::cmp::Reverse(matched.route.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of that host with the longest prefix that begins `path`. A port, a dot at
    /// the end and the case of letters don't count, in `host` as in the table.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Matched>> {
        let name = host_name(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|matched| path.starts_with(&matched.route.prefix))
    }
}

/// A host without its port and without the dot that makes it absolute.
fn host_name(host: &str) -> &str {
    // An address in brackets has colons of its own.
    let port = host.rfind(':').filter(|at| !host[*at..].contains(']'));
    let name = &host[..port.unwrap_or(host.len())];
    name.strip_suffix('.').unwrap_or(name)
}
