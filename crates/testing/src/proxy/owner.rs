//! Identifies the process that opened a connection.
//!
//! All processes of a test share one loopback address, so a connection's address doesn't
//! identify them. The kernel's tables do: `/proc/net/tcp` gives the inode of the client's socket
//! and `/proc/PID/fd` the process that has it open.
//!
//! Reading these tables takes longer the more sockets and files there are. One thread reads them,
//! once for all connections that wait: a thread for each would take the processor from the
//! processes under test, which then lose each other and open further connections.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::thread;

use tokio::sync::{mpsc, oneshot};

/// The registered processes, whose connections can be identified.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    processes: Arc<Mutex<Vec<Owner>>>,
}

#[derive(Clone, Debug)]
struct Owner {
    pid: u32,
    name: Arc<str>,
}

impl Owners {
    /// Registers a named process, replacing an earlier one with the same name.
    pub(crate) fn register(&self, name: &str, pid: u32) {
        let mut processes = self.lock();
        processes.retain(|owner| owner.name.as_ref() != name);
        let name = name.into();
        processes.push(Owner { pid, name });
    }

    /// Whether any process is registered.
    pub(crate) fn has_any(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Name of the process that opened the connection from `client` to `proxy`; `None` if it
    /// isn't registered or has closed its socket.
    pub(crate) async fn find(&self, client: SocketAddr, proxy: SocketAddr) -> Option<Arc<str>> {
        let (answer, name) = oneshot::channel();
        let query = Query {
            connection: Connection::new(client, proxy)?,
            owners: self.clone(),
            answer,
        };
        QUERIES.send(query).ok()?;
        name.await.ok()?
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Owner>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The client's side of a connection, with addresses as in `/proc/net/tcp`.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Connection {
    local: String,
    remote: String,
}

impl Connection {
    fn new(local: SocketAddr, remote: SocketAddr) -> Option<Self> {
        Some(Self {
            local: proc_net_format(local)?,
            remote: proc_net_format(remote)?,
        })
    }
}

fn proc_net_format(addr: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(v4.ip().octets());
    Some(format!("{ip:08X}:{:04X}", v4.port()))
}

/// A connection that waits to be identified.
struct Query {
    connection: Connection,
    owners: Owners,
    answer: oneshot::Sender<Option<Arc<str>>>,
}

/// Queries to the thread that reads the tables.
static QUERIES: LazyLock<mpsc::UnboundedSender<Query>> = LazyLock::new(|| {
    let (tx, rx) = mpsc::unbounded_channel();
    thread::Builder::new()
        .name("proxy-owners".to_owned())
        .spawn(move || answer_all(rx))
        .expect("the harness can start a thread");
    tx
});

fn answer_all(mut queries: mpsc::UnboundedReceiver<Query>) {
    while let Some(first) = queries.blocking_recv() {
        let mut waiting = vec![first];
        while let Ok(query) = queries.try_recv() {
            waiting.push(query);
        }
        let names = identify(&waiting);
        for (query, name) in waiting.into_iter().zip(names) {
            // The connection may have ended while it waited.
            let _ = query.answer.send(name);
        }
    }
}

/// Names of the processes that opened these connections.
fn identify(queries: &[Query]) -> Vec<Option<Arc<str>>> {
    let inodes = read_inodes(queries.iter().map(|query| &query.connection));
    let mut files = OpenFiles::default();
    let owner = |query: &Query| files.owner(&query.owners, inodes.get(&query.connection)?);
    queries.iter().map(owner).collect()
}

/// Columns of `/proc/net/tcp` between the remote address and the inode.
const COLUMNS_TO_INODE: usize = 6;

/// Inodes of the sockets of these connections, as far as they are open.
fn read_inodes<'a>(
    connections: impl Iterator<Item = &'a Connection>,
) -> HashMap<&'a Connection, String> {
    let by_address: HashMap<_, _> = connections
        .map(|connection| {
            let addresses = (connection.local.as_str(), connection.remote.as_str());
            (addresses, connection)
        })
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_ascii_whitespace().skip(1);
        let connection = by_address.get(&(columns.next()?, columns.next()?))?;
        let inode = columns.nth(COLUMNS_TO_INODE)?;
        Some((*connection, inode.to_owned()))
    });
    rows.collect()
}

/// Sockets that processes have open, read once for each process.
#[derive(Default)]
struct OpenFiles {
    inodes: HashMap<u32, HashSet<String>>,
}

impl OpenFiles {
    fn owner(&mut self, owners: &Owners, inode: &str) -> Option<Arc<str>> {
        let processes = owners.lock().clone();
        let mut processes = processes.into_iter();
        let owner = processes.find(|owner| self.has_open(owner.pid, inode))?;
        Some(owner.name)
    }

    fn has_open(&mut self, pid: u32, inode: &str) -> bool {
        let inodes = self.inodes.entry(pid);
        inodes
            .or_insert_with(|| read_open_sockets(pid))
            .contains(inode)
    }
}

/// Inodes of the sockets that a process has open; none if it has ended.
fn read_open_sockets(pid: u32) -> HashSet<String> {
    let files = fs::read_dir(format!("/proc/{pid}/fd"));
    let links = files.into_iter().flatten().flatten();
    links
        .filter_map(|file| fs::read_link(file.path()).ok())
        .filter_map(|link| {
            let socket = link.to_str()?.strip_prefix("socket:[")?;
            Some(socket.strip_suffix(']')?.to_owned())
        })
        .collect()
}
