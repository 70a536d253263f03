//! When a request is sent, and when not.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_endpoint::{
    AnswerCheck, Client, LateHeads, RequestBody, Reuse, SendOutcome, Unsent,
};
use filberthead_types::RequestId;
use http::header::CONTENT_LENGTH;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::Instant;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const BOUND: Duration = Duration::from_secs(60);

/// Answers every request on one connection, and counts the bytes that it received.
async fn serve(listener: TcpListener, received: watch::Sender<usize>) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buf = [0; 4096];
    while let Ok(read) = stream.read(&mut buf).await {
        if read == 0 {
            return;
        }
        received.send_modify(|bytes| *bytes += read);
        let _ = stream.write_all(ANSWER).await;
    }
}

async fn send(client: &Client, addr: SocketAddr, deadline: Instant) -> SendOutcome {
    send_if(client, addr, deadline, true).await
}

async fn send_if(
    client: &Client,
    addr: SocketAddr,
    deadline: Instant,
    may_send: bool,
) -> SendOutcome {
    send_asking(client, addr, deadline, || may_send).await
}

async fn send_asking(
    client: &Client,
    addr: SocketAddr,
    deadline: Instant,
    may_send: impl FnOnce() -> bool,
) -> SendOutcome {
    let mut req = Request::new(RequestBody::Buffered(Bytes::new()));
    *req.uri_mut() = "/one".parse().expect("a path");
    let check = AnswerCheck::Echo {
        name: &HeaderName::from_static("x-request-id"),
        value: &HeaderValue::from_static(""),
    };
    client
        .send_if(addr, check, Reuse::Allowed, deadline, req, may_send)
        .await
}

/// A process that was paused finds its connection ready and the deadline passed.
#[tokio::test(flavor = "current_thread")]
async fn a_request_is_not_sent_after_its_deadline() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let (counter, received) = watch::channel(0);
            tokio::task::spawn_local(serve(listener, counter));
            let client = Client::with_connect_timeout(BOUND);
            let first = send(&client, addr, Instant::now() + BOUND).await;
            let SendOutcome::Answer(answer) = first else {
                panic!("{first:?}");
            };
            let body = answer.response.into_body().collect().await;
            assert_eq!(body.expect("a body").to_bytes(), "ok");
            answer.connection.release();
            let before = *received.borrow();

            let late = send(&client, addr, Instant::now()).await;
            assert!(matches!(late, SendOutcome::NotSent(..)), "{late:?}");
            let again = send(&client, addr, Instant::now() + BOUND).await;
            assert!(matches!(again, SendOutcome::Answer(_)), "{again:?}");
            assert_eq!(*received.borrow(), 2 * before, "one more request arrived");
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_without_a_request_sends_nothing() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let client = Client::with_connect_timeout(BOUND);
            let connected = client.connect_only(addr, Instant::now() + BOUND).await;
            assert_eq!(connected, Ok(()));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let read = stream.read(&mut [0; 4096]).await;
            assert_eq!(read.expect("its end, and no reset"), 0);
            assert_eq!(client.open_count(addr), 0);
            drop(listener);
            let refused = client.connect_only(addr, Instant::now() + BOUND).await;
            assert_eq!(refused, Err(Unsent::ConnectRefused));
        })
        .await;
}

/// Lengths of an answer to `HEAD` that hyper wouldn't write for the caller, which got no answer.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_without_a_body_has_one_length_or_none() {
    let lengths: [(&str, Option<&str>); 5] = [
        ("content-length: 12\r\n", Some("12")),
        ("content-length: 12\r\ncontent-length: 12\r\n", Some("12")),
        ("content-length: 12\r\ncontent-length: 13\r\n", None),
        ("content-length: twelve\r\n", None),
        ("", None),
    ];
    LocalSet::new()
        .run_until(async {
            for (lines, expected) in lengths {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let addr = listener.local_addr().expect("an address");
                tokio::task::spawn_local(async move {
                    let (mut stream, _) = listener.accept().await.expect("a connection");
                    let _ = stream.read(&mut [0; 4096]).await;
                    let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.read(&mut [0; 4096]).await;
                });
                let mut req = Request::new(RequestBody::Buffered(Bytes::new()));
                *req.method_mut() = Method::HEAD;
                let check = AnswerCheck::Id(RequestId(1));
                let client = Client::with_connect_timeout(BOUND);
                let deadline = Instant::now() + BOUND;
                let outcome = client.send(addr, check, Reuse::Never, deadline, req).await;
                let SendOutcome::Answer(answer) = outcome else {
                    panic!("{lines}: {outcome:?}");
                };
                let headers = answer.response.headers();
                let named: Vec<_> = headers.get_all(CONTENT_LENGTH).iter().collect();
                let expected: Vec<_> = expected.into_iter().collect();
                assert_eq!(named, expected, "{lines}");
            }
        })
        .await;
}

/// Sends a request to a server that sends `start`, and then `piece` without end. Returns the outcome, and a
/// signal of the end of the connection.
async fn send_to_endless(
    start: &'static str,
    piece: &'static str,
) -> (SendOutcome, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let server = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(start.as_bytes()).await;
        while !piece.is_empty() && stream.write_all(piece.as_bytes()).await.is_ok() {}
        let _ = stream.read(&mut [0; 4096]).await;
    });
    let client = Client::with_connect_timeout(BOUND);
    let outcome = send(&client, addr, Instant::now() + BOUND).await;
    (outcome, server)
}

/// hyper skips interim answers without a bound, so the request waited for its deadline.
#[tokio::test(flavor = "current_thread")]
async fn interim_answers_without_end_are_no_answer() {
    LocalSet::new()
        .run_until(async {
            let (outcome, server) = send_to_endless("", "HTTP/1.1 100 Continue\r\n\r\n").await;
            assert!(matches!(outcome, SendOutcome::Invalid), "{outcome:?}");
            server.await.expect("the connection is closed");
        })
        .await;
}

/// A body that nobody needs is read in the hope that it ends.
#[tokio::test(flavor = "current_thread")]
async fn a_drained_body_without_end_is_ended() {
    LocalSet::new()
        .run_until(async {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            for piece in ["5\r\n12345\r\n", "0000"] {
                let (outcome, server) = send_to_endless(head, piece).await;
                let SendOutcome::Answer(answer) = outcome else {
                    panic!("{outcome:?}");
                };
                let body = answer.response.into_body();
                answer.connection.drain_and_release(body);
                server.await.expect("the connection is closed");
            }
        })
        .await;
}

/// A chunk's size has digits without end, so no frame of the body ever comes.
#[tokio::test(flavor = "current_thread")]
async fn a_frame_without_end_is_ended() {
    LocalSet::new()
        .run_until(async {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
            let (outcome, server) = send_to_endless(head, "0000").await;
            let SendOutcome::Answer(answer) = outcome else {
                panic!("{outcome:?}");
            };
            let mut body = answer.response.into_body();
            let first = answer.connection.next_frame(&mut body).await;
            let first = first.expect("a frame").expect("no failure").into_data();
            assert_eq!(first.expect("data"), "ok");
            let second = answer.connection.next_frame(&mut body).await;
            assert!(matches!(second, Some(Err(_))), "{second:?}");
            server.await.expect("the connection is closed");
        })
        .await;
}

/// A chunked body of the greatest length that is read arrives whole, and one byte more doesn't.
#[tokio::test(flavor = "current_thread")]
async fn a_chunked_body_is_read_up_to_its_bound() {
    LocalSet::new()
        .run_until(async {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                        5\r\n12345\r\n3\r\n678\r\n0\r\n\r\n";
            for (max_len, is_read) in [(8, true), (7, false)] {
                let (outcome, server) = send_to_endless(head, "").await;
                let SendOutcome::Answer(answer) = outcome else {
                    panic!("{outcome:?}");
                };
                let body = answer.response.into_body();
                let read = answer.connection.read_body(body, max_len, |_| {}).await;
                assert_eq!(read.ok().as_deref() == Some(b"12345678"), is_read);
                server.abort();
            }
        })
        .await;
}

/// What is left to read of a connection until it ends: the number of bytes, and how it ended.
/// A request waited for its connection while its endpoint asked for rest.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_is_withdrawn_leaves_its_connection_open_and_empty() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let (counter, received) = watch::channel(0);
            tokio::task::spawn_local(serve(listener, counter));
            let client = Client::with_connect_timeout(BOUND);
            let deadline = Instant::now() + BOUND;
            let withdrawn = send_if(&client, addr, deadline, false).await;
            let is_withdrawn = matches!(withdrawn, SendOutcome::NotSent(_, Unsent::Withdrawn));
            assert!(is_withdrawn, "{withdrawn:?}");
            assert_eq!(*received.borrow(), 0);
            assert_eq!(client.idle_count(addr), 1);
            // Lets the connection's task run for the first time.
            tokio::task::yield_now().await;
            let sent = send(&client, addr, deadline).await;
            assert!(matches!(sent, SendOutcome::Answer(_)), "{sent:?}");
        })
        .await;
}

async fn read_to_end(mut stream: TcpStream) -> (usize, io::Result<()>) {
    let mut bytes = 0;
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf).await {
            Ok(0) => return (bytes, Ok(())),
            Ok(read) => bytes += read,
            Err(e) => return (bytes, Err(e)),
        }
    }
}

/// A link that is down resends what is in a closed connection's buffer once it is back.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_whose_request_was_given_up_is_reset() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let client = Client::with_connect_timeout(BOUND);
            let given_up = send(&client, addr, Instant::now() + Duration::from_millis(50)).await;
            assert!(matches!(given_up, SendOutcome::TimedOut), "{given_up:?}");
            let (stream, _) = listener.accept().await.expect("a connection");
            let (_, end) = read_to_end(stream).await;
            let end = end.expect_err("a reset");
            assert_eq!(end.kind(), io::ErrorKind::ConnectionReset);
        })
        .await;
}

/// Gives up requests to a server, and returns its ends of their connections and the late heads.
async fn give_up(requests: usize) -> (Vec<TcpStream>, watch::Receiver<Vec<StatusCode>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (heads, late) = watch::channel(Vec::new());
    let client = Client::with_connect_timeout(BOUND);
    let client = client.with_late_heads(LateHeads::new(move |status, _| {
        heads.send_modify(|heads| heads.push(status));
    }));
    let mut streams = Vec::new();
    let mut sending = JoinSet::new();
    for _ in 0..requests {
        let client = client.clone();
        sending.spawn_local(async move { send(&client, addr, Instant::now() + BOUND).await });
        let (stream, _) = listener.accept().await.expect("a connection");
        stream.peek(&mut [0]).await.expect("a request");
        streams.push(stream);
    }
    sending.shutdown().await;
    (streams, late)
}

/// What an endpoint said to a caller that had left was lost.
#[tokio::test(flavor = "current_thread")]
async fn the_head_of_an_answer_to_a_request_that_was_given_up_is_read() {
    LocalSet::new()
        .run_until(async {
            // A busy machine may be too late for some.
            for _ in 0..10 {
                let (mut streams, mut late) = give_up(1).await;
                let mut stream = streams.remove(0);
                let _ = stream.write_all(ANSWER).await;
                if late.wait_for(|late| !late.is_empty()).await.is_ok() {
                    assert_eq!(*late.borrow(), [StatusCode::OK]);
                    return;
                }
            }
            panic!("no late head was read");
        })
        .await;
}

/// The endpoint learns at once that the request was given up, and its connection is reset although it sends on.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_waits_for_a_late_head_is_half_closed_and_then_reset() {
    LocalSet::new()
        .run_until(async {
            let (mut streams, late) = give_up(1).await;
            let mut stream = streams.remove(0);
            let mut buf = [0; 4096];
            // The end of the request, or the reset.
            while let Ok(1..) = stream.read(&mut buf).await {}
            while stream.write_all(b"H").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(late.borrow().is_empty());
        })
        .await;
}

/// What an endpoint said before it closed an idle connection was lost.
#[tokio::test(flavor = "current_thread")]
async fn the_head_of_an_answer_on_an_idle_connection_is_read() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let (heads, mut late) = watch::channel(None);
            let client = Client::with_connect_timeout(BOUND);
            let client = client.with_late_heads(LateHeads::new(move |status, headers| {
                let values = headers.get_all("retry-after").iter().cloned();
                heads.send_replace(Some((status, values.collect::<Vec<_>>())));
            }));
            let (release, mut released) = watch::channel(false);
            let server = tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(ANSWER).await;
                let _ = released.wait_for(|released| *released).await;
                let unasked = b"HTTP/1.1 503 \r\nretry-after: 3\r\nretry-after: 4\r\n\r\n";
                let _ = stream.write_all(unasked).await;
                read_to_end(stream).await.1
            });
            let sent = send(&client, addr, Instant::now() + BOUND).await;
            let SendOutcome::Answer(answer) = sent else {
                panic!("{sent:?}");
            };
            let body = answer.response.into_body().collect().await;
            assert_eq!(body.expect("a body").to_bytes(), "ok");
            answer.connection.release();
            release.send_replace(true);
            let late = late.wait_for(Option::is_some).await.expect("a head");
            let values = ["3", "4"].map(HeaderValue::from_static).to_vec();
            assert_eq!(*late, Some((StatusCode::SERVICE_UNAVAILABLE, values)));
            let end = server.await.expect("the server ends");
            end.expect("a clean end");
        })
        .await;
}

/// Each takes a socket and memory, and a place at the endpoint.
#[tokio::test(flavor = "current_thread")]
async fn connections_that_wait_for_late_heads_are_bounded() {
    const MAX_LATE: usize = 64;
    LocalSet::new()
        .run_until(async {
            let (streams, _late) = give_up(MAX_LATE + 20).await;
            let mut half_closed = 0;
            for stream in streams {
                let (_, end) = read_to_end(stream).await;
                half_closed += usize::from(end.is_ok());
            }
            assert!((1..=MAX_LATE).contains(&half_closed), "{half_closed}");
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_whose_answer_was_read_is_closed() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let client = Client::with_connect_timeout(BOUND);
            let server = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut buf = [0; 4096];
                let read = stream.read(&mut buf).await.expect("a request");
                assert!(read > 0);
                stream.write_all(ANSWER).await.expect("the answer is sent");
                stream
            };
            let sent = send(&client, addr, Instant::now() + BOUND);
            let (answered, stream) = tokio::join!(sent, server);
            let SendOutcome::Answer(answer) = answered else {
                panic!("{answered:?}");
            };
            let body = answer.response.into_body().collect().await;
            assert_eq!(body.expect("a body").to_bytes(), "ok");
            answer.connection.release();
            client.close_idle(addr);
            let (bytes, end) = read_to_end(stream).await;
            assert_eq!(bytes, 0);
            end.expect("a clean end");
        })
        .await;
}

/// A gateway without processor time hands a request to its connection and gets no further until the deadline.
/// Its caller must be told that nothing was sent, and nothing may be sent later.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_was_not_written_by_its_deadline_counts_as_not_sent() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("an address");
            let client = Client::with_connect_timeout(BOUND);
            let deadline = Instant::now() + Duration::from_millis(200);
            let unwritten = send_asking(&client, addr, deadline, || {
                std::thread::sleep(Duration::from_millis(300));
                true
            });
            let unwritten = unwritten.await;
            let is_unwritten = matches!(unwritten, SendOutcome::Unwritten(Unsent::DeadlinePassed));
            assert!(is_unwritten, "{unwritten:?}");
            let (stream, _) = listener.accept().await.expect("a connection");
            let (bytes, _) = read_to_end(stream).await;
            assert_eq!(bytes, 0);
        })
        .await;
}

/// Answers one request with this text in place of a status, and with some of its bytes.
async fn outcome_of(line: &[u8]) -> SendOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let mut answer = b"HTTP/1.1 ".to_vec();
    answer.extend_from_slice(line);
    answer.extend_from_slice(b"\r\ncontent-length: 2\r\n\r\nok");
    let serving = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(&answer).await;
    });
    let client = Client::with_connect_timeout(BOUND);
    let outcome = send(&client, addr, Instant::now() + BOUND).await;
    serving.abort();
    outcome
}

fn status_of(outcome: &SendOutcome) -> Option<u16> {
    match outcome {
        SendOutcome::Answer(answer) => Some(answer.response.status().as_u16()),
        _ => None,
    }
}

/// Answers with a status that isn't one were passed on.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_needs_a_status_of_the_protocol() {
    LocalSet::new()
        .run_until(async {
            for line in [
                "000 No",
                "001 No",
                "099 No",
                "600 No",
                "700 No",
                "999 No",
                "2000 OK",
                "20 OK",
                "-01 No",
                "\u{662}\u{660}\u{660} OK",
                "",
                " ",
                "2x0",
                "101 Switching Protocols",
            ] {
                let outcome = outcome_of(line.as_bytes()).await;
                assert_eq!(status_of(&outcome), None, "{line:?}: {outcome:?}");
            }
            for line in ["200 OK", "200", "404 No", "500 No", "599 No"] {
                let outcome = outcome_of(line.as_bytes()).await;
                assert!(status_of(&outcome).is_some(), "{line:?}: {outcome:?}");
            }
        })
        .await;
}

/// Whatever stands in place of a status: only a final one of the protocol makes an answer.
#[test]
fn any_status_line_makes_a_status_or_a_failure() {
    const CASES: usize = 2000;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    bolero::check!()
        .with_iterations(CASES)
        .with_type()
        .for_each(|(start, line): &([u8; 3], Vec<u8>)| {
            // Mostly digits, or hardly any line would be one.
            let digits = start.map(|byte| b'0' + byte % 11);
            let line: Vec<u8> = digits.into_iter().chain(line.iter().copied()).collect();
            let local = LocalSet::new();
            let outcome = runtime.block_on(local.run_until(outcome_of(&line)));
            let status = status_of(&outcome);
            assert!(
                status.is_none_or(|status| (200..600).contains(&status)),
                "{line:?}"
            );
        });
}
