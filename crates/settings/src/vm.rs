//! What the VM gives a process.

/// Memory and descriptors of the process, from `[vm]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmSettings {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// File descriptors; `None` for as many as the operating system allows.
    pub descriptors: Option<u32>,
}
