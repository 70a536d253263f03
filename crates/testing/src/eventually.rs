//! Polling for conditions with a bound.

use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `probe` until it returns a value, and returns that value.
///
/// # Panics
///
/// Panics with `what` if there is none within `bound`. The bound only ends a test that would
/// otherwise hang: choose it generously, and don't assert on the time taken.
#[track_caller]
pub fn eventually<T>(what: &str, bound: Duration, mut probe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = probe() {
            return value;
        }
        assert!(start.elapsed() < bound, "not within {bound:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until `condition` holds.
///
/// # Panics
///
/// Panics with `what` if it doesn't within `bound`.
#[track_caller]
pub fn wait_until(what: &str, bound: Duration, mut condition: impl FnMut() -> bool) {
    eventually(what, bound, || condition().then_some(()));
}
