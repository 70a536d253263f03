//! The requests of a gateway that wait, for all services.

use std::time::Duration;

use filberthead_types::Moment;

use super::queue::Queue;
use super::{Site, SiteEndpoint, Waiter, Window};
use crate::{Load, rank};

/// Shortest and longest time after which a rejected caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Width of the range in which retry times are spread, relative to the time itself.
const SPREAD: f64 = 0.75;
/// Sites that are told apart: the services of a deployment in each of its regions. Requests for further ones
/// don't wait.
const MAX_SITES: usize = 256;

/// Bounds of a waiting room.
#[derive(Clone, Copy, Debug)]
pub struct RoomLimits {
    /// Requests that wait, of all sites.
    pub requests: usize,
    /// Memory that they occupy, in bytes.
    pub bytes: usize,
}

impl Default for RoomLimits {
    fn default() -> Self {
        // A gateway at 110 requests per second has 330 waiting if all wait for the longest route timeout of 3 s.
        Self {
            requests: 512,
            bytes: 8 * 1024 * 1024,
        }
    }
}

/// A request in the waiting room, or one that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    number: u64,
    /// Index of its queue; `None` if it isn't counted.
    queue: Option<usize>,
}

/// What becomes of a request that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It is started. Its end has to be reported.
    Start(Ticket),
    /// It waits, until its ticket is returned as started or rejected, or is withdrawn.
    Wait(Ticket),
    /// It is rejected: the time after which there may be room for it.
    Reject(Duration),
}

/// A window that is limited now, or no more.
#[derive(Clone, Debug)]
pub struct WindowChange {
    /// Where it applies.
    pub site: Site,
    /// The new limit.
    pub limit: Option<f64>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait.
    pub waiting: usize,
}

/// Windows, and the requests that wait for them.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    limits: RoomLimits,
    queues: Vec<Queue>,
    next_number: u64,
    waiting: usize,
    bytes: usize,
    /// Requests that were rejected after they had waited, until the caller is told.
    rejected: Vec<(Ticket, Duration)>,
}

impl WaitingRoom {
    /// An empty room with these bounds. `seed` makes the retry times of gateways differ.
    pub fn new(limits: RoomLimits, seed: u64) -> Self {
        Self {
            limits,
            next_number: seed,
            ..Self::default()
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The window of a site; `None` if it has had no requests.
    pub fn window(&self, site: &Site) -> Option<&Window> {
        let queue = self.queues.iter().find(|queue| queue.site == *site);
        queue.map(|queue| &queue.window)
    }

    /// Whether the window is limited that a request waits for or was started in.
    pub fn is_limited(&self, ticket: Ticket) -> bool {
        let queue = ticket.queue.map(|index| &self.queues[index]);
        queue.is_some_and(|queue| queue.window.limit().is_some())
    }

    /// The limited windows.
    pub fn limited(&self) -> impl Iterator<Item = (&Site, f64)> {
        let queues = self.queues.iter();
        queues.filter_map(|queue| Some((&queue.site, queue.window.limit()?)))
    }

    /// Asks for a place for a request.
    pub fn enqueue(&mut self, now: Moment, waiter: Waiter) -> Enqueued {
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        let Some(index) = self.queue_index(&waiter.site) else {
            return Enqueued::Start(Ticket {
                number,
                queue: None,
            });
        };
        let ticket = Ticket {
            number,
            queue: Some(index),
        };
        let queue = &mut self.queues[index];
        queue.refresh(now);
        queue.record_arrival(now, &waiter);
        if queue.waiting.is_empty() && queue.has_room() {
            queue.start(now, number, &waiter);
            return Enqueued::Start(ticket);
        }
        queue.window.record_exceeded(now);
        let rank = queue.rank_of(now, &waiter, number);
        let expected_wait = queue.expected_wait(now, &waiter, rank);
        let is_full =
            self.waiting >= self.limits.requests || self.bytes + waiter.bytes > self.limits.bytes;
        if now + expected_wait > waiter.latest_start() {
            return Enqueued::Reject(self.retry_after(number, expected_wait));
        }
        if is_full && !self.make_way(now, index, &waiter, number) {
            return Enqueued::Reject(self.retry_after(number, expected_wait));
        }
        self.waiting += 1;
        self.bytes += waiter.bytes;
        self.queues[index].push(now, number, waiter);
        Enqueued::Wait(ticket)
    }

    fn queue_index(&mut self, site: &Site) -> Option<usize> {
        if let Some(index) = self.queues.iter().position(|queue| queue.site == *site) {
            return Some(index);
        }
        if self.queues.len() >= MAX_SITES {
            return None;
        }
        self.queues.push(Queue::new(site.clone()));
        Some(self.queues.len() - 1)
    }

    /// Rejects the last request of the queue in favour of this one, if that goes before it.
    fn make_way(&mut self, now: Moment, index: usize, waiter: &Waiter, number: u64) -> bool {
        let queue = &mut self.queues[index];
        let rank = queue.rank_of(now, waiter, number);
        let Some((position, last)) = queue.last(now) else {
            return false;
        };
        let freed = queue.waiting[position].waiter.bytes;
        if last < rank || self.bytes - freed + waiter.bytes > self.limits.bytes {
            return false;
        }
        let removed = queue.remove_at(position);
        let expected_wait = queue.expected_wait(now, &removed.waiter, last);
        self.forget(&removed.waiter);
        self.reject(index, removed.number, expected_wait);
        true
    }

    fn forget(&mut self, waiter: &Waiter) {
        self.waiting -= 1;
        self.bytes -= waiter.bytes;
    }

    /// Time after which there is likely to be capacity, spread so that callers don't return together.
    fn retry_after(&self, number: u64, expected_wait: Duration) -> Duration {
        let (min, max) = RETRY_AFTER_RANGE;
        let position = rank::unit_position(rank::spread_sequence(number));
        let after = expected_wait.clamp(min, max);
        after.mul_f64(1.0 - SPREAD / 2.0 + SPREAD * position)
    }

    /// Starts requests that wait, as far as windows have room. Each has to be reported when it ends.
    pub fn on_slot_free(&mut self, now: Moment) -> Vec<Ticket> {
        let mut started = Vec::new();
        if self.waiting == 0 {
            return started;
        }
        for index in 0..self.queues.len() {
            if self.queues[index].waiting.is_empty() {
                continue;
            }
            // After a suspension, deadlines may have passed that nobody has looked at.
            self.remove_hopeless(now, index);
            self.queues[index].refresh(now);
            while let Some(next) = self.queues[index].start_next(now) {
                self.forget(&next.waiter);
                started.push(Ticket {
                    number: next.number,
                    queue: Some(index),
                });
            }
        }
        started
    }

    /// Rejects requests that can't meet their deadline any more, or aren't expected to, and those that gave way to
    /// others. Returns them with the time after which there may be room for them.
    pub fn on_deadline(&mut self, now: Moment) -> Vec<(Ticket, Duration)> {
        if self.waiting > 0 {
            for index in 0..self.queues.len() {
                self.remove_hopeless(now, index);
            }
        }
        std::mem::take(&mut self.rejected)
    }

    /// Rejects the requests of a queue that won't be answered.
    fn remove_hopeless(&mut self, now: Moment, index: usize) {
        while let Some((removed, expected_wait)) = self.queues[index].remove_hopeless(now) {
            self.forget(&removed.waiter);
            self.reject(index, removed.number, expected_wait);
        }
    }

    fn reject(&mut self, index: usize, number: u64, expected_wait: Duration) {
        let ticket = Ticket {
            number,
            queue: Some(index),
        };
        let retry_after = self.retry_after(number, expected_wait);
        self.rejected.push((ticket, retry_after));
    }

    /// Removes a request whose caller has left: one that waits, or one that was started.
    pub fn withdraw(&mut self, now: Moment, ticket: Ticket) {
        let Some(index) = ticket.queue else {
            return;
        };
        if let Some(removed) = self.queues[index].remove(ticket.number) {
            self.forget(&removed.waiter);
        } else {
            self.queues[index].end(now, ticket.number);
        }
    }

    /// Ends a request that was started.
    pub fn end(&mut self, now: Moment, ticket: Ticket) {
        if let Some(index) = ticket.queue {
            self.queues[index].end(now, ticket.number);
        }
    }

    /// Counts a started request for another site than it was started for.
    pub fn move_to(&mut self, ticket: Ticket, site: &Site) -> Ticket {
        let Some(from) = ticket.queue else {
            return ticket;
        };
        if self.queues[from].site == *site {
            return ticket;
        }
        let Some(to) = self.queue_index(site) else {
            return ticket;
        };
        match self.queues[from].take_started(ticket.number) {
            Some(started) => {
                self.queues[to].put_started(ticket.number, started);
                Ticket {
                    queue: Some(to),
                    ..ticket
                }
            }
            None => ticket,
        }
    }

    /// Records the load that an endpoint has reported. `took` is how long the request took that it came with, if
    /// that ran.
    pub fn record_report(
        &mut self,
        now: Moment,
        from: &SiteEndpoint,
        load: Load,
        took: Option<Duration>,
    ) {
        let mut queues = self.queues.iter_mut();
        if let Some(queue) = queues.find(|queue| queue.site == from.site) {
            queue.window.record_report(now, from, load, took);
        }
    }

    /// Windows that have become limited or unlimited since the last call.
    pub fn take_changes(&mut self, now: Moment) -> Vec<WindowChange> {
        let mut changes = Vec::new();
        for queue in &mut self.queues {
            queue.refresh(now);
            let limit = queue.window.limit();
            if limit.is_some() != queue.was_limited {
                queue.was_limited = limit.is_some();
                changes.push(WindowChange {
                    site: queue.site.clone(),
                    limit,
                    in_flight: queue.window.in_flight(),
                    waiting: queue.waiting.len(),
                });
            }
        }
        changes
    }
}
