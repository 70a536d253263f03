//! Prepared answers to look-ups.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ResultCode, ServiceName};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::StartNumber;

/// Maximum number of entries in an answer: enough for a caller to survive the loss of a
/// failure domain within one TTL, few enough for the answer to fit into one packet.
const MAX_ENTRIES: usize = 6;

/// A live entry, as listed in answers to look-ups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: NodeName,
    /// Its incarnation, which authenticates the requests that it forwards.
    pub incarnation: Incarnation,
    /// Its address for callers.
    pub addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is in a planned stop: it may still forward requests, but isn't listed to
    /// callers.
    pub leaving: bool,
}

/// Answers to look-ups, prepared in advance, and the entries that may forward requests.
#[derive(Debug, Default)]
pub struct Directory {
    start: Option<StartNumber>,
    complete: bool,
    key_prefix: String,
    answers: HashMap<Box<str>, Vec<Bytes>>,
    incarnations: HashMap<NodeName, Incarnation>,
}

/// Builds a [`Directory`].
#[derive(Debug)]
pub struct DirectoryBuilder {
    failure_domain: FailureDomain,
    ttl: Duration,
    start: Option<StartNumber>,
    complete: bool,
    key_prefix: String,
    entries: BTreeMap<NodeName, Entry>,
    services: BTreeMap<ServiceName, Vec<Vec<NodeName>>>,
}

#[derive(Serialize)]
struct LookupBody<'a> {
    entries: Vec<ListedEntry<'a>>,
    ttl_seconds: u64,
    home: &'a FailureDomain,
    key_prefix: &'a str,
}

#[derive(Serialize)]
struct ListedEntry<'a> {
    address: SocketAddr,
    region: &'a Region,
    failure_domain: &'a FailureDomain,
}

/// Number of caller groups. Each has its own prepared answers, so that the distribution of
/// callers matches the weights to within 1%.
const GROUPS: u16 = 128;

/// A group of callers that get the same answers.
///
/// Steering chooses a caller's region and entry by its address. For look-ups and for
/// requests alike it gets the group's address instead, so that answers can be prepared in
/// advance and still agree with what steering decides for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerGroup(u16);

impl CallerGroup {
    /// All groups.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }

    /// The group of a caller; the same at every entry.
    pub fn of(caller: IpAddr) -> Self {
        let hash = match caller {
            IpAddr::V4(addr) => xxh3_64(&addr.octets()),
            IpAddr::V6(addr) => xxh3_64(&addr.octets()),
        };
        Self((hash % u64::from(GROUPS)) as u16)
    }

    /// The address passed to steering for every caller of the group.
    pub fn address(self) -> IpAddr {
        IpAddr::V6(Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, self.0))
    }
}

impl Directory {
    /// Creates a builder of a directory for an entry in this failure domain, without entries
    /// or services, with a TTL of 10 s and no key prefix.
    pub fn builder(failure_domain: FailureDomain) -> DirectoryBuilder {
        DirectoryBuilder {
            failure_domain,
            start: None,
            complete: false,
            ttl: Duration::from_secs(10),
            key_prefix: String::new(),
            entries: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// The start of the process under which it was built; `None` if the newest table wasn't
    /// known then.
    pub fn start(&self) -> Option<StartNumber> {
        self.start
    }

    /// The result code for a service that isn't in the directory: it doesn't exist, or that
    /// can't be decided here. An outdated table may lack a new service, so a directory built
    /// from it must not deny one: callers treat that as final.
    pub fn unknown_service_code(&self) -> ResultCode {
        match self.complete {
            true => ResultCode::UnknownService,
            false => ResultCode::NotReady,
        }
    }

    /// The prefix for callers' idempotency keys; empty if no keys are accepted.
    pub fn key_prefix(&self) -> &str {
        &self.key_prefix
    }

    /// Whether the directory lists the service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.answers.contains_key(service.as_str())
    }

    /// The answer to a look-up; `None` if the service isn't listed, empty if no entry serves it.
    pub fn answer(&self, service: &str, group: CallerGroup) -> Option<Bytes> {
        let prepared = self.answers.get(service)?;
        if prepared.is_empty() {
            return Some(Bytes::new());
        }
        Some(prepared[usize::from(group.0) % prepared.len()].clone())
    }

    /// Whether this name and incarnation are those of a listed entry.
    pub fn is_entry(&self, name: &NodeName, incarnation: Incarnation) -> bool {
        self.incarnations.get(name) == Some(&incarnation)
    }
}

impl DirectoryBuilder {
    /// How long callers may use an answer. Default 10 s.
    #[must_use]
    pub fn ttl(mut self, ttl: Duration) -> Self {
        self.ttl = ttl;
        self
    }

    /// The start of the process under which the answers are prepared. Default `None`, with
    /// which no answer is given to callers.
    #[must_use]
    pub fn start(mut self, start: Option<StartNumber>) -> Self {
        self.start = start;
        self
    }

    /// Whether the services added are all that exist. Default false.
    #[must_use]
    pub fn complete(mut self, complete: bool) -> Self {
        self.complete = complete;
        self
    }

    /// The prefix for callers' idempotency keys. Default empty.
    #[must_use]
    pub fn key_prefix(mut self, prefix: impl Into<String>) -> Self {
        self.key_prefix = prefix.into();
        self
    }

    /// Adds a live entry.
    #[must_use]
    pub fn entry(mut self, entry: Entry) -> Self {
        self.entries.insert(entry.name.clone(), entry);
        self
    }

    /// Adds a service with one list of entries per [`CallerGroup`], best entry first.
    #[must_use]
    pub fn service(mut self, service: ServiceName, orders: Vec<Vec<NodeName>>) -> Self {
        self.services.insert(service, orders);
        self
    }

    /// Prepares the answers.
    pub fn build(&self) -> Directory {
        let incarnations = self
            .entries
            .values()
            .map(|entry| (entry.name.clone(), entry.incarnation))
            .collect();
        let answers = self
            .services
            .iter()
            .map(|(service, orders)| (service.as_str().into(), self.answers(orders)))
            .collect();
        Directory {
            start: self.start,
            complete: self.complete,
            key_prefix: self.key_prefix.clone(),
            answers,
            incarnations,
        }
    }

    fn answers(&self, orders: &[Vec<NodeName>]) -> Vec<Bytes> {
        orders
            .iter()
            .map(|order| self.select_entries(order))
            .filter(|selected| !selected.is_empty())
            .map(|selected| self.body(&selected))
            .collect()
    }

    /// The entries to list, in the given order except that leaving ones are skipped, and that
    /// the second is one in another failure domain than the first if there is one, because a
    /// caller tries the second when the first's failure domain may be down.
    fn select_entries(&self, order: &[NodeName]) -> Vec<&Entry> {
        let mut selected: Vec<_> = order
            .iter()
            .filter_map(|name| self.entries.get(name))
            .filter(|entry| !entry.leaving)
            .collect();
        let first = selected.first().map(|entry| &entry.failure_domain);
        let other = selected
            .iter()
            .position(|entry| Some(&entry.failure_domain) != first);
        if let Some(other) = other {
            let other = selected.remove(other);
            selected.insert(1, other);
        }
        selected.truncate(MAX_ENTRIES);
        selected
    }

    fn body(&self, entries: &[&Entry]) -> Bytes {
        let entries = entries.iter().map(|entry| ListedEntry {
            address: entry.addr,
            region: &entry.region,
            failure_domain: &entry.failure_domain,
        });
        let body = LookupBody {
            entries: entries.collect(),
            ttl_seconds: self.ttl.as_secs(),
            home: &self.failure_domain,
            key_prefix: &self.key_prefix,
        };
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}
