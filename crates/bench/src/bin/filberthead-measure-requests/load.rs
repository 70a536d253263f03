//! A load generator that repeats one request over persistent connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process::Thread;

const THREADS: usize = 4;
const CONNECTIONS: usize = 32;
const ORDER: &str = "three rabbits";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What to send where, and whose processor time to measure.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    addr: SocketAddr,
    request: Vec<u8>,
    connections: usize,
    thread: Option<Thread>,
}

/// Number in the next idempotency key, so that all keys differ.
static NEXT_KEY: AtomicU64 = AtomicU64::new(0);
/// Stands where the number goes in a request. Its width is fixed, so that all requests have
/// the same length.
const KEY_PLACEHOLDER: &[u8] = b"############";

/// Measurements of a load.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Time to each answer, in nanoseconds.
    nanos: Histogram<u64>,
    took: Duration,
    /// Processor time that the serving thread used.
    processor: Duration,
}

impl Default for Sample {
    fn default() -> Self {
        Self {
            nanos: Histogram::new(3).expect("three digits are a valid precision"),
            took: Duration::ZERO,
            processor: Duration::ZERO,
        }
    }
}

impl Sample {
    /// Adds the measurements of another run.
    pub(crate) fn add(&mut self, other: Self) {
        self.nanos += other.nanos;
        self.took += other.took;
        self.processor += other.processor;
    }

    /// Answers per second.
    pub(crate) fn rate(&self) -> f64 {
        self.nanos.len() as f64 / self.took.as_secs_f64()
    }

    /// Answers per second of processor time of the serving thread.
    pub(crate) fn rate_per_core(&self) -> f64 {
        self.nanos.len() as f64 / self.processor.as_secs_f64()
    }

    /// A quantile of the time to an answer, in microseconds.
    pub(crate) fn micros(&self, quantile: f64) -> f64 {
        self.nanos.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl Load {
    /// A request without a body to `path`, over 32 connections.
    pub(crate) fn new(addr: SocketAddr, method: &str, path: &str) -> Self {
        Self {
            addr,
            request: format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n").into_bytes(),
            connections: CONNECTIONS,
            thread: None,
        }
    }

    /// An order with a body, with a different idempotency key in each request.
    pub(crate) fn order(addr: SocketAddr, path: &str, key_prefix: &str) -> Self {
        let placeholder = String::from_utf8_lossy(KEY_PLACEHOLDER);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {addr}\r\nidempotency-key: {key_prefix}{placeholder}\r\n\
             content-length: {}\r\n\r\n{ORDER}",
            ORDER.len()
        );
        Self {
            request: head.into_bytes(),
            ..Self::new(addr, "POST", path)
        }
    }

    /// Measures the processor time of this thread.
    pub(crate) fn thread(mut self, thread: Thread) -> Self {
        self.thread = Some(thread);
        self
    }

    /// Sets the number of connections.
    pub(crate) fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Runs the load for this long.
    pub(crate) fn run(&self, time: Duration) -> Sample {
        let processor = || {
            let thread = self.thread.as_ref();
            thread.map_or(Duration::ZERO, Thread::processor_time)
        };
        let threads = THREADS.min(self.connections);
        let mut sample = Sample::default();
        let before = processor();
        let start = Instant::now();
        std::thread::scope(|scope| {
            let running: Vec<_> = (0..threads)
                .map(|_| scope.spawn(|| self.run_thread(self.connections / threads, start + time)))
                .collect();
            for thread in running {
                sample.nanos += thread.join().expect("the load runs to its end");
            }
        });
        sample.took = start.elapsed();
        sample.processor = processor() - before;
        sample
    }

    fn run_thread(&self, connections: usize, end: Instant) -> Histogram<u64> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be started");
        let mut all = Sample::default().nanos;
        runtime.block_on(async {
            let running: Vec<_> = (0..connections)
                .map(|_| tokio::spawn(exchange(self.addr, self.request.clone(), end)))
                .collect();
            for connection in running {
                all += connection.await.expect("each request is answered");
            }
        });
        all
    }
}

/// Sends requests and reads answers until `end`. Every answer must have the length of the
/// first one, which saves the parsing that would slow the load down.
async fn exchange(addr: SocketAddr, mut request: Vec<u8>, end: Instant) -> Histogram<u64> {
    let mut nanos = Sample::default().nanos;
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let mut buf = vec![0; 64 * 1024];
    let key = request
        .windows(KEY_PLACEHOLDER.len())
        .position(|w| w == KEY_PLACEHOLDER);
    set_unique_key(&mut request, key);
    stream.write_all(&request).await.expect("a sent request");
    let len = read_first_response(&mut stream, &mut buf).await;
    while Instant::now() < end {
        set_unique_key(&mut request, key);
        let start = Instant::now();
        stream.write_all(&request).await.expect("a sent request");
        stream
            .read_exact(&mut buf[..len])
            .await
            .expect("a complete answer");
        assert!(buf.starts_with(b"HTTP/1.1 200"), "an answer other than 200");
        let took = start.elapsed().as_nanos() as u64;
        nanos.record(took).expect("a histogram that grows");
    }
    nanos
}

/// Puts a unique number into the idempotency key; `key` is its offset in the request.
fn set_unique_key(request: &mut [u8], key: Option<usize>) {
    if let Some(key) = key {
        let number = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
        let text = format!("{number:0width$}", width = KEY_PLACEHOLDER.len());
        request[key..key + KEY_PLACEHOLDER.len()].copy_from_slice(text.as_bytes());
    }
}

async fn read_first_response(stream: &mut TcpStream, buf: &mut [u8]) -> usize {
    let mut received = 0;
    loop {
        received += stream.read(&mut buf[received..]).await.expect("an answer");
        if let Some(len) = response_len(&buf[..received])
            && received >= len
        {
            return len;
        }
    }
}

/// Length of head and body, or `None` if the head isn't complete.
fn response_len(buf: &[u8]) -> Option<usize> {
    let head = buf.windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    let text = std::str::from_utf8(&buf[..head]).ok()?;
    let value = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    })?;
    let body: usize = value.trim().parse().ok()?;
    Some(head + HEAD_END.len() + body)
}
