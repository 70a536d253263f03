//! One connection through the proxy.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::connections::Connections;
use super::owner::Owners;
use super::{Direction, Flow, ProxiedConnection, Rules, reset_on_drop};

const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks buffered in one direction. When a slow reader has filled them, the proxy stops reading
/// and the sender's window fills, so that back-pressure passes through the proxy.
const CHUNKS_IN_TRANSIT: usize = 8;

/// An event to be forwarded in one direction.
enum Item {
    Chunk { due: Instant, chunk: Bytes },
    Reset,
}

/// How one direction ended.
#[derive(PartialEq, Eq)]
enum End {
    /// The sender closed its side.
    Closed,
    /// The sender reset the connection, so the proxy resets the other side.
    Reset,
    /// Writing to the receiver failed.
    Gone,
}

/// How both directions ended.
#[derive(PartialEq, Eq)]
enum Ends {
    /// Each was closed, or its receiver is gone.
    Closed,
    /// The connection is to be reset.
    Reset,
}

/// Applies the proxy's rules to one direction of a connection.
#[derive(Clone)]
struct Gate {
    rules: watch::Receiver<Rules>,
    /// Name of the connecting process, if known.
    client: Option<Arc<str>>,
    direction: Direction,
    /// Value of [`Rules::silences`] when the connection was accepted.
    silences: u64,
}

impl Gate {
    fn flow(&self) -> Flow {
        let rules = self.rules.borrow();
        if rules.silences > self.silences {
            return Flow::Hold;
        }
        rules.flows(self.client.as_deref()).get(self.direction)
    }

    /// Waits until the connection is to be reset.
    async fn reset(mut self) {
        loop {
            self.rules.mark_unchanged();
            if self.flow() == Flow::Reset {
                return;
            }
            if self.rules.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until bytes aren't held, and returns the flow that applies.
    async fn open(&mut self) -> Flow {
        loop {
            self.rules.mark_unchanged();
            let flow = self.flow();
            if flow != Flow::Hold {
                return flow;
            }
            if self.rules.changed().await.is_err() {
                // The proxy was dropped; the connection is about to be reset.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Forwards a connection until both directions have ended or it is cut.
pub(super) async fn forward(
    client: TcpStream,
    rules: watch::Receiver<Rules>,
    owners: Owners,
    connections: Connections,
) {
    let cuts = rules.borrow().cuts;
    let refused = rules.borrow().refuse;
    reset_on_drop(&client);
    if refused {
        return;
    }
    tokio::select! {
        () = relay(client, rules.clone(), owners, &connections) => {}
        () = cut_after(cuts, rules) => {}
    }
}

async fn cut_after(cuts: u64, mut rules: watch::Receiver<Rules>) {
    // An error means that the proxy was dropped, which ends the connection as well.
    let _ = rules.wait_for(|rules| rules.cuts > cuts).await;
}

async fn relay(
    mut client: TcpStream,
    rules: watch::Receiver<Rules>,
    owners: Owners,
    connections: &Connections,
) {
    let silences = rules.borrow().silences;
    let gate = Gate {
        client: client_name(&client, owners).await,
        silences,
        rules,
        direction: Direction::ToServer,
    };
    if matches!(gate.flow(), Flow::Reset | Flow::Refuse) {
        return;
    }
    // While bytes to the server are held, its side of the connection isn't opened either: on a
    // real link the first packet of the handshake wouldn't arrive.
    gate.clone().open().await;
    let Some(mut server) = connect(&gate.rules).await else {
        return;
    };
    if let (Ok(from), Ok(to)) = (server.local_addr(), server.peer_addr()) {
        connections.record(ProxiedConnection {
            from,
            to,
            client: gate.client.clone(),
            opened: std::time::Instant::now(),
        });
    }
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    reset_on_drop(&server);
    let return_gate = Gate {
        direction: Direction::ToClient,
        ..gate.clone()
    };
    // Owned halves would close their side when they are dropped, and the receiver would see an orderly end before
    // the reset.
    let (client_rx, client_tx) = client.split();
    let (server_rx, server_tx) = server.split();
    let to_server = relay_direction(client_rx, server_tx, gate.clone());
    let to_client = relay_direction(server_rx, client_tx, return_gate);
    let ends = tokio::select! {
        ends = run_both(to_server, to_client) => ends,
        () = gate.reset() => Ends::Reset,
    };
    if ends == Ends::Closed {
        clear_reset_on_drop(&client);
        clear_reset_on_drop(&server);
    }
}

/// Name of the connecting process; `None` if it can't be identified or the proxy doesn't belong
/// to a [`Network`](super::Network).
async fn client_name(client: &TcpStream, owners: Owners) -> Option<Arc<str>> {
    if !owners.has_any() {
        return None;
    }
    let (peer, local) = (client.peer_addr().ok()?, client.local_addr().ok()?);
    owners.find(peer, local).await
}

async fn connect(rules: &watch::Receiver<Rules>) -> Option<TcpStream> {
    let target = rules.borrow().target?;
    TcpStream::connect(target).await.ok()
}

/// Runs both directions to their end; a reset in either ends both at once.
async fn run_both(
    to_server: impl Future<Output = End>,
    to_client: impl Future<Output = End>,
) -> Ends {
    tokio::pin!(to_server, to_client);
    let (first, other) = tokio::select! {
        first = &mut to_server => (first, Direction::ToClient),
        first = &mut to_client => (first, Direction::ToServer),
    };
    if first == End::Reset {
        return Ends::Reset;
    }
    let second = match other {
        Direction::ToServer => to_server.await,
        Direction::ToClient => to_client.await,
    };
    match second {
        End::Reset => Ends::Reset,
        End::Closed | End::Gone => Ends::Closed,
    }
}

/// Reverts [`reset_on_drop`], which would discard bytes that aren't delivered yet.
fn clear_reset_on_drop(stream: &TcpStream) {
    // Fails only for a connection that has already ended.
    let _ = socket2::SockRef::from(stream).set_linger(None);
}

async fn relay_direction(from: ReadHalf<'_>, mut to: WriteHalf<'_>, gate: Gate) -> End {
    let (tx, rx) = mpsc::channel(CHUNKS_IN_TRANSIT);
    let reading = read_all(from, tx, gate.clone());
    let writing = write_all(rx, &mut to, gate);
    tokio::join!(reading, writing).1
}

async fn read_all(mut from: ReadHalf<'_>, tx: mpsc::Sender<Item>, gate: Gate) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = tx.closed() => return,
        };
        let item = match read {
            Ok(0) => return,
            Ok(len) => Item::Chunk {
                due: Instant::now() + delay(gate.flow()),
                chunk: Bytes::copy_from_slice(&buf[..len]),
            },
            Err(_) => Item::Reset,
        };
        let last = matches!(item, Item::Reset);
        if tx.send(item).await.is_err() || last {
            return;
        }
    }
}

fn delay(flow: Flow) -> Duration {
    match flow {
        Flow::Delay(delay) => delay,
        Flow::Pass | Flow::Hold | Flow::Throttle(_) | Flow::Reset | Flow::Refuse => Duration::ZERO,
    }
}

async fn write_all(mut rx: mpsc::Receiver<Item>, to: &mut WriteHalf<'_>, mut gate: Gate) -> End {
    loop {
        let item = rx.recv().await;
        if let Some(Item::Chunk { due, .. }) = &item {
            tokio::time::sleep_until(*due).await;
        }
        let flow = gate.open().await;
        match item {
            Some(Item::Chunk { chunk, .. }) => {
                if to.write_all(&chunk).await.is_err() {
                    return End::Gone;
                }
                pace(flow, chunk.len()).await;
            }
            Some(Item::Reset) => return End::Reset,
            None => {
                // Fails only if the receiver has closed, which the other direction detects.
                let _ = to.shutdown().await;
                return End::Closed;
            }
        }
    }
}

async fn pace(flow: Flow, len: usize) {
    if let Flow::Throttle(bytes_per_second) = flow {
        let seconds = len as f64 / bytes_per_second.max(1) as f64;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }
}
