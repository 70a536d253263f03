//! What is known about an endpoint's health, from several sources.
//!
//! Each source lags or misleads in its own way, so none is taken for the truth:
//!
//! - The outcomes of requests sent from here are first-hand and go before any report.
//! - A reading counts with the time at which it was asked. One that is too old means
//!   unknown, which is neither dead nor idle.
//! - Leaving is sticky: whichever source says it first wins over all that still say
//!   live, until the endpoint has started anew. The platform's list lags, in both
//!   directions.

use std::time::Duration;

use filberthead_types::{Incarnation, Moment};

use crate::{FinishKind, Reading};

/// Probes failed in a row that make an endpoint count as silent.
const SILENT_THRESHOLD: u32 = 3;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Doublings of the back-off that the first broken connection starts with.
const BROKEN_INITIAL_DOUBLINGS: u32 = 3;

/// What an endpoint can be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Usability {
    /// It takes requests as far as is known.
    Usable,
    /// It didn't answer probes; usable if most of its failure domain seems so.
    Silent,
    /// It takes no new requests.
    Unusable,
}

#[derive(Debug)]
pub(crate) struct Health {
    reading: Option<Reading>,
    consecutive_failed_probes: u32,
    consecutive_failed_connects: u32,
    consecutive_sheds: u32,
    consecutive_breaks: u32,
    /// When a connection last broke with a request on it, if nothing has shown since that
    /// the endpoint is alive.
    broken_at: Option<Moment>,
    backoff_until: Moment,
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
            listed_as_leaving: false,
            leaving_incarnation: None,
        }
    }

    /// Takes in a probe's answer and tells whether the endpoint has started anew.
    pub(crate) fn record_reading(&mut self, reading: Reading) -> bool {
        // Answers may overtake each other; an older one would bring back a state that
        // the endpoint has left, such as ready before leaving.
        if self.reading.is_some_and(|last| last.asked >= reading.asked) {
            return false;
        }
        let previous = self.reading.map(|previous| previous.incarnation);
        let restarted = previous.is_some_and(|previous| previous != reading.incarnation);
        self.reading = Some(reading);
        self.consecutive_failed_probes = 0;
        if restarted {
            self.listed_as_leaving = false;
            self.leaving_incarnation = None;
            self.consecutive_failed_connects = 0;
            self.consecutive_sheds = 0;
            self.consecutive_breaks = 0;
            self.broken_at = None;
            self.backoff_until = Moment::ZERO;
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
        restarted
    }

    pub(crate) fn record_probe_failure(&mut self) {
        self.consecutive_failed_probes = self.consecutive_failed_probes.saturating_add(1);
    }

    /// The platform's list shows the endpoint as leaving. Its later word that the
    /// endpoint is live is ignored, because the list lags.
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
            // A process that died may still have its connections accepted and reset, and
            // each request that meets it so is lost, not merely refused. So it is left
            // alone until a probe finds it alive, or for longer than a probe takes.
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

    /// An endpoint that sheds while it looks idle would draw every request at once;
    /// each further refusal in a row doubles the time for which it is left alone.
    fn back_off(&mut self, now: Moment, failures: u32) {
        let factor = 1_u32 << failures.saturating_sub(1).min(6);
        self.backoff_until = now + (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_as_leaving || self.leaving_incarnation.is_some()
    }

    /// What the endpoint can be used for now. After a back-off it is tried again with a
    /// real request even if no probe has come through, so that an endpoint recovers
    /// while measurements are missing.
    pub(crate) fn usability(&self, now: Moment, reading_ttl: Duration) -> Usability {
        if self.is_leaving() || now < self.backoff_until {
            return Usability::Unusable;
        }
        if self.consecutive_failed_probes >= SILENT_THRESHOLD {
            return Usability::Silent;
        }
        match self.fresh_reading(now, reading_ttl) {
            Some(reading) if !reading.ready => Usability::Unusable,
            _ => Usability::Usable,
        }
    }

    /// The newest reading, unless it is too old to say anything.
    pub(crate) fn fresh_reading(&self, now: Moment, reading_ttl: Duration) -> Option<Reading> {
        let fresh = |reading: &Reading| now.saturating_sub(reading.asked) < reading_ttl;
        self.reading.filter(fresh)
    }
}
