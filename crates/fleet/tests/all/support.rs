//! Helpers: a gateway and a replica that exchange messages.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{
    Endpoint, EndpointState, GatewayInfo, Load, Member, Message, Registry, Revisions, Update,
};
use filberthead_types::Moment;

pub(crate) const CONTROL: u16 = 1;
pub(crate) const GATEWAY: u16 = 2;

pub(crate) fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

pub(crate) fn gateway() -> Member {
    gateway_from(100)
}

/// A gateway whose report ids start at `first_report_id`.
pub(crate) fn gateway_from(first_report_id: u64) -> Member {
    let info = GatewayInfo {
        name: "entry-1".parse().expect("a name"),
        region: "split".parse().expect("a name"),
        domain: "split-a".parse().expect("a name"),
        caller_addr: addr(80),
        relay_addr: addr(81),
    };
    Member::new(info, [addr(CONTROL)], first_report_id)
}

pub(crate) fn endpoint(id: &str, cold_ms: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        incarnation: None,
        service: "orders".parse().expect("a name"),
        addr: addr(8080),
        domain: "split-a".parse().expect("a name"),
        slots: 3,
        state: EndpointState::Ready,
        cold_left: ms(cold_ms),
    }
}

/// Delivers messages between one gateway and one replica until neither sends any, and
/// returns the updates that the gateway received.
pub(crate) fn exchange(now: Moment, member: &mut Member, registry: &mut Registry) -> Vec<Update> {
    exchange_with(now, member, registry, true)
}

/// As [`exchange`]; `proven` is whether the replica can prove its revisions.
pub(crate) fn exchange_with(
    now: Moment,
    member: &mut Member,
    registry: &mut Registry,
    proven: bool,
) -> Vec<Update> {
    let mut to_control: Vec<Message> = member
        .tick(now, Load::default)
        .into_iter()
        .map(|(_, m)| m)
        .collect();
    let mut updates = Vec::new();
    while let Some(message) = to_control.pop() {
        for (_, answer) in registry.receive(now, addr(GATEWAY), message, proven) {
            let (out, received) = member.receive(now, addr(CONTROL), answer);
            to_control.extend(out.into_iter().map(|(_, m)| m));
            updates.extend(received);
        }
    }
    updates
}

/// A notice with these revisions and without a proof.
pub(crate) fn notice(revisions: Revisions, replicas: Vec<SocketAddr>) -> Message {
    Message::Notice {
        revisions,
        replicas,
        gateways: Vec::new(),
        demand: Vec::new(),
        ratios: Vec::new(),
        shares: Vec::new(),
        link_milli: None,
        helpers: Vec::new(),
        suspicions: Vec::new(),
        contended: false,
        answered_report: None,
        proven_report: None,
        leaders_count: None,
    }
}
