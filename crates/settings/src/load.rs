//! Loads a file into settings.

use std::net::SocketAddr;
use std::path::Path;

use filberthead_types::{FailureDomain, NodeName, Region, ServiceName};
use snafu::{OptionExt, ResultExt};

use crate::document::{Document, Section};
use crate::keys;
use crate::problem::{InvalidSnafu, ReadSnafu};
use crate::value::{Role, Value};
use crate::{BudgetSettings, ControlSettings, EntrySettings, GatewaySettings, GroupSettings};
use crate::{EndpointSettings, Problem, ReplicaSettings, SampleSettings, SettingsError};
use crate::{LogSettings, ObjectiveSettings, PlatformListSettings, VmSettings};
use crate::{cross, schema};

/// Returns all problems of a file. Without any, the program accepts the file.
pub fn check(path: &Path) -> Vec<Problem> {
    match read(path) {
        Ok(text) => check_text(path, &text),
        Err(err) => vec![Problem {
            file: path.to_owned(),
            found: err.to_string(),
            allowed: "a readable file in UTF-8".to_owned(),
            ..Problem::default()
        }],
    }
}

/// Like [`check`], for a text; `path` is only used in the problems.
pub fn check_text(path: &Path, text: &str) -> Vec<Problem> {
    let (_, problems) = parse_and_check(path, text, None);
    problems
}

impl EntrySettings {
    /// Loads the settings of an entry.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and lists all of its problems if it has any.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Role::Entry, entry)
    }
}

impl ControlSettings {
    /// Loads the settings of a control replica.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and lists all of its problems if it has any.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Role::Control, control)
    }
}

impl GatewaySettings {
    /// Loads the settings of a gateway.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, and lists all of its problems if it has any.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Role::Gateway, gateway)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn load<T>(
    path: &Path,
    role: Role,
    build: fn(&Document<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let text = read(path)?;
    let (document, problems) = parse_and_check(path, &text, Some(role));
    if !problems.is_empty() {
        return InvalidSnafu { problems }.fail();
    }
    // Without problems every required key is present and valid, so `build` succeeds. An
    // error with an empty list would mean that a declaration and `build` disagree.
    build(&document).context(InvalidSnafu { problems })
}

/// Parses a text and returns its problems sorted by line. `expected` is the role of the
/// program that loads it, if any.
fn parse_and_check<'a>(
    path: &Path,
    text: &'a str,
    expected: Option<Role>,
) -> (Document<'a>, Vec<Problem>) {
    let mut problems = Vec::new();
    let document = Document::parse(text, &mut problems);
    let role = document.role();
    schema::check(&document, role, &mut problems);
    cross::check(&document, role, &mut problems);
    if let (Some(role), Some(expected)) = (role, expected)
        && role != expected
    {
        problems.push(wrong_role(&document, role, expected));
    }
    for problem in &mut problems {
        path.clone_into(&mut problem.file);
    }
    problems.sort_by_key(|problem| problem.line);
    (document, problems)
}

fn wrong_role(document: &Document<'_>, role: Role, expected: Role) -> Problem {
    Problem {
        line: document.line(&keys::ROLE),
        section: keys::ROLE.section.to_owned(),
        key: keys::ROLE.name.to_owned(),
        found: format!("`{}`", role.as_str()),
        allowed: format!("`{}` for this program", expected.as_str()),
        ..Problem::default()
    }
}

fn vm(document: &Document<'_>) -> Option<VmSettings> {
    Some(VmSettings {
        memory_bytes: document.get(&keys::VM_MEMORY)?.0,
        descriptors: document.get(&keys::VM_DESCRIPTORS),
    })
}

fn entry(document: &Document<'_>) -> Option<EntrySettings> {
    Some(EntrySettings {
        cluster: document.get(&keys::CLUSTER)?.0,
        node: document.get(&keys::NAME)?,
        region: document.get(&keys::REGION)?,
        failure_domain: document.get(&keys::FAILURE_DOMAIN)?,
        vm: vm(document)?,
        caller_listen: document.get(&keys::CALLERS_LISTEN)?.0,
        caller_advertise: document.get(&keys::CALLERS_ADVERTISE).map(|addr| addr.0),
        peer_listen: document.get(&keys::PEERS_LISTEN)?.0,
        peer_advertise: document.get(&keys::PEERS_ADVERTISE).map(|addr| addr.0),
        status_listen: document.get(&keys::STATUS_LISTEN)?.0,
        data: document.get(&keys::DATA),
        replicas: replicas(document)?,
        seeds: document
            .get(&keys::SEEDS)
            .map_or(Vec::new(), |seeds| seeds.0),
        platform_url: document.get(&keys::PLATFORM_URL).map(|url| url.0),
        endpoints: document
            .labelled_sections(keys::ENDPOINT_ADDRESS.section)
            .map(endpoint)
            .collect::<Option<_>>()?,
        lookup_ttl: document.get(&keys::LOOKUP_TTL)?,
        stop_deadline: document.get(&keys::STOP_DEADLINE)?,
        request_timeout: document.get(&keys::REQUEST_TIMEOUT)?,
        queue: document.get(&keys::QUEUE)?,
        ledger_keys: document.get(&keys::LEDGER_KEYS)?,
        ledger_retention: document.get(&keys::LEDGER_RETENTION)?,
        log: log(document)?,
    })
}

fn control(document: &Document<'_>) -> Option<ControlSettings> {
    Some(ControlSettings {
        cluster: document.get(&keys::CLUSTER)?.0,
        node: document.get(&keys::NAME)?,
        region: document.get(&keys::REGION)?,
        failure_domain: document.get(&keys::FAILURE_DOMAIN)?,
        vm: vm(document)?,
        peer_listen: document.get(&keys::PEERS_LISTEN)?.0,
        peer_advertise: document.get(&keys::PEERS_ADVERTISE).map(|addr| addr.0),
        operator_listen: document.get(&keys::OPERATORS_LISTEN)?.0,
        operator_advertise: document.get(&keys::OPERATORS_ADVERTISE).map(|addr| addr.0),
        data: document.get(&keys::DATA)?,
        tokens: document.get(&keys::TOKENS),
        review: document.get(&keys::REVIEW)?,
        replicas: replicas(document)?,
        group: group(document)?,
        orders_listen: document.get(&keys::ORDERS_LISTEN).map(|addr| addr.0),
        lookups_listen: document.get(&keys::LOOKUPS_LISTEN).map(|addr| addr.0),
        lookups_ttl: document.get(&keys::LOOKUPS_TTL)?,
        platform_list: platform_list(document)?,
        heartbeat: document.get(&keys::HEARTBEAT)?,
        election_timeout: document.get(&keys::ELECTION_TIMEOUT)?,
        lease: document.get(&keys::LEASE)?,
        objectives: document
            .labelled_sections(keys::LATENCY_TARGET.section)
            .map(objective)
            .collect::<Option<_>>()?,
        samples: SampleSettings {
            period: document.get(&keys::SAMPLE_PERIOD)?,
            max_bytes: document.get(&keys::SAMPLE_SIZE)?.0,
        },
        log: log(document)?,
    })
}

fn gateway(document: &Document<'_>) -> Option<GatewaySettings> {
    let peer_listen = document.get(&keys::PEERS_LISTEN)?.0;
    let relay_listen = document.get(&keys::RELAY_LISTEN).map(|addr| addr.0);
    Some(GatewaySettings {
        cluster: document.get(&keys::CLUSTER)?.0,
        node: document.get(&keys::NAME)?,
        region: document.get(&keys::REGION)?,
        failure_domain: document.get(&keys::FAILURE_DOMAIN)?,
        vm: vm(document)?,
        caller_listen: document.get(&keys::CALLERS_LISTEN)?.0,
        caller_advertise: document.get(&keys::CALLERS_ADVERTISE).map(|addr| addr.0),
        readiness_listen: document.get(&keys::READINESS_LISTEN)?.0,
        status_listen: document.get(&keys::STATUS_LISTEN)?.0,
        peer_listen,
        peer_advertise: document.get(&keys::PEERS_ADVERTISE).map(|addr| addr.0),
        relay_listen: relay_listen.unwrap_or(next_port(peer_listen)),
        relay_advertise: document.get(&keys::RELAY_ADVERTISE).map(|addr| addr.0),
        seeds: seeds(document)?,
        regions: document
            .labelled_sections(keys::DOMAIN_REGION.section)
            .map(domain)
            .collect::<Option<_>>()?,
        budgets: BudgetSettings {
            retry_ratio: document.get(&keys::RETRY_RATIO)?,
            retry_floor: document.get(&keys::RETRY_FLOOR)?,
            retry_window: document.get(&keys::RETRY_WINDOW)?,
            max_shift: document.get(&keys::MAX_SHIFT)?,
            allotment_slack: document.get(&keys::ALLOTMENT_SLACK)?,
        },
        contention_control: document.get(&keys::CONTENTION_CONTROL)?,
        fair_shares: document.get(&keys::CONTENTION_SHARES)?,
        link_rate: document.get(&keys::LINK_RATE).filter(|rate| *rate > 0.0),
        stop_grace: document.get(&keys::STOP_GRACE)?,
        log: log(document)?,
    })
}

/// The same address with the next port; any free port stays any free port.
fn next_port(mut addr: SocketAddr) -> SocketAddr {
    if addr.port() != 0 {
        addr.set_port(addr.port().wrapping_add(1));
    }
    addr
}

fn domain(section: &Section<'_>) -> Option<(FailureDomain, Region)> {
    let region = section.get(&keys::DOMAIN_REGION)?;
    Some((FailureDomain::read(section.label?)?, region))
}

/// The outer option is `None` only if a declaration and this function disagree.
fn group(document: &Document<'_>) -> Option<Option<GroupSettings>> {
    if document.get(&keys::SEEDS_OF_GROUP).is_none() {
        return Some(None);
    }
    Some(Some(GroupSettings {
        seeds: seeds(document)?,
        first_start: document.get(&keys::FIRST_START)?,
        tolerate: usize::try_from(document.get(&keys::TOLERATE)?).ok()?,
    }))
}

/// Peer addresses of the seeds. The group's `port`, if set, replaces their own.
fn seeds(document: &Document<'_>) -> Option<Vec<SocketAddr>> {
    let mut seeds = document.get(&keys::SEEDS_OF_GROUP)?.0;
    if let Some(port) = document.get(&keys::SEED_PORT) {
        let port = u16::try_from(port).ok()?;
        seeds.iter_mut().for_each(|addr| addr.set_port(port));
    }
    Some(seeds)
}

fn platform_list(document: &Document<'_>) -> Option<Option<PlatformListSettings>> {
    let Some(addr) = document.get(&keys::PLATFORM_LIST) else {
        return Some(None);
    };
    Some(Some(PlatformListSettings {
        addr: addr.0,
        rate: document.get(&keys::PLATFORM_RATE)?,
        domains: document
            .get(&keys::PLATFORM_DOMAINS)
            .map_or(Vec::new(), |domains| domains.0),
        drain: document.get(&keys::PLATFORM_DRAIN)?,
    }))
}

fn replicas(document: &Document<'_>) -> Option<Vec<ReplicaSettings>> {
    document
        .labelled_sections(keys::REPLICA_PEER.section)
        .map(replica)
        .collect()
}

fn replica(section: &Section<'_>) -> Option<ReplicaSettings> {
    Some(ReplicaSettings {
        name: NodeName::read(section.label?)?,
        peer_addr: section.get(&keys::REPLICA_PEER)?.0,
    })
}

fn endpoint(section: &Section<'_>) -> Option<EndpointSettings> {
    Some(EndpointSettings {
        name: NodeName::read(section.label?)?,
        service: section.get(&keys::ENDPOINT_SERVICE)?,
        addr: section.get(&keys::ENDPOINT_ADDRESS)?.0,
        slots: section.get(&keys::ENDPOINT_SLOTS)?,
        connections: section.get(&keys::ENDPOINT_CONNECTIONS)?,
    })
}

fn objective(section: &Section<'_>) -> Option<ObjectiveSettings> {
    Some(ObjectiveSettings {
        service: ServiceName::read(section.label?)?,
        latency_threshold: section.get(&keys::LATENCY_THRESHOLD)?,
        latency_target: section.get(&keys::LATENCY_TARGET)?.0,
        headroom_min: section.get(&keys::HEADROOM_MIN)?.0,
        headroom_target: section.get(&keys::HEADROOM_TARGET)?.0,
        drain_deadline: section.get(&keys::DRAIN_DEADLINE)?,
        drain_target: section.get(&keys::DRAIN_TARGET)?.0,
        served_target: section.get(&keys::SERVED_TARGET)?.0,
    })
}

fn log(document: &Document<'_>) -> Option<LogSettings> {
    Some(LogSettings {
        level: document.get(&keys::LOG_LEVEL)?,
        format: document.get(&keys::LOG_FORMAT)?,
        stream: document.get(&keys::LOG_STREAM)?,
    })
}
