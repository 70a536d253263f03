//! What a stand-in saw.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// How far a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Its headers came in.
    Received,
    /// It was executed.
    Executed,
    /// Its whole answer was handed to the connection.
    Answered,
    /// Its connection ended before that.
    Cancelled,
    /// It was refused and not executed.
    Shed,
}

/// A request as the stand-in saw it.
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
    /// Its `Filberthead-Deadline-Ms`.
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
}

/// All that stand-ins saw, in the order of events at each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The events.
    pub events: Vec<Event>,
    /// Most requests that ran at the same time.
    pub peak_running: u32,
    /// Most connections open at the same time.
    pub peak_connections: u32,
}

impl Record {
    /// How many requests that fit reached a stage.
    pub fn count(&self, stage: Stage, predicate: impl Fn(&ObservedRequest) -> bool) -> usize {
        let reached = |event: &&Event| event.stage == stage && predicate(&event.seen);
        self.events.iter().filter(reached).count()
    }

    /// How often requests with an idempotency key were executed.
    pub fn executions_of(&self, key: &str) -> usize {
        self.count(Stage::Executed, |seen| seen.key == key)
    }

    /// Executions by idempotency key, of requests that have one.
    pub fn executions_by_key(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for event in &self.events {
            if event.stage == Stage::Executed && !event.seen.key.is_empty() {
                *counts.entry(event.seen.key.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Adds what another stand-in saw.
    pub fn merge(&mut self, other: Self) {
        self.events.extend(other.events);
        self.peak_running = self.peak_running.max(other.peak_running);
        self.peak_connections = self.peak_connections.max(other.peak_connections);
    }
}

/// Keeps the record while the stand-in runs.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    events: Mutex<Vec<Event>>,
    /// Where events also go, so that they outlive a process that is killed: a line is in
    /// the system's hands before the request gets any further.
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

    pub(super) fn push(&self, stage: Stage, seen: &ObservedRequest) {
        let event = Event {
            stage,
            seen: seen.clone(),
        };
        if let Some(journal) = &self.journal {
            let mut line = serde_json::to_vec(&event).expect("an event is plain data");
            line.push(b'\n');
            let mut journal = journal.lock().unwrap_or_else(PoisonError::into_inner);
            journal.write_all(&line).expect("the journal takes a line");
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

/// A number that goes up and down, and its highest value.
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

    /// Goes up unless that would go over a bound.
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
