//! An endpoint of the model: slots, a queue, and objects that it knows.

use std::collections::VecDeque;

use filberthead_place::Load;

/// Requests that wait at an endpoint, as a multiple of its slots, before it refuses more.
const QUEUE: usize = 3;

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
pub(super) enum Taken {
    /// It runs or waits.
    Yes,
    /// It is refused.
    Refused,
    /// Nobody answers.
    Silent,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    slots: usize,
    remembers: usize,
    known_part: f64,
    pub(super) running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Objects, those handled last at the end.
    known: VecDeque<u64>,
    /// How much longer work takes.
    pub(super) slow: f64,
    /// Part of requests that are refused, room or not.
    pub(super) sheds: f64,
    pub(super) down: bool,
}

impl Endpoint {
    pub(super) fn new(slots: usize, remembers: usize, known_part: f64) -> Self {
        Self {
            slots,
            remembers,
            known_part,
            running: Vec::new(),
            waiting: VecDeque::new(),
            known: VecDeque::new(),
            slow: 1.0,
            sheds: 0.0,
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
    pub(super) fn take(&mut self, job: Job, draw: f64) -> Taken {
        if self.down {
            return Taken::Silent;
        }
        if draw < self.sheds || self.waiting.len() >= QUEUE * self.slots {
            return Taken::Refused;
        }
        self.waiting.push_back(job);
        Taken::Yes
    }

    /// Begins what has a slot, and returns each with the milliseconds that it takes.
    pub(super) fn begin(&mut self) -> Vec<(Job, f64)> {
        let mut begun = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let part = if self.learn(job.object) {
                self.known_part
            } else {
                1.0
            };
            self.running.push(job);
            begun.push((job, part * job.work_ms * self.slow));
        }
        begun
    }

    /// Whether the object was known; it is from now on.
    fn learn(&mut self, object: u64) -> bool {
        let held = self.known.iter().position(|known| *known == object);
        if let Some(place) = held {
            self.known.remove(place);
        }
        self.known.push_back(object);
        if self.known.len() > self.remembers {
            self.known.pop_front();
        }
        held.is_some()
    }

    /// Ends a request, whether it is over or its caller has left. Returns whether it was
    /// there.
    pub(super) fn end(&mut self, request: usize, attempt: u32) -> bool {
        let is = |job: &Job| job.request == request && job.attempt == attempt;
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| !is(job));
        self.waiting.retain(|job| !is(job));
        self.running.len() + self.waiting.len() < before
    }

    /// It starts anew and knows nothing; whatever it had is lost.
    pub(super) fn restart(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.known.clear();
    }
}
