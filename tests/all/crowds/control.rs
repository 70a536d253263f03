//! Crowds at the ports of a control replica.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_testing::client::Call;
use filberthead_testing::crowd::{Crowd, endless_head, filler};
use filberthead_testing::site::{Site, config, order_at};
use filberthead_testing::wait_until;

use super::{BOUND, FEW_FILES, MANY_FOR_FILES, assert_holds, assert_keeps_files};
use crate::groups::site;

/// Memory of a VM that control replicas run on, in bytes.
const MEMORY: u64 = 256_000_000;
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
/// Clients with bodies.
const BODIES: usize = 160;
/// The longest body of an order.
const BODY_BYTES: usize = 2 * 1024 * 1024;
/// The longest body at the administration API.
const CHANGE_BYTES: usize = 512 * 1024;
/// Clients with heads, and their length.
const HEADS: usize = 800;
const HEAD_BYTES: usize = 390_000;
/// Clients with messages of other processes, and their length: all that a message may have but one byte.
const MESSAGES: usize = 20;
const MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const PATIENCE: Duration = Duration::from_secs(5);

fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    site.add_endpoint("catalogue", "zagreb-a");
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    site
}

fn addr(site: &Site, port: &str) -> SocketAddr {
    site.controls[0].direct_addr(port)
}

/// The replica accepts a new version, proves it, and answers look-ups.
fn is_answered(site: &Site, version: u64) -> bool {
    let control = &site.controls[0];
    let is_ordered = order_at(control, "config.put", &config(version, SERVICES));
    let lookup = Call::get("/-/resolve?name=shop.example&region=zagreb&zone=zagreb-a");
    let found = lookup.bound(PATIENCE).send(addr(site, "lookups"));
    let status = Call::get("/metrics").bound(PATIENCE);
    let status = status.send(addr(site, "operator"));
    [is_ordered, found, status]
        .iter()
        .all(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 200))
}

#[track_caller]
fn assert_control_holds(site: &Site, crowd: Crowd) {
    let control = site.controls[0].process_ref();
    assert_holds(control, MEMORY, crowd, || is_answered(site, 2));
}

fn head(call: &str, framing: &str) -> String {
    format!("POST {call} HTTP/1.1\r\nhost: control\r\n{framing}\r\n\r\n")
}

/// The bodies of orders were collected without a bound on their sum or time.
#[test]
fn orders_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let framing = format!("content-length: {BODY_BYTES}");
    let head = |_| head("/-/rpc?call=config.put", &framing);
    let crowd = Crowd::send(addr(&site, "orders"), BODIES, head, filler(BODY_BYTES - 1));
    assert_control_holds(&site, crowd);
}

/// The same without a known length.
#[test]
fn chunked_orders_without_end_keep_memory_bounded() {
    let site = start();
    let head = |_| head("/-/rpc?call=config.put", "transfer-encoding: chunked");
    let mut body = format!("{BODY_BYTES:x}\r\n").into_bytes();
    body.extend(filler(BODY_BYTES));
    let crowd = Crowd::send(addr(&site, "orders"), BODIES, head, body);
    assert_control_holds(&site, crowd);
}

/// Heads may have been of 400 kB, and took as long as their clients liked.
#[test]
fn heads_without_end_keep_memory_bounded() {
    for port in ["orders", "lookups", "operator"] {
        let site = start();
        let head = |_| endless_head("GET /-/resolve", HEAD_BYTES);
        let crowd = Crowd::send(addr(&site, port), HEADS, head, []);
        assert_control_holds(&site, crowd);
    }
}

/// Bodies at the administration API.
#[test]
fn changes_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let framing = format!("content-length: {CHANGE_BYTES}");
    let head = |_| head("/v1/changes", &framing);
    let body = filler(CHANGE_BYTES - 1);
    let crowd = Crowd::send(addr(&site, "operator"), BODIES, head, body);
    assert_control_holds(&site, crowd);
}

/// Messages of other processes are read whole, up to their largest length.
#[test]
fn messages_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let head = |_| "\0SP\0\0\u{50}\0\0".to_owned();
    let mut message = (MESSAGE_BYTES as u64).to_be_bytes().to_vec();
    message.extend(filler(MESSAGE_BYTES - 1));
    let crowd = Crowd::send(addr(&site, "peer"), MESSAGES, head, message);
    assert_control_holds(&site, crowd);
}

/// Connections that send nothing took all descriptors.
#[test]
fn silent_clients_leave_descriptors() {
    for port in ["orders", "lookups", "operator", "peer"] {
        let mut site = start();
        site.controls[0].kill();
        site.controls[0].process().limit_open_files(FEW_FILES);
        site.controls[0].start();
        wait_until("the replica answers", BOUND, || is_answered(&site, 2));
        let crowd = Crowd::send(addr(&site, port), MANY_FOR_FILES, |_| String::new(), []);
        let control = site.controls[0].process_ref();
        assert_keeps_files(control, crowd, || is_answered(&site, 3));
    }
}
