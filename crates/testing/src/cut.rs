//! Answers that end after some of their bytes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Pause after each byte of a slow answer.
const SLOW_PAUSE: Duration = Duration::from_millis(2);
/// Time that what was written has to be read before a reset.
const BEFORE_RESET: Duration = Duration::from_millis(2);
/// Beginning of the last segment of a path whose answer is cut.
const SEGMENT: &str = "cut-";
/// Beginning of the last segment of a path whose answer has the status that follows, whether or not it is one.
const STATUS_SEGMENT: &str = "status-";

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By chunks.
    Chunked,
    /// By chunks, beside a `Content-Length` of half the body, which HTTP says to ignore.
    ChunkedWithLength,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Length,
        Self::Chunked,
        Self::ChunkedWithLength,
        Self::Close,
    ];

    /// The bytes of a body after its head; those of chunks are two with data and the last one.
    pub fn encode(self, body: &[u8]) -> Vec<u8> {
        if matches!(self, Self::Length | Self::Close) {
            return body.to_vec();
        }
        let mut bytes = Vec::new();
        let (first, second) = body.split_at(body.len() / 2);
        for chunk in [first, second]
            .into_iter()
            .filter(|chunk| !chunk.is_empty())
        {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    fn header(self, body: &[u8]) -> String {
        match self {
            Self::Length => format!("{CONTENT_LENGTH}: {}\r\n", body.len()),
            Self::Chunked => format!("{TRANSFER_ENCODING}: chunked\r\n"),
            Self::ChunkedWithLength => format!(
                "{CONTENT_LENGTH}: {}\r\n{TRANSFER_ENCODING}: chunked\r\n",
                body.len() / 2
            ),
            Self::Close => String::new(),
        }
    }
}

/// Where an answer is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CutAt {
    /// After this many bytes of its head, which lacks one at least.
    Head(usize),
    /// After its head and this many bytes of its encoded body.
    Body(usize),
}

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CutEnd {
    /// It is closed.
    Closed,
    /// It is reset.
    Reset,
    /// It is closed after bytes that came one at a time.
    SlowlyClosed,
}

impl CutEnd {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Closed, Self::Reset, Self::SlowlyClosed];
}

/// An answer that ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerCut {
    /// Its framing.
    pub framing: Framing,
    /// Its last byte.
    pub at: CutAt,
    /// The end of its connection.
    pub end: CutEnd,
}

impl AnswerCut {
    /// How the answer to a request of this path is cut: its last segment may be the `Display` of a cut.
    pub fn of_path(path: &str) -> Option<Self> {
        path.rsplit('/').next()?.parse().ok()
    }

    /// Whether it is a whole answer: nothing of it lacks, or it is the whole of a shorter body, as its end is told
    /// by that of the connection. A reset cuts one that has no other end.
    pub fn is_whole(self, body: &[u8]) -> bool {
        match (self.at, self.framing) {
            (CutAt::Head(_), _) => false,
            (CutAt::Body(_), Framing::Close) => self.end != CutEnd::Reset,
            (CutAt::Body(bytes), framing) => bytes >= framing.encode(body).len(),
        }
    }

    /// The body of a whole answer.
    pub fn whole_body(self, body: &[u8]) -> &[u8] {
        match (self.at, self.framing) {
            (CutAt::Body(bytes), Framing::Close) => &body[..bytes.min(body.len())],
            _ => body,
        }
    }
}

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let framing = match self.framing {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::ChunkedWithLength => "both",
            Framing::Close => "close",
        };
        let (part, bytes) = match self.at {
            CutAt::Head(bytes) => ("head", bytes),
            CutAt::Body(bytes) => ("body", bytes),
        };
        let end = match self.end {
            CutEnd::Closed => "closed",
            CutEnd::Reset => "reset",
            CutEnd::SlowlyClosed => "slow",
        };
        write!(f, "{SEGMENT}{framing}-{part}-{bytes}-{end}")
    }
}

/// The text isn't an [`AnswerCut`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCut;

impl FromStr for AnswerCut {
    type Err = InvalidCut;

    fn from_str(text: &str) -> Result<Self, InvalidCut> {
        let words = text.strip_prefix(SEGMENT).ok_or(InvalidCut)?.split('-');
        let words: Vec<&str> = words.collect();
        let [framing, part, bytes, end] = words[..] else {
            return Err(InvalidCut);
        };
        let bytes = bytes.parse().map_err(|_| InvalidCut)?;
        Ok(Self {
            framing: match framing {
                "length" => Framing::Length,
                "chunked" => Framing::Chunked,
                "both" => Framing::ChunkedWithLength,
                "close" => Framing::Close,
                _ => return Err(InvalidCut),
            },
            at: match part {
                "head" => CutAt::Head(bytes),
                "body" => CutAt::Body(bytes),
                _ => return Err(InvalidCut),
            },
            end: match end {
                "closed" => CutEnd::Closed,
                "reset" => CutEnd::Reset,
                "slow" => CutEnd::SlowlyClosed,
                _ => return Err(InvalidCut),
            },
        })
    }
}

/// The status that the last segment of a path asks for, such as `status-000`.
pub(crate) fn status_of_path(path: &str) -> Option<&str> {
    path.rsplit('/').next()?.strip_prefix(STATUS_SEGMENT)
}

/// The bytes of a cut answer.
#[derive(Debug)]
pub(crate) struct CutAnswer {
    bytes: Vec<u8>,
    end: CutEnd,
}

impl CutAnswer {
    /// Cuts the answer of this head and body.
    pub(crate) fn new(cut: AnswerCut, head: &Parts, body: &Bytes) -> Self {
        Self::with_status(cut, &head.status.to_string(), head, body)
    }

    /// The whole answer of this head and body, with this text in place of its status.
    pub(crate) fn of_status(status: &str, head: &Parts, body: &Bytes) -> Self {
        let whole = AnswerCut {
            framing: Framing::Length,
            at: CutAt::Body(usize::MAX),
            end: CutEnd::Closed,
        };
        Self::with_status(whole, status, head, body)
    }

    fn with_status(cut: AnswerCut, status: &str, head: &Parts, body: &Bytes) -> Self {
        let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
        let others = |name: &&http::HeaderName| **name != CONTENT_LENGTH;
        for name in head.headers.keys().filter(others) {
            for value in head.headers.get_all(name) {
                bytes.extend_from_slice(format!("{name}: ").as_bytes());
                bytes.extend_from_slice(value.as_bytes());
                bytes.extend_from_slice(b"\r\n");
            }
        }
        bytes.extend_from_slice(cut.framing.header(body).as_bytes());
        bytes.extend_from_slice(b"\r\n");
        match cut.at {
            CutAt::Head(sent) => bytes.truncate(sent.min(bytes.len() - 1)),
            CutAt::Body(sent) => {
                let encoded = cut.framing.encode(body);
                bytes.extend_from_slice(&encoded[..sent.min(encoded.len())]);
            }
        }
        Self {
            bytes,
            end: cut.end,
        }
    }

    /// Sends it and ends the connection.
    pub(crate) async fn send(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let piece = match self.end {
            CutEnd::SlowlyClosed => 1,
            CutEnd::Closed | CutEnd::Reset => self.bytes.len().max(1),
        };
        for piece in self.bytes.chunks(piece) {
            // Fails only if the other side has ended the connection.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            if self.end == CutEnd::SlowlyClosed {
                tokio::time::sleep(SLOW_PAUSE).await;
            }
        }
        if self.end == CutEnd::Reset {
            tokio::time::sleep(BEFORE_RESET).await;
            // Fails only for a connection that has already ended.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// What is sent in place of hyper's answer.
#[derive(Debug)]
pub(crate) enum RawAnswer {
    /// Bytes without end.
    Endless(crate::endless::EndlessAnswer),
    /// Some bytes of an answer.
    Cut(CutAnswer),
}
