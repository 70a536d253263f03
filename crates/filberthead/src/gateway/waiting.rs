//! Requests that wait here while the endpoints of their service are congested.
//!
//! The decisions are those of [`WaitingRoom`]; this module wakes the requests, withdraws those whose callers
//! leave, and logs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use filberthead_observe::LogRateLimiter;
use filberthead_place::waiting::{
    Enqueued, RoomLimits, Ticket, UsualDeadlines, Waiter, WaitingRoom, WindowChange,
};
use filberthead_place::{EndpointRef, Load};
use log::info;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::core::Core;

/// Routes whose callers' usual deadlines are kept.
const MAX_ROUTES: usize = 1024;
/// Log lines per second about requests that wait, of each kind.
const LOG_LINES_PER_SECOND: u32 = 5;

/// How a wait ends.
#[derive(Clone, Copy, Debug)]
enum Decision {
    Start,
    /// The request is rejected: the time after which there may be room for it.
    Reject(Duration),
}

/// Log lines about requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LogEvent {
    Waits,
    Started,
    GaveWay,
}

/// The requests that wait, and those that were started.
pub(crate) struct Waiting {
    room: RefCell<WaitingRoom>,
    /// How to wake each request that waits.
    wakers: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// How long callers usually wait, by the name of the route.
    usual_deadlines: RefCell<HashMap<String, UsualDeadlines>>,
    log_limiter: RefCell<LogRateLimiter<LogEvent>>,
}

/// Why a request gets no place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoPlace {
    /// Time after which there may be room for it.
    pub(crate) retry_after: Duration,
    /// How long it has waited; `None` if it was rejected at once.
    pub(crate) waited: Option<Duration>,
}

/// A place in the window of a service. Dropped, it is free for another request.
pub(crate) struct Place<'a> {
    core: &'a Core,
    ticket: Cell<Ticket>,
}

impl Place<'_> {
    /// Whether the window is limited that it is in.
    pub(crate) fn is_limited(&self) -> bool {
        let room = self.core.waiting.room.borrow();
        room.is_limited(self.ticket.get())
    }

    /// Counts the request where it runs, which may be another region than was expected.
    pub(crate) fn move_to(&self, endpoint: EndpointRef<'_>) {
        let found = self.core.placer.borrow().site_of(endpoint);
        if let Some(found) = found {
            let mut room = self.core.waiting.room.borrow_mut();
            self.ticket
                .set(room.move_to(self.ticket.get(), &found.site));
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let waiting = &self.core.waiting;
        let now = self.core.now();
        waiting.room.borrow_mut().end(now, self.ticket.get());
        waiting.wake(self.core);
    }
}

/// A request in the waiting room. Dropped, it is withdrawn unless it has got its place.
struct Queued<'a> {
    core: &'a Core,
    ticket: Ticket,
    is_settled: bool,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let waiting = &self.core.waiting;
        waiting.wakers.borrow_mut().remove(&self.ticket);
        if !self.is_settled {
            let now = self.core.now();
            waiting.room.borrow_mut().withdraw(now, self.ticket);
            waiting.wake(self.core);
        }
    }
}

impl Waiting {
    /// Nothing waits. `seed` makes the retry times of gateways differ.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            room: RefCell::new(WaitingRoom::new(RoomLimits::default(), seed)),
            wakers: RefCell::default(),
            usual_deadlines: RefCell::default(),
            log_limiter: RefCell::new(LogRateLimiter::new(LOG_LINES_PER_SECOND)),
        }
    }

    /// Waits for a place for a request.
    pub(crate) async fn enter<'a>(
        core: &'a Core,
        waiter: Waiter,
        request: &str,
    ) -> Result<Place<'a>, NoPlace> {
        let this = &core.waiting;
        let started = core.now();
        let latest = waiter.deadline.saturating_sub(waiter.work);
        let (priority, site) = (waiter.priority, waiter.site.clone());
        let enqueued = this.room.borrow_mut().enqueue(started, waiter);
        let ticket = match enqueued {
            Enqueued::Start(ticket) => return Ok(Place::new(core, ticket)),
            Enqueued::Reject(retry_after) => {
                let waited = None;
                return Err(NoPlace {
                    retry_after,
                    waited,
                });
            }
            Enqueued::Wait(ticket) => ticket,
        };
        let (waker, mut decision) = oneshot::channel();
        this.wakers.borrow_mut().insert(ticket, waker);
        let mut queued = Queued {
            core,
            ticket,
            is_settled: false,
        };
        if let Some(omitted) = this.may_log(core, LogEvent::Waits) {
            let waiting = this.room.borrow().len();
            info!(request, service:% = site.service, region:% = site.region, priority, waiting, omitted;
                "request waits");
        }
        // A window that has grown since may have room for it.
        this.wake(core);
        let decision = loop {
            let left = latest.saturating_sub(core.now());
            tokio::select! {
                biased;
                decided = &mut decision => break decided,
                () = sleep(left) => this.wake(core),
            }
        };
        queued.is_settled = decision.is_ok();
        let waited = core.now().saturating_sub(started);
        core.metrics.record_waited(waited);
        let waited_ms = waited.as_millis();
        match decision {
            Ok(Decision::Start) => {
                if let Some(omitted) = this.may_log(core, LogEvent::Started) {
                    info!(request, service:% = site.service, region:% = site.region, priority,
                        waited_ms, omitted; "request started after waiting");
                }
                Ok(Place::new(core, ticket))
            }
            Ok(Decision::Reject(retry_after)) => {
                if let Some(omitted) = this.may_log(core, LogEvent::GaveWay) {
                    info!(request, service:% = site.service, region:% = site.region, priority,
                        waited_ms, retry_after_ms = retry_after.as_millis(), omitted;
                        "request gave way");
                }
                Err(NoPlace {
                    retry_after,
                    waited: Some(waited),
                })
            }
            // Its waker lives as long as it does.
            Err(_) => Err(NoPlace {
                retry_after: Duration::ZERO,
                waited: Some(waited),
            }),
        }
    }

    /// How long a caller that goes on waiting for `left` has waited before, as far as is known.
    pub(crate) fn waited_before(&self, route: &str, left: Duration) -> Duration {
        let mut routes = self.usual_deadlines.borrow_mut();
        if let Some(usual) = routes.get_mut(route) {
            return usual.record(left);
        }
        if routes.len() >= MAX_ROUTES {
            // Routes have been renamed; those in use are learned again.
            routes.clear();
        }
        routes.entry(route.to_owned()).or_default().record(left)
    }

    fn may_log(&self, core: &Core, event: LogEvent) -> Option<u64> {
        self.log_limiter.borrow_mut().allow(core.now(), event)
    }

    /// Starts and rejects the requests whose turn it is.
    pub(crate) fn wake(&self, core: &Core) {
        let now = core.now();
        let mut room = self.room.borrow_mut();
        let started = room.on_slot_free(now);
        let rejected = room.on_deadline(now);
        drop(room);
        let mut wakers = self.wakers.borrow_mut();
        for (ticket, retry_after) in rejected {
            if let Some(waker) = wakers.remove(&ticket) {
                let _ = waker.send(Decision::Reject(retry_after));
            }
        }
        for ticket in started {
            if let Some(waker) = wakers.remove(&ticket) {
                let _ = waker.send(Decision::Start);
            }
        }
    }

    /// Records the load that an endpoint has reported. `took` is how long the request took that it came with, if
    /// that ran.
    pub(crate) fn record_report(
        &self,
        core: &Core,
        endpoint: EndpointRef<'_>,
        load: Load,
        took: Option<Duration>,
    ) {
        let placer = core.placer.borrow();
        let from = placer
            .contention_control()
            .then(|| placer.site_of(endpoint));
        drop(placer);
        if let Some(from) = from.flatten() {
            let mut room = self.room.borrow_mut();
            room.record_report(core.now(), &from, load, took);
            let is_empty = room.is_empty();
            drop(room);
            if !is_empty {
                self.wake(core);
            }
        }
    }

    /// Logs windows that were limited or released, and publishes the metrics.
    pub(crate) fn tick(&self, core: &Core) {
        self.wake(core);
        let mut room = self.room.borrow_mut();
        let changes = room.take_changes(core.now());
        core.metrics.set_waiting(room.len());
        for change in &changes {
            log_change(change);
            if change.limit.is_none() {
                let (service, region) = (&change.site.service, &change.site.region);
                core.metrics.remove_window(service, region);
            }
        }
        for (site, limit) in room.limited() {
            core.metrics.set_window(&site.service, &site.region, limit);
        }
    }
}

impl<'a> Place<'a> {
    fn new(core: &'a Core, ticket: Ticket) -> Self {
        Self {
            core,
            ticket: Cell::new(ticket),
        }
    }
}

fn log_change(change: &WindowChange) {
    let (service, region) = (&change.site.service, &change.site.region);
    let (in_flight, waiting) = (change.in_flight, change.waiting);
    match change.limit {
        Some(window) => info!(service:%, region:%, window, in_flight, waiting;
            "service is short of room"),
        None => info!(service:%, region:%, in_flight, waiting; "service has room again"),
    }
}
