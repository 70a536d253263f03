//! Processor time of threads, from `/proc`.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

/// A thread of this or another process.
#[derive(Clone, Debug)]
pub(crate) struct Thread {
    /// Its folder in `/proc`.
    folder: PathBuf,
}

impl Thread {
    /// The calling thread.
    pub(crate) fn current() -> Self {
        let folder = fs::read_link("/proc/thread-self").expect("/proc/thread-self can be read");
        Self {
            folder: PathBuf::from("/proc").join(folder),
        }
    }

    /// The thread with this name in another process.
    pub(crate) fn of_process(id: u32, name: &str) -> Self {
        let threads = fs::read_dir(format!("/proc/{id}/task")).expect("a running process");
        let is_named = |folder: &PathBuf| {
            let comm = fs::read_to_string(folder.join("comm")).unwrap_or_default();
            comm.trim() == name
        };
        let folder = threads
            .filter_map(|entry| Some(entry.ok()?.path()))
            .find(is_named)
            .expect("a thread of that name");
        Self { folder }
    }

    /// Processor time that the thread has used; 0 if it has ended.
    pub(crate) fn processor_time(&self) -> Duration {
        let text = fs::read_to_string(self.folder.join("schedstat")).unwrap_or_default();
        let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
        Duration::from_nanos(nanos.unwrap_or(0))
    }
}
