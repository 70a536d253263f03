//! An upstream of the platform, after `PROTOCOL.md`: slots and a queue, one request at a time on a
//! connection, `X-Not-Executed` for what it rejects, `X-Request-Id` echoed if the request has one.
//!
//! It may send extra answers: a second copy of an answer, at the point where the next answer on the
//! connection is expected.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use filberthead_testing::site::Line;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::record::Record;

const HEALTH_PATH: &str = "/healthz";
const READ_BYTES: usize = 16 * 1024;

/// How an upstream works.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its id on the platform's list.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait beside them.
    pub queue: usize,
    /// Mean time that a request runs.
    pub work: Duration,
    /// Share by which the time varies, both ways.
    pub spread: f64,
    /// Share of callers' requests that it rejects although it has room.
    pub shed_share: f64,
    /// Which of its answers are sent twice.
    pub extra: Extra,
}

/// Which answers an upstream sends twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Extra {
    /// None.
    None,
    /// Rejections of callers' requests, as long as they are no more than this share of all answers.
    Rejections(f64),
    /// Rejections of health checks, as long as they are no more than this share of all answers.
    HealthRejections(f64),
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    answers: u64,
    extra: u64,
    health_checks: u64,
    health_rejected: u64,
    /// How often each request began to run.
    ran: HashMap<String, u32>,
}

/// An upstream that runs until the process ends. Clones share it.
#[derive(Clone, Debug)]
pub struct Upstream {
    addr: SocketAddr,
    spec: Arc<Spec>,
    state: Arc<Mutex<State>>,
    freed: Arc<Notify>,
    record: Record,
}

/// What an upstream has counted.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    /// Answers, each counted once.
    pub answers: u64,
    /// Second copies of answers.
    pub extra: u64,
    /// Health checks.
    pub health_checks: u64,
    /// Health checks that it rejected, as it was full.
    pub health_rejected: u64,
}

/// A request as it was received.
#[derive(Debug)]
struct Request {
    method: String,
    path: String,
    headers: HashMap<String, String>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn is_health_check(&self) -> bool {
        self.method == "GET" && self.path == HEALTH_PATH
    }
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    /// The rejection of a caller's request.
    Rejection,
    /// The rejection of a health check.
    HealthRejection,
    /// Any other one.
    Other,
}

/// A running request. Dropped, its slot is free.
struct Slot(Upstream);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.freed.notify_waiters();
    }
}

/// A waiting request. Dropped, its place in the queue is free.
struct Place(Upstream);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

impl Upstream {
    /// Starts it on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(spec: Spec, record: &Record) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket of ours");
        let addr = listener.local_addr().expect("a bound port");
        let upstream = Self {
            addr,
            spec: Arc::new(spec),
            state: Arc::default(),
            freed: Arc::default(),
            record: record.clone(),
        };
        let own = upstream.clone();
        filberthead_testing::runtime::handle().spawn(async move {
            let listener = TcpListener::from_std(listener).expect("a listener of ours");
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                tokio::spawn(async move {
                    // An error means that the other side has closed the connection.
                    let _ = own.serve(stream).await;
                });
            }
        });
        upstream
    }

    /// Its entry on the platform's list.
    pub fn line(&self) -> Line {
        Line {
            id: self.spec.id.clone(),
            born: 1,
            service: self.spec.service.clone(),
            address: self.addr,
            zone: self.spec.zone.clone(),
            version: "v1".to_owned(),
            slots: u32::try_from(self.spec.slots).unwrap_or(u32::MAX),
            state: "ready".to_owned(),
            warmup_left_ms: 0,
        }
    }

    /// Its id on the platform's list.
    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        Counts {
            answers: state.answers,
            extra: state.extra,
            health_checks: state.health_checks,
            health_rejected: state.health_rejected,
        }
    }

    /// How often it has begun to run each request.
    pub fn ran(&self) -> HashMap<String, u32> {
        self.lock().ran.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        let mut extra: Option<Vec<u8>> = None;
        while let Some(req) = read_request(&mut stream, &mut buf).await? {
            if let Some(extra) = extra.take() {
                self.record.write(format_args!(
                    "upstream {} sends the second copy of an answer before {}",
                    self.spec.id,
                    req.header("x-request-id")
                ));
                stream.write_all(&extra).await?;
            }
            let (answer, kind) = tokio::select! {
                answer = self.answer(&req) => answer,
                // Most upstreams drop a request when its connection closes.
                () = closed(&stream) => return Ok(()),
            };
            stream.write_all(&answer).await?;
            if self.count_answer(kind) {
                extra = Some(answer);
            }
        }
        Ok(())
    }

    /// Counts an answer. Returns whether it is to be sent twice.
    fn count_answer(&self, kind: AnswerKind) -> bool {
        let mut state = self.lock();
        state.answers += 1;
        let (wanted, share) = match self.spec.extra {
            Extra::None => return false,
            Extra::Rejections(share) => (AnswerKind::Rejection, share),
            Extra::HealthRejections(share) => (AnswerKind::HealthRejection, share),
        };
        let most = (state.answers as f64 * share) as u64;
        let repeats = kind == wanted && state.extra < most;
        state.extra += u64::from(repeats);
        repeats
    }

    /// The answer to a request, and what it is.
    async fn answer(&self, req: &Request) -> (Vec<u8>, AnswerKind) {
        let id = req.header("x-request-id");
        let is_health_check = req.is_health_check();
        let target = req.header("x-target-instance");
        if !target.is_empty() && target != self.spec.id {
            return (
                self.encode(421, id, "x-not-executed: 1\r\n", ""),
                AnswerKind::Other,
            );
        }
        if is_health_check {
            self.lock().health_checks += 1;
        }
        let sheds = !is_health_check && rand::random_bool(self.spec.shed_share);
        let slot = if sheds { None } else { self.enter().await };
        let Some(slot) = slot else {
            if is_health_check {
                self.lock().health_rejected += 1;
            }
            let what = if is_health_check {
                "a health check"
            } else {
                id
            };
            self.record
                .write(format_args!("upstream {} rejects {what}", self.spec.id));
            let answer = self.encode(503, id, "x-not-executed: 1\r\n", "");
            return match is_health_check {
                true => (answer, AnswerKind::HealthRejection),
                false => (answer, AnswerKind::Rejection),
            };
        };
        if is_health_check {
            return (self.encode(200, id, "", ""), AnswerKind::Other);
        }
        *self.lock().ran.entry(id.to_owned()).or_default() += 1;
        self.record
            .write(format_args!("upstream {} runs {id}", self.spec.id));
        let varied = 1.0 + self.spec.spread * rand::rng().random_range(-1.0..1.0);
        tokio::time::sleep(self.spec.work.mul_f64(varied)).await;
        drop(slot);
        let body = format!("{} {}", req.method, req.path);
        let signature = "x-response-signature: signed\r\n";
        (self.encode(200, id, signature, &body), AnswerKind::Other)
    }

    /// Waits for a slot; `None` if the queue is full.
    async fn enter(&self) -> Option<Slot> {
        if let Some(slot) = self.try_slot() {
            return Some(slot);
        }
        let _place = {
            let mut state = self.lock();
            if state.waiting >= self.spec.queue {
                return None;
            }
            state.waiting += 1;
            drop(state);
            Place(self.clone())
        };
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some(slot) = self.try_slot() {
                return Some(slot);
            }
            freed.await;
        }
    }

    fn try_slot(&self) -> Option<Slot> {
        let mut state = self.lock();
        if state.running >= self.spec.slots {
            return None;
        }
        state.running += 1;
        drop(state);
        Some(Slot(self.clone()))
    }

    fn encode(&self, status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
        let (running, waiting) = {
            let state = self.lock();
            (state.running, state.waiting)
        };
        let echoed = match id {
            "" => String::new(),
            id => format!("x-request-id: {id}\r\n"),
        };
        format!(
            "HTTP/1.1 {status} Answer\r\n{echoed}x-instance-id: {}\r\nx-server-load: {running},{waiting},{}\r\n{headers}content-length: {}\r\n\r\n{body}",
            self.spec.id,
            self.spec.slots,
            body.len()
        )
        .into_bytes()
    }
}

/// Waits until the other side has closed the connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // The next request is sent only after this answer; bytes here are unexpected and stay.
            Ok(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let (method, path) = (word(), word());
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let headers: HashMap<_, _> = headers.collect();
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    }
    buf.drain(..end + length);
    Ok(Some(Request {
        method,
        path,
        headers,
    }))
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut read = vec![0; READ_BYTES];
    let len = stream.read(&mut read).await?;
    buf.extend_from_slice(&read[..len]);
    Ok(len > 0)
}
