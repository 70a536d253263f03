//! A server that parses one request at a time, as the real one does, and a connection to it.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use filberthead_pipeline::{Begun, Limits, Memory, Next, Pipeline};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Version};

pub(crate) const LIMITS: Limits = Limits {
    requests: 8,
    bytes: 4096,
    headers: 64,
};

/// Requests with such paths aren't idempotent.
pub(crate) const ORDERS: &str = "/orders";

pub(crate) fn is_idempotent(head: &Parts) -> bool {
    !head.uri.path().starts_with(ORDERS)
}

/// Method, path and body of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) line: String,
    pub(crate) body: Vec<u8>,
}

/// Parses what it gets, as far as it gets it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    buffer: Vec<u8>,
    /// Bytes that the body of the last request still has; `None` without an end.
    body_left: Option<u64>,
    /// Whether it is to answer the last request, before which it parses no further one.
    is_busy: bool,
    pub(crate) seen: Vec<Seen>,
    /// Whether it has closed the connection after what it has seen.
    pub(crate) is_closed: bool,
}

impl Server {
    pub(crate) fn new() -> Self {
        Self {
            body_left: Some(0),
            ..Self::default()
        }
    }

    /// Adds bytes. With `Some`, a request has begun.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Option<(Rc<Parts>, Option<u64>)> {
        self.buffer.extend_from_slice(bytes);
        self.advance()
    }

    /// Goes on with what it has: the rest of a body, or the next head.
    pub(crate) fn advance(&mut self) -> Option<(Rc<Parts>, Option<u64>)> {
        if self.is_closed {
            return None;
        }
        let len = match self.body_left {
            Some(left) => usize::try_from(left).expect("short").min(self.buffer.len()),
            None => self.buffer.len(),
        };
        if let Some(last) = self.seen.last_mut() {
            last.body.extend(self.buffer.drain(..len));
        }
        self.body_left = self.body_left.map(|left| left - len as u64);
        if self.is_busy || self.body_left != Some(0) {
            return None;
        }
        let mut headers = [httparse::EMPTY_HEADER; 256];
        let mut parsed = httparse::Request::new(&mut headers);
        let end = match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => {
                self.is_closed = true;
                return None;
            }
        };
        let (method, path) = (parsed.method?, parsed.path?);
        let mut request = Request::builder().method(method).uri(path);
        if parsed.version == Some(0) {
            request = request.version(Version::HTTP_10);
        }
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(header.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                self.is_closed = true;
                return None;
            };
            request = request.header(name, value);
        }
        let line = format!("{method} {path}");
        let Ok(request) = request.body(()) else {
            self.is_closed = true;
            return None;
        };
        let (head, ()) = request.into_parts();
        self.buffer.drain(..end);
        self.body_left = body_len(&head);
        self.is_busy = true;
        self.seen.push(Seen {
            line,
            body: Vec::new(),
        });
        let len = self.body_left;
        self.advance();
        Some((Rc::new(head), len))
    }

    /// Answers the last request, if it is complete.
    pub(crate) fn answer(&mut self) -> bool {
        let answers = self.is_busy && self.body_left == Some(0);
        self.is_busy &= !answers;
        answers
    }
}

/// Length of a body; `None` if it isn't known.
fn body_len(head: &Parts) -> Option<u64> {
    if head.headers.contains_key("transfer-encoding") {
        return None;
    }
    match head.headers.get("content-length") {
        Some(len) => len.to_str().ok()?.parse().ok(),
        None => Some(0),
    }
}

/// A connection that is read ahead.
pub(crate) struct Connection {
    pub(crate) pipeline: Pipeline,
    pub(crate) server: Server,
    /// Heads that were started ahead and not reached by the server, with their arrival.
    pub(crate) running: VecDeque<(Rc<Parts>, Instant)>,
    /// Lines of all requests that were started ahead.
    pub(crate) started: Vec<String>,
    pub(crate) begun: Vec<Begun>,
    /// All bytes that the server was given.
    pub(crate) passed: Vec<u8>,
    epoch: Instant,
}

impl Connection {
    pub(crate) fn new() -> Self {
        Self::with_memory(&Memory::new(usize::MAX))
    }

    pub(crate) fn with_memory(memory: &Rc<Memory>) -> Self {
        Self {
            pipeline: Pipeline::new(LIMITS, memory),
            server: Server::new(),
            running: VecDeque::new(),
            started: Vec::new(),
            begun: Vec::new(),
            passed: Vec::new(),
            epoch: Instant::now(),
        }
    }

    pub(crate) fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    /// The caller sends bytes.
    pub(crate) fn receive(&mut self, bytes: &[u8], ms: u64) {
        let at = self.at(ms);
        let mut passed = 0;
        if self.pipeline.is_server_reading() {
            passed = self.pipeline.pass_through(bytes, at);
            self.give(&bytes[..passed]);
        }
        if passed < bytes.len() {
            self.pipeline.push(&bytes[passed..], at);
        }
    }

    /// The server reads up to `limit` bytes at a time, as long as there are any for it.
    pub(crate) fn serve(&mut self, limit: usize) {
        while !self.pipeline.is_empty() && self.pipeline.is_server_reading() {
            let bytes = self.pipeline.pass_on(limit);
            if bytes.is_empty() {
                break;
            }
            self.give(&bytes);
        }
    }

    fn give(&mut self, bytes: &[u8]) {
        self.passed.extend_from_slice(bytes);
        let begun = self.server.feed(bytes);
        self.begin(begun);
    }

    fn begin(&mut self, begun: Option<(Rc<Parts>, Option<u64>)>) {
        let Some((head, body)) = begun else { return };
        let begun = self.pipeline.begin(&head, body);
        if begun.started {
            let (own, arrived) = self.running.pop_front().expect("it was started");
            assert_eq!((&own.method, &own.uri), (&head.method, &head.uri));
            assert_eq!(own.headers, head.headers);
            assert_eq!(begun.arrived, Some(arrived));
        } else {
            assert!(self.running.is_empty(), "another one was started instead");
        }
        self.begun.push(begun);
    }

    /// Starts what may run. Returns why no more does.
    pub(crate) fn start(&mut self) -> Next {
        loop {
            match self.pipeline.next(is_idempotent) {
                Next::Start(head, arrived) => {
                    assert!(is_idempotent(&head));
                    self.started.push(format!("{} {}", head.method, head.uri));
                    self.running.push_back((head, arrived));
                }
                other => return other,
            }
        }
    }

    /// The server ends its answer, if it has the whole request.
    pub(crate) fn answer(&mut self) -> bool {
        let answers = self.server.answer();
        if answers {
            self.pipeline.finish();
            // What it has of the next request, if the framing isn't known.
            let begun = self.server.advance();
            self.begin(begun);
        }
        answers
    }

    /// Lines of the requests that the server has seen.
    pub(crate) fn seen(&self) -> Vec<&str> {
        let seen = self.server.seen.iter();
        seen.map(|request| request.line.as_str()).collect()
    }
}

/// A request without a body.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}
