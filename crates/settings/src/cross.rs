//! Checks that involve more than one key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Problem;
use crate::document::Document;
use crate::key::Key;
use crate::keys;
use crate::value::{ListenAddr, Role, TargetAddr, Value};

/// Most control replicas, this one included.
const MAX_REPLICAS: usize = 7;
/// Heartbeat intervals that must fit into an election timeout, so that one late message or
/// two lost ones start no election.
const HEARTBEATS_PER_TIMEOUT: u32 = 3;
/// Heartbeat intervals that must fit into a lease, so that one late answer doesn't end it.
const HEARTBEATS_PER_LEASE: u32 = 2;

/// Adds a problem for each violated rule between keys.
pub(crate) fn check(document: &Document<'_>, role: Option<Role>, problems: &mut Vec<Problem>) {
    match role {
        Some(Role::Entry) => check_entry(document, problems),
        Some(Role::Control) => check_control(document, problems),
        // A gateway's keys have no rules between them, apart from those below.
        Some(Role::Gateway) => {}
        None => return,
    }
    check_names(document, problems);
    check_addresses(document, problems);
    check_advertised(
        document,
        &keys::CALLERS_LISTEN,
        &keys::CALLERS_ADVERTISE,
        problems,
    );
    check_advertised(
        document,
        &keys::PEERS_LISTEN,
        &keys::PEERS_ADVERTISE,
        problems,
    );
    check_advertised(
        document,
        &keys::RELAY_LISTEN,
        &keys::RELAY_ADVERTISE,
        problems,
    );
    check_advertised(
        document,
        &keys::OPERATORS_LISTEN,
        &keys::OPERATORS_ADVERTISE,
        problems,
    );
}

fn check_entry(document: &Document<'_>, problems: &mut Vec<Problem>) {
    // A leaving entry exits after the stop deadline. With a longer TTL a caller could still
    // have its address in a cached answer, and its connection would fail.
    check_shorter(
        document,
        &keys::LOOKUP_TTL,
        &keys::STOP_DEADLINE,
        1,
        problems,
    );
    // If a key expired while its request still ran, a resend would run the request again.
    check_shorter(
        document,
        &keys::REQUEST_TIMEOUT,
        &keys::LEDGER_RETENTION,
        1,
        problems,
    );
}

fn check_control(document: &Document<'_>, problems: &mut Vec<Problem>) {
    // If the lease were longer than the election timeout, an old leader could still answer
    // reads of the table after a new leader has accepted changes.
    check_shorter(document, &keys::LEASE, &keys::ELECTION_TIMEOUT, 1, problems);
    let heartbeat = &keys::HEARTBEAT;
    check_shorter(
        document,
        heartbeat,
        &keys::ELECTION_TIMEOUT,
        HEARTBEATS_PER_TIMEOUT,
        problems,
    );
    check_shorter(
        document,
        heartbeat,
        &keys::LEASE,
        HEARTBEATS_PER_LEASE,
        problems,
    );
    check_replica_count(document, problems);
}

/// Requires that `times` times the duration of `key` is less than that of `than`.
fn check_shorter(
    document: &Document<'_>,
    key: &Key<Duration>,
    than: &Key<Duration>,
    times: u32,
    problems: &mut Vec<Problem>,
) {
    let (Some(value), Some(bound)) = (document.get(key), document.get(than)) else {
        return;
    };
    if value * times < bound {
        return;
    }
    let part = match times {
        1 => String::new(),
        _ => format!("1/{times} of "),
    };
    problems.push(Problem {
        line: document.line(key),
        section: key.section.to_owned(),
        key: key.name.to_owned(),
        found: format!("{value:?}"),
        allowed: format!(
            "less than {part}[{}] {}, which is {bound:?}",
            than.section, than.name
        ),
        ..Problem::default()
    });
}

fn check_replica_count(document: &Document<'_>, problems: &mut Vec<Problem>) {
    let mut others = document.labelled_sections(keys::REPLICA_PEER.section);
    if let Some(section) = others.nth(MAX_REPLICAS - 1) {
        problems.push(Problem {
            line: section.line,
            section: section.header.to_owned(),
            found: format!("more than {} other replicas", MAX_REPLICAS - 1),
            allowed: format!("at most {MAX_REPLICAS} replicas, this one included"),
            ..Problem::default()
        });
    }
}

/// Names are identities: a second process or endpoint of the same name would be mistaken for
/// the first one after a restart.
fn check_names(document: &Document<'_>, problems: &mut Vec<Problem>) {
    let mut first_uses = BTreeMap::new();
    if let Some(own) = document.get(&keys::NAME) {
        first_uses.insert(own.as_str().to_owned(), document.line(&keys::NAME));
    }
    let named = [keys::REPLICA_PEER.section, keys::ENDPOINT_ADDRESS.section];
    for section in &document.sections {
        let (Some(label), true) = (section.label, named.contains(&section.name)) else {
            continue;
        };
        let Some(first) = first_uses.insert(label.to_owned(), section.line) else {
            continue;
        };
        problems.push(Problem {
            line: section.line,
            section: section.header.to_owned(),
            found: format!("the name `{label}` a second time"),
            allowed: format!("a name of its own; the first is in line {first}"),
            ..Problem::default()
        });
    }
}

/// An address and its position in the file.
struct AddressUse {
    addr: SocketAddr,
    line: u32,
    section: String,
    key: &'static str,
}

/// Each address must belong to one socket of one process. For example, a replica that has
/// its own address as that of another replica would count its own vote twice.
fn check_addresses(document: &Document<'_>, problems: &mut Vec<Problem>) {
    let mut uses = Vec::new();
    own_uses(document, &mut uses);
    labelled_uses(document, &keys::REPLICA_PEER, &mut uses);
    labelled_uses(document, &keys::ENDPOINT_ADDRESS, &mut uses);
    let seeds = document
        .get(&keys::SEEDS)
        .map_or(Vec::new(), |seeds| seeds.0);
    for addr in seeds {
        uses.push(address_use(document, &keys::SEEDS, addr));
    }
    let mut first_uses: Vec<&AddressUse> = Vec::new();
    for address_use in &uses {
        match first_uses
            .iter()
            .find(|other| conflicts(address_use, other))
        {
            Some(first) => problems.push(duplicate_address(address_use, first)),
            None => first_uses.push(address_use),
        }
    }
}

fn own_uses(document: &Document<'_>, uses: &mut Vec<AddressUse>) {
    let listen = [
        &keys::CALLERS_LISTEN,
        &keys::PEERS_LISTEN,
        &keys::RELAY_LISTEN,
        &keys::STATUS_LISTEN,
        &keys::OPERATORS_LISTEN,
    ];
    for key in listen {
        if let Some(ListenAddr(addr)) = document.get(key) {
            uses.push(address_use(document, key, addr));
        }
    }
    let advertise = [
        &keys::CALLERS_ADVERTISE,
        &keys::PEERS_ADVERTISE,
        &keys::RELAY_ADVERTISE,
        &keys::OPERATORS_ADVERTISE,
    ];
    for key in advertise {
        if let Some(TargetAddr(addr)) = document.get(key) {
            uses.push(address_use(document, key, addr));
        }
    }
}

fn labelled_uses(document: &Document<'_>, key: &Key<TargetAddr>, uses: &mut Vec<AddressUse>) {
    for section in document.labelled_sections(key.section) {
        if let Some(TargetAddr(addr)) = section.get(key) {
            uses.push(AddressUse {
                addr,
                line: section.property(key.name).map_or(section.line, |p| p.line),
                section: section.header.to_owned(),
                key: key.name,
            });
        }
    }
}

fn address_use<T: Value>(document: &Document<'_>, key: &Key<T>, addr: SocketAddr) -> AddressUse {
    AddressUse {
        addr,
        line: document.line(key),
        section: key.section.to_owned(),
        key: key.name,
    }
}

fn conflicts(one: &AddressUse, other: &AddressUse) -> bool {
    // Port 0 is a different port each time, and an advertised address may equal the
    // listening one.
    let same_socket = one.section == other.section && one.key != other.key;
    one.addr == other.addr && one.addr.port() != 0 && !same_socket
}

fn duplicate_address(address_use: &AddressUse, first: &AddressUse) -> Problem {
    Problem {
        line: address_use.line,
        section: address_use.section.clone(),
        key: address_use.key.to_owned(),
        found: format!("`{}` a second time", address_use.addr),
        allowed: format!(
            "an address of its own; the first is [{}] {} in line {}",
            first.section, first.key, first.line
        ),
        ..Problem::default()
    }
}

/// A process that listens on all addresses of its VM can't determine which of them other
/// processes can reach, so it needs an advertised address.
fn check_advertised(
    document: &Document<'_>,
    listen: &Key<ListenAddr>,
    advertise: &Key<TargetAddr>,
    problems: &mut Vec<Problem>,
) {
    let Some(ListenAddr(addr)) = document.get(listen) else {
        return;
    };
    let section = document.section(listen.section);
    let advertised = section.is_some_and(|section| section.property(advertise.name).is_some());
    if addr.ip().is_unspecified() && !advertised {
        problems.push(Problem {
            line: document.line(listen),
            section: listen.section.to_owned(),
            key: listen.name.to_owned(),
            found: format!("`{addr}` without `{}`", advertise.name),
            allowed: format!("an address of this VM, or `{}` beside it", advertise.name),
            ..Problem::default()
        });
    }
}
