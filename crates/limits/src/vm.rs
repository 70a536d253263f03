//! What the VM gives the process, and each port's part of it.

use rustix::process::{Resource, getrlimit};

use crate::clients::PortBounds;

/// Bytes of the VM's memory for each connection of callers: several times what its buffers take.
const MEMORY_PER_CONNECTION: usize = 160 * 1024;
/// Part of the memory that unfinished requests of one port may take.
const HELD_PART: usize = 12;
/// Least memory for unfinished messages of other processes: the longest of them.
const MIN_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Most connections for probes and metrics.
const MAX_PROBES: usize = 64;

/// Memory and descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// File descriptors.
    pub descriptors: usize,
}

impl VmLimits {
    /// With this memory in bytes, and with these descriptors, or fewer if the operating system allows fewer.
    pub fn new(memory: u64, descriptors: Option<u32>) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.map_or(usize::MAX, |allowed| allowed as usize);
        let configured = descriptors.map_or(usize::MAX, |number| number as usize);
        Self {
            memory: usize::try_from(memory).unwrap_or(usize::MAX),
            descriptors: allowed.min(configured),
        }
    }

    /// Bounds of the port for callers: three eighths of the descriptors, as each running request may take
    /// another one.
    pub fn callers(self) -> PortBounds {
        self.port(self.descriptors / 8 * 3)
    }

    /// Bounds of a port for requests of other processes or of operators.
    pub fn others(self) -> PortBounds {
        self.port(self.descriptors / 8)
    }

    /// Bounds of the port for messages of other processes, of which control has a connection each.
    pub fn peers(self) -> PortBounds {
        let bounds = self.port(self.descriptors / 4);
        PortBounds {
            held_bytes: bounds.held_bytes.max(MIN_MESSAGE_BYTES),
            ..bounds
        }
    }

    /// Bounds of a port for probes and metrics.
    pub fn probes(self) -> PortBounds {
        self.port((self.descriptors / 16).min(MAX_PROBES))
    }

    fn port(self, connections: usize) -> PortBounds {
        PortBounds {
            connections: connections.min(self.memory / MEMORY_PER_CONNECTION).max(1),
            held_bytes: self.memory / HELD_PART,
        }
    }
}
