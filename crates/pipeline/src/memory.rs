//! Bound on the memory of all connections of a gateway that are read ahead.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for what is read ahead on all connections together.
#[derive(Debug)]
pub struct Memory {
    used: Cell<usize>,
    limit: usize,
}

impl Memory {
    /// Nothing is used yet.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            used: Cell::new(0),
            limit,
        })
    }

    /// Whether no more may be read ahead.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// Bytes that are in use until dropped.
#[derive(Debug)]
pub struct MemoryShare {
    memory: Rc<Memory>,
    bytes: usize,
}

impl MemoryShare {
    /// Takes this many bytes, even beyond the limit: what was read has to be kept.
    pub fn new(memory: &Rc<Memory>, bytes: usize) -> Self {
        let mut share = Self {
            memory: Rc::clone(memory),
            bytes: 0,
        };
        share.set(bytes);
        share
    }

    /// Sets how many bytes are in use.
    pub(crate) fn set(&mut self, bytes: usize) {
        let used = &self.memory.used;
        used.set(used.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    pub(crate) fn memory(&self) -> &Rc<Memory> {
        &self.memory
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
