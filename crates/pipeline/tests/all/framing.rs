//! What is left to the server because its framing isn't beyond doubt.

use filberthead_pipeline::Next;

use crate::server::{Connection, get};

/// Two parsers that disagree on where a request ends run one that its caller hasn't sent. Heads that
/// leave any doubt are only passed on.
#[test]
fn heads_that_leave_a_doubt_start_nothing() {
    for head in [
        "GET /b HTTP/1.1\r\nhost: a\n\r\n\r\n",
        "GET /b HTTP/1.1\nhost: a\n\n",
        "GET /b HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n",
        "GET /b HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
        "GET /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        "GET /b HTTP/1.1\r\ncontent-length: 3\r\n\r\n",
        "GET /b HTTP/1.1\r\ncontent-length: 00\r\n\r\n",
        "GET /b HTTP/1.1\r\ncontent-length : 0\r\n\r\n",
        "GET /b HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n",
        "GET /b HTTP/1.1\r\nconnection: close, x\r\n\r\n",
        "GET /b HTTP/1.1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        "GET /b HTTP/1.1\r\nexpect: 100-continue\r\n\r\n",
        "GET /b HTTP/1.0\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        let mut connection = Connection::new();
        connection.receive([&get("/a"), head, &get("/c")].concat().as_bytes(), 0);
        connection.serve(usize::MAX);
        assert!(matches!(connection.start(), Next::Hold), "{head:?}");
        assert_eq!(connection.passed, get("/a").as_bytes());
        assert_eq!(connection.started, [""; 0], "{head:?}");
    }
}

/// Empty lines before a request are skipped by servers. Taken for a head, they would leave the server
/// waiting for a request that is never passed on.
#[test]
fn empty_lines_are_passed_on_with_the_request_behind_them() {
    let mut connection = Connection::new();
    connection.receive(b"\r\n\r\n", 0);
    connection.serve(usize::MAX);
    connection.receive(format!("\r\n{}\r\n{}", get("/a"), get("/b")).as_bytes(), 0);
    connection.serve(usize::MAX);
    connection.start();
    assert_eq!(connection.seen(), ["GET /a"]);
    assert_eq!(connection.started, ["GET /b"]);
}

/// Where a chunked body ends isn't known here: the rest of the connection is the server's.
#[test]
fn a_connection_is_opaque_behind_a_body_without_a_length() {
    let mut connection = Connection::new();
    let chunked = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    connection.receive(chunked.as_bytes(), 0);
    assert!(matches!(connection.start(), Next::Opaque));
    connection.receive(format!("0\r\n\r\n{}", get("/b")).as_bytes(), 0);
    connection.serve(usize::MAX);
    assert!(matches!(connection.start(), Next::Opaque));
    assert_eq!(connection.started, [""; 0]);
    assert!(connection.passed.ends_with(get("/b").as_bytes()));
}

/// A caller that sends one request at a time is served without a copy: the server gets what was read.
#[test]
fn single_requests_are_passed_through() {
    let mut connection = Connection::new();
    for number in 0..3 {
        let request = get(&format!("/{number}"));
        let at = connection.at(number);
        assert_eq!(
            connection.pipeline.pass_through(request.as_bytes(), at),
            request.len()
        );
        let (head, body) = connection
            .server
            .feed(request.as_bytes())
            .expect("a request");
        assert_eq!(connection.pipeline.begin(&head, body).arrived, Some(at));
        assert!(connection.pipeline.is_empty());
        connection.pipeline.finish();
        assert!(connection.server.answer());
    }
}
