//! A stand-in for an endpoint: executes and records requests, and fails as its script says.

mod admin;
mod body;
mod download;
mod listen;
mod payload;
mod record;
mod script;
mod serve;
mod slot;
mod state;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

pub(crate) use body::AnswerBody;
pub use payload::Payload;
pub use record::{Event, ObservedRequest, Record, Stage};
pub use script::{Fault, Rule, Script, When, WhenFull};
pub(crate) use serve::OTHER_CODING;
use state::State;

/// A stand-in that runs as a task of this process; dropping it stops it.
///
/// - `GET /health` answers as the script says.
/// - `GET /download/NAME?bytes=N` answers with N bytes of [`Payload::of_download`], and supports
///   a validator and ranges.
/// - Any other request is executed, and answered with as many bytes of [`Payload::of_answer`] as
///   the query's `bytes` says, 64 by default.
#[derive(Debug)]
pub struct Standin {
    addr: SocketAddr,
    state: Arc<State>,
}

impl Standin {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(name: &str) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a loopback port can be bound");
        Self::serve(listener, State::new(name, None))
    }

    /// Starts a stand-in as the main job of this process: a crash aborts the process, and events
    /// are also appended to the file `journal`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the journal can't be opened.
    pub fn start_process(
        name: &str,
        addr: SocketAddr,
        journal: Option<&Path>,
    ) -> std::io::Result<Self> {
        let journal = journal.map(open_journal).transpose()?;
        let listener = std::net::TcpListener::bind(addr)?;
        let state = State::new(name, journal).ends_process_on_crash();
        Ok(Self::serve(listener, state))
    }

    fn serve(listener: std::net::TcpListener, state: State) -> Self {
        let addr = listener.local_addr().expect("a bound port is known");
        listener
            .set_nonblocking(true)
            .expect("a socket can be made non-blocking");
        let state = Arc::new(state);
        crate::runtime::handle().spawn(listen::accept(listener, Arc::clone(&state)));
        Self { addr, state }
    }

    /// Its listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes its script.
    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        self.state.script(change);
    }

    /// Adds a fault.
    pub fn rule(&self, rule: Rule) {
        self.script(|script| script.rules.push(rule));
    }

    /// All requests since it was first started; crashes don't clear the record.
    pub fn record(&self) -> Record {
        self.state.recorder.record()
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u32 {
        self.state.recorder.running.get()
    }

    /// Number of open connections.
    pub fn connections(&self) -> u32 {
        self.state.recorder.connections.get()
    }

    /// Resets all connections, and new ones too until [`restart`](Self::restart).
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Serves again after a crash, as a new incarnation.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Whether it has crashed and wasn't restarted.
    pub fn is_down(&self) -> bool {
        self.state.is_down()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.state.end();
    }
}

fn open_journal(path: &Path) -> std::io::Result<std::fs::File> {
    std::fs::File::options()
        .create(true)
        .append(true)
        .open(path)
}

/// Reads the journal of a stand-in process, which may be running or have ended. An incomplete
/// last line is ignored.
///
/// # Panics
///
/// Panics if the file can't be read or a complete line isn't valid.
pub fn read_journal(path: &Path) -> Record {
    let text = std::fs::read_to_string(path).expect("the journal can be read");
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let parse = |line| serde_json::from_str(line).expect("a complete line of the journal is valid");
    Record {
        events: whole.lines().map(parse).collect(),
        ..Record::default()
    }
}
