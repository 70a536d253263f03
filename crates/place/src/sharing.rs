//! The number of gateways that a limit on a sum is divided by.
//!
//! Each gateway takes an equal part of such a limit. The parts add up to no more than the limit
//! only if nobody divides by too small a number, and if no part is used twice: by a gateway that is
//! cut off and by the others, or by a process and by its predecessor, whose memory is lost.
//!
//! So a gateway has a part of a limit only while control's leader has lately proved to count it,
//! for [`HELD_FOR`], and only once it has counted it for so long that nothing that was spent
//! without its knowledge is still within the limit's window. It divides by the largest number of
//! that time: others may have been told the smaller one earlier.

use std::collections::VecDeque;
use std::time::Duration;

use filberthead_fleet::COUNT_COMPLETE_AFTER;
use filberthead_types::Moment;

/// Time for which a gateway keeps its part after it asked for the last proof that it is counted:
/// longer than an election of control, and much shorter than control counts silent gateways.
pub const HELD_FOR: Duration = Duration::from_secs(4);
/// Time that a report takes at most to reach the leader through another replica.
const RELAYED_WITHIN: Duration = Duration::from_secs(2);

// A leader that has just started names no number while a gateway may have a part that it has not
// heard of.
const _: () =
    assert!(HELD_FOR.as_millis() + RELAYED_WITHIN.as_millis() < COUNT_COMPLETE_AFTER.as_millis());

/// The largest of the values received within a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peak {
    /// Values with their times, oldest first. One that was followed by a larger one is left out.
    values: VecDeque<(Moment, u32)>,
}

impl Peak {
    /// Records a value, and forgets those older than `horizon`.
    pub(crate) fn record(&mut self, now: Moment, value: u32, horizon: Duration) {
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.len() > 1 && self.values[0].0 + horizon < now {
            self.values.pop_front();
        }
    }

    /// The largest value within `horizon`; the last one if none was received since.
    pub(crate) fn get(&self, now: Moment, horizon: Duration) -> Option<u32> {
        let recent = self.values.iter().find(|(at, _)| *at + horizon >= now);
        let (_, value) = recent.or(self.values.back())?;
        Some(*value)
    }
}

/// One gateway's part of limits on a sum over a window.
#[derive(Clone, Debug)]
pub struct LimitShare {
    /// The limit's window and the time for which a gateway that is cut off keeps its part.
    horizon: Duration,
    counts: Peak,
    /// Since when this gateway has been counted without a gap; `None` if it isn't.
    counted_since: Option<Moment>,
    /// When it asked for the last proof.
    proven_at: Moment,
}

impl LimitShare {
    /// No part of limits over this window yet.
    pub fn new(window: Duration) -> Self {
        Self {
            horizon: window + HELD_FOR,
            counts: Peak::default(),
            counted_since: None,
            proven_at: Moment::ZERO,
        }
    }

    /// Records a proof of contact with control's leader that was requested at `asked_at`, with the
    /// number of gateways that the leader counts; `None` if it hasn't watched for long enough to
    /// know.
    pub fn record_proof(&mut self, now: Moment, asked_at: Moment, count: Option<u32>) {
        if now >= asked_at + HELD_FOR {
            return;
        }
        if !self.is_counted(now) {
            self.counted_since = None;
            self.counts = Peak::default();
        }
        self.proven_at = self.proven_at.max(asked_at);
        if let Some(count) = count {
            self.counted_since.get_or_insert(now);
            self.counts.record(now, count, self.horizon);
        }
    }

    /// The number to divide a limit by; `None` if this gateway has no part of it now.
    pub fn divisor(&self, now: Moment) -> Option<u32> {
        let since = self.counted_since.filter(|_| self.is_counted(now))?;
        (now >= since + self.horizon)
            .then(|| self.counts.get(now, self.horizon))
            .flatten()
    }

    fn is_counted(&self, now: Moment) -> bool {
        self.counted_since.is_some() && now < self.proven_at + HELD_FOR
    }
}
