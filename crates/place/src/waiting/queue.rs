//! The window of a site, and the requests that wait for it.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::Moment;

use super::meter::RateMeter;
use super::order::Rank;
use super::shares::{ShareIndex, Shares};
use super::{Site, Waiter, Window};

/// One of this many starts goes to the request that has waited longest for an uncached object, if it has
/// waited for as long as its objective. Otherwise an object that is cached nowhere would stay so.
const UNCACHED_TURN: u32 = 8;
/// Part of the starts that a request may count on which yields to all that are expected to arrive.
const MIN_LEFT: f64 = 0.02;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) number: u64,
    pub(crate) waiter: Waiter,
    share: ShareIndex,
    /// Whether it was looked at since it can't meet its objective any more.
    is_reviewed: bool,
}

/// A request that was started, and its expected work.
#[derive(Clone, Copy, Debug)]
struct Started {
    at: Moment,
    work: Duration,
    objective: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Queue {
    pub(crate) site: Site,
    pub(crate) window: Window,
    pub(crate) waiting: Vec<Waiting>,
    started: HashMap<u64, Started>,
    shares: Shares,
    /// Arrivals of requests that can be in time, by priority.
    arrivals: Vec<(u8, RateMeter)>,
    starts: u32,
    /// Whether the window was limited when that was last looked at.
    pub(crate) was_limited: bool,
}

impl Queue {
    pub(crate) fn new(site: Site) -> Self {
        Self {
            site,
            window: Window::default(),
            waiting: Vec::new(),
            started: HashMap::new(),
            shares: Shares::default(),
            arrivals: Vec::new(),
            starts: 0,
            was_limited: false,
        }
    }

    pub(crate) fn refresh(&mut self, now: Moment) {
        self.window.refresh(now);
        self.shares.refresh(now);
    }

    /// Counts the arrival of a request.
    pub(crate) fn record_arrival(&mut self, now: Moment, waiter: &Waiter) {
        if !waiter.can_be_in_time(now) {
            return;
        }
        let priority = waiter.priority;
        let known = self.arrivals.iter_mut().find(|(p, _)| *p == priority);
        match known {
            Some((_, meter)) => meter.record(now),
            None => {
                let mut meter = RateMeter::default();
                meter.record(now);
                self.arrivals.push((priority, meter));
            }
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.window.has_room()
    }

    /// Starts a request that doesn't wait.
    pub(crate) fn start(&mut self, now: Moment, number: u64, waiter: &Waiter) {
        let share = self.shares.index(waiter.workspace.as_ref());
        self.record_started(now, number, share, waiter.work, waiter.objective);
    }

    fn record_started(
        &mut self,
        now: Moment,
        number: u64,
        share: ShareIndex,
        work: Duration,
        objective: Duration,
    ) {
        self.window.start(objective);
        self.shares.record_served(share, work);
        let at = now;
        let started = Started {
            at,
            work,
            objective,
        };
        self.started.insert(number, started);
        self.starts = self.starts.wrapping_add(1);
    }

    pub(crate) fn push(&mut self, now: Moment, number: u64, waiter: Waiter) {
        let share = self.shares.index(waiter.workspace.as_ref());
        self.shares.record_waiting(share);
        self.window.record_exceeded(now);
        self.waiting.push(Waiting {
            number,
            waiter,
            share,
            is_reviewed: false,
        });
    }

    /// Removes a request that waits.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Waiting> {
        let position = self.waiting.iter().position(|w| w.number == number)?;
        Some(self.remove_at(position))
    }

    pub(crate) fn remove_at(&mut self, position: usize) -> Waiting {
        let removed = self.waiting.swap_remove(position);
        self.shares.record_left(removed.share);
        removed
    }

    /// Removes a request that won't be answered: one that can't meet its deadline any more, or that can't meet
    /// its objective and isn't expected to have its turn. Returns it with the time until that.
    pub(crate) fn remove_hopeless(&mut self, now: Moment) -> Option<(Waiting, Duration)> {
        let mut index = 0;
        while let Some(waiting) = self.waiting.get(index) {
            let is_due = now >= waiting.waiter.latest_start();
            let is_to_review = !waiting.is_reviewed && !waiting.waiter.can_be_in_time(now);
            if is_due || is_to_review {
                let rank = self.rank(now, waiting, self.shares.mean());
                let wait = self.expected_wait(now, &waiting.waiter, rank);
                if is_due || now + wait > waiting.waiter.latest_start() {
                    return Some((self.remove_at(index), wait));
                }
                self.waiting[index].is_reviewed = true;
            }
            index += 1;
        }
        None
    }

    /// Starts the next request that waits, if the window has room for one.
    pub(crate) fn start_next(&mut self, now: Moment) -> Option<Waiting> {
        if self.waiting.is_empty() || !self.has_room() {
            return None;
        }
        let position = self.next(now)?;
        let next = self.remove_at(position);
        if !self.waiting.is_empty() {
            self.window.record_exceeded(now);
        }
        let (work, objective) = (next.waiter.work, next.waiter.objective);
        self.record_started(now, next.number, next.share, work, objective);
        Some(next)
    }

    fn next(&self, now: Moment) -> Option<usize> {
        if self.starts.is_multiple_of(UNCACHED_TURN)
            && let Some(position) = self.longest_uncached(now)
        {
            return Some(position);
        }
        let mean = self.shares.mean();
        let ranked = self.waiting.iter().enumerate();
        let next = ranked.min_by_key(|(_, waiting)| self.rank(now, waiting, mean));
        next.map(|(position, _)| position)
    }

    /// Of the most urgent requests that wait, the one that has waited longest for an uncached object.
    fn longest_uncached(&self, now: Moment) -> Option<usize> {
        let priority = self.waiting.iter().map(|w| w.waiter.priority).min()?;
        let candidates = self.waiting.iter().enumerate().filter(|(_, waiting)| {
            let waiter = &waiting.waiter;
            let is_due = now >= waiter.arrived + waiter.objective;
            waiter.priority == priority && !waiter.is_cached && is_due
        });
        let longest = candidates.min_by_key(|(_, waiting)| waiting.waiter.arrived);
        longest.map(|(position, _)| position)
    }

    /// The request that is started last, of those that rank below this one if it is given.
    pub(crate) fn last(&self, now: Moment) -> Option<(usize, Rank)> {
        let mean = self.shares.mean();
        let ranked = self.waiting.iter().enumerate();
        let ranks = ranked.map(|(position, waiting)| (position, self.rank(now, waiting, mean)));
        ranks.max_by_key(|(_, rank)| *rank)
    }

    fn rank(&self, now: Moment, waiting: &Waiting, mean: f64) -> Rank {
        let level = self.shares.level(waiting.share, mean);
        Rank::new(now, &waiting.waiter, level, waiting.number)
    }

    pub(crate) fn rank_of(&mut self, now: Moment, waiter: &Waiter, number: u64) -> Rank {
        let share = self.shares.index(waiter.workspace.as_ref());
        let level = self.shares.level(share, self.shares.mean());
        Rank::new(now, waiter, level, number)
    }

    /// Time until a request of this rank is expected to be started: after those ahead of it, and those that are
    /// expected to arrive and to go before it.
    pub(crate) fn expected_wait(&self, now: Moment, waiter: &Waiter, rank: Rank) -> Duration {
        let mean = self.shares.mean();
        let waiting = self.waiting.iter();
        let ahead = waiting.filter(|w| self.rank(now, w, mean) < rank).count();
        let ahead = ahead as f64 + 1.0;
        let per_s = self.window.starts_per_s();
        let more_urgent = self.arrivals_per_s(now, |priority| priority < waiter.priority);
        let left = (per_s - more_urgent).max(MIN_LEFT * per_s);
        let mut wait = ahead / left;
        let is_late = now + seconds(wait) > waiter.start_by;
        if is_late && waiter.is_cached {
            // It yields to those of its own priority that can be in time.
            let before = self.arrivals_per_s(now, |priority| priority <= waiter.priority);
            wait = ahead / (per_s - before).max(MIN_LEFT * per_s);
        }
        seconds(wait)
    }

    fn arrivals_per_s(&self, now: Moment, counts: impl Fn(u8) -> bool) -> f64 {
        let counted = self.arrivals.iter().filter(|(p, _)| counts(*p));
        counted.map(|(_, meter)| meter.per_s(now)).sum()
    }

    /// Ends a request that was started. Returns false if there is none.
    pub(crate) fn end(&mut self, now: Moment, number: u64) -> bool {
        let ended = self.started.remove(&number);
        if let Some(started) = ended {
            self.window.end(now.saturating_sub(started.at));
        }
        ended.is_some()
    }

    /// Removes a request that was started, to be counted elsewhere.
    pub(crate) fn take_started(&mut self, number: u64) -> Option<(Moment, Duration, Duration)> {
        let started = self.started.remove(&number)?;
        self.window.leave();
        Some((started.at, started.work, started.objective))
    }

    /// Counts a request that was started for another site.
    pub(crate) fn put_started(
        &mut self,
        number: u64,
        (at, work, objective): (Moment, Duration, Duration),
    ) {
        self.window.start(objective);
        let started = Started {
            at,
            work,
            objective,
        };
        self.started.insert(number, started);
    }
}

fn seconds(seconds: f64) -> Duration {
    // Longer than any deadline.
    Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
}
