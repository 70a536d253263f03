//! A small HTTP client for tests and the demonstration. [`Call::send`] blocks and opens a
//! connection for each request; [`Connection`] reuses one.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::runtime;

const DEFAULT_BOUND: Duration = Duration::from_secs(30);

/// A request that can be sent any number of times.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    bound: Duration,
}

impl Call {
    /// A request with this method and path, and no headers or body.
    ///
    /// # Panics
    ///
    /// Panics if `method` isn't a valid HTTP method.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.parse().expect("an HTTP method"),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            bound: DEFAULT_BOUND,
        }
    }

    /// A `GET` request.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// A `POST` request with an idempotency key.
    pub fn post(path: &str, key: &str, body: impl Into<Bytes>) -> Self {
        Self::new("POST", path)
            .header("idempotency-key", key)
            .body(body)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the timeout for the complete answer. Default 30 s.
    #[must_use]
    pub fn bound(mut self, bound: Duration) -> Self {
        self.bound = bound;
        self
    }

    /// Sends the request over a new connection and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// The error names the stage at which the request failed.
    pub fn send(&self, to: SocketAddr) -> Result<Answer, CallError> {
        runtime::wait(self.clone().send_async(to))
    }

    /// Like [`send`](Self::send), for asynchronous callers.
    ///
    /// # Errors
    ///
    /// The error names the stage at which the request failed.
    pub async fn send_async(self, to: SocketAddr) -> Result<Answer, CallError> {
        let bound = self.bound;
        tokio::time::timeout(bound, self.exchange(to))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends the request to the addresses in rotation until an answer says something other
    /// than "not run". Stops after `tries` attempts.
    ///
    /// # Errors
    ///
    /// Returns the last attempt's failure.
    pub fn resend(&self, to: &[SocketAddr], tries: usize) -> Result<Answer, CallError> {
        let mut last = Err(CallError::TimedOut);
        for &addr in to.iter().cycle().take(tries) {
            last = self.send(addr);
            match &last {
                Ok(answer) if answer.is_not_run() => {}
                Ok(_) => return last,
                Err(_) => {}
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        last
    }

    async fn exchange(self, to: SocketAddr) -> Result<Answer, CallError> {
        Connection::open(to).await?.send(&self).await
    }

    fn request(&self, to: SocketAddr) -> Request<Full<Bytes>> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&self.path);
        if !self.headers.iter().any(|(name, _)| name == "host") {
            req = req.header("host", to.to_string());
        }
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        req.body(Full::new(self.body.clone()))
            .expect("path and headers of a test's request are valid")
    }
}

/// A connection that is reused for one request after another.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    tx: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the connection or the HTTP handshake fails.
    pub async fn open(addr: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(addr).await.map_err(failed_connect)?;
        let _ = stream.set_nodelay(true);
        let (tx, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(failed_send)?;
        let driver = tokio::spawn(connection);
        Ok(Self { addr, tx, driver })
    }

    /// Sends a request and waits for the complete answer, without a timeout.
    ///
    /// # Errors
    ///
    /// The error names the stage at which the request failed.
    pub async fn send(&mut self, call: &Call) -> Result<Answer, CallError> {
        self.tx.ready().await.map_err(failed_send)?;
        let answer = self.tx.send_request(call.request(self.addr)).await;
        collect(answer.map_err(failed_send)?).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn failed_connect(e: std::io::Error) -> CallError {
    CallError::Connect(e.to_string())
}

fn failed_send(e: hyper::Error) -> CallError {
    CallError::NoAnswer(e.to_string())
}

async fn collect(answer: http::Response<Incoming>) -> Result<Answer, CallError> {
    let (parts, mut body) = answer.into_parts();
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => buf.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                return Err(CallError::Cut {
                    status: parts.status,
                    got: buf.freeze(),
                });
            }
        }
    }
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: buf.freeze(),
    })
}

/// Why a request got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened.
    Connect(String),
    /// The connection failed before an answer began.
    NoAnswer(String),
    /// The connection ended in the middle of the answer's body.
    Cut {
        /// Status of the answer.
        status: StatusCode,
        /// The part of the body that was received.
        got: Bytes,
    },
    /// The request's timeout passed.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "no connection: {e}"),
            Self::NoAnswer(e) => write!(f, "no answer: {e}"),
            Self::Cut { status, got } => {
                write!(f, "answer {status} cut after {} bytes", got.len())
            }
            Self::TimedOut => f.write_str("no whole answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// A header as text; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }

    /// The number of the result code, if the answer has one.
    pub fn result(&self) -> Option<u16> {
        self.header("filberthead-result").parse().ok()
    }

    /// Whether the answer says that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.header("filberthead-meaning") == "not-run"
    }

    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// Panics with the body if it isn't valid JSON for `T`.
    #[track_caller]
    pub fn json<T: DeserializeOwned>(&self) -> T {
        match serde_json::from_slice(&self.body) {
            Ok(value) => value,
            Err(e) => panic!("{e} in {} {}", self.status, self.text()),
        }
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
