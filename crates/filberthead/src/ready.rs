//! The line on standard output that announces that a process is serving.

use std::io::{self, Write};
use std::net::SocketAddr;

/// Writes `ready` and the listening addresses to standard output, so that a parent process that
/// configured port 0 learns the actual ports.
pub(crate) fn announce(addrs: &[(&str, SocketAddr)]) -> io::Result<()> {
    let mut line = String::from("ready");
    for (name, addr) in addrs {
        line.push_str(&format!(" {name}={addr}"));
    }
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}
