//! Crowds of clients that stop short of the end of what they send and keep their connections open. They may
//! connect to any port of a process; its memory and descriptors stay bounded, and it serves others.
//!
//! These tests run one at a time, apart from other load.

mod control;
mod entry;
mod gateway;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use filberthead_testing::process::Process;
use filberthead_testing::wait_until;

const BOUND: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause when no client could send anything.
const PAUSE: Duration = Duration::from_millis(20);
/// Pauses in a row after which the process reads no more from any client.
const MAX_PAUSES: u32 = 100;
/// Connections that fail in a row before the process counts as taking no more.
const MAX_FAILURES: u32 = 4;
/// Descriptors that a process may have open in the tests that exhaust them.
const FEW_FILES: u32 = 256;
/// Descriptors of them that clients leave for connections of its own.
const KEPT_FILES: usize = 64;
/// More clients than that.
const MANY_FOR_FILES: usize = 400;

/// One client and what it has yet to send.
struct Client {
    stream: TcpStream,
    head: Vec<u8>,
    body: Arc<[u8]>,
    sent: usize,
}

/// Clients that keep their connections open until dropped.
struct Crowd {
    clients: Vec<Client>,
}

impl Crowd {
    /// Each client sends a head of its own, by its number, and the same body; as much of them as the process takes.
    fn send(
        addr: SocketAddr,
        count: usize,
        head: impl Fn(usize) -> String,
        body: impl Into<Arc<[u8]>>,
    ) -> Self {
        let body = body.into();
        let mut crowd = Self {
            clients: Vec::new(),
        };
        let mut failures = 0;
        for number in 0..count {
            let Ok(stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else {
                failures += 1;
                if failures == MAX_FAILURES {
                    break;
                }
                continue;
            };
            failures = 0;
            stream.set_nonblocking(true).expect("a socket");
            let mut client = Client {
                stream,
                head: head(number).into_bytes(),
                body: Arc::clone(&body),
                sent: 0,
            };
            client.advance();
            crowd.clients.push(client);
        }
        let mut pauses = 0;
        while pauses < MAX_PAUSES {
            let mut is_sending = false;
            for client in &mut crowd.clients {
                is_sending |= client.advance();
            }
            if crowd.clients.iter().all(Client::is_done) {
                break;
            }
            match is_sending {
                true => pauses = 0,
                false => {
                    pauses += 1;
                    sleep(PAUSE);
                }
            }
        }
        // The last bytes are still to be read.
        sleep(CONNECT_TIMEOUT);
        crowd
    }
}

impl Client {
    /// Sends what the connection takes; returns whether it took anything.
    fn advance(&mut self) -> bool {
        let mut has_sent = false;
        while !self.is_done() {
            let unsent = match self.head.get(self.sent..) {
                Some(head) if !head.is_empty() => head,
                _ => &self.body[self.sent - self.head.len()..],
            };
            match self.stream.write(unsent) {
                Ok(len) => {
                    self.sent += len;
                    has_sent = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // The process has closed the connection.
                Err(_) => self.sent = self.head.len() + self.body.len(),
            }
        }
        has_sent
    }

    fn is_done(&self) -> bool {
        self.sent == self.head.len() + self.body.len()
    }
}

/// A body that takes this many bytes.
fn filler(len: usize) -> Vec<u8> {
    vec![b'x'; len]
}

/// A request head that never ends, of this many bytes.
fn endless_head(line: &str, len: usize) -> String {
    let start = format!("{line} HTTP/1.1\r\nhost: shop.example\r\nx-more: ");
    let more = "m".repeat(len.saturating_sub(start.len()));
    start + &more
}

/// The process lives within its bounds, and an ordinary request is answered beside the crowd.
#[track_caller]
fn assert_holds(process: &Process, memory: u64, crowd: Crowd, is_answered: impl FnMut() -> bool) {
    wait_until("an ordinary request is answered", BOUND, is_answered);
    let (peak, files) = (process.peak_resident_bytes(), process.open_files());
    println!(
        "{peak} bytes, {files} descriptors, {} clients",
        crowd.clients.len()
    );
    assert!(peak < memory, "{peak} bytes");
    drop(crowd);
}

/// Clients leave descriptors for others and for the process's own connections.
#[track_caller]
fn assert_keeps_files(process: &Process, crowd: Crowd, is_answered: impl FnMut() -> bool) {
    let files = process.open_files();
    println!("{files} descriptors, {} clients", crowd.clients.len());
    assert!(files <= FEW_FILES as usize - KEPT_FILES, "{files}");
    wait_until("an ordinary request is answered", BOUND, is_answered);
    drop(crowd);
}
