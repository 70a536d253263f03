//! Simulated endpoints that run, queue and shed requests and answer probes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::{EndpointInfo, Reading};
use filberthead_types::{Incarnation, Moment};

/// Requests that an endpoint queues when its slots are filled; further ones are shed.
const BACKLOG: usize = 12;
/// Factor on the service time at an endpoint with an empty cache.
const COLD_FACTOR: f64 = 3.0;
/// Share of the missing warmth that each request adds.
const WARMING_RATE: f64 = 0.02;

/// How an endpoint answers probes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReadingMode {
    /// Reports its actual load.
    #[default]
    Accurate,
    /// Probes fail.
    Missing,
    /// Reports its load of this long ago.
    Delayed(Duration),
    /// Always reports this load.
    Frozen(f64),
    /// Always reports load 0.
    AlwaysIdle,
}

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Runs it at once.
    Started,
    /// Queues it, because all slots are filled.
    Queued,
    /// Refuses it.
    Shed,
    /// Is down; the connection attempt times out.
    Unreachable,
}

/// A simulated endpoint. Requests are indices in the simulation.
#[derive(Debug)]
pub(crate) struct SimulatedEndpoint {
    /// Description that policies receive.
    pub(crate) info: Arc<EndpointInfo>,
    /// Index of its service.
    pub(crate) service: usize,
    /// Index of its failure domain.
    pub(crate) domain: usize,
    /// Requests that hold a slot.
    pub(crate) running: Vec<usize>,
    /// Requests that wait for a slot.
    pub(crate) backlog: VecDeque<usize>,
    /// Whether it answers at all.
    pub(crate) up: bool,
    /// Whether it reports that it is leaving.
    pub(crate) leaving: bool,
    /// Whether it refuses everything.
    pub(crate) shedding: bool,
    /// Factor on every service time.
    pub(crate) slowness: f64,
    /// Cache warmth, from 0 (empty) to 1.
    pub(crate) warmth: f64,
    /// How it answers probes.
    pub(crate) readings: ReadingMode,
    /// Number of its starts.
    pub(crate) incarnation: u64,
    /// Load at the latest ticks, for [`ReadingMode::Delayed`].
    load_history: VecDeque<(Moment, f64)>,
}

impl SimulatedEndpoint {
    /// A warm, idle endpoint.
    pub(crate) fn new(info: EndpointInfo, service: usize, domain: usize) -> Self {
        Self {
            info: Arc::new(info),
            service,
            domain,
            running: Vec::new(),
            backlog: VecDeque::new(),
            up: true,
            leaving: false,
            shedding: false,
            slowness: 1.0,
            warmth: 1.0,
            readings: ReadingMode::Accurate,
            incarnation: 1,
            load_history: VecDeque::new(),
        }
    }

    /// Number of requests that run or wait.
    pub(crate) fn in_progress(&self) -> u32 {
        (self.running.len() + self.backlog.len()) as u32
    }

    /// Runs, queues or refuses a request.
    pub(crate) fn arrive(&mut self, req: usize) -> Arrival {
        if !self.up {
            Arrival::Unreachable
        } else if self.shedding {
            Arrival::Shed
        } else if self.running.len() < self.info.slots as usize {
            self.running.push(req);
            Arrival::Started
        } else if self.backlog.len() < BACKLOG {
            self.backlog.push_back(req);
            Arrival::Queued
        } else {
            Arrival::Shed
        }
    }

    /// Service time here of a request that takes `warm_time` at a warm endpoint; also warms
    /// the cache.
    pub(crate) fn service_time(&mut self, warm_time: Duration) -> Duration {
        let cold = 1.0 + (COLD_FACTOR - 1.0) * (1.0 - self.warmth);
        self.warmth += (1.0 - self.warmth) * WARMING_RATE;
        warm_time.mul_f64(cold * self.slowness)
    }

    /// Removes a request that is completed or cancelled, and returns the queued one that
    /// gets its slot.
    pub(crate) fn remove(&mut self, req: usize) -> Option<usize> {
        self.backlog.retain(|waiting| *waiting != req);
        let index = self.running.iter().position(|running| *running == req)?;
        self.running.swap_remove(index);
        let next = self.backlog.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Stops at once; its requests are lost.
    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
        self.backlog.clear();
    }

    /// Restarts with an empty cache.
    pub(crate) fn restart(&mut self) {
        self.up = true;
        self.leaving = false;
        self.warmth = 0.0;
        self.incarnation += 1;
    }

    /// Records its load for delayed readings.
    pub(crate) fn record_load(&mut self, now: Moment) {
        self.load_history.push_back((now, self.load()));
        if self.load_history.len() > 100 {
            self.load_history.pop_front();
        }
    }

    fn load(&self) -> f64 {
        self.running.len() as f64 / f64::from(self.info.slots)
    }

    /// The answer to a probe; `None` if the probe fails.
    pub(crate) fn probe(&self, now: Moment) -> Option<Reading> {
        if !self.up {
            return None;
        }
        let load = match self.readings {
            ReadingMode::Accurate => self.load(),
            ReadingMode::Missing => return None,
            ReadingMode::Delayed(by) => self.load_at(now.saturating_sub(by)),
            ReadingMode::Frozen(load) => load,
            ReadingMode::AlwaysIdle => 0.0,
        };
        Some(Reading {
            asked: now,
            ready: true,
            leaving: self.leaving,
            load,
            incarnation: Incarnation(self.incarnation),
        })
    }

    fn load_at(&self, then: Moment) -> f64 {
        let before = self.load_history.iter().rev().find(|(at, _)| *at <= then);
        before.map_or(0.0, |(_, load)| *load)
    }
}
