//! What an endpoint that runs as a process of its own records, readable while it is suspended and
//! after it was killed.
//!
//! A line is `started NANOS`, `arrived NANOS ID`, `from NANOS ID FROM TO` for the addresses of the connection
//! that a request arrived on, `named NANOS ID LIMIT` for an answer with the rate that it
//! names, `ended NANOS ID COMPLETE` for a run that is over, `rest NANOS ID SECONDS` for one that asks for rest, `leaving NANOS ID` for one that says that the
//! endpoint is leaving, `misdirected NANOS ID` for one to a request for another endpoint, or `ran NANOS ID WORKSPACE KEY METHOD PATH`: the time on the
//! machine's monotonic clock, `-` for no workspace, and whether the request had a key.

use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use http::HeaderMap;
use rustix::time::{ClockId, clock_gettime};

use super::endpoint::{Arrival, Run};

/// Converts between [`Instant`] and the monotonic clock that all processes of a machine share.
#[derive(Clone, Copy, Debug)]
pub struct JournalClock {
    instant: Instant,
    since_boot: Duration,
}

/// The journal of one start of an endpoint.
#[derive(Debug)]
pub struct Journal {
    file: File,
    clock: JournalClock,
}

/// The rate that an endpoint named in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// The request's id.
    pub id: String,
    /// When the answer was made.
    pub at: Instant,
    /// Requests per second; `None` for an answer that names none.
    pub per_s: Option<f64>,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// The request's id.
    pub id: String,
    /// When it ended.
    pub at: Instant,
    /// Whether it ended with an answer; if not, its connection was closed.
    pub is_complete: bool,
}

/// The connection that a request arrived on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The request's id.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
    /// Address of the other side.
    pub from: SocketAddr,
    /// Address of the endpoint.
    pub to: SocketAddr,
}

/// An answer that asks for rest.
#[derive(Clone, Debug, PartialEq)]
pub struct AskedRest {
    /// The request's id.
    pub id: String,
    /// When the answer was made.
    pub at: Instant,
    /// The time that it asks for, in seconds.
    pub seconds: f64,
}

/// An answer that says that the endpoint is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SaidLeaving {
    /// The request's id.
    pub id: String,
    /// When the answer was made.
    pub at: Instant,
}

/// What a journal contains.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// When the endpoint started.
    pub started: Option<Instant>,
    /// The requests that arrived, in order.
    pub arrivals: Vec<Arrival>,
    /// The connections that they arrived on, in order.
    pub origins: Vec<Origin>,
    /// The answers, in order, each with the rate that it names.
    pub named: Vec<NamedLimit>,
    /// The answers that ask for rest, in order.
    pub rests: Vec<AskedRest>,
    /// The answers that say that the endpoint is leaving, in order.
    pub leaving: Vec<SaidLeaving>,
    /// Those of the arrivals, in order, that were for another endpoint.
    pub misdirected: Vec<Arrival>,
    /// The requests that ran, in order, each with its workspace's name and whether it had a key.
    pub runs: Vec<(Run, Option<String>, bool)>,
    /// The ends of runs, in order.
    pub ends: Vec<RunEnd>,
}

impl JournalClock {
    /// Reads both clocks.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Monotonic);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Self {
            instant: Instant::now(),
            since_boot: Duration::new(now.tv_sec.unsigned_abs(), nanos),
        }
    }

    fn nanos(&self, at: Instant) -> u128 {
        (self.since_boot + at.saturating_duration_since(self.instant)).as_nanos()
    }

    fn instant(&self, nanos: u64) -> Instant {
        let at = Duration::from_nanos(nanos);
        match at.checked_sub(self.since_boot) {
            Some(later) => self.instant + later,
            None => self
                .instant
                .checked_sub(self.since_boot - at)
                .unwrap_or(self.instant),
        }
    }
}

impl Journal {
    /// Begins a journal.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let mut journal = Self {
            file: File::create(path)?,
            clock: JournalClock::now(),
        };
        let at = journal.clock.nanos(Instant::now());
        journal.write(&format!("started {at}\n"));
        Ok(journal)
    }

    /// Reads a journal; lines that aren't complete are left out.
    pub fn read(path: &Path, clock: &JournalClock) -> Records {
        let bytes = std::fs::read(path).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let mut records = Records::default();
        for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["started", at] => {
                    records.started = Some(clock.instant(at.parse().unwrap_or(0)));
                }
                ["arrived", at, id] => records.arrivals.push(Arrival {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                }),
                ["named", at, id, per_s] => records.named.push(NamedLimit {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                    per_s: per_s.parse().ok(),
                }),
                ["ended", at, id, complete] => records.ends.push(RunEnd {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                    is_complete: complete == "true",
                }),
                ["rest", at, id, seconds] => records.rests.push(AskedRest {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                    seconds: seconds.parse().unwrap_or(0.0),
                }),
                ["leaving", at, id] => records.leaving.push(SaidLeaving {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                }),
                ["from", at, id, from, to] => {
                    if let (Ok(from), Ok(to)) = (from.parse(), to.parse()) {
                        records.origins.push(Origin {
                            id: id.to_owned(),
                            at: clock.instant(at.parse().unwrap_or(0)),
                            from,
                            to,
                        });
                    }
                }
                ["misdirected", at, id] => records.misdirected.push(Arrival {
                    id: id.to_owned(),
                    at: clock.instant(at.parse().unwrap_or(0)),
                }),
                ["ran", at, id, workspace, key, method, path] => {
                    let run = Run {
                        id: id.to_owned(),
                        request_line: format!("{method} {path}"),
                        headers: HeaderMap::new(),
                        at: clock.instant(at.parse().unwrap_or(0)),
                    };
                    let workspace = (workspace != "-").then(|| workspace.to_owned());
                    records.runs.push((run, workspace, key == "true"));
                }
                _ => {}
            }
        }
        records
    }

    pub(super) fn record_arrival(&mut self, arrival: &Arrival) {
        let at = self.clock.nanos(arrival.at);
        self.write(&format!("arrived {at} {}\n", arrival.id));
    }

    pub(super) fn record_run(&mut self, run: &Run) {
        let at = self.clock.nanos(run.at);
        let workspace = run.headers.get("x-tenant").and_then(|v| v.to_str().ok());
        let key = run.headers.contains_key("api-key");
        let workspace = workspace.unwrap_or("-");
        let line = &run.request_line;
        self.write(&format!("ran {at} {} {workspace} {key} {line}\n", run.id));
    }

    pub(super) fn record_end(&mut self, id: &str, is_complete: bool) {
        let at = self.clock.nanos(Instant::now());
        self.write(&format!("ended {at} {id} {is_complete}\n"));
    }

    pub(super) fn record_named(&mut self, id: &str, per_s: Option<f64>) {
        let at = self.clock.nanos(Instant::now());
        let per_s = per_s.map_or_else(|| "-".to_owned(), |per_s| per_s.to_string());
        self.write(&format!("named {at} {id} {per_s}\n"));
    }

    pub(super) fn record_rest(&mut self, id: &str, seconds: f64) {
        let at = self.clock.nanos(Instant::now());
        self.write(&format!("rest {at} {id} {seconds}\n"));
    }

    pub(super) fn record_leaving(&mut self, id: &str) {
        let at = self.clock.nanos(Instant::now());
        self.write(&format!("leaving {at} {id}\n"));
    }

    pub(super) fn record_origin(&mut self, arrival: &Arrival, from: SocketAddr, to: SocketAddr) {
        let at = self.clock.nanos(arrival.at);
        self.write(&format!("from {at} {} {from} {to}\n", arrival.id));
    }

    pub(super) fn record_misdirected(&mut self, id: &str) {
        let at = self.clock.nanos(Instant::now());
        self.write(&format!("misdirected {at} {id}\n"));
    }

    fn write(&mut self, line: &str) {
        let written = self.file.write_all(line.as_bytes());
        written.expect("the journal can be written");
    }
}
