//! The content of `/metrics`.

use std::time::Duration;

use filberthead_observe::{
    ConnectionTotals, ControlMetrics, EntryMetrics, GatewayMetrics, OrderResult, PeerTotals,
};
use filberthead_types::{Epoch, Region, ResultCode, ServiceName, Version};

fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

fn region(name: &str) -> Region {
    name.parse().expect("a valid name")
}

/// Value of the series that starts with `series`.
fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(series));
    let line = line.unwrap_or_else(|| panic!("no {series} in\n{text}"));
    let (_, value) = line.rsplit_once(' ').expect("a value");
    value.parse().expect("a number")
}

#[test]
fn requests_are_counted_by_service_region_and_code() {
    let metrics = EntryMetrics::new();
    let catalogue = metrics.requests(&service("catalogue"), &region("zagreb"));
    catalogue.record(ResultCode::Answered, Duration::from_millis(20));
    catalogue.record(ResultCode::Answered, Duration::from_millis(30));
    catalogue.record(ResultCode::Overloaded, Duration::from_millis(1));
    // A second handle counts into the same series.
    let again = metrics.requests(&service("catalogue"), &region("zagreb"));
    again.record(ResultCode::Overloaded, Duration::from_millis(1));
    let text = metrics.encode();
    let labels = "service=\"catalogue\",region=\"zagreb\"";
    let answered =
        format!("filberthead_requests_total{{{labels},code=\"1000\",result=\"answered\"}}");
    assert_eq!(value(&text, &answered), 2.0);
    let refused =
        format!("filberthead_requests_total{{{labels},code=\"1200\",result=\"overloaded\"}}");
    assert_eq!(value(&text, &refused), 2.0);
    // Refusals are fast, and would make latency look better than it is.
    let count = format!("filberthead_request_duration_seconds_count{{{labels}}}");
    assert_eq!(value(&text, &count), 2.0);
    let sum = format!("filberthead_request_duration_seconds_sum{{{labels}}}");
    assert!((value(&text, &sum) - 0.05).abs() < 1e-9);
}

/// Guards against requests that are rejected before a route is found and appear in no
/// metric.
#[test]
fn gateway_responses_without_a_route_are_counted() {
    let metrics = GatewayMetrics::new();
    let took = Duration::from_millis(1);
    metrics.record_request(Some("safe"), ResultCode::Answered, took);
    metrics.record_request(None, ResultCode::UnknownService, took);
    metrics.record_request(None, ResultCode::UnknownService, took);
    let text = metrics.encode();
    let unknown = "kind=\"none\",code=\"1100\",result=\"unknown-service\"";
    let unknown = format!("filberthead_gateway_requests_total{{{unknown}}}");
    assert_eq!(value(&text, &unknown), 2.0);
    let count = "filberthead_gateway_request_duration_seconds_count{kind=\"safe\"}";
    assert_eq!(value(&text, count), 1.0);
}

#[test]
fn every_result_code_has_a_series_of_its_own() {
    let metrics = EntryMetrics::new();
    let handle = metrics.requests(&service("orders"), &region("split"));
    for code in ResultCode::ALL {
        handle.record(*code, Duration::ZERO);
    }
    let text = metrics.encode();
    let series = text
        .lines()
        .filter(|line| line.starts_with("filberthead_requests_total{"));
    assert_eq!(series.clone().count(), ResultCode::ALL.len());
    assert!(series.clone().all(|line| line.ends_with(" 1")));
}

/// Thousands of made-up services in the table must not get a series each, or the entry's
/// memory grows until the system kills it.
#[test]
fn series_are_bounded() {
    let metrics = EntryMetrics::new();
    for n in 0..3000 {
        let handle = metrics.requests(&service(&format!("s{n}")), &region("zagreb"));
        handle.record(ResultCode::Answered, Duration::ZERO);
    }
    let text = metrics.encode();
    let series = text
        .lines()
        .filter(|line| line.starts_with("filberthead_requests_total{"));
    assert_eq!(series.count(), 1025);
    let other = "filberthead_requests_total{service=\"other\",region=\"other\"";
    assert_eq!(value(&text, other), 1976.0);
}

#[test]
fn entry_shows_its_state() {
    let metrics = EntryMetrics::new();
    metrics.slots(&service("intake"), &region("sul")).set(12, 7);
    metrics.set_queued(5);
    metrics.set_table_version(Version(42));
    metrics.record_lookup(ResultCode::LookedUp, Duration::from_micros(70));
    metrics.record_drain(&service("intake"), &region("sul"), Duration::from_secs(90));
    let text = metrics.encode();
    let labels = "{service=\"intake\",region=\"sul\"}";
    assert_eq!(value(&text, &format!("filberthead_slots{labels}")), 12.0);
    assert_eq!(
        value(&text, &format!("filberthead_busy_slots{labels}")),
        7.0
    );
    assert_eq!(value(&text, "filberthead_queued_requests"), 5.0);
    assert_eq!(value(&text, "filberthead_table_version"), 42.0);
    assert_eq!(
        value(&text, "filberthead_lookup_duration_seconds_count"),
        1.0
    );
    let drains = format!("filberthead_drain_duration_seconds_sum{labels}");
    assert_eq!(value(&text, &drains), 90.0);
}

/// An operator's orders are refused, and the count by result tells why.
#[test]
fn control_counts_orders_by_result() {
    let metrics = ControlMetrics::new();
    metrics.record_order(OrderResult::InForce);
    metrics.record_order(OrderResult::SenderGone);
    metrics.record_order(OrderResult::SenderGone);
    let text = metrics.encode();
    let count = |result| {
        let name = format!("filberthead_control_orders_total{{result=\"{result}\"}}");
        value(&text, &name)
    };
    assert_eq!(count("in-force"), 1.0);
    assert_eq!(count("sender-gone"), 2.0);
}

#[test]
fn control_shows_its_state() {
    let metrics = ControlMetrics::new();
    metrics.set_leadership(true, false);
    metrics.set_term(Epoch(9));
    metrics.record_sync(Duration::from_millis(3));
    metrics.set_log_indices(120, 118);
    metrics.set_members(3, 1);
    metrics.set_nodes(11, 2);
    metrics.record_change(ResultCode::ChangeConflict, Duration::from_millis(80));
    let text = metrics.encode();
    assert_eq!(value(&text, "filberthead_leader"), 1.0);
    assert_eq!(value(&text, "filberthead_lease_held"), 0.0);
    assert_eq!(value(&text, "filberthead_term"), 9.0);
    assert_eq!(
        value(&text, "filberthead_log_sync_duration_seconds_count"),
        1.0
    );
    assert_eq!(value(&text, "filberthead_log_last_index"), 120.0);
    assert_eq!(value(&text, "filberthead_learners"), 1.0);
    assert_eq!(value(&text, "filberthead_nodes_behind"), 2.0);
    let conflict = "filberthead_changes_total{code=\"2100\",result=\"change-conflict\"}";
    assert_eq!(value(&text, conflict), 1.0);
}

#[test]
fn late_totals_do_not_lower_counters() {
    let metrics = EntryMetrics::new();
    let mut totals = PeerTotals {
        sent: 10,
        ..PeerTotals::default()
    };
    totals.rejected.insert("checksum", 3);
    metrics.peers().record(&totals);
    totals.sent = 8;
    metrics.peers().record(&totals);
    metrics.peers().ring_refused("carry", 2);
    let text = metrics.encode();
    assert_eq!(value(&text, "filberthead_peer_sent_messages_total"), 10.0);
    let rejected = "filberthead_peer_rejected_messages_total{reason=\"checksum\"}";
    assert_eq!(value(&text, rejected), 3.0);
    assert_eq!(
        value(
            &text,
            "filberthead_ring_refused_items_total{ring=\"carry\"}"
        ),
        2.0
    );
}

#[test]
fn gateway_counts_received_bytes_by_kind_of_message() {
    let metrics = GatewayMetrics::new();
    let mut totals = PeerTotals::default();
    totals.received_bytes_by_kind.insert("routes", 230_000);
    totals.received_bytes_by_kind.insert("notice", 352);
    metrics.peers().record(&totals);
    let text = metrics.encode();
    let routes = "filberthead_peer_kind_received_bytes_total{kind=\"routes\"}";
    assert_eq!(value(&text, routes), 230_000.0);
}

#[test]
fn connections_are_counted_by_direction_and_event() {
    let metrics = ControlMetrics::new();
    let totals = PeerTotals {
        inbound: ConnectionTotals {
            opened: 7,
            handshaken: 5,
            closed: 4,
            failed: 2,
        },
        ..PeerTotals::default()
    };
    metrics.peers().record(&totals);
    let text = metrics.encode();
    let count = |direction: &str, event: &str| {
        let labels = format!("{{direction=\"{direction}\",event=\"{event}\"}}");
        value(
            &text,
            &format!("filberthead_peer_connections_total{labels}"),
        )
    };
    assert_eq!(count("inbound", "opened"), 7.0);
    assert_eq!(count("inbound", "handshaken"), 5.0);
    assert_eq!(count("inbound", "closed"), 4.0);
    assert_eq!(count("inbound", "failed"), 2.0);
    assert_eq!(count("outbound", "opened"), 0.0);
}

#[test]
fn process_shows_its_processor_time_and_memory() {
    let text = ControlMetrics::new().encode();
    assert!(value(&text, "process_cpu_seconds_total") >= 0.0);
    // A test process has megabytes, and no more than the machine.
    let memory = value(&text, "process_resident_memory_bytes");
    assert!((1e6..1e12).contains(&memory), "{memory}");
}

#[test]
fn every_series_belongs_to_a_described_metric() {
    for text in [EntryMetrics::new().encode(), ControlMetrics::new().encode()] {
        let mut described = "";
        let mut series = 0;
        for line in text.lines() {
            if let Some(rest) = line.strip_prefix("# HELP ") {
                let (name, help) = rest.split_once(' ').expect("a text after the name");
                assert!(!help.is_empty(), "{line}");
                described = name;
            } else if !line.starts_with('#') {
                series += 1;
                assert!(line.starts_with(described), "{line} below {described}");
            }
        }
        assert!(series > 0);
        assert!(text.ends_with("# EOF\n"));
    }
}
