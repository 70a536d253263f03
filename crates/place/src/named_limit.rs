//! The rate that an endpoint names in its responses: requests per second that it takes from all gateways
//! together, for as long as it says so.

use filberthead_types::Moment;

use crate::limit_share::RateShare;

/// What a response says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Requests per second.
    PerSecond(f64),
    /// It names none.
    Absent,
    /// What it names isn't a rate.
    Invalid,
}

impl NamedLimit {
    /// Reads the values of the header that holds the limit. Of several the lowest valid one counts.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut limit = Self::Absent;
        for value in values {
            limit = match (limit, parse(value)) {
                (Self::PerSecond(known), Some(rate)) => Self::PerSecond(rate.min(known)),
                (_, Some(rate)) => Self::PerSecond(rate),
                (Self::Absent, None) => Self::Invalid,
                (known, None) => known,
            };
        }
        limit
    }
}

fn parse(value: &[u8]) -> Option<f64> {
    /// Longest value that is parsed.
    const MAX_BYTES: usize = 32;
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
    if text.len() > MAX_BYTES || !text.chars().all(is_decimal) {
        return None;
    }
    text.parse().ok()
}

/// A change of the limit that an endpoint names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second from now on; `None` if it doesn't name any more.
    pub per_s: Option<f64>,
    /// Those before.
    pub before: Option<f64>,
}

/// The limit that one start of an endpoint names.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointLimit {
    /// Requests per second; `None` without a limit.
    per_s: Option<f64>,
    /// When it was last named.
    named_at: Moment,
    /// When this gateway's part allows the next request on average.
    due: Moment,
}

impl EndpointLimit {
    /// Requests per second from all gateways together; `None` without a limit.
    pub(crate) fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// When the next request may be sent, at `now` or later, with this gateway's part of the limit.
    pub(crate) fn next_at(&self, now: Moment, share: RateShare) -> Moment {
        share.next_at(now, self.due)
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Moment, share: RateShare) {
        self.due = share.due_after(now, self.due);
    }

    /// Records what a response to a request that was sent at `sent_at` says, and whether the request ran.
    /// Returns a change.
    ///
    /// Responses may overtake each other, and one that the endpoint made before it named its limit may
    /// be the last to arrive. So only a request that was sent after the limit was last named ends it.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        sent_at: Moment,
        ran: bool,
        limit: NamedLimit,
    ) -> Option<LimitChange> {
        let before = self.per_s;
        match limit {
            NamedLimit::PerSecond(rate) => {
                if before != Some(rate) {
                    // What it was sent while it took more isn't made up for, and nothing is saved up.
                    self.due = now;
                }
                self.per_s = Some(rate);
                self.named_at = now;
            }
            NamedLimit::Absent if ran && sent_at > self.named_at => self.per_s = None,
            NamedLimit::Absent | NamedLimit::Invalid => {}
        }
        let per_s = self.per_s;
        (per_s != before).then_some(LimitChange { per_s, before })
    }
}
