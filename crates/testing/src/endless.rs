//! Bytes without end in place of an answer.

use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes of a piece that is written at a time, at least, unless it is paced.
const PIECE_BYTES: usize = 8 * 1024;
/// Data bytes of a usual chunk.
const CHUNK_BYTES: usize = 4 * 1024;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Endless {
    /// Header lines.
    Head,
    /// Interim answers.
    Interim,
    /// Bytes that are no HTTP.
    Garbage,
    /// Chunks, after a head.
    Body,
    /// Chunks of one byte, after a head.
    SmallChunks,
    /// Digits of a chunk's size, after a head.
    ChunkSize,
    /// A body after a head without a length.
    Unframed,
}

/// What is sent, once or again and again.
#[derive(Debug)]
pub(crate) struct EndlessAnswer {
    start: String,
    /// A line or chunk that is repeated.
    line: String,
    /// Pause after each; without one they are written many at a time.
    pause: Option<Duration>,
}

impl EndlessAnswer {
    /// An answer with the `headers` of one that ends, a line each.
    pub(crate) fn new(kind: Endless, headers: &str) -> Self {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n");
        let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
        let (start, line) = match kind {
            Endless::Head => (
                format!("HTTP/1.1 200 OK\r\n{headers}"),
                "x-further: 1\r\n".to_owned(),
            ),
            Endless::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Endless::Garbage => (String::new(), "\u{1}no HTTP".to_owned()),
            Endless::Body => (head("transfer-encoding: chunked\r\n"), chunk(CHUNK_BYTES)),
            Endless::SmallChunks => (head("transfer-encoding: chunked\r\n"), chunk(1)),
            Endless::ChunkSize => (head("transfer-encoding: chunked\r\n"), "0".to_owned()),
            Endless::Unframed => (head("connection: close\r\n"), "x".to_owned()),
        };
        Self {
            start,
            line,
            pause: None,
        }
    }

    /// Sends it a line or chunk at a time, at this rate in bytes per second; `None` is unlimited.
    pub(crate) fn pace(mut self, pace: Option<u64>) -> Self {
        let pause = |pace: u64| self.line.len() as f64 / pace.max(1) as f64;
        self.pause = pace.map(pause).map(Duration::from_secs_f64);
        self
    }

    /// Sends it until the other side closes the connection.
    pub(crate) async fn send(&self, stream: &mut TcpStream) -> io::Error {
        if let Err(e) = stream.write_all(self.start.as_bytes()).await {
            return e;
        }
        let times = match self.pause {
            Some(_) => 1,
            None => PIECE_BYTES.div_ceil(self.line.len()),
        };
        let piece = self.line.repeat(times);
        loop {
            if let Err(e) = stream.write_all(piece.as_bytes()).await {
                return e;
            }
            if let Some(pause) = self.pause {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
