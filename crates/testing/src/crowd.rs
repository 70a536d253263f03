//! Crowds of clients that stop short of the end of what they send and keep their connections open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::site::HOST;

/// Longest wait for a connection, and for the last bytes to be read.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause when no client could send anything.
const PAUSE: Duration = Duration::from_millis(20);
/// Pauses in a row after which the process reads no more from any client.
const MAX_PAUSES: u32 = 100;
/// Connections that fail in a row before the process counts as taking no more.
const MAX_FAILURES: u32 = 4;
/// Bytes of a body and of a head that don't end.
const BODY_BYTES: usize = 256 * 1024;
const HEAD_BYTES: usize = 15_900;
/// Bytes of a message of another process.
const MESSAGE_BYTES: usize = 1024 * 1024;

/// One client and what it has yet to send.
#[derive(Debug)]
struct Client {
    stream: TcpStream,
    head: Vec<u8>,
    body: Arc<[u8]>,
    sent: usize,
}

/// Clients that keep their connections open until dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<Client>,
}

impl Crowd {
    /// Each client sends a head of its own, by its number, and the same body; as much of them as the process takes.
    ///
    /// # Panics
    ///
    /// Panics if a socket can't be set up.
    pub fn send(
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

    /// Number of clients that connected.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether none did.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
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

/// A body of this many bytes.
pub fn filler(len: usize) -> Vec<u8> {
    vec![b'x'; len]
}

/// A request head that never ends, of this many bytes.
pub fn endless_head(line: &str, len: usize) -> String {
    let start = format!("{line} HTTP/1.1\r\nhost: {HOST}\r\nx-more: ");
    let more = "m".repeat(len.saturating_sub(start.len()));
    start + &more
}

/// What the clients of a crowd leave unfinished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfinished {
    /// A body of known length, which lacks a byte.
    Body,
    /// A chunked body, which lacks its last chunk.
    Chunks,
    /// A head.
    Head,
    /// A message of another process, which lacks a byte.
    Message,
    /// They send nothing.
    Nothing,
}

impl Unfinished {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Body,
        Self::Chunks,
        Self::Head,
        Self::Message,
        Self::Nothing,
    ];

    /// Lets a crowd send it to a port. `line` is the request line of a call that has a body.
    pub fn send(self, addr: SocketAddr, clients: usize, line: &str) -> Crowd {
        let head = |number: usize, framing: &str| {
            format!(
                "{line} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: unfinished-{number}\r\n{framing}\r\n\r\n"
            )
        };
        match self {
            Self::Body => {
                let framing = format!("content-length: {BODY_BYTES}");
                let head = |number| head(number, &framing);
                Crowd::send(addr, clients, head, filler(BODY_BYTES - 1))
            }
            Self::Chunks => {
                let mut body = format!("{BODY_BYTES:x}\r\n").into_bytes();
                body.extend(filler(BODY_BYTES));
                let head = |number| head(number, "transfer-encoding: chunked");
                Crowd::send(addr, clients, head, body)
            }
            Self::Head => {
                let head = |_| endless_head(line, HEAD_BYTES);
                Crowd::send(addr, clients, head, [])
            }
            Self::Message => {
                let mut message = (MESSAGE_BYTES as u64).to_be_bytes().to_vec();
                message.extend(filler(MESSAGE_BYTES - 1));
                let head = |_| "\0SP\0\0\u{50}\0\0".to_owned();
                Crowd::send(addr, clients, head, message)
            }
            Self::Nothing => Crowd::send(addr, clients, |_| String::new(), []),
        }
    }
}
