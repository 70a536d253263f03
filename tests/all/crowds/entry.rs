//! Crowds at the ports of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_testing::client::Call;
use filberthead_testing::cluster::Cluster;
use filberthead_testing::crowd::{Crowd, endless_head, filler};
use filberthead_testing::wait_until;

use super::{BOUND, FEW_FILES, MANY_FOR_FILES, assert_holds, assert_keeps_files};
use crate::support::programs;

/// Memory that the process of an entry may take, in bytes.
const MEMORY: u64 = 130 * 1024 * 1024;
/// Clients with bodies.
const BODIES: usize = 200;
/// The longest body of a request with an idempotency key.
const BODY_BYTES: usize = 1024 * 1024;
/// Clients with heads.
const HEADS: usize = 2000;
/// A little less than the longest head.
const HEAD_BYTES: usize = 15_900;
/// Clients with messages of other processes, and their length: all that a message may have but one byte.
const MESSAGES: usize = 16;
const MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const PATIENCE: Duration = Duration::from_secs(5);

fn start(open_files: Option<u32>) -> Cluster {
    let mut cluster = Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a")])
        .service("orders", 2)
        .prepare();
    if let Some(limit) = open_files {
        cluster.entries[0].process().limit_open_files(limit);
    }
    cluster.entries[0].start();
    wait_until("the entry serves", BOUND, || is_answered(&cluster));
    cluster
}

fn addr(cluster: &Cluster, port: &str) -> SocketAddr {
    cluster.entries[0].direct_addr(port)
}

fn is_answered(cluster: &Cluster) -> bool {
    let read = Call::get("/v1/services/orders/ordinary").bound(PATIENCE);
    let lookup = Call::get("/v1/lookup?service=orders").bound(PATIENCE);
    [read, lookup].iter().all(|call| {
        let answer = call.send(addr(cluster, "caller"));
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

#[track_caller]
fn assert_entry_holds(cluster: &Cluster, crowd: Crowd) {
    let entry = cluster.entries[0].process_ref();
    assert_holds(entry, MEMORY, crowd, || is_answered(cluster));
}

/// Bodies of requests with a key are collected before they are passed on.
#[test]
fn bodies_short_of_a_byte_keep_memory_bounded() {
    let cluster = start(None);
    let head = |number| {
        format!(
            "POST /v1/services/orders/{number} HTTP/1.1\r\nhost: a\r\n\
             idempotency-key: crowd-{number}\r\nfilberthead-timeout-ms: 600000\r\n\
             content-length: {BODY_BYTES}\r\n\r\n"
        )
    };
    let body = filler(BODY_BYTES - 1);
    let crowd = Crowd::send(addr(&cluster, "caller"), BODIES, head, body);
    assert_entry_holds(&cluster, crowd);
}

/// Heads may be of 16 KiB, on each of thousands of connections.
#[test]
fn heads_without_end_keep_memory_bounded() {
    let cluster = start(None);
    let head = |number| endless_head(&format!("GET /v1/services/orders/{number}"), HEAD_BYTES);
    let crowd = Crowd::send(addr(&cluster, "caller"), HEADS, head, []);
    assert_entry_holds(&cluster, crowd);
}

/// Messages of other processes are read whole, up to their largest length.
#[test]
fn messages_short_of_a_byte_keep_memory_bounded() {
    let cluster = start(None);
    let head = |_| "\0SP\0\0\u{50}\0\0".to_owned();
    let mut message = (MESSAGE_BYTES as u64).to_be_bytes().to_vec();
    message.extend(filler(MESSAGE_BYTES - 1));
    let crowd = Crowd::send(addr(&cluster, "peer"), MESSAGES, head, message);
    assert_entry_holds(&cluster, crowd);
}

/// Connections that send nothing took all descriptors, so that no endpoint could be connected to.
#[test]
fn silent_clients_leave_descriptors() {
    for port in ["caller", "status", "peer"] {
        let cluster = start(Some(FEW_FILES));
        let crowd = Crowd::send(addr(&cluster, port), MANY_FOR_FILES, |_| String::new(), []);
        let entry = cluster.entries[0].process_ref();
        assert_keeps_files(entry, crowd, || is_answered(&cluster));
    }
}
