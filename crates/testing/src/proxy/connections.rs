//! The connections that proxies have opened to the processes behind them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A connection from a proxy to the process behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxiedConnection {
    /// The proxy's address of it.
    pub from: SocketAddr,
    /// The process's address of it.
    pub to: SocketAddr,
    /// Name of the process that connected to the proxy, if known.
    pub client: Option<Arc<str>>,
    /// When it was opened.
    pub opened: Instant,
}

/// All connections that a proxy has opened, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections(Arc<Mutex<Vec<ProxiedConnection>>>);

impl Connections {
    pub(super) fn record(&self, connection: ProxiedConnection) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(connection);
    }

    pub(super) fn all(&self) -> Vec<ProxiedConnection> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.clone()
    }
}
