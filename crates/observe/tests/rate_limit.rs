//! Lines of each kind stay within their limit, and omitted ones are counted.

use std::time::Duration;

use filberthead_observe::LogRateLimiter;
use filberthead_types::{Moment, ResultCode};

const LINES_PER_SECOND: u32 = 3;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// Tries to write `tries` lines of a kind. Returns, for each allowed one, the number of
/// lines omitted before it.
fn written(
    limiter: &mut LogRateLimiter<ResultCode>,
    now: Moment,
    kind: ResultCode,
    tries: usize,
) -> Vec<u64> {
    (0..tries)
        .filter_map(|_| limiter.allow(now, kind))
        .collect()
}

#[test]
fn the_next_line_counts_the_omitted_ones() {
    let mut limiter = LogRateLimiter::new(LINES_PER_SECOND);
    let kind = ResultCode::UnknownService;
    assert_eq!(written(&mut limiter, at(500), kind, 10), [0, 0, 0]);
    assert!(written(&mut limiter, at(1_499), kind, 5).is_empty());
    assert_eq!(written(&mut limiter, at(1_500), kind, 4), [12, 0, 0]);
    assert_eq!(written(&mut limiter, at(9_000), kind, 1), [1]);
}

/// Callers request an unknown service thousands of times a second. A single request
/// refused for another reason in that second must still be logged.
#[test]
fn a_flood_of_one_kind_leaves_the_others_their_lines() {
    let mut limiter = LogRateLimiter::new(LINES_PER_SECOND);
    written(&mut limiter, at(0), ResultCode::UnknownService, 10_000);
    assert_eq!(written(&mut limiter, at(0), ResultCode::NotReady, 1), [0]);
}

/// No second has more lines than the limit, and allowed and omitted lines add up to those
/// that were tried.
#[test]
fn a_long_flood_stays_bounded() {
    let mut limiter = LogRateLimiter::new(LINES_PER_SECOND);
    let kind = ResultCode::BodyTooLarge;
    let mut omitted_counts = Vec::new();
    for step in 0..1_000 {
        omitted_counts.extend(written(&mut limiter, at(step * 10), kind, 7));
    }
    assert_eq!(omitted_counts.len(), 10 * LINES_PER_SECOND as usize);
    let omitted: u64 = omitted_counts.iter().sum();
    // Lines omitted after the last allowed one are reported by the next.
    let rest = written(&mut limiter, at(10_000), kind, 1);
    assert_eq!(omitted + rest[0] + omitted_counts.len() as u64, 7_000);
}
