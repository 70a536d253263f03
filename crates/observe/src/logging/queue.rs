//! The bounded queue between the threads that log and the writer thread.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// How long [`LogGuard::flush`] waits, and so the end of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_RETRY: Duration = Duration::from_millis(10);

/// A message to the writer thread.
#[derive(Debug)]
pub(super) enum QueueItem {
    Line(Vec<u8>),
    /// A request to signal once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Lines dropped because a queue of this process was full. A static, because the logger
/// is started before any metrics exist that could be passed to it.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines that this process has dropped.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Number of lines that one logger dropped because its queue was full. Clones share the
/// count.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Lines dropped since the logger was created.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Flushes the queue when dropped; see [`init_logging`](crate::init_logging).
#[derive(Debug)]
pub struct LogGuard {
    tx: SyncSender<QueueItem>,
    dropped: DroppedLines,
}

impl LogGuard {
    pub(super) fn new(tx: SyncSender<QueueItem>, dropped: DroppedLines) -> Self {
        Self { tx, dropped }
    }

    /// The count of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }

    /// Waits until the lines logged so far are written, for a second at most.
    pub fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (done_tx, done_rx) = sync_channel(1);
        let mut item = QueueItem::Flush(done_tx);
        loop {
            match self.tx.try_send(item) {
                Ok(()) => break,
                Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(unsent)) => item = unsent,
            }
            if Instant::now() >= deadline {
                return;
            }
            std::thread::sleep(FLUSH_RETRY);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        // If the output blocks for longer than that, the last lines may be lost.
        let _ = done_rx.recv_timeout(remaining);
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Formats the line that reports how many lines are missing before it.
pub(super) type FormatMissing = Box<dyn Fn(u64) -> String + Send>;

/// The writer that fern formats into. It queues whole lines and never blocks.
pub(super) struct QueueWriter {
    tx: SyncSender<QueueItem>,
    dropped: DroppedLines,
    /// Lines dropped since the last one that was queued.
    missing: u64,
    format_missing: FormatMissing,
    buf: Vec<u8>,
}

impl QueueWriter {
    pub(super) fn new(
        tx: SyncSender<QueueItem>,
        dropped: DroppedLines,
        format_missing: FormatMissing,
    ) -> Self {
        Self {
            tx,
            dropped,
            missing: 0,
            format_missing,
            buf: Vec::new(),
        }
    }

    fn push(&mut self, line: Vec<u8>) {
        if self.tx.try_send(QueueItem::Line(line)).is_ok() {
            self.missing = 0;
        } else {
            self.missing += 1;
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(buf);
        Ok(buf.len())
    }

    /// fern flushes after each line.
    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.buf);
        if line.is_empty() {
            return Ok(());
        }
        if self.missing > 0 {
            let mut missing_line = (self.format_missing)(self.missing);
            missing_line.push('\n');
            line.splice(0..0, missing_line.into_bytes());
        }
        self.push(line);
        Ok(())
    }
}

/// Body of the writer thread: writes lines until all senders are dropped. If the output
/// fails, as a closed pipe does, lines are lost but the process goes on.
pub(super) fn write_lines(rx: &Receiver<QueueItem>, mut out: impl Write) {
    while let Ok(item) = rx.recv() {
        match item {
            QueueItem::Line(line) => {
                let _ = out.write_all(&line);
            }
            QueueItem::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
    }
}
