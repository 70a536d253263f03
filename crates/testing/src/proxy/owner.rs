//! Identifies the process that opened a connection.
//!
//! All processes of a test share one loopback address, so a connection's address doesn't
//! identify them. The kernel does: its table of sockets has the inode of the client's one, and
//! `/proc/PID/fd` the process that has it open.
//!
//! Sockets are looked up one by one. To read the whole table takes the longer the more sockets there are on
//! the machine, closed ones too, and all connections of all tests would wait for it. The open files of a
//! process are read once for all connections that wait, by one thread: a thread for each would take the
//! processor from the processes under test, which then lose each other and open further connections.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::thread;

use tokio::sync::{mpsc, oneshot};

use super::inodes::{End, SocketTable};

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
            end: End {
                local: client,
                remote: proxy,
            },
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

/// A connection that waits to be identified.
struct Query {
    /// The client's end.
    end: End,
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
    let table = SocketTable::open().expect("the kernel tells of its sockets");
    while let Some(first) = queries.blocking_recv() {
        let mut waiting = vec![first];
        while let Ok(query) = queries.try_recv() {
            waiting.push(query);
        }
        let names = identify(&table, &waiting);
        for (query, name) in waiting.into_iter().zip(names) {
            // The connection may have ended while it waited.
            let _ = query.answer.send(name);
        }
    }
}

/// Names of the processes that opened these connections.
fn identify(table: &SocketTable, queries: &[Query]) -> Vec<Option<Arc<str>>> {
    let mut files = OpenFiles::default();
    let owner = |query: &Query| files.owner(&query.owners, table.inode(query.end)?);
    queries.iter().map(owner).collect()
}

/// Sockets that processes have open, read once for each process.
#[derive(Default)]
struct OpenFiles {
    inodes: HashMap<u32, HashSet<u32>>,
}

impl OpenFiles {
    fn owner(&mut self, owners: &Owners, inode: u32) -> Option<Arc<str>> {
        let processes = owners.lock().clone();
        let mut processes = processes.into_iter();
        let owner = processes.find(|owner| self.has_open(owner.pid, inode))?;
        Some(owner.name)
    }

    fn has_open(&mut self, pid: u32, inode: u32) -> bool {
        let inodes = self.inodes.entry(pid);
        inodes
            .or_insert_with(|| read_open_sockets(pid))
            .contains(&inode)
    }
}

/// Inodes of the sockets that a process has open; none if it has ended.
fn read_open_sockets(pid: u32) -> HashSet<u32> {
    let files = fs::read_dir(format!("/proc/{pid}/fd"));
    let links = files.into_iter().flatten().flatten();
    links
        .filter_map(|file| fs::read_link(file.path()).ok())
        .filter_map(|link| {
            let socket = link.to_str()?.strip_prefix("socket:[")?;
            socket.strip_suffix(']')?.parse().ok()
        })
        .collect()
}
