//! Invalid and foreign messages at the peer ports.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use filberthead_peer::{Body, Envelope, HelloInfo, MAX_MESSAGE_LEN, Origin, cluster_id, encode};
use filberthead_testing::cluster::Node;
use filberthead_testing::operator::{BOUND, Operator, set_weight};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::{Incarnation, Revision};

use crate::control::group::{Group, builder};

/// Connections that are reset while the replica that listens is suspended; its queue of
/// connections to accept holds more.
const RESET_CONNECTIONS: usize = 50;
/// Messages that a replica must hear after that: more than were on their way to it.
const HEARD_MESSAGES: f64 = 50.0;

/// First bytes of nng's protocol over TCP, for a connection that pushes messages.
const PUSH_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];

/// A well-formed hello of a process that is no member.
fn hello() -> Envelope {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    Envelope {
        origin: Origin {
            name: "stranger".parse().expect("a name"),
            incarnation: Incarnation(1),
            addr,
            replica: None,
        },
        received: 0,
        body: Body::Hello(HelloInfo {
            leads: false,
            operator_addr: addr,
            leader: None,
            is_reply: false,
        }),
    }
}

/// Prefix of the metric that counts messages rejected for this reason.
fn rejected(reason: &str) -> String {
    format!("peer_rejected_messages_total{{reason=\"{reason}\"")
}

/// Sends frames in nng's framing, whatever their content, and returns the open
/// connection: its end may overtake what was sent on it.
fn send_frames(to: SocketAddr, frames: &[Vec<u8>]) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let mut send = |bytes: &[u8]| {
        // The receiver may close the connection at any byte.
        let _ = stream.write_all(bytes);
    };
    send(&PUSH_HEADER);
    for frame in frames {
        send(&(frame.len() as u64).to_be_bytes());
        send(frame);
    }
    stream
}

/// Sends raw bytes without framing.
fn send_bytes(to: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    let _ = stream.write_all(bytes);
    stream
}

/// Something on the network sends garbage to the peer ports: bytes of another protocol,
/// and messages that are truncated, corrupt, oversized or of another cluster. Each is
/// counted by reason, and all processes go on unaffected.
#[test]
fn invalid_messages_are_counted_and_dropped() {
    let mut group = Group::build(builder().service("service-0", 1));
    let writers = group.writers();
    group.wait_progress(5);
    let nodes = group.cluster.controls.iter().chain(&group.cluster.entries);
    let targets: Vec<_> = nodes.map(|node| node.direct_addr("peer")).collect();
    let own = encode(cluster_id(&group.cluster.name()), &hello()).expect("a message");
    let mut damaged = own.clone();
    damaged.reverse();
    damaged[0] = own[0];
    let mut other_format = own.clone();
    other_format[0] ^= 0xff;
    let frames = [
        Vec::new(),
        own[..1].to_vec(),
        damaged,
        other_format,
        encode(cluster_id("other"), &hello()).expect("a message"),
        vec![own[0]; MAX_MESSAGE_LEN + 1],
    ];
    // A length above any message's, with no content after it.
    let endless = [&PUSH_HEADER[..], &u64::MAX.to_be_bytes()].concat();
    let mut open = Vec::new();
    for target in targets {
        open.push(send_frames(target, &frames));
        open.push(send_bytes(target, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"));
        open.push(send_bytes(target, &endless));
    }
    for node in group.cluster.controls.iter().chain(&group.cluster.entries) {
        let name = node.name();
        wait_until(
            &format!("{name} counts the rejected messages"),
            BOUND,
            || {
                let count = |reason: &str| node.metric(&rejected(reason));
                let all = ["short", "checksum", "format", "foreign", "oversize"];
                all.iter().all(|reason| count(reason) >= 1.0)
            },
        );
    }
    drop(open);
    group.wait_progress(20);
    let controls = group.cluster.controls.iter_mut();
    for node in controls.chain(&mut group.cluster.entries) {
        assert!(node.process().is_running(), "{}", node.name());
    }
    group.check(writers);
}

/// Two clusters of different names are configured with each other's addresses by mistake.
/// Neither accepts a message of the other.
#[test]
fn messages_of_another_cluster_are_dropped() {
    let first = Group::start();
    let mut second = builder().entries_each(0).prepare();
    let theirs: Vec<_> = first.cluster.controls.iter().collect();
    for (node, other) in second.controls.iter_mut().zip(theirs) {
        let addr = other.addr("peer");
        node.settings()
            .set("node", "cluster", "other")
            .set("replica stranger", "peer", addr);
        node.start();
    }
    let operator = Operator::new("eva", second.operator_addrs());
    operator.initialise();
    let change = set_weight("orders", "zagreb", Revision(0), 5);
    operator.accept(&change);
    let node = &first.cluster.controls[0];
    eventually("foreign messages are counted", BOUND, || {
        (node.metric(&rejected("foreign")) >= 1.0).then_some(())
    });
    assert!(first.operator.table().rows.is_empty());
    assert_eq!(operator.table().rows.len(), 1);
}

/// Closes the sending side of a new connection, then resets it.
fn close_and_reset(to: SocketAddr) {
    let stream = TcpStream::connect(to).expect("a connection");
    let _ = stream.shutdown(Shutdown::Write);
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// A suspended replica whose connections are closed and reset meanwhile hears its peers
/// once it is resumed.
#[test]
fn a_resumed_replica_hears_its_peers_after_resets() {
    let mut group = Group::start();
    let leader = group.leader_name();
    let name = group.others(&leader).remove(0);
    let node = group.cluster.control(&name);
    node.process().suspend();
    node.proxy("peer").cut();
    let addr = node.direct_addr("peer");
    (0..RESET_CONNECTIONS).for_each(|_| close_and_reset(addr));
    node.process().resume();
    let received = |node: &Node| node.metric("peer_received_messages_total");
    let before = received(node);
    wait_until("the replica hears its peers", BOUND, || {
        received(node) >= before + HEARD_MESSAGES
    });
}
