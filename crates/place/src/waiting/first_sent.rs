//! When callers first sent the requests that they repeat.
//!
//! A caller says with each attempt how long it goes on waiting, and not when it began. But the first attempts on
//! a route mostly name the same time, so what is missing of that has passed.

use std::time::Duration;

/// Times that are counted for a route. Those that more than a fifth of the requests name are among them.
const COUNTED: usize = 4;
/// Milliseconds within which times count as the same: callers may subtract what they took to connect.
const STEP: u64 = 20;
/// Requests from which a time counts as usual, and the most that are counted, so that a new one is learned.
const MIN_COUNT: u32 = 8;
const MAX_COUNT: u32 = 200;

/// The times that callers usually wait on a route.
#[derive(Clone, Debug, Default)]
pub struct UsualDeadlines {
    /// Times in steps, with their counts by the algorithm of Misra and Gries.
    counts: Vec<(u64, u32)>,
}

impl UsualDeadlines {
    /// Records how long a caller goes on waiting, and returns how long it has waited before, as far as is known.
    pub fn record(&mut self, left: Duration) -> Duration {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let step = left_ms.saturating_add(STEP / 2) / STEP;
        self.count(step);
        let usual = self.counts.iter().filter(|(_, count)| *count >= MIN_COUNT);
        let first = usual
            .map(|(usual, _)| *usual)
            .filter(|usual| *usual >= step);
        let first = first.min().unwrap_or(step);
        Duration::from_millis((first - step) * STEP)
    }

    fn count(&mut self, step: u64) {
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == step) {
            *count = (*count + 1).min(MAX_COUNT);
        } else if self.counts.len() < COUNTED {
            self.counts.push((step, 1));
        } else {
            self.counts.iter_mut().for_each(|(_, count)| *count -= 1);
            self.counts.retain(|(_, count)| *count > 0);
        }
    }
}
