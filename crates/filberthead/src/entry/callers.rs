//! The duty that accepts callers' connections and answers look-ups.

use std::sync::Arc;
use std::time::Duration;

use filberthead_caller::{LookupObserver, Server};
use filberthead_observe::EntryMetrics;
use filberthead_types::ResultCode;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Records each look-up in the entry's metrics.
#[derive(Debug)]
pub(crate) struct CountLookups(pub(crate) Arc<EntryMetrics>);

impl LookupObserver for CountLookups {
    fn looked_up(&self, code: ResultCode, took: Duration) {
        self.0.record_lookup(code, took);
    }
}

/// Starts the duty. `done` is set when the last connection has ended during a planned
/// stop. If `stop` triggers first, the remaining connections are cut.
pub(crate) fn spawn(
    server: Server,
    listener: std::net::TcpListener,
    done: watch::Sender<bool>,
    mut stop: Stop,
) -> Result<Duty, DutyError> {
    Duty::spawn("callers", move || async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!(error:% = e; "can't listen for callers");
                return;
            }
        };
        tokio::select! {
            () = server.run(listener) => done.send_replace(true),
            () = stop.wait() => return,
        };
        stop.wait().await;
    })
}
