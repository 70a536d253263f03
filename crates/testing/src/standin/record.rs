//! The record of requests that a stand-in received.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A stage of a request's processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Its headers were received.
    Received,
    /// It was executed.
    Executed,
    /// Its complete answer was passed to the connection.
    Answered,
    /// Its connection ended before the answer was complete.
    Cancelled,
    /// It was refused with 503 and not executed.
    Shed,
}

/// A request as the stand-in received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObservedRequest {
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its `Idempotency-Key`, or empty.
    pub key: String,
    /// Its `Filberthead-Request-Id`, or empty.
    pub request_id: String,
    /// Its `Filberthead-Deadline-Ms`, if it has a valid one.
    pub deadline_ms: Option<u64>,
}

/// A stage that a request reached.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// The stage.
    pub stage: Stage,
    /// The request.
    pub seen: ObservedRequest,
    /// When, by a clock that all stand-ins of this process share. Journals don't keep it.
    #[serde(skip)]
    pub at: Duration,
}

/// Where the clock of events begins.
static CLOCK_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Events of one or several stand-ins; those of each stand-in are in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The events.
    pub events: Vec<Event>,
    /// Highest number of requests that ran concurrently on one stand-in.
    pub peak_running: u32,
    /// Highest number of connections open concurrently on one stand-in.
    pub peak_connections: u32,
}

impl Record {
    /// Number of times that requests matching `predicate` reached a stage.
    pub fn count(&self, stage: Stage, predicate: impl Fn(&ObservedRequest) -> bool) -> usize {
        let reached = |event: &&Event| event.stage == stage && predicate(&event.seen);
        self.events.iter().filter(reached).count()
    }

    /// Number of executions of requests with an idempotency key.
    pub fn executions_of(&self, key: &str) -> usize {
        self.count(Stage::Executed, |request| request.key == key)
    }

    /// Number of executions by idempotency key; requests without a key don't count.
    pub fn executions_by_key(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for event in &self.events {
            if event.stage == Stage::Executed && !event.seen.key.is_empty() {
                *counts.entry(event.seen.key.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Most requests matching `predicate` that ran at the same moment, on all stand-ins together. These must
    /// be stand-ins of this process.
    pub fn most_at_once(&self, predicate: impl Fn(&ObservedRequest) -> bool) -> usize {
        let matching = self.events.iter().filter(|event| predicate(&event.seen));
        let mut changes: Vec<(Duration, i32)> = matching
            .filter_map(|event| match event.stage {
                Stage::Executed => Some((event.at, 1)),
                Stage::Answered | Stage::Cancelled => Some((event.at, -1)),
                Stage::Received | Stage::Shed => None,
            })
            .collect();
        changes.sort_unstable();
        let running = changes.iter().scan(0, |running, (_, change)| {
            *running += change;
            Some(*running)
        });
        usize::try_from(running.max().unwrap_or(0)).unwrap_or(0)
    }

    /// Adds the record of another stand-in.
    pub fn merge(&mut self, other: Self) {
        self.events.extend(other.events);
        self.peak_running = self.peak_running.max(other.peak_running);
        self.peak_connections = self.peak_connections.max(other.peak_connections);
    }
}

/// Collects the record while the stand-in runs.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    events: Mutex<Vec<Event>>,
    /// File to which events are also written, so that they outlive a killed process: each line is
    /// written to the operating system before the request is processed further.
    journal: Option<Mutex<File>>,
    pub(super) running: Gauge,
    pub(super) connections: Gauge,
}

impl Recorder {
    pub(super) fn with_journal(journal: Option<File>) -> Self {
        Self {
            journal: journal.map(Mutex::new),
            ..Self::default()
        }
    }

    pub(super) fn push(&self, stage: Stage, request: &ObservedRequest) {
        let event = Event {
            stage,
            seen: request.clone(),
            at: CLOCK_START.elapsed(),
        };
        if let Some(journal) = &self.journal {
            let mut line = serde_json::to_vec(&event).expect("an event is plain data");
            line.push(b'\n');
            let mut journal = journal.lock().unwrap_or_else(PoisonError::into_inner);
            journal
                .write_all(&line)
                .expect("the journal can be written");
        }
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(event);
    }

    pub(super) fn record(&self) -> Record {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        Record {
            events: events.clone(),
            peak_running: self.running.peak(),
            peak_connections: self.connections.peak(),
        }
    }
}

/// A counter that also keeps its highest value.
#[derive(Debug, Default)]
pub(super) struct Gauge {
    now: AtomicU32,
    peak: AtomicU32,
}

impl Gauge {
    pub(super) fn increment(&self) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(now, Ordering::SeqCst);
    }

    /// Increments it unless it has reached `bound`. Returns whether it did.
    pub(super) fn try_increment(&self, bound: u32) -> bool {
        let step = |now| (now < bound).then_some(now + 1);
        match self
            .now
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, step)
        {
            Ok(before) => {
                self.peak.fetch_max(before + 1, Ordering::SeqCst);
                true
            }
            Err(_) => false,
        }
    }

    pub(super) fn decrement(&self) {
        self.now.fetch_sub(1, Ordering::SeqCst);
    }

    pub(super) fn get(&self) -> u32 {
        self.now.load(Ordering::SeqCst)
    }

    fn peak(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Requests that follow one another at the same moment counted as running at once.
    #[test]
    fn requests_that_run_at_once_are_counted_over_all_standins() {
        let event = |stage, path: &str, at| Event {
            stage,
            seen: ObservedRequest {
                path: path.to_owned(),
                ..ObservedRequest::default()
            },
            at: Duration::from_millis(at),
        };
        let record = |events: &[Event]| Record {
            events: events.to_vec(),
            ..Record::default()
        };
        let mut both = record(&[
            event(Stage::Received, "/a", 0),
            event(Stage::Executed, "/a", 1),
            event(Stage::Answered, "/a", 4),
            event(Stage::Executed, "/a", 4),
        ]);
        both.merge(record(&[
            event(Stage::Executed, "/a", 2),
            event(Stage::Executed, "/b", 3),
            event(Stage::Cancelled, "/a", 5),
        ]));
        assert_eq!(both.most_at_once(|request| request.path == "/a"), 2);
        assert_eq!(both.most_at_once(|_| true), 3);
        assert_eq!(both.most_at_once(|request| request.path == "/c"), 0);
    }
}
