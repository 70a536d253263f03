//! Crowds at the ports of a gateway.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use filberthead_peer::cluster_id;
use filberthead_testing::crowd::{Crowd, endless_head, filler};
use filberthead_testing::site::{HOST, Site, request};
use filberthead_testing::wait_until;
use filberthead_types::header::RELAY;

use super::{BOUND, FEW_FILES, MANY_FOR_FILES, assert_holds, assert_keeps_files};
use crate::groups::site;

/// Memory of the smallest VM that gateways run on, in bytes.
const MEMORY: u64 = 112_000_000;
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe"), ("orders", "unsafe")];
const DOMAIN: &str = "zagreb-a";
const ENDPOINTS: usize = 8;
/// Clients with bodies.
const BODIES: usize = 600;
/// The longest body that is kept for a retry.
const BODY_BYTES: usize = 256 * 1024;
/// Clients with heads.
const HEADS: usize = 2000;
/// A little less than the longest head.
const HEAD_BYTES: usize = 15_900;
/// Clients with messages of other processes, and their length: all that a message may have but one byte.
const MESSAGES: usize = 16;
const MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const PATIENCE: Duration = Duration::from_secs(5);
/// Rounds in which a crowd comes, and leaves in the midst of its bodies.
const ROUNDS: usize = 5;
const LEAVING_BODIES: usize = 200;
/// Pieces of a body that comes slowly, and the pause after each.
const SLOW_PIECES: usize = 64;
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// Descriptors that may be open for a moment longer.
const SLACK_FILES: usize = 16;

fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    for _ in 0..ENDPOINTS {
        site.add_endpoint("catalogue", DOMAIN);
        site.add_endpoint("orders", DOMAIN);
    }
    site.put_routes(1, SERVICES);
    serve(&site);
    site
}

fn serve(site: &Site) {
    site.wait_serving(0);
    wait_until("the gateway serves", BOUND, || is_answered(site));
}

fn addr(site: &Site, port: &str) -> SocketAddr {
    site.gateways[0].direct_addr(port)
}

fn is_answered(site: &Site) -> bool {
    let addr = addr(site, "caller");
    let read = request("GET", "/catalogue/ordinary", "ordinary").bound(PATIENCE);
    let order = request("POST", "/orders/ordinary", "ordinary order").bound(PATIENCE);
    let order = order.body("three rabbits");
    [read, order]
        .iter()
        .all(|call| call.send(addr).is_ok_and(|answer| answer.status == 200))
}

#[track_caller]
fn assert_gateway_holds(site: &Site, crowd: Crowd) {
    let gateway = site.gateways[0].process_ref();
    assert_holds(gateway, MEMORY, crowd, || is_answered(site));
}

fn head(service: &str, number: usize, framing: &str) -> String {
    format!(
        "POST /{service}/{number} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: crowd-{number}\r\n\
         x-deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

/// The head of a request that claims to be relayed by another gateway of the cluster.
fn relay_head(site: &Site, number: usize) -> String {
    let folder = site.dir().file_name().unwrap_or_default();
    let cluster = cluster_id(&folder.to_string_lossy().to_ascii_lowercase());
    let framing = format!(
        "{RELAY}: {cluster} gateway-9 0 catalogue 1 false {number:032x}\r\n\
         content-length: {BODY_BYTES}"
    );
    head("catalogue", number, &framing)
}

fn whole_but_a_byte(site: &Site, service: &str) -> Crowd {
    let framing = format!("content-length: {BODY_BYTES}");
    let head = |number| head(service, number, &framing);
    Crowd::send(addr(site, "caller"), BODIES, head, filler(BODY_BYTES - 1))
}

/// Bodies were collected before their requests were passed on, however many there were.
#[test]
fn bodies_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let crowd = whole_but_a_byte(&site, "catalogue");
    assert_gateway_holds(&site, crowd);
}

/// The same for requests that may run once only.
#[test]
fn bodies_of_orders_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let crowd = whole_but_a_byte(&site, "orders");
    assert_gateway_holds(&site, crowd);
}

/// Bodies that are longer than what is kept are passed on as they come.
#[test]
fn long_bodies_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let framing = format!("content-length: {}", 4 * BODY_BYTES);
    let head = |number| head("catalogue", number, &framing);
    let body = filler(4 * BODY_BYTES - 1);
    let crowd = Crowd::send(addr(&site, "caller"), BODIES, head, body);
    assert_gateway_holds(&site, crowd);
}

/// A head announces a body, and nothing of it comes.
#[test]
fn announced_bodies_keep_memory_bounded() {
    let site = start();
    let framing = format!("content-length: {BODY_BYTES}");
    let head = |number| head("orders", number, &framing);
    let crowd = Crowd::send(addr(&site, "caller"), HEADS, head, []);
    assert_gateway_holds(&site, crowd);
}

/// The last chunk doesn't come.
#[test]
fn chunked_bodies_without_end_keep_memory_bounded() {
    let site = start();
    let head = |number| head("catalogue", number, "transfer-encoding: chunked");
    let mut body = format!("{BODY_BYTES:x}\r\n").into_bytes();
    body.extend(filler(BODY_BYTES));
    let crowd = Crowd::send(addr(&site, "caller"), BODIES, head, body);
    assert_gateway_holds(&site, crowd);
}

/// The line of a chunk's length doesn't end.
#[test]
fn chunk_lines_without_end_keep_memory_bounded() {
    let site = start();
    let head = |number| head("catalogue", number, "transfer-encoding: chunked");
    let mut body = b"5;".to_vec();
    body.extend(filler(BODY_BYTES));
    let crowd = Crowd::send(addr(&site, "caller"), BODIES, head, body);
    assert_gateway_holds(&site, crowd);
}

/// The trailer of a chunked body doesn't end.
#[test]
fn trailers_without_end_keep_memory_bounded() {
    let site = start();
    let head = |number| head("catalogue", number, "transfer-encoding: chunked");
    let mut body = b"1\r\nx\r\n0\r\n".to_vec();
    for _ in 0..HEAD_BYTES {
        body.extend(b"x-more: more\r\n");
    }
    let crowd = Crowd::send(addr(&site, "caller"), BODIES, head, body);
    assert_gateway_holds(&site, crowd);
}

/// Heads took twice their length and more each, however many there were.
#[test]
fn heads_without_end_keep_memory_bounded() {
    let site = start();
    let head = |number| endless_head(&format!("GET /catalogue/{number}"), HEAD_BYTES);
    let crowd = Crowd::send(addr(&site, "caller"), HEADS, head, []);
    assert_gateway_holds(&site, crowd);
}

/// The same where other gateways connect.
#[test]
fn heads_without_end_at_the_relay_port_keep_memory_bounded() {
    let site = start();
    let head = |number| endless_head(&format!("GET /catalogue/{number}"), HEAD_BYTES);
    let crowd = Crowd::send(addr(&site, "relay"), HEADS, head, []);
    assert_gateway_holds(&site, crowd);
}

/// Requests that claim to be relayed.
#[test]
fn bodies_at_the_relay_port_keep_memory_bounded() {
    let site = start();
    let head = |number| relay_head(&site, number);
    let body = filler(BODY_BYTES - 1);
    let crowd = Crowd::send(addr(&site, "relay"), BODIES, head, body);
    assert_gateway_holds(&site, crowd);
}

/// Further heads behind requests that aren't answered yet.
#[test]
fn heads_behind_an_open_body_keep_memory_bounded() {
    let site = start();
    let framing = format!("content-length: {BODY_BYTES}");
    let head = |number| {
        let first = head("catalogue", number, "content-length: 0");
        first.clone() + &first + &self::head("orders", number, &framing)
    };
    let crowd = Crowd::send(addr(&site, "caller"), BODIES, head, filler(BODY_BYTES - 1));
    assert_gateway_holds(&site, crowd);
}

/// The readiness check and the metrics were served without a bound.
#[test]
fn heads_without_end_at_the_readiness_port_keep_memory_bounded() {
    let site = start();
    for port in ["readiness", "status"] {
        let head = |_| endless_head("GET /metrics", 20 * HEAD_BYTES);
        let crowd = Crowd::send(addr(&site, port), BODIES, head, []);
        assert_gateway_holds(&site, crowd);
        assert!(site.is_serving(0));
    }
}

/// Messages of other processes are read whole, up to their largest length.
#[test]
fn messages_short_of_a_byte_keep_memory_bounded() {
    let site = start();
    let head = |_| "\0SP\0\0\u{50}\0\0".to_owned();
    let mut message = (MESSAGE_BYTES as u64).to_be_bytes().to_vec();
    message.extend(filler(MESSAGE_BYTES - 1));
    let crowd = Crowd::send(addr(&site, "peer"), MESSAGES, head, message);
    assert_gateway_holds(&site, crowd);
    assert!(site.is_serving(0));
}

/// Connections that send nothing took all descriptors, so that no endpoint could be connected to.
#[test]
fn silent_clients_leave_descriptors() {
    for port in ["caller", "relay", "readiness", "status", "peer"] {
        let mut site = start();
        site.gateways[0].kill();
        site.gateways[0].process().limit_open_files(FEW_FILES);
        site.gateways[0].start();
        serve(&site);
        let crowd = Crowd::send(addr(&site, port), MANY_FOR_FILES, |_| String::new(), []);
        let gateway = site.gateways[0].process_ref();
        assert_keeps_files(gateway, crowd, || is_answered(&site) && site.is_serving(0));
    }
}

/// A caller that sends slowly is served while others leave room.
#[test]
fn a_slow_body_is_served() {
    let site = start();
    for (number, len) in [BODY_BYTES, 4 * BODY_BYTES].into_iter().enumerate() {
        let mut stream = TcpStream::connect(addr(&site, "caller")).expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        let framing = format!("connection: close\r\ncontent-length: {len}");
        let head = head("orders", number, &framing);
        stream.write_all(head.as_bytes()).expect("a head");
        for piece in filler(len).chunks(len / SLOW_PIECES) {
            stream.write_all(piece).expect("a piece");
            sleep(SLOW_PAUSE);
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}

/// What a client makes the gateway hold is free again when it has left.
#[test]
fn clients_that_come_and_leave_leave_nothing_behind() {
    let site = start();
    let gateway = site.gateways[0].process_ref();
    let before = gateway.open_files();
    let framing = format!("content-length: {BODY_BYTES}");
    for _ in 0..ROUNDS {
        let head = |number| head("catalogue", number, &framing);
        let body = filler(BODY_BYTES - 1);
        drop(Crowd::send(
            addr(&site, "caller"),
            LEAVING_BODIES,
            head,
            body,
        ));
    }
    wait_until("connections are closed", BOUND, || {
        gateway.open_files() <= before + SLACK_FILES
    });
    assert!(is_answered(&site));
    let peak = gateway.peak_resident_bytes();
    println!("{peak} bytes");
    assert!(peak < MEMORY, "{peak} bytes");
}
