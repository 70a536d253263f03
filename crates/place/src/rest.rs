//! The rest that an endpoint asks for with a rejection: for so long it wants nothing from this gateway.

use std::time::Duration;

use filberthead_types::Moment;

/// What an answer says of its endpoint's rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedRest {
    /// It asks for this long.
    For(Duration),
    /// It asks for none.
    Absent,
    /// What it asks for isn't a time.
    Invalid,
}

impl NamedRest {
    /// Reads the values of the header that names the rest. Of several the longest valid one counts.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut rest = Self::Absent;
        for value in values {
            rest = match (rest, parse(value)) {
                (Self::For(known), Some(time)) => Self::For(time.max(known)),
                (_, Some(time)) => Self::For(time),
                (Self::Absent, None) => Self::Invalid,
                (known, None) => known,
            };
        }
        rest
    }

    /// Whether it asks for any.
    pub(crate) fn is_asked_for(self) -> bool {
        matches!(self, Self::For(time) if !time.is_zero())
    }
}

/// Parses seconds, which may have a fraction or an exponent.
fn parse(value: &[u8]) -> Option<Duration> {
    /// Longest value that is parsed.
    const MAX_BYTES: usize = 32;
    let text = std::str::from_utf8(value).ok()?.trim();
    if text.len() > MAX_BYTES {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// What an answer changes of its endpoint's rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestChange {
    /// Nothing of note.
    Unchanged,
    /// A rest has begun.
    Begun,
    /// The rest has become much longer than was reported.
    Lengthened,
}

/// Least time by which a rest becomes longer to be reported again.
const MIN_LENGTHENED: Duration = Duration::from_secs(1);
/// Time after an answer until the list shows the start that gave it.
const LIST_LAG: Duration = Duration::from_secs(4);
/// Longest rest that a start takes over from an earlier one.
const MAX_TAKEN_OVER: Duration = Duration::from_secs(60);

/// The request that an endpoint gets after its rest, while it hasn't ended.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Its number among the gateway's requests.
    number: u64,
    /// When its response is expected.
    due_at: Moment,
}

/// The rest of one start of an endpoint.
///
/// Many gateways may be asked for rest at the same moment, and would all come back with all their
/// requests at its end. So a gateway then sends one request at a time until one has run. Requests from
/// before the rest count: an endpoint that is slow to end them gets no more beside them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointRest {
    /// The end of the rest; `None` if it has asked for none, or has run a request since.
    until: Option<Moment>,
    /// When it was last asked for.
    asked_at: Moment,
    /// The last request that was placed since its end.
    trial: Option<Trial>,
    /// The end as it was last reported.
    reported: Moment,
    /// Whether its coming was reported.
    end_reported: bool,
    /// Until when its capacity is taken by callers that were told when to come back.
    booked_until: Moment,
}

impl EndpointRest {
    /// Whether it is to get nothing.
    pub(crate) fn is_resting(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it may get a request, with this many of this gateway in flight.
    pub(crate) fn allows(&self, now: Moment, in_flight: u32) -> bool {
        self.until
            .is_none_or(|until| now >= until && in_flight == 0)
    }

    /// Time until it may get a request, as far as is known.
    pub(crate) fn left(&self, now: Moment) -> Duration {
        let end = match self.trial {
            Some(trial) => trial.due_at,
            None => self.until.unwrap_or_default(),
        };
        end.saturating_sub(now)
    }

    /// When the next caller may come back to an endpoint that is back at `back_at`.
    pub(crate) fn next_return(&self, back_at: Moment) -> Moment {
        self.booked_until.max(back_at)
    }

    /// Books that return. The endpoint runs a request in `response_time`, and takes another one each `interval`
    /// once the first has run.
    pub(crate) fn book_return(
        &mut self,
        back_at: Moment,
        response_time: Duration,
        interval: Duration,
    ) {
        let is_first = self.booked_until < back_at;
        let taken_for = if is_first {
            interval.max(response_time)
        } else {
            interval
        };
        self.booked_until = self.next_return(back_at).saturating_add(taken_for);
    }

    /// Records that the request with this number was placed, with the time until its response is expected.
    pub(crate) fn record_placed(&mut self, now: Moment, number: u64, expected: Duration) {
        self.trial = self.until.map(|_| Trial {
            number,
            due_at: now + expected,
        });
    }

    /// Records that the request with this number has ended.
    pub(crate) fn record_ended(&mut self, number: u64) {
        self.trial.take_if(|trial| trial.number == number);
    }

    /// Records what the answer to a request that was sent at `sent_at` says, and whether the request ran.
    /// Returns what it changes.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        (sent_at, ran): (Moment, bool),
        rest: NamedRest,
    ) -> RestChange {
        match rest {
            NamedRest::For(time) if time > Duration::ZERO => {
                let end = now.saturating_add(time);
                let change = self.change(now, end);
                if change != RestChange::Unchanged {
                    self.reported = end;
                }
                self.until = self.until.max(Some(end));
                self.asked_at = now;
                self.trial = None;
                self.end_reported = false;
                change
            }
            NamedRest::For(_) | NamedRest::Absent | NamedRest::Invalid => {
                if ran && self.until.is_some_and(|until| sent_at >= until) {
                    self.until = None;
                }
                RestChange::Unchanged
            }
        }
    }

    /// What is to be reported if a rest with this end is asked for. So that the reports are few, one that has
    /// become longer is reported once its time left has doubled.
    fn change(&self, now: Moment, end: Moment) -> RestChange {
        if !self.is_resting(now) {
            return RestChange::Begun;
        }
        let least = self.reported.saturating_sub(now).max(MIN_LENGTHENED);
        if end.saturating_sub(self.reported) > least {
            RestChange::Lengthened
        } else {
            RestChange::Unchanged
        }
    }

    /// The rest of a later start that is listed now. One that was asked for lately may have been asked for by
    /// that start already; a wrong guess costs at most [`MAX_TAKEN_OVER`].
    pub(crate) fn for_later_start(&self, now: Moment) -> Self {
        if now > self.asked_at + LIST_LAG {
            return Self::default();
        }
        Self {
            until: self.until.map(|until| until.min(now + MAX_TAKEN_OVER)),
            ..*self
        }
    }

    /// Whether the rest has ended since the last call.
    pub(crate) fn take_end(&mut self, now: Moment) -> bool {
        let has_ended = self.until.is_some_and(|until| now >= until) && !self.end_reported;
        self.end_reported |= has_ended;
        has_ended
    }
}
