//! Measures the time of a decision, a look-up, a tick and a renewal, and the memory of an
//! entry's policy, with several numbers of entries. Prints lines of `name: value unit`.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberthead_steer::{
    Action, Config, EndpointInfo, EntryInfo, Event, FinishKind, Lessor, Message, Policy, Reading,
    RequestInfo, ServiceReport, Steering,
};
use filberthead_table::{Row, RowKey, RowValues, View};
use filberthead_types::{Epoch, Incarnation, Moment, NodeName, RequestId, ServiceName, Version};

const SERVICES: usize = 3;
const SLOTS: u32 = 3;
const ENDPOINTS: usize = 6;
const ROUNDS: u32 = 20_000;

fn parse<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse()
        .unwrap_or_else(|e| unreachable!("a valid name: {e:?}"))
}

fn service(number: usize) -> ServiceName {
    parse(&format!("service-{number}"))
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn endpoint(number: usize, service_number: usize) -> EndpointInfo {
    EndpointInfo {
        name: parse(&format!("endpoint-{service_number}-{number}")),
        service: service(service_number),
        addr: addr(),
        region: parse("region-0"),
        failure_domain: parse("domain-0"),
        slots: SLOTS,
        connections: 330,
    }
}

fn entry(number: usize, regions: usize) -> EntryInfo {
    EntryInfo {
        name: parse(&format!("entry-{number}")),
        incarnation: Incarnation(1),
        caller_addr: addr(),
        region: parse(&format!("region-{}", number % regions)),
        failure_domain: parse(&format!("domain-{}", number % (2 * regions))),
        leaving: false,
    }
}

fn view(regions: usize) -> Arc<View> {
    let rows = (0..SERVICES).flat_map(|s| (0..regions).map(move |r| (s, r)));
    let rows = rows.map(|(s, r)| {
        let key = RowKey {
            service: service(s),
            region: parse(&format!("region-{r}")),
        };
        let values = RowValues {
            weight: 10,
            limit: 1000,
            shift_cap: 100,
            ..RowValues::default()
        };
        (
            key,
            Row {
                values,
                ..Row::default()
            },
        )
    });
    Arc::new(View {
        version: Version(1),
        rows: rows.collect(),
    })
}

/// Number of entries that report to an entry; it has no load of the others.
const REPORTING: usize = 16;

/// The policy of an entry in a cluster of `entries`.
fn policy(entries: usize, regions: usize) -> Policy {
    let cfg = Config::new(parse("entry-0"), parse("region-0"), parse("domain-0"))
        .leased(false)
        .slow_start(false);
    let mut policy = Policy::new(Moment::ZERO, cfg);
    let own = (0..SERVICES).flat_map(|s| (0..ENDPOINTS).map(move |n| endpoint(n, s)));
    let own: Vec<_> = own.collect();
    let names: Vec<NodeName> = own.iter().map(|info| info.name.clone()).collect();
    policy.observe(Moment::ZERO, Event::Table(view(regions)));
    policy.observe(Moment::ZERO, Event::Endpoints(own));
    for endpoint in names {
        let reading = Reading {
            asked: Moment::ZERO,
            ready: true,
            leaving: false,
            load: 0.0,
            incarnation: Incarnation(1),
        };
        policy.observe(Moment::ZERO, Event::Reading { endpoint, reading });
    }
    let infos = (0..entries).map(|n| entry(n, regions)).collect();
    policy.observe(Moment::ZERO, Event::Entries(infos));
    for number in 1..entries.min(REPORTING + 1) {
        let message = Message::Report((0..SERVICES).map(report).collect());
        let from = parse(&format!("entry-{number}"));
        policy.observe(Moment::ZERO, Event::Received { from, message });
    }
    policy
}

fn report(number: usize) -> ServiceReport {
    ServiceReport {
        service: service(number),
        slots: 9,
        capacity: 9,
        running: 9,
        waiting: 3,
        shift_room: 3,
        hold_micros: 20_000,
    }
}

fn request(id: u128) -> RequestInfo {
    RequestInfo {
        id: RequestId(id),
        service: service(0),
        idempotent: true,
        deadline: Duration::from_secs(5),
        caller: Some(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + id as u32 % 5000))),
        tried: Vec::new(),
        forwarded_by: None,
    }
}

fn finished(id: u128, kind: FinishKind) -> Event {
    Event::Finished {
        id: RequestId(id),
        kind,
        first_byte: Duration::from_millis(20),
    }
}

/// Mean time of `f` in nanoseconds.
fn nanos(rounds: u32, mut f: impl FnMut(u32)) -> f64 {
    let begin = Instant::now();
    (0..rounds).for_each(&mut f);
    begin.elapsed().as_nanos() as f64 / f64::from(rounds)
}

/// Resident memory of this process in bytes, assuming pages of 4 KiB.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_u64) * 4096
}

fn entry_costs(entries: usize, regions: usize) {
    let now = Duration::from_millis(10);
    let print = |name: &str, value: f64, unit: &str| {
        println!("steer_{name}_{entries}_entries: {value:.1} {unit}");
    };
    let mut free = policy(entries, regions);
    let time = nanos(ROUNDS, |n| {
        let id = u128::from(n);
        black_box(free.place(now, &request(id)));
        free.observe(now, finished(id, FinishKind::Answered));
    });
    print("decision_with_free_slot", time, "ns");

    let mut full = policy(entries, regions);
    (0..200).for_each(|id| {
        full.place(now, &request(1_000_000 + id));
    });
    let time = nanos(ROUNDS, |n| {
        let id = u128::from(n);
        black_box(full.place(now, &request(id)));
        full.observe(now, finished(id, FinishKind::Cancelled));
    });
    print("decision_when_full", time, "ns");

    let name = service(0);
    let time = nanos(ROUNDS, |n| {
        let caller = Some(IpAddr::V4(Ipv4Addr::from(n)));
        black_box(free.look_up(now, &name, caller));
    });
    print("look_up", time, "ns");

    let time = nanos(500, |n| {
        let now = now + Duration::from_millis(100) * n;
        black_box(free.observe(now, Event::Tick));
    });
    print("tick", time / 1000.0, "us");
    // Ten ticks per second; a tick sends reports every 200 ms.
    print("ticks_of_core", time * 10.0 / 1e9 * 100.0, "percent");

    const COPIES: u64 = 20;
    let before = resident();
    let copies: Vec<_> = (0..COPIES).map(|_| policy(entries, regions)).collect();
    let bytes = resident().saturating_sub(before) / COPIES;
    black_box(&copies);
    print("memory", bytes as f64 / 1024.0, "KiB");
}

/// Measures control's answers to the renewals of this many entries.
fn lessor_cost(entries: usize, regions: usize) {
    let mut lessor = Lessor::new(Moment::ZERO, Epoch(1), Duration::from_secs(10));
    lessor.set_table(view(regions));
    let start = Duration::from_secs(60);
    let mut policies: Vec<_> = (0..entries)
        .map(|n| {
            let info = entry(n, regions);
            let cfg = Config::new(info.name.clone(), info.region, info.failure_domain);
            (info.name, Policy::new(start, cfg))
        })
        .collect();
    let renewals: Vec<_> = policies
        .iter_mut()
        .flat_map(|(name, policy)| {
            let actions = policy.observe(start, Event::Tick);
            actions.into_iter().filter_map(|action| match action {
                Action::SendControl(Message::Renew(renew)) => Some((name.clone(), renew)),
                _ => None,
            })
        })
        .collect();
    let rounds = 20;
    let begin = Instant::now();
    for round in 0..rounds {
        let now = start + Duration::from_millis(500) * round;
        for (name, renew) in &renewals {
            let mut renew = renew.clone();
            renew.serial = u64::from(round) + 1;
            black_box(lessor.renew(now, name, &renew));
        }
    }
    let each = begin.elapsed().as_nanos() as f64 / f64::from(rounds) / entries as f64;
    println!("lessor_renewal_{entries}_entries: {:.1} us", each / 1000.0);
    let core = each * 2.0 * entries as f64 / 1e9 * 100.0;
    println!("lessor_of_core_{entries}_entries: {core:.2} percent");
}

fn main() {
    for (entries, regions) in [(11, 3), (61, 9), (200, 9), (600, 9)] {
        entry_costs(entries, regions);
        lessor_cost(entries, regions);
    }
}
