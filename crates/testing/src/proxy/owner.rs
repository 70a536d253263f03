//! Identifies the process that opened a connection.
//!
//! All processes of a test share one loopback address, so a connection's address doesn't
//! identify them. The kernel's tables do: `/proc/net/tcp` gives the inode of the client's socket
//! and `/proc/PID/fd` the process that has it open.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The registered processes, whose connections can be identified.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    processes: Arc<Mutex<Vec<Owner>>>,
}

#[derive(Debug)]
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
    pub(crate) fn find(&self, client: SocketAddr, proxy: SocketAddr) -> Option<Arc<str>> {
        let link = format!("socket:[{}]", inode(client, proxy)?);
        let processes = self.lock();
        let owner = processes
            .iter()
            .find(|owner| has_open_file(owner.pid, &link))?;
        Some(Arc::clone(&owner.name))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Owner>> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn has_open_file(pid: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|to| to.as_os_str() == link)
}

/// Columns of `/proc/net/tcp`.
const LOCAL: usize = 1;
const REMOTE: usize = 2;
const INODE: usize = 9;

fn inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let (local, remote) = (proc_net_format(local)?, proc_net_format(remote)?);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let columns: Vec<_> = line.split_whitespace().collect();
        let matches = columns.get(LOCAL) == Some(&local.as_str())
            && columns.get(REMOTE) == Some(&remote.as_str());
        matches.then(|| columns.get(INODE).map(|&inode| inode.to_owned()))?
    })
}

fn proc_net_format(addr: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(v4.ip().octets());
    Some(format!("{ip:08X}:{:04X}", v4.port()))
}
