//! Builders shared by the tests of this package.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::{Config, EndpointInfo, EntryInfo, Event, Reading, RequestInfo};
use filberthead_table::{Objective, Row, RowKey, RowValues, View};
use filberthead_types::{Incarnation, Moment, NodeName, RequestId, Revision, ServiceName, Version};

pub(crate) const SLOTS: u32 = 3;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn name(text: &str) -> NodeName {
    text.parse().unwrap_or_else(|e| panic!("{e}"))
}

pub(crate) fn service() -> ServiceName {
    "catalogue".parse().unwrap_or_else(|e| panic!("{e}"))
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

pub(crate) fn config(node: &str) -> Config {
    config_at(node, "zagreb", "zagreb-a")
}

pub(crate) fn config_at(node: &str, region: &str, domain: &str) -> Config {
    let region = region.parse().unwrap_or_else(|e| panic!("{e}"));
    let domain = domain.parse().unwrap_or_else(|e| panic!("{e}"));
    Config::new(name(node), region, domain)
}

pub(crate) fn endpoint(node: &str) -> EndpointInfo {
    EndpointInfo {
        name: name(node),
        service: service(),
        addr: addr(),
        region: "zagreb".parse().unwrap_or_else(|e| panic!("{e}")),
        failure_domain: "zagreb-a".parse().unwrap_or_else(|e| panic!("{e}")),
        slots: SLOTS,
        connections: 330,
    }
}

pub(crate) fn entry(node: &str, region: &str, domain: &str) -> EntryInfo {
    EntryInfo {
        name: name(node),
        incarnation: Incarnation(1),
        caller_addr: addr(),
        region: region.parse().unwrap_or_else(|e| panic!("{e}")),
        failure_domain: domain.parse().unwrap_or_else(|e| panic!("{e}")),
        leaving: false,
    }
}

pub(crate) fn request(id: u128, deadline: Moment) -> RequestInfo {
    RequestInfo {
        id: RequestId(id),
        service: service(),
        idempotent: true,
        deadline,
        caller: None,
        tried: Vec::new(),
        forwarded_by: None,
    }
}

pub(crate) fn caller(number: u32) -> Option<IpAddr> {
    Some(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number)))
}

pub(crate) fn reading(node: &str, asked: Moment, incarnation: u64) -> Event {
    reading_of(node, asked, incarnation, |_| {})
}

pub(crate) fn reading_of(
    node: &str,
    asked: Moment,
    incarnation: u64,
    change: impl FnOnce(&mut Reading),
) -> Event {
    let mut reading = Reading {
        asked,
        ready: true,
        leaving: false,
        load: 0.0,
        incarnation: Incarnation(incarnation),
    };
    change(&mut reading);
    Event::Reading {
        endpoint: name(node),
        reading,
    }
}

pub(crate) fn values(weight: u32, limit: u32, shift_cap: u32) -> RowValues {
    RowValues {
        weight,
        limit,
        shift_cap,
        objective: Objective::Latency,
    }
}

pub(crate) fn table(version: u64, rows: &[(&str, RowValues)]) -> Event {
    let rows = rows.iter().map(|(region, values)| {
        let key = RowKey {
            service: service(),
            region: region.parse().unwrap_or_else(|e| panic!("{e}")),
        };
        let row = Row {
            values: *values,
            revision: Revision(version),
        };
        (key, row)
    });
    Event::Table(Arc::new(View {
        version: Version(version),
        rows: rows.collect(),
    }))
}
