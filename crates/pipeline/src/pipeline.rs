//! The requests of one connection.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use http::request::Parts;

use crate::head::{HeadScan, Scan, is_whole_head, may_be_followed, parse_plain};
use crate::memory::{Memory, MemoryShare};

/// Most times kept of when bytes were received. If bytes come in more pieces, those in the middle count
/// as received with the last one.
const MAX_MARKS: usize = 64;

/// Bounds of what is read ahead on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most requests that run ahead of the one whose answer is due.
    pub requests: usize,
    /// Most bytes behind the request whose answer is due.
    pub bytes: usize,
    /// Most header lines of a request; one with more is left to the server.
    pub headers: usize,
}

/// What is known of the next request behind those that run.
#[derive(Debug)]
pub enum Next {
    /// It may run now.
    Start(Rc<Parts>, Instant),
    /// It has to wait until a request before it is answered.
    Hold,
    /// Its head isn't complete.
    NeedMore,
    /// The framing isn't known. Everything is passed on as it comes.
    Opaque,
}

/// A request that the server has begun with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// When the last byte of its head was received; `None` if that isn't known.
    pub arrived: Option<Instant>,
    /// Whether it was received before the previous one was answered.
    pub sent_ahead: bool,
    /// Whether it was started ahead.
    pub started: bool,
}

/// The request whose answer is due.
#[derive(Debug)]
enum Front {
    /// The server waits for a head. This many bytes of it were passed on.
    Head { passed: usize },
    /// The server has the head, and hasn't begun with it.
    Passed { begun: Begun, bytes: usize },
    /// The server has begun with it.
    Begun {
        head: Rc<Parts>,
        /// Bytes of its body that weren't passed on.
        body: u64,
        /// Bytes that its head takes here, if it was started ahead.
        bytes: usize,
        /// Whether requests behind it have to wait; `None` until there is one.
        blocks: Option<bool>,
    },
    /// The framing isn't known.
    Opaque,
}

impl Front {
    /// A request that wasn't started ahead.
    fn passed(arrived: Option<Instant>, sent_ahead: bool) -> Self {
        Self::Passed {
            begun: Begun {
                arrived,
                sent_ahead,
                started: false,
            },
            bytes: 0,
        }
    }
}

/// A request that runs ahead.
#[derive(Debug)]
struct Ahead {
    /// What wasn't passed on of its head.
    raw: Bytes,
    /// Length of its head.
    len: usize,
    arrived: Instant,
}

/// Until where bytes were received at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    end: u64,
    at: Instant,
}

/// The requests of one connection: those that were passed on to the server, those that run ahead,
/// and the bytes behind them.
#[derive(Debug)]
pub struct Pipeline {
    limits: Limits,
    share: MemoryShare,
    front: Front,
    ahead: VecDeque<Ahead>,
    /// Bytes behind them.
    rest: BytesMut,
    /// Number of bytes before `rest`.
    offset: u64,
    scan: HeadScan,
    marks: VecDeque<Mark>,
    /// Whether the request behind those that run ahead has to become the front first.
    held: bool,
    /// Whether the next request was received before the last one was answered.
    is_next_ahead: bool,
    stopped: bool,
}

impl Pipeline {
    /// A new connection.
    pub fn new(limits: Limits, memory: &Rc<Memory>) -> Self {
        Self {
            limits,
            share: MemoryShare::new(memory, 0),
            front: Front::Head { passed: 0 },
            ahead: VecDeque::new(),
            rest: BytesMut::new(),
            offset: 0,
            scan: HeadScan::default(),
            marks: VecDeque::new(),
            held: false,
            is_next_ahead: false,
            stopped: false,
        }
    }

    /// A connection that isn't read ahead.
    pub fn opaque(memory: &Rc<Memory>) -> Self {
        let limits = Limits {
            requests: 0,
            bytes: 0,
            headers: 0,
        };
        let mut pipeline = Self::new(limits, memory);
        pipeline.front = Front::Opaque;
        pipeline
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8], now: Instant) {
        self.rest.extend_from_slice(bytes);
        let end = self.offset + self.rest.len() as u64;
        if self.marks.len() >= MAX_MARKS {
            self.marks.pop_back();
        }
        self.marks.push_back(Mark { end, at: now });
        self.account();
    }

    /// Records bytes that were received and passed on at once. Returns how many of them may be; the
    /// caller has to push the others.
    pub fn pass_through(&mut self, bytes: &[u8], now: Instant) -> usize {
        if !self.rest.is_empty() || !self.ahead.is_empty() {
            return 0;
        }
        match &mut self.front {
            Front::Head { passed: 0 } if is_whole_head(bytes) => {
                self.front = Front::passed(Some(now), false);
                bytes.len()
            }
            Front::Begun { body, .. } => {
                let passed = bytes
                    .len()
                    .min(usize::try_from(*body).unwrap_or(usize::MAX));
                *body -= passed as u64;
                passed
            }
            Front::Opaque => bytes.len(),
            Front::Head { .. } | Front::Passed { .. } => 0,
        }
    }

    /// Finds the next request behind those that run. `is_idempotent` tells whether a request may run
    /// beside others.
    pub fn next(&mut self, is_idempotent: impl Fn(&Parts) -> bool) -> Next {
        match self.front {
            Front::Opaque => return Next::Opaque,
            Front::Begun { body: 0, .. } => {}
            _ => return Next::Hold,
        }
        if self.held || self.ahead.len() >= self.limits.requests {
            return Next::Hold;
        }
        let end = match self.scan.search(&self.rest) {
            Scan::End(end) => end,
            Scan::Partial => return Next::NeedMore,
            Scan::Ambiguous => {
                self.held = true;
                return Next::Hold;
            }
        };
        if self.front_blocks(&is_idempotent) {
            self.held = true;
            return Next::Hold;
        }
        // Kept in one piece: the values of its headers refer to it.
        let raw = Bytes::copy_from_slice(&self.rest[..end]);
        let head = parse_plain(&raw, self.limits.headers).filter(is_idempotent);
        let Some(head) = head else {
            self.held = true;
            return Next::Hold;
        };
        let Some(arrived) = self.consume(end) else {
            return Next::Hold;
        };
        // Nothing is answered behind one that closes the connection.
        self.held = !may_be_followed(&head);
        let len = raw.len();
        self.ahead.push_back(Ahead { raw, len, arrived });
        Next::Start(Rc::new(head), arrived)
    }

    /// Takes up to `limit` bytes that the server may read now.
    pub fn pass_on(&mut self, limit: usize) -> Bytes {
        let bytes = match &mut self.front {
            Front::Head { passed } => {
                if let Some(Ahead { raw, len, arrived }) = self.ahead.front_mut() {
                    let bytes = raw.split_to(limit.min(raw.len()));
                    if raw.is_empty() {
                        self.front = Front::Passed {
                            begun: Begun {
                                arrived: Some(*arrived),
                                sent_ahead: true,
                                started: true,
                            },
                            bytes: *len,
                        };
                        self.ahead.pop_front();
                    }
                    bytes
                } else {
                    let end = match self.scan.search(&self.rest) {
                        Scan::End(end) => Some(end),
                        Scan::Partial => None,
                        Scan::Ambiguous => {
                            self.rest.advance(*passed);
                            self.front = Front::Opaque;
                            return self.pass_on(limit);
                        }
                    };
                    let available = end.unwrap_or(self.rest.len());
                    let until = available.min(passed.saturating_add(limit));
                    let bytes = Bytes::copy_from_slice(&self.rest[*passed..until]);
                    *passed = until;
                    if end == Some(until) {
                        let arrived = self.consume(until);
                        self.front = Front::passed(arrived, self.is_next_ahead);
                    }
                    bytes
                }
            }
            Front::Begun { body, .. } => {
                let wanted = usize::try_from(*body).unwrap_or(usize::MAX);
                let len = limit.min(wanted).min(self.rest.len());
                *body -= len as u64;
                let bytes = Bytes::copy_from_slice(&self.rest[..len]);
                self.consume(len);
                bytes
            }
            // The server sees no complete head in what is one here.
            Front::Passed { .. } => {
                self.front = Front::Opaque;
                return self.pass_on(limit);
            }
            Front::Opaque => {
                let mut bytes = BytesMut::new();
                for ahead in self.ahead.drain(..) {
                    bytes.extend_from_slice(&ahead.raw);
                }
                bytes.extend_from_slice(&self.rest);
                let passed = bytes.split_to(limit.min(bytes.len())).freeze();
                self.rest = bytes;
                passed
            }
        };
        self.account();
        bytes
    }

    /// The server begins with the next request. `body` is the length of its body; `None` if that isn't
    /// known.
    pub fn begin(&mut self, head: &Rc<Parts>, body: Option<u64>) -> Begun {
        let front = std::mem::replace(&mut self.front, Front::Opaque);
        match (front, body) {
            (Front::Passed { begun, bytes }, Some(body)) => {
                // What is held stands behind all that were started.
                self.held &= begun.started;
                self.front = Front::Begun {
                    head: Rc::clone(head),
                    body,
                    bytes,
                    blocks: None,
                };
                begun
            }
            (Front::Passed { begun, .. }, None) => begun,
            _ => Begun {
                arrived: None,
                sent_ahead: false,
                started: false,
            },
        }
    }

    /// The server has the whole answer to the request it has begun with.
    pub fn finish(&mut self) {
        if let Front::Begun { body, .. } = self.front {
            self.is_next_ahead = self.has_request_behind();
            self.front = match body {
                0 => Front::Head { passed: 0 },
                // The server reads what is left of the body, or closes the connection.
                _ => Front::Opaque,
            };
        }
        self.account();
    }

    /// Reads nothing ahead from now on.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether nothing is read ahead any more.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether the server may be given bytes as they come. If not, all that is received stands behind the
    /// request whose answer is due.
    pub fn is_server_reading(&self) -> bool {
        !matches!(self.front, Front::Begun { body: 0, .. })
    }

    /// Whether the server is at a body that it hasn't got to the end.
    pub fn is_in_body(&self) -> bool {
        matches!(self.front, Front::Begun { body: 1.., .. })
    }

    /// Whether bytes wait here.
    pub fn is_empty(&self) -> bool {
        self.ahead.is_empty() && self.rest.is_empty()
    }

    /// Whether more may be read ahead.
    pub fn may_read(&self) -> bool {
        !self.stopped
            && self.ahead.len() < self.limits.requests
            && self.bytes() < self.limits.bytes
            && !self.share.memory().is_full()
    }

    /// Whether a complete request stands behind the one whose answer is due.
    pub fn has_request_behind(&mut self) -> bool {
        !self.ahead.is_empty()
            || !self.is_in_body() && matches!(self.scan.search(&self.rest), Scan::End(_))
    }

    /// Whether a request stands behind the one whose answer is due that the server can answer, be it with
    /// an error.
    pub fn has_behind(&mut self) -> bool {
        if self.is_in_body() {
            // The server closes the connection if it answers before the end of a body.
            return false;
        }
        !self.ahead.is_empty() || self.scan.search(&self.rest) != Scan::Partial
    }

    /// Whether the server is at the last request that was read.
    pub fn is_at_last(&mut self) -> bool {
        match self.front {
            Front::Head { passed: 0 } | Front::Begun { .. } => !self.has_behind(),
            Front::Passed { .. } => false,
            Front::Head { .. } | Front::Opaque => true,
        }
    }

    /// Whether requests behind the front have to wait for its answer.
    fn front_blocks(&mut self, is_idempotent: impl Fn(&Parts) -> bool) -> bool {
        match &mut self.front {
            Front::Begun { head, blocks, .. } => {
                *blocks.get_or_insert_with(|| !may_be_followed(head) || !is_idempotent(head))
            }
            _ => true,
        }
    }

    /// Takes bytes off the rest. Returns when the last of them was received; `None` if there is none.
    fn consume(&mut self, len: usize) -> Option<Instant> {
        self.rest.advance(len);
        self.offset += len as u64;
        self.scan = HeadScan::default();
        while self.marks.front()?.end < self.offset {
            self.marks.pop_front();
        }
        self.marks.front().map(|mark| mark.at)
    }

    fn bytes(&self) -> usize {
        let begun = match self.front {
            Front::Passed { bytes, .. } | Front::Begun { bytes, .. } => bytes,
            Front::Head { .. } | Front::Opaque => 0,
        };
        begun + self.rest.len() + self.ahead.iter().map(|ahead| ahead.len).sum::<usize>()
    }

    fn account(&mut self) {
        self.share.set(self.bytes());
    }
}
