//! What look-ups are answered from.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ResultCode, ServiceName};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::StartNumber;

/// Entries that an answer names at most: enough for a caller to outlive a failure
/// domain within one time to live, few enough for an answer of one packet.
const MAX_ENTRIES: usize = 6;

/// A live entry, as look-ups name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: NodeName,
    /// Its incarnation, to know requests that it forwards.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is on a planned stop: known, but not to be named to callers.
    pub leaving: bool,
}

/// Answers to look-ups, made beforehand, and the entries that may forward requests.
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

/// Callers fall into as many groups, each with answers of its own, so that weights can
/// be met to within 1% although answers are made beforehand.
const GROUPS: u16 = 128;

/// A group of callers that get the same answers.
///
/// Steering draws a caller's region and entry from its address. It is asked about
/// groups instead, for look-ups and for requests alike, so that answers can be made
/// before a caller asks and still agree with what steering decides on its request.
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

    /// The address that steering is told for every caller of the group.
    pub fn address(self) -> IpAddr {
        IpAddr::V6(Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, self.0))
    }
}

impl Directory {
    /// Starts a directory as seen from a failure domain, without entries or
    /// services; callers may keep its answers for 10 s, and keys get no prefix.
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

    /// The start of the process under which it was made, once the newest table was known.
    pub fn start(&self) -> Option<StartNumber> {
        self.start
    }

    /// Why a service isn't known: it doesn't exist, or that can't be told here. A table that
    /// may have been overtaken names services, but can't deny any: callers take that as final.
    pub fn unknown_service_code(&self) -> ResultCode {
        match self.complete {
            true => ResultCode::UnknownService,
            false => ResultCode::NotReady,
        }
    }

    /// What callers put before their idempotency keys; empty if no keys are taken.
    pub fn key_prefix(&self) -> &str {
        &self.key_prefix
    }

    /// Whether the service is known.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.answers.contains_key(service.as_str())
    }

    /// The answer to a look-up: empty if the service is known but no entry serves it.
    ///
    pub fn answer(&self, service: &str, group: CallerGroup) -> Option<Bytes> {
        let prepared = self.answers.get(service)?;
        if prepared.is_empty() {
            return Some(Bytes::new());
        }
        Some(prepared[usize::from(group.0) % prepared.len()].clone())
    }

    /// Whether this name and incarnation are those of an entry known here.
    pub fn is_entry(&self, name: &NodeName, incarnation: Incarnation) -> bool {
        self.incarnations.get(name) == Some(&incarnation)
    }
}

impl DirectoryBuilder {
    /// How long callers may keep an answer. Default 10 s.
    #[must_use]
    pub fn ttl(mut self, ttl: Duration) -> Self {
        self.ttl = ttl;
        self
    }

    /// Start of the process whose table the answers are made by. Default none, and none of
    /// them is given.
    #[must_use]
    pub fn start(mut self, start: Option<StartNumber>) -> Self {
        self.start = start;
        self
    }

    /// Whether services that aren't added don't exist. Default false.
    #[must_use]
    pub fn complete(mut self, complete: bool) -> Self {
        self.complete = complete;
        self
    }

    /// What callers put before their idempotency keys. Default nothing.
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

    /// Adds a service and, for each [`CallerGroup`], the order, best entry first, in
    /// which its look-ups name entries.
    #[must_use]
    pub fn service(mut self, service: ServiceName, orders: Vec<Vec<NodeName>>) -> Self {
        self.services.insert(service, orders);
        self
    }

    /// Makes the answers.
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

    /// The entries to be named: whatever the order says, none that is leaving, and the
    /// second in another failure domain than the first if there is such a one, because
    /// a caller that tries the second does so when the first's domain may be gone.
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
