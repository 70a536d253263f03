//! An endpoint's health, combined from several sources.
//!
//! Each source can lag or be wrong, so none is relied on alone:
//!
//! - Outcomes of requests sent by this entry are direct evidence and take precedence over
//!   any report.
//! - A reading is dated by the time at which its probe was sent. Once it is too old, the
//!   endpoint's state is unknown, which means neither dead nor idle.
//! - An endpoint that asks for rest gets no new requests until its end. Its health checks go on, as only they
//!   show that it has restarted, which ends the rest.
//! - Leaving is sticky: the first source that reports it overrides those that still report
//!   the endpoint as live, until the endpoint restarts. The platform's list may lag behind
//!   in both directions.

use std::time::Duration;

use filberthead_types::{Incarnation, Moment};

use crate::{FinishKind, Reading};

/// Consecutive failed probes after which an endpoint is silent.
const SILENT_THRESHOLD: u32 = 3;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Longest rest that a restarted endpoint takes over, if it may have asked for it itself.
const MAX_TAKEN_OVER: Duration = Duration::from_secs(60);

/// Doublings of the backoff that are already applied to the first broken connection.
const BROKEN_INITIAL_DOUBLINGS: u32 = 3;

/// Whether an endpoint may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Usability {
    /// Nothing speaks against sending it requests.
    Usable,
    /// It didn't answer probes. Still used if most endpoints of its pool are silent.
    Silent,
    /// It must not get new requests.
    Unusable,
}

/// Why an endpoint may get no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Obstacle {
    Leaving,
    /// It asks for rest.
    Resting,
    /// Requests or connections failed lately.
    BackingOff,
    /// It didn't answer probes.
    Silent,
    /// It reports that it isn't ready.
    NotReady,
}

impl Obstacle {
    fn usability(self) -> Usability {
        match self {
            Self::Silent => Usability::Silent,
            Self::Leaving | Self::Resting | Self::BackingOff | Self::NotReady => {
                Usability::Unusable
            }
        }
    }
}

#[derive(Debug)]
pub(crate) struct Health {
    reading: Option<Reading>,
    consecutive_failed_probes: u32,
    consecutive_failed_connects: u32,
    consecutive_sheds: u32,
    consecutive_breaks: u32,
    /// When a connection last broke during a request; `None` once a later probe has shown
    /// the endpoint to be ready.
    broken_at: Option<Moment>,
    backoff_until: Moment,
    /// The end of its rest, and when it was last asked for.
    rest_until: Moment,
    rest_asked_at: Moment,
    listed_as_leaving: bool,
    leaving_incarnation: Option<Incarnation>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            reading: None,
            consecutive_failed_probes: 0,
            consecutive_failed_connects: 0,
            consecutive_sheds: 0,
            consecutive_breaks: 0,
            broken_at: None,
            backoff_until: Moment::ZERO,
            rest_until: Moment::ZERO,
            rest_asked_at: Moment::ZERO,
            listed_as_leaving: false,
            leaving_incarnation: None,
        }
    }

    /// Records a probe's answer and returns whether the endpoint has restarted.
    pub(crate) fn record_reading(&mut self, reading: Reading) -> bool {
        // Answers may arrive out of order; an older one would restore an outdated state,
        // such as ready before leaving.
        if self.reading.is_some_and(|last| last.asked >= reading.asked) {
            return false;
        }
        let previous = self.reading.replace(reading);
        let restarted = previous.filter(|previous| previous.incarnation != reading.incarnation);
        self.consecutive_failed_probes = 0;
        if let Some(previous) = restarted {
            self.listed_as_leaving = false;
            self.leaving_incarnation = None;
            self.consecutive_failed_connects = 0;
            self.consecutive_sheds = 0;
            self.consecutive_breaks = 0;
            self.broken_at = None;
            self.backoff_until = Moment::ZERO;
            let is_earlier = self.rest_asked_at < previous.asked;
            let taken_over = if is_earlier {
                Duration::ZERO
            } else {
                MAX_TAKEN_OVER
            };
            self.rest_until = self.rest_until.min(reading.asked + taken_over);
        }
        if reading.ready
            && self
                .broken_at
                .is_some_and(|broken_at| reading.asked > broken_at)
        {
            self.broken_at = None;
            self.backoff_until = Moment::ZERO;
        }
        if reading.leaving {
            self.leaving_incarnation = Some(reading.incarnation);
        }
        restarted.is_some()
    }

    /// Records that the endpoint asks for rest. The latest end holds.
    pub(crate) fn record_rest(&mut self, now: Moment, time: Duration) {
        self.rest_until = self.rest_until.max(now.saturating_add(time));
        self.rest_asked_at = now;
    }

    /// Time until the end of its rest; `None` if it isn't at rest.
    pub(crate) fn rest_left(&self, now: Moment) -> Option<Duration> {
        let left = self.rest_until.saturating_sub(now);
        Some(left).filter(|left| !left.is_zero())
    }

    pub(crate) fn record_probe_failure(&mut self) {
        self.consecutive_failed_probes = self.consecutive_failed_probes.saturating_add(1);
    }

    /// Records that the platform's list shows the endpoint as leaving. If the list shows
    /// it as live again later, that is ignored, because the list lags.
    pub(crate) fn mark_leaving(&mut self) {
        self.listed_as_leaving = true;
        self.leaving_incarnation = self.reading.map(|reading| reading.incarnation);
    }

    pub(crate) fn record_outcome(&mut self, now: Moment, kind: FinishKind) {
        match kind {
            FinishKind::Answered => {
                self.consecutive_failed_connects = 0;
                self.consecutive_sheds = 0;
                self.consecutive_breaks = 0;
            }
            FinishKind::Shed => {
                self.consecutive_sheds = self.consecutive_sheds.saturating_add(1);
                self.back_off(now, self.consecutive_sheds);
            }
            FinishKind::ConnectFailed => {
                self.consecutive_failed_connects =
                    self.consecutive_failed_connects.saturating_add(1);
                self.back_off(now, self.consecutive_failed_connects);
            }
            // After a process has died, a proxy in front of it may go on accepting and
            // resetting connections, and a request on such a connection is lost, not merely
            // refused. So the endpoint gets no requests until a probe shows it to be ready,
            // or for longer than a probe takes.
            FinishKind::Broken => {
                self.consecutive_breaks = self.consecutive_breaks.saturating_add(1);
                self.broken_at = Some(now);
                self.back_off(
                    now,
                    self.consecutive_breaks
                        .saturating_add(BROKEN_INITIAL_DOUBLINGS),
                );
            }
            FinishKind::Cancelled => {}
        }
    }

    /// Starts a backoff that doubles with each consecutive failure. Without it, an endpoint
    /// that sheds looks idle and would attract every request.
    fn back_off(&mut self, now: Moment, failures: u32) {
        let factor = 1_u32 << failures.saturating_sub(1).min(6);
        self.backoff_until = now + (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_as_leaving || self.leaving_incarnation.is_some()
    }

    /// Whether the endpoint may get requests now. After a backoff it gets a real request
    /// even if no probe has succeeded, so that it can recover while probes are lost.
    pub(crate) fn usability(&self, now: Moment, reading_ttl: Duration) -> Usability {
        self.obstacle(now, reading_ttl)
            .map_or(Usability::Usable, Obstacle::usability)
    }

    /// Why the endpoint may get no requests now; `None` if it may.
    pub(crate) fn obstacle(&self, now: Moment, reading_ttl: Duration) -> Option<Obstacle> {
        if self.is_leaving() {
            return Some(Obstacle::Leaving);
        }
        if self.rest_left(now).is_some() {
            return Some(Obstacle::Resting);
        }
        if now < self.backoff_until {
            return Some(Obstacle::BackingOff);
        }
        if self.consecutive_failed_probes >= SILENT_THRESHOLD {
            return Some(Obstacle::Silent);
        }
        let reading = self.fresh_reading(now, reading_ttl)?;
        (!reading.ready).then_some(Obstacle::NotReady)
    }

    /// Time since the newest reading's probe was sent; `None` without a reading.
    pub(crate) fn reading_age(&self, now: Moment) -> Option<Duration> {
        let reading = self.reading.as_ref()?;
        Some(now.saturating_sub(reading.asked))
    }

    /// The newest reading; `None` if its probe was sent `reading_ttl` ago or earlier.
    pub(crate) fn fresh_reading(&self, now: Moment, reading_ttl: Duration) -> Option<Reading> {
        let fresh = |reading: &Reading| now.saturating_sub(reading.asked) < reading_ttl;
        self.reading.filter(fresh)
    }
}
