//! The requests that endpoints got while they were cold.

use std::time::{Duration, Instant};

use crate::site::Records;

const SECOND: Duration = Duration::from_secs(1);

/// Most requests that one start of an endpoint got within a second while it was cold.
pub(super) fn most_while_cold(start: &Records, warmup: Duration) -> usize {
    let Some(started) = start.started else {
        return 0;
    };
    let cold = start.arrivals.iter().map(|arrival| arrival.at);
    let moments: Vec<Instant> = cold.take_while(|at| *at < started + warmup).collect();
    let from = |(number, begin): (usize, &Instant)| {
        moments[number..].partition_point(|at| *at < *begin + SECOND)
    };
    moments.iter().enumerate().map(from).max().unwrap_or(0)
}
