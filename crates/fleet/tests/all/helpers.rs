//! Gateways that others are told to relay requests through.

use std::net::SocketAddr;

use filberthead_fleet::{GatewayInfo, Helper, Load, Member, Registry, Update};
use filberthead_types::Moment;

use crate::support::{CONTROL, addr, ms};

/// Failure domains with the number of gateways in each; `x-1` is in region `x`.
const GATEWAYS: [(&str, u16); 4] = [("a-1", 6), ("a-2", 3), ("b-1", 3), ("b-2", 3)];

struct Gateway {
    member: Member,
    addr: SocketAddr,
}

fn gateway(domain: &str, number: u16) -> Gateway {
    let info = GatewayInfo {
        name: format!("{domain}-{number}").parse().expect("a name"),
        region: domain[..1].parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        caller_addr: addr(number),
        relay_addr: addr(1000 + number),
    };
    let mut member = Member::new(info, [addr(CONTROL)], 1);
    member.set_ready(true);
    member.set_helps(true);
    Gateway {
        member,
        addr: addr(2000 + number),
    }
}

fn gateways() -> Vec<Gateway> {
    let of_domain = |(domain, count): (&'static str, u16)| (0..count).map(move |_| domain);
    let domains = GATEWAYS.into_iter().flat_map(of_domain);
    domains
        .zip(0..)
        .map(|(domain, n)| gateway(domain, n))
        .collect()
}

/// Lets each gateway report; returns the helpers that the first one is told of, if it is.
fn report(now: Moment, gateways: &mut [Gateway], registry: &mut Registry) -> Option<Vec<Helper>> {
    let mut told = None;
    // The first one reports last, when all others are known.
    for (number, gateway) in gateways.iter_mut().enumerate().rev() {
        for (_, message) in gateway.member.tick(now, Load::default) {
            for (_, answer) in registry.receive(now, gateway.addr, message, true) {
                let (_, updates) = gateway.member.receive(now, addr(CONTROL), answer);
                let helpers = updates.into_iter().find_map(|update| match update {
                    Update::Helpers(helpers) => Some(helpers),
                    _ => None,
                });
                if number == 0 {
                    told = told.or(helpers);
                }
            }
        }
    }
    told
}

fn domains(helpers: &[Helper]) -> Vec<&str> {
    helpers
        .iter()
        .map(|helper| helper.domain.as_str())
        .collect()
}

#[test]
fn helpers_at_each_distance_are_named_the_nearest_first() {
    let (mut gateways, mut registry) = (gateways(), Registry::default());
    let told = report(ms(0), &mut gateways, &mut registry).expect("helpers");
    // Four of each distance, but for the receiver itself and where there are fewer.
    let near = ["a-1", "a-1", "a-1", "a-2", "a-2", "a-2"];
    assert_eq!(domains(&told)[..6], near);
    assert_eq!(domains(&told)[6..], ["b-1", "b-2", "b-1", "b-2"]);
    assert!(told.iter().all(|helper| helper.addr != addr(1000)));
}

#[test]
fn gateways_that_are_cut_off_or_not_ready_are_no_helpers() {
    let (mut gateways, mut registry) = (gateways(), Registry::default());
    for gateway in &mut gateways[1..6] {
        gateway.member.set_helps(false);
    }
    for gateway in &mut gateways[6..9] {
        gateway.member.set_ready(false);
    }
    let told = report(ms(0), &mut gateways, &mut registry).expect("helpers");
    assert_eq!(domains(&told), ["b-1", "b-2", "b-1", "b-2"]);
}
