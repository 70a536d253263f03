//! Gateways learn through control that callers of another one send ahead.

use filberthead_fleet::{GatewayInfo, Load, Member, Registry, Update};
use filberthead_types::Moment;

use crate::support::{CONTROL, addr, ms};

fn gateway(number: u16) -> Member {
    let info = GatewayInfo {
        name: format!("gateway-{number}").parse().expect("a name"),
        region: "split".parse().expect("a name"),
        domain: "split-a".parse().expect("a name"),
        caller_addr: addr(100 + number),
        relay_addr: addr(200 + number),
    };
    Member::new(info, [addr(CONTROL)], 1)
}

/// Lets a gateway report; returns whether it is told of contention.
fn is_told(now: Moment, member: &mut Member, registry: &mut Registry) -> bool {
    let mut told = false;
    for (_, message) in member.tick(now, Load::default) {
        for (_, answer) in registry.receive(now, addr(9), message, true) {
            let (_, updates) = member.receive(now, addr(CONTROL), answer);
            told |= updates.contains(&Update::Contended);
        }
    }
    told
}

/// A gateway whose own callers don't send ahead would order objects differently from its neighbours.
#[test]
fn contention_at_one_gateway_is_told_to_the_others() {
    let mut registry = Registry::default();
    let (mut first, mut second) = (gateway(1), gateway(2));
    assert!(!is_told(ms(0), &mut first, &mut registry));
    assert!(!is_told(ms(1), &mut second, &mut registry));
    first.set_contended();
    assert!(
        is_told(ms(10), &mut first, &mut registry),
        "at its next tick"
    );
    assert!(is_told(ms(1000), &mut second, &mut registry));
}
