//! The proxy injects the configured faults and no others.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use filberthead_testing::client::{Call, CallError};
use filberthead_testing::proxy::{Direction, FaultProxy, Flow, Network};
use filberthead_testing::standin::{Payload, Stage, Standin};
use filberthead_testing::wait_until;

const SHORT: Duration = Duration::from_millis(300);
const BOUND: Duration = Duration::from_secs(30);

fn pair() -> (Standin, FaultProxy) {
    let standin = Standin::start("a");
    let proxy = FaultProxy::before(standin.addr());
    (standin, proxy)
}

fn in_background(
    call: Call,
    to: SocketAddr,
) -> std::thread::JoinHandle<Result<filberthead_testing::client::Answer, CallError>> {
    std::thread::spawn(move || call.send(to))
}

#[test]
fn passes_large_bodies_whole_both_ways() {
    let (_standin, proxy) = pair();
    let path = "/upload?bytes=3000000";
    let body = Payload::new("up").slice(0, 3_000_000);
    let answer = Call::new("POST", path)
        .body(body.clone())
        .send(proxy.addr())
        .expect("an answer");
    assert_eq!(answer.body.len(), 3_000_000);
    assert!(Payload::of_answer("POST", path, &body).matches(0, &answer.body));
}

#[test]
fn holds_one_direction_and_delivers_late() {
    let (standin, proxy) = pair();
    proxy.set(Direction::ToClient, Flow::Hold);
    let call = in_background(Call::get("/a").bound(BOUND), proxy.addr());
    wait_until("the request arrives", BOUND, || {
        standin.record().count(Stage::Executed, |_| true) == 1
    });
    assert!(!call.is_finished());
    proxy.heal();
    let answer = call.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200);
}

#[test]
fn held_request_never_arrives() {
    let (standin, proxy) = pair();
    proxy.set(Direction::ToServer, Flow::Hold);
    let answer = Call::get("/a").bound(SHORT).send(proxy.addr());
    assert_eq!(answer.unwrap_err(), CallError::TimedOut);
    assert_eq!(standin.record().count(Stage::Received, |_| true), 0);
}

#[test]
fn resets_connections_when_cut_and_when_refusing() {
    let (standin, proxy) = pair();
    standin.script(|script| script.service_time = BOUND);
    let call = in_background(Call::get("/a"), proxy.addr());
    wait_until("the request runs", BOUND, || standin.running() == 1);
    proxy.cut();
    let cut = call.join().expect("no panic");
    assert!(matches!(cut, Err(CallError::NoAnswer(_))), "{cut:?}");
    wait_until("it is cancelled", BOUND, || standin.running() == 0);
    proxy.refuse();
    let refused = Call::get("/a").send(proxy.addr());
    assert!(refused.is_err(), "{refused:?}");
}

/// How a proxy ends its connections.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Cut,
    Rule,
    Dropped,
}

/// A connection that was reset was closed before, so that the receiver saw an orderly end of what it had got.
#[test]
fn a_reset_is_all_that_both_sides_see() {
    let endings = [Ending::Cut, Ending::Rule, Ending::Dropped];
    // Whether a side reads between the end and the reset depends on the system.
    for ending in endings.into_iter().cycle().take(200) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = FaultProxy::before(listener.local_addr().expect("an address"));
        let mut client = TcpStream::connect(proxy.addr()).expect("a connection");
        client.write_all(b"request").expect("a sent request");
        let (mut server, _) = listener.accept().expect("a connection");
        server.read_exact(&mut [0; 7]).expect("the request");
        server.write_all(b"answer").expect("a sent answer");
        client.read_exact(&mut [0; 6]).expect("the answer");
        let sides = [client, server].map(|mut side| {
            side.set_read_timeout(Some(BOUND)).expect("a time limit");
            std::thread::spawn(move || side.read(&mut [0; 16]))
        });
        match ending {
            Ending::Cut => proxy.cut(),
            Ending::Rule => proxy.set(Direction::ToServer, Flow::Reset),
            Ending::Dropped => drop(proxy),
        }
        for side in sides {
            let end = side.join().expect("no panic");
            let is_reset = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionReset;
            assert!(end.as_ref().is_err_and(is_reset), "{ending:?}: {end:?}");
        }
    }
}

#[test]
fn follows_a_restarted_server() {
    let (first, proxy) = pair();
    drop(first);
    let second = Standin::start("b");
    proxy.retarget(second.addr());
    let answer = Call::get("/a").send(proxy.addr()).expect("an answer");
    assert_eq!(answer.header("standin"), "b");
}

/// Two processes use the same server through the same port. Cutting the link of one holds only
/// its own requests.
#[test]
fn cuts_links_by_process() {
    let network = Network::new();
    let standin = Standin::start("server");
    let proxy = network.proxy("server");
    proxy.retarget(standin.addr());
    network.cut_one_way("elsewhere", "server");
    let answer = Call::get("/a").send(proxy.addr()).expect("an answer");
    assert_eq!(answer.status, 200);

    network.cut_one_way("test", "server");
    let held = Call::get("/b").bound(SHORT).send(proxy.addr());
    assert_eq!(held.unwrap_err(), CallError::TimedOut);
    network.heal();
    let answer = Call::get("/c").send(proxy.addr()).expect("an answer");
    assert_eq!(answer.status, 200);
}

#[test]
fn throttles_and_delays() {
    let (_standin, proxy) = pair();
    let path = "/a?bytes=40000";
    for flow in [
        Flow::Throttle(400_000),
        Flow::Delay(Duration::from_millis(20)),
    ] {
        proxy.set(Direction::ToClient, flow);
        let answer = Call::get(path).send(proxy.addr()).expect("an answer");
        assert!(Payload::of_answer("GET", path, b"").matches(0, &answer.body));
    }
}

/// Connections that are opened at the same time; a group of processes that lose each other
/// reconnects at that rate for as long as the harness is slow to identify them.
const SIMULTANEOUS_CONNECTIONS: usize = 600;
/// Threads that the harness may use to identify who opened them.
const MAX_THREADS: usize = 40;

fn thread_count() -> usize {
    let threads = std::fs::read_dir("/proc/self/task").expect("the own threads are listed");
    threads.count()
}

/// Many connections at once made the harness start a thread for each, which took the machine
/// from the processes under test.
#[test]
fn many_connections_are_identified_by_few_threads() {
    let standin = Standin::start("a");
    let proxy = Network::new().proxy("server");
    proxy.retarget(standin.addr());
    let before = thread_count();
    let connections: Vec<_> = (0..SIMULTANEOUS_CONNECTIONS)
        .map(|_| TcpStream::connect(proxy.addr()).expect("a connection"))
        .collect();
    let mut most = 0;
    for mut connection in connections {
        most = most.max(thread_count().saturating_sub(before));
        let request = b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        connection.write_all(request).expect("a request is sent");
        let mut answer = Vec::new();
        connection.read_to_end(&mut answer).expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
    }
    assert!(most <= MAX_THREADS, "{most} threads were started");
}
