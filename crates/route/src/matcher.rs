//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::split::Split;
use crate::{Route, Table};

/// A table that is indexed for matching.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    /// Routes by host, sorted by descending length of the prefix.
    hosts: HashMap<String, Vec<Arc<Matched>>>,
}

/// A route and the split of its requests.
#[derive(Debug)]
pub struct Matched {
    /// The route.
    pub route: Arc<Route>,
    /// Distributes the route's requests over its targets.
    pub split: Split,
}

impl Matcher {
    /// Indexes a table.
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

    /// The route of `host` with the longest prefix that `path` starts with. A port, a trailing
    /// dot and the case of letters are ignored, in `host` as in the table.
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

/// A host without its port and without the trailing dot of an absolute name.
fn host_name(host: &str) -> &str {
    // An IPv6 address in brackets contains colons itself.
    let port = host.rfind(':').filter(|at| !host[*at..].contains(']'));
    let name = &host[..port.unwrap_or(host.len())];
    name.strip_suffix('.').unwrap_or(name)
}
