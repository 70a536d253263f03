//! A simulated endpoint: slots, a queue, and a least-recently-used cache of objects.

use std::collections::VecDeque;

use filberthead_place::Load;

/// Length of an endpoint's queue as a multiple of its slots; further requests are refused.
const QUEUE_FACTOR: usize = 3;

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// Index of the request in the simulation.
    pub(super) request: usize,
    /// Number of the attempt within its request, from 1.
    pub(super) attempt: u32,
    pub(super) object: u64,
    /// Service time where the object isn't cached, in milliseconds.
    pub(super) work_ms: f64,
}

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Runs or queues it.
    Accepted,
    /// Refuses it: the queue is full, or the endpoint sheds.
    Refused,
    /// Doesn't answer, because it is down.
    NoAnswer,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    slots: usize,
    /// Objects that the cache holds.
    cache_capacity: usize,
    /// Factor on the service time where the object is cached.
    cached_work_factor: f64,
    pub(super) running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Cached objects, the most recently used one last.
    cached_objects: VecDeque<u64>,
    /// Factor on every service time.
    pub(super) work_factor: f64,
    /// Share of requests that are refused regardless of free slots.
    pub(super) shed_ratio: f64,
    pub(super) down: bool,
}

impl Endpoint {
    pub(super) fn new(slots: usize, cache_capacity: usize, cached_work_factor: f64) -> Self {
        Self {
            slots,
            cache_capacity,
            cached_work_factor,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached_objects: VecDeque::new(),
            work_factor: 1.0,
            shed_ratio: 0.0,
            down: false,
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slowdown: None,
        }
    }

    /// Queues or refuses a request. `draw` is a uniform sample from 0 to 1 that is compared
    /// with `shed_ratio`.
    pub(super) fn admit(&mut self, job: Job, draw: f64) -> Admission {
        if self.down {
            return Admission::NoAnswer;
        }
        if draw < self.shed_ratio || self.waiting.len() >= QUEUE_FACTOR * self.slots {
            return Admission::Refused;
        }
        self.waiting.push_back(job);
        Admission::Accepted
    }

    /// Starts waiting requests while slots are free, and returns each with its service time
    /// in milliseconds.
    pub(super) fn start_waiting(&mut self) -> Vec<(Job, f64)> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let cache_factor = if self.access(job.object) {
                self.cached_work_factor
            } else {
                1.0
            };
            self.running.push(job);
            started.push((job, cache_factor * job.work_ms * self.work_factor));
        }
        started
    }

    /// Marks the object as the most recently used one, and returns whether it was cached.
    fn access(&mut self, object: u64) -> bool {
        let position = self
            .cached_objects
            .iter()
            .position(|cached| *cached == object);
        if let Some(index) = position {
            self.cached_objects.remove(index);
        }
        self.cached_objects.push_back(object);
        if self.cached_objects.len() > self.cache_capacity {
            self.cached_objects.pop_front();
        }
        position.is_some()
    }

    /// Removes an attempt that has completed or timed out. Returns whether it was running
    /// or waiting.
    pub(super) fn remove(&mut self, request: usize, attempt: u32) -> bool {
        let matches = |job: &Job| job.request == request && job.attempt == attempt;
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| !matches(job));
        self.waiting.retain(|job| !matches(job));
        self.running.len() + self.waiting.len() < before
    }

    /// Restarts the endpoint: drops all requests and empties its cache.
    pub(super) fn restart(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cached_objects.clear();
    }
}
