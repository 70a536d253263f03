//! A load of one request, again and again over kept connections.

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

/// What to send, where, and whose processor time to count.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    addr: SocketAddr,
    request: Vec<u8>,
    connections: usize,
    thread: Option<Thread>,
}

/// Numbers that make each request's idempotency key its own.
static NEXT_KEY: AtomicU64 = AtomicU64::new(0);
/// Where the number goes in a request; of fixed width, so that all have one length.
const KEY_PLACEHOLDER: &[u8] = b"############";

/// What a load measured.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    nanos: Histogram<u64>,
    took: Duration,
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
    /// Joins what another run measured.
    pub(crate) fn add(&mut self, other: Self) {
        self.nanos += other.nanos;
        self.took += other.took;
        self.processor += other.processor;
    }

    /// Answers a second.
    pub(crate) fn rate(&self) -> f64 {
        self.nanos.len() as f64 / self.took.as_secs_f64()
    }

    /// Answers a second of processor time of the serving thread.
    pub(crate) fn rate_per_core(&self) -> f64 {
        self.nanos.len() as f64 / self.processor.as_secs_f64()
    }

    /// A quantile of the time to an answer.
    pub(crate) fn micros(&self, quantile: f64) -> f64 {
        self.nanos.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl Load {
    /// The request without body to `path`, over 32 connections.
    pub(crate) fn new(addr: SocketAddr, method: &str, path: &str) -> Self {
        Self {
            addr,
            request: format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n").into_bytes(),
            connections: CONNECTIONS,
            thread: None,
        }
    }

    /// An order with a body, each under a key of its own.
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

    /// Counts the processor time of this thread.
    pub(crate) fn thread(mut self, thread: Thread) -> Self {
        self.thread = Some(thread);
        self
    }

    /// Sends over so many connections.
    pub(crate) fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sends for a time.
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

/// Sends and reads until `end`. Every answer has the length of the first one, which
/// spares the load the parsing that would slow it down.
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
            .expect("a whole answer");
        assert!(buf.starts_with(b"HTTP/1.1 200"), "an answer other than 200");
        let took = start.elapsed().as_nanos() as u64;
        nanos.record(took).expect("a histogram that grows");
    }
    nanos
}

/// Gives the request a key that no other has.
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
