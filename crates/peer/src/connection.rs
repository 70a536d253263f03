//! A connection to a peer, kept open by a task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use log::debug;
use snafu::{Report, ResultExt, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::counters::{Counters, OpenConnection};
use crate::wire::{
    ClosedSnafu, ConnectSnafu, ConnectTimeoutSnafu, ConnectionError, ReadSnafu, Role, WriteSnafu,
    codec, handshake, release_long_buffer,
};

/// Messages queued for a destination whose connection is slow or down. Further ones are
/// dropped: each protocol retries the messages that it needs.
pub(crate) const QUEUE_MESSAGES: usize = 64;
/// Time after which an attempt to connect is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Bounds of the delay between attempts to connect, which doubles until a handshake completes.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(400);

/// A connection to a peer, reopened whenever it is lost. Closed when dropped: messages that
/// haven't been written are discarded.
#[derive(Debug)]
pub(crate) struct Connection {
    queue: mpsc::Sender<Bytes>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Starts connecting, in a task on `runtime`.
    pub(crate) fn open(runtime: &Handle, to: SocketAddr, counters: Arc<Counters>) -> Self {
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let writer = Writer {
            to,
            messages,
            counters,
            reconnect_delay: RECONNECT_MIN,
        };
        Self {
            queue,
            task: runtime.spawn(writer.run()),
        }
    }

    /// Queues a message; returns `false` if the queue is full.
    pub(crate) fn try_send(&self, message: Bytes) -> bool {
        self.queue.try_send(message).is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Writer {
    to: SocketAddr,
    messages: mpsc::Receiver<Bytes>,
    counters: Arc<Counters>,
    reconnect_delay: Duration,
}

impl Writer {
    async fn run(mut self) {
        while let Err(e) = self.connect_and_write().await {
            if !matches!(e, ConnectionError::Closed) {
                self.counters.outbound.count_failed();
            }
            debug!(to:% = self.to, error:% = Report::from_error(e); "reconnecting to a peer");
            self.pause().await;
        }
    }

    /// Waits before the next attempt. The delay is random, so that the peers of a process that
    /// restarts don't all connect at the same time.
    async fn pause(&mut self) {
        let delay = self.reconnect_delay;
        self.reconnect_delay = (2 * delay).min(RECONNECT_MAX);
        sleep(rand::random_range(Duration::ZERO..=delay)).await;
    }

    /// Returns without an error once no more messages can be queued.
    async fn connect_and_write(&mut self) -> Result<(), ConnectionError> {
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.to))
            .await
            .context(ConnectTimeoutSnafu)?
            .context(ConnectSnafu)?;
        let counters = Arc::clone(&self.counters);
        let open = counters.outbound.open();
        stream.set_nodelay(true).context(ConnectSnafu)?;
        self.handshake(&mut stream, &open).await?;
        let (mut rx, tx) = stream.split();
        let mut frames = FramedWrite::new(tx, codec());
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.write_queued(message, &mut frames).await?,
                    None => return Ok(()),
                },
                result = until_closed(&mut rx) => return result,
            }
        }
    }

    async fn handshake(
        &mut self,
        stream: &mut TcpStream,
        open: &OpenConnection<'_>,
    ) -> Result<(), ConnectionError> {
        handshake(stream, Role::Sender).await?;
        open.count_handshaken();
        self.reconnect_delay = RECONNECT_MIN;
        Ok(())
    }

    /// Writes a message and all that are queued behind it.
    async fn write_queued(
        &mut self,
        first: Bytes,
        frames: &mut FramedWrite<impl AsyncWrite + Unpin, LengthDelimitedCodec>,
    ) -> Result<(), ConnectionError> {
        let mut next = Some(first);
        while let Some(message) = next {
            frames.feed(message).await.context(WriteSnafu)?;
            next = self.messages.try_recv().ok();
        }
        SinkExt::<Bytes>::flush(frames).await.context(WriteSnafu)?;
        let capacity = frames.write_buffer().capacity();
        release_long_buffer(frames.write_buffer_mut(), capacity);
        Ok(())
    }
}

/// Discards what the peer sends, which is nothing after its header, until it closes the
/// connection.
async fn until_closed(rx: &mut (impl AsyncRead + Unpin)) -> Result<(), ConnectionError> {
    let mut buf = [0; 64];
    loop {
        let len = rx.read(&mut buf).await.context(ReadSnafu)?;
        ensure!(len > 0, ClosedSnafu);
    }
}
