//! Which requests run beside others, and in which order the server gets them.

use filberthead_pipeline::Next;

use crate::server::{Connection, get};

/// Requests behind one that isn't answered have waited for it, although they may run beside it.
#[test]
fn idempotent_requests_start_while_the_first_one_runs() {
    let mut connection = Connection::new();
    let requests: String = (0..4).map(|n| get(&format!("/{n}"))).collect();
    connection.receive(requests.as_bytes(), 0);
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::NeedMore));
    assert_eq!(
        connection.seen(),
        ["GET /0"],
        "the server has one at a time"
    );
    assert_eq!(connection.started, ["GET /1", "GET /2", "GET /3"]);
    while connection.answer() {
        connection.serve(usize::MAX);
    }
    assert_eq!(connection.seen(), ["GET /0", "GET /1", "GET /2", "GET /3"]);
}

/// An order must not run while requests before it do, and what is behind it must not overtake it: the
/// caller may rely on the order of their effects.
#[test]
fn a_request_that_is_not_idempotent_runs_alone() {
    let mut connection = Connection::new();
    let requests = [get("/a"), get("/b"), get("/orders/1"), get("/c"), get("/d")];
    connection.receive(requests.concat().as_bytes(), 0);
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::Hold));
    assert_eq!(connection.started, ["GET /b"]);
    connection.answer();
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::Hold), "b still runs");
    connection.answer();
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::Hold), "the order runs");
    assert_eq!(connection.seen(), ["GET /a", "GET /b", "GET /orders/1"]);
    assert_eq!(connection.started, ["GET /b"]);
    connection.answer();
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::NeedMore));
    assert_eq!(connection.started, ["GET /b", "GET /d"]);
}

/// After a request with `Connection: close` the server answers nothing more, and its caller sends what is
/// behind it again. It must not run twice for that.
#[test]
fn nothing_starts_behind_a_request_that_closes_the_connection() {
    for closing in [
        "GET /a HTTP/1.1\r\nconnection: close\r\n\r\n",
        "GET /a HTTP/1.0\r\n\r\n",
    ] {
        let mut connection = Connection::new();
        connection.receive(format!("{closing}{}", get("/b")).as_bytes(), 0);
        connection.serve(usize::MAX);
        assert!(matches!(connection.start(), Next::Hold), "{closing}");
        let mut connection = Connection::new();
        connection.receive([&get("/first"), closing, &get("/b")].concat().as_bytes(), 0);
        for _ in 0..2 {
            connection.serve(usize::MAX);
            assert!(matches!(connection.start(), Next::Hold), "{closing}");
            connection.answer();
        }
        assert!(!connection.started.contains(&"GET /b".to_owned()));
    }
}

/// A request with a body waits for those before it, as its body comes behind its head. Those behind it
/// may run beside it if it is idempotent, once its body is complete.
#[test]
fn requests_start_behind_a_body() {
    let mut connection = Connection::new();
    let search = "POST /search HTTP/1.1\r\ncontent-length: 4\r\n\r\n";
    let requests = [&get("/a"), search, "ab"].concat();
    connection.receive(requests.as_bytes(), 0);
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::Hold));
    connection.answer();
    connection.serve(usize::MAX);
    assert!(
        matches!(connection.start(), Next::Hold),
        "the body isn't complete"
    );
    connection.receive(format!("cd{}", get("/b")).as_bytes(), 0);
    connection.serve(usize::MAX);
    connection.start();
    assert_eq!(connection.server.seen[1].body, b"abcd");
    assert_eq!(connection.started, ["GET /b"]);
}

/// The time limits of a request count from its last byte, however long requests before it take.
#[test]
fn a_request_arrives_with_its_last_byte() {
    let mut connection = Connection::new();
    connection.receive(get("/a").as_bytes(), 10);
    let requests = [get("/b"), get("/orders"), get("/c")].concat();
    let (first, rest) = requests.split_at(requests.len() - 1);
    connection.receive(&first.as_bytes()[..10], 20);
    connection.receive(&first.as_bytes()[10..], 30);
    connection.start();
    connection.receive(rest.as_bytes(), 40);
    connection.start();
    while connection.answer() {
        connection.serve(usize::MAX);
    }
    let arrived: Vec<_> = connection.begun.iter().map(|begun| begun.arrived).collect();
    let expected = [10, 30, 30, 40].map(|ms| Some(connection.at(ms)));
    assert_eq!(arrived, expected);
}

/// A connection that is about to close has to answer all that it has read, and no more.
#[test]
fn a_stopped_connection_ends_with_the_last_request_that_was_read() {
    let mut connection = Connection::new();
    let requests = [get("/a"), get("/b"), get("/orders"), "GET /c".to_owned()].concat();
    connection.receive(requests.as_bytes(), 0);
    connection.serve(usize::MAX);
    connection.start();
    connection.pipeline.stop();
    assert!(!connection.pipeline.may_read());
    for number in 0..3 {
        assert_eq!(connection.pipeline.is_at_last(), number == 2, "{number}");
        connection.answer();
        connection.serve(usize::MAX);
    }
    assert_eq!(connection.seen(), ["GET /a", "GET /b", "GET /orders"]);
}
