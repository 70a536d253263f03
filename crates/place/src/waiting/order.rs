//! The order in which waiting requests are started.

use filberthead_types::Moment;

use super::Waiter;

/// Rank of a waiting request; the lowest is started first. The fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u8,
    /// How far its workspace is above its fair share.
    level: u8,
    /// Requests that can't meet their objective yield to those that can.
    is_late: bool,
    /// Callers who have waited before go first.
    is_first_try: bool,
    /// Requests for uncached objects take several times the work.
    is_uncached: bool,
    arrived: Moment,
    number: u64,
}

impl Rank {
    pub(crate) fn new(now: Moment, waiter: &Waiter, level: u8, number: u64) -> Self {
        Self {
            priority: waiter.priority,
            level,
            is_late: !waiter.can_be_in_time(now),
            is_first_try: !waiter.has_returned,
            is_uncached: !waiter.is_cached,
            arrived: waiter.arrived,
            number,
        }
    }
}
