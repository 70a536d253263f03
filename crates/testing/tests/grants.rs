//! The soak's check of arrivals against the retries that gateways have granted.

use std::time::{Duration, Instant};

use filberthead_testing::soak::deployed::{
    Downtime, Grants, Ungranted, find_sent_without_retry, find_ungranted,
};
use filberthead_testing::soak::{ServiceArrival, Violation};

const LOG: &str = "\
2026-01-01T00:00:00Z INFO  gateway-1 retries: retry granted request=granted route=r service=catalogue
2026-01-01T00:00:00Z INFO  gateway-2 retries: retry granted request=given-back route=r service=catalogue
2026-01-01T00:00:01Z INFO  gateway-2 retry: retry given back request=given-back service=catalogue
";

/// Each of these requests arrives twice within a second.
fn ungranted(start: Instant, ids: &[&str]) -> Vec<Ungranted> {
    let mut grants = Grants::default();
    grants.read(LOG);
    let arrival = |id: &str, after_ms| ServiceArrival {
        service: "catalogue".to_owned(),
        id: id.to_owned(),
        at: start + Duration::from_millis(after_ms),
    };
    let arrivals = ids
        .iter()
        .flat_map(|id| [arrival(id, 1000), arrival(id, 0)]);
    find_ungranted(&arrivals.collect::<Vec<_>>(), &grants)
}

/// A request that was sent again without a retry, or with one that was given back, went unnoticed while the
/// budget allowed as many.
#[test]
fn requests_that_arrive_again_without_a_retry_are_found() {
    let start = Instant::now();
    let found = ungranted(start, &["granted", "given-back", "never"]);
    let ids: Vec<&str> = found.iter().map(|request| request.id.as_str()).collect();
    assert_eq!(ids, ["given-back", "never"]);
    assert!(found.iter().all(|request| request.arrivals[0] == start));
}

/// A gateway that is killed may not have written its last lines.
#[test]
fn requests_of_gateways_that_end_are_no_violation() {
    let start = Instant::now();
    let found = ungranted(start, &["never"]);
    let down_from = |ms| Downtime {
        gateway: 0,
        from: start + Duration::from_millis(ms),
        to: start + Duration::from_secs(60),
    };
    let violation = Violation::SentAgainWithoutRetry {
        id: "never".to_owned(),
        service: "catalogue".to_owned(),
        arrivals: 2,
        granted: 0,
    };
    assert_eq!(
        find_sent_without_retry(&found, &[]),
        std::slice::from_ref(&violation)
    );
    assert_eq!(find_sent_without_retry(&found, &[down_from(1200)]), []);
    let later = [down_from(1600)];
    assert_eq!(find_sent_without_retry(&found, &later), [violation]);
}
