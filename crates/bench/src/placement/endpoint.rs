//! An endpoint of the model: slots, a queue, and objects that it knows.

use std::collections::VecDeque;

use filberthead_place::Load;

/// Requests that wait at an endpoint, as a multiple of its slots, before it refuses more.
const QUEUE_FACTOR: usize = 3;

/// Work at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// Which request, of those that have come.
    pub(super) request: usize,
    /// Which of its attempts.
    pub(super) attempt: u32,
    pub(super) object: u64,
    /// Milliseconds that it takes where the object is unknown.
    pub(super) work_ms: f64,
}

/// What an endpoint does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It runs or waits.
    Accepted,
    /// It is refused.
    Refused,
    /// Nobody answers.
    NoAnswer,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    slots: usize,
    cache_capacity: usize,
    cached_work_factor: f64,
    pub(super) running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Objects, those handled last at the end.
    cached_objects: VecDeque<u64>,
    /// How much longer work takes.
    pub(super) work_factor: f64,
    /// Part of requests that are refused, room or not.
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
        }
    }

    /// Takes a request in; `draw` is between 0 and 1.
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

    /// Begins what has a slot, and returns each with the milliseconds that it takes.
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

    /// Whether the object was known; it is from now on.
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

    /// Ends a request, whether it is over or its caller has left. Returns whether it was
    /// there.
    pub(super) fn remove(&mut self, request: usize, attempt: u32) -> bool {
        let matches = |job: &Job| job.request == request && job.attempt == attempt;
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| !matches(job));
        self.waiting.retain(|job| !matches(job));
        self.running.len() + self.waiting.len() < before
    }

    /// It starts anew and knows nothing; whatever it had is lost.
    pub(super) fn restart(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cached_objects.clear();
    }
}
