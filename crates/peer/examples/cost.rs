//! Prints the encoded sizes of messages between gateways and control, one per line.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{
    Demand, Endpoint, EndpointState, GatewayInfo, Helper, Message, Report, Revisions, Stamp,
};
use filberthead_peer::{Body, Envelope, Origin, cluster_id, encode};
use filberthead_types::{FailureDomain, Incarnation, Region, ServiceName};

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], number))
}

fn domain(number: usize) -> FailureDomain {
    format!("domain-{number:02}").parse().expect("a valid name")
}

fn encoded_size(message: Message) -> usize {
    let origin = Origin {
        name: "edge-domain-01-1".parse().expect("a valid name"),
        incarnation: Incarnation(u64::MAX),
        addr: addr(7540),
        replica: None,
    };
    let body = Body::Fleet(message);
    let buf = encode(
        cluster_id("filberthead"),
        &Envelope {
            origin,
            received: 1000,
            body,
        },
    );
    buf.expect("a message can be encoded").len()
}

fn service(number: usize) -> ServiceName {
    format!("service-{number}").parse().expect("a valid name")
}

fn report() -> Message {
    let demand = |number| Demand {
        service: service(number),
        busy_milli: 12_345,
    };
    Message::Report(Report {
        gateway: GatewayInfo {
            name: "edge-domain-01-1".parse().expect("a valid name"),
            region: "region-1".parse().expect("a valid name"),
            domain: domain(1),
            caller_addr: addr(8548),
            relay_addr: addr(7541),
        },
        ready: true,
        helps: true,
        contended: false,
        revisions: revisions(),
        demand: (0..3).map(demand).collect(),
        usage: Vec::new(),
        refused: Vec::new(),
        work: Vec::new(),
        link_milli: 456,
        suspicions: Vec::new(),
        id: u64::MAX,
    })
}

fn revisions() -> Revisions {
    Revisions {
        routes: 12_345,
        evacuated: 12_300,
        endpoints: Stamp {
            term: 9,
            seq: 4_000,
        },
    }
}

fn notice(replicas: u16, domains: usize, regions: usize) -> Message {
    let regions =
        (0..regions).map(|n| -> Region { format!("region-{n}").parse().expect("a valid name") });
    let demand = regions.flat_map(|r| (0..3).map(move |n| (r.clone(), service(n), 12_345)));
    Message::Notice {
        revisions: revisions(),
        replicas: (0..replicas).map(addr).collect(),
        gateways: (0..domains).map(|n| (domain(n), 28)).collect(),
        demand: demand.collect(),
        ratios: Vec::new(),
        shares: Vec::new(),
        link_milli: Some(456),
        suspicions: Vec::new(),
        contended: false,
        helpers: (0..12)
            .map(|n| Helper {
                domain: domain(n),
                addr: addr(7541),
            })
            .collect(),
        answered_report: None,
        proven_report: Some(u64::MAX),
        leaders_count: Some(600),
    }
}

fn endpoints(count: usize) -> Message {
    let endpoint = |number: usize| Endpoint {
        id: format!("i-{number:010x}"),
        incarnation: Some(Incarnation(1_790_000_000_000 + number as u64)),
        service: service(number % 3),
        addr: addr(8080),
        domain: domain(number % 22),
        slots: 3,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    };
    Message::Endpoints {
        stamp: Stamp {
            term: 9,
            seq: 4_000,
        },
        list: (0..count).map(endpoint).collect(),
    }
}

fn main() {
    let report = encoded_size(report());
    let notice_6_domains = encoded_size(notice(6, 6, 3));
    let notice_22_domains = encoded_size(notice(7, 22, 9));
    println!("fleet-report: {report} B");
    println!("fleet-notice-6-domains: {notice_6_domains} B");
    println!("fleet-notice-22-domains: {notice_22_domains} B");
    println!(
        "fleet-endpoint: {} B",
        (encoded_size(endpoints(1000)) - encoded_size(endpoints(0))) / 1000
    );
    // A gateway sends two reports a second to each of seven replicas, each answered by a notice.
    println!(
        "fleet-gateway-22-domains: {} B/s",
        14 * (report + notice_22_domains)
    );
    println!(
        "fleet-replica-a-gateway: {} B/s",
        2 * (report + notice_22_domains)
    );
}
