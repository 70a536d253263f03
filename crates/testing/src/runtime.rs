//! The Tokio runtime that runs the harness's proxies, stand-ins and clients.
//!
//! Tests are synchronous functions on their own threads, so a test may block on a condition
//! without stopping any of the harness's tasks.

use std::future::Future;
use std::sync::LazyLock;
use std::sync::mpsc;

use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::JoinHandle;

const WORKERS: usize = 4;

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .thread_name("testing")
        .enable_all()
        .build()
        .expect("the harness needs a runtime")
});

/// Handle of the harness's runtime.
pub fn handle() -> &'static Handle {
    RUNTIME.handle()
}

/// Runs a future on the harness's runtime and blocks this thread until it ends.
///
/// Unlike `Handle::block_on` it may be called from within another runtime, so the blocking
/// client works in synchronous and asynchronous tests.
pub fn wait<T: Send + 'static>(fut: impl Future<Output = T> + Send + 'static) -> T {
    let (tx, rx) = mpsc::sync_channel(1);
    handle().spawn(async move {
        // The receiver below isn't dropped before this is sent.
        let _ = tx.send(fut.await);
    });
    rx.recv().expect("a task of the harness panicked")
}

/// Blocks this thread until all tasks have ended.
///
/// # Panics
///
/// Panics if one of them has panicked.
pub fn join(tasks: Vec<JoinHandle<()>>) {
    wait(async move {
        for task in tasks {
            task.await.expect("no task of the harness panics");
        }
    });
}
