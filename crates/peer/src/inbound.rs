//! Accepts connections from peers and receives their messages.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use filberthead_limits::{Admitted, Clients};
use filberthead_types::ClusterId;
use log::{debug, warn};
use snafu::{Report, ResultExt};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::counters::{Counters, OpenConnection};
use crate::liveness::Acknowledgements;
use crate::wire::{ConnectionError, ReadSnafu, Role, handshake, release_long_buffer, take_frame};
use crate::{Body, Origin, decode};

/// Initial capacity of a connection's read buffer in bytes, enough for most messages. A control
/// replica has a connection from each gateway.
const READ_BUFFER_LEN: usize = 1024;
/// Pause after an error of the listening socket that another attempt wouldn't cure at once, such
/// as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Callback for received messages, called on the receiving thread. Must not block: messages
/// that it can't pass on at once are dropped, because every protocol retries those that need a
/// reply.
pub trait Deliver: Send {
    /// Handles one message.
    fn deliver(&mut self, origin: Origin, body: Body);
}

/// Receives messages and passes them on.
pub(crate) struct Inbound<D> {
    pub(crate) cluster: ClusterId,
    pub(crate) counters: Arc<Counters>,
    pub(crate) acknowledgements: Arc<Acknowledgements>,
    pub(crate) deliver: RefCell<D>,
}

/// What to do after accepting a connection has failed.
enum AcceptRetry {
    AtOnce,
    AfterPause,
}

impl AcceptRetry {
    fn after(e: &io::Error) -> Self {
        match e.kind() {
            // Errors of the connection, not of the listening socket.
            io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionRefused => Self::AtOnce,
            _ => Self::AfterPause,
        }
    }
}

impl<D: Deliver + 'static> Inbound<D> {
    /// Accepts connections and receives from each in a local task of its own, for ever.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, clients: Rc<Clients>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(admitted) = clients.admit() {
                        spawn_local(Rc::clone(&self).receive(stream, admitted));
                    }
                }
                Err(e) => self.handle_accept_error(&e).await,
            }
        }
    }

    async fn handle_accept_error(&self, e: &io::Error) {
        self.counters.inbound.count_failed();
        match AcceptRetry::after(e) {
            AcceptRetry::AtOnce => debug!(error:% = e; "a connection ended before it was accepted"),
            AcceptRetry::AfterPause => {
                warn!(error:% = e; "accepting a connection from a peer failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    async fn receive(self: Rc<Self>, stream: TcpStream, admitted: Admitted) {
        let open = self.counters.inbound.open();
        let received = tokio::select! {
            biased;
            () = admitted.evicted() => return,
            received = self.receive_all(stream, &admitted, &open) => received,
        };
        if let Err(e) = received {
            self.counters.inbound.count_failed();
            debug!(error:% = Report::from_error(e); "a connection from a peer failed");
        }
    }

    async fn receive_all(
        &self,
        mut stream: TcpStream,
        admitted: &Admitted,
        open: &OpenConnection<'_>,
    ) -> Result<(), ConnectionError> {
        handshake(&mut stream, Role::Receiver).await?;
        open.count_handshaken();
        let mut buf = BytesMut::with_capacity(READ_BUFFER_LEN);
        loop {
            while let Some(frame) = take_frame(&mut buf).context(ReadSnafu)? {
                admitted.begin();
                self.handle_message(&frame);
                let len = frame.len();
                drop(frame);
                release_long_buffer(&mut buf, len);
                admitted.finish();
                admitted.received(buf.len());
            }
            let read = stream.read_buf(&mut buf).await.context(ReadSnafu)?;
            match (read, buf.is_empty()) {
                (0, true) => return Ok(()),
                (0, false) => {
                    let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
                    return Err(cut).context(ReadSnafu);
                }
                _ => admitted.received(read),
            }
        }
    }

    fn handle_message(&self, buf: &[u8]) {
        match decode(self.cluster, buf) {
            Ok(envelope) => {
                self.counters
                    .count_received(envelope.body.kind(), buf.len() as u64);
                let from = envelope.origin.addr;
                self.acknowledgements
                    .received(Instant::now(), from, envelope.received);
                self.deliver
                    .borrow_mut()
                    .deliver(envelope.origin, envelope.body);
            }
            Err(e) => {
                self.counters.count_rejected(e.reason());
                debug!(error:% = e; "rejected a message from a peer");
            }
        }
    }
}
