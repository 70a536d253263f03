//! Results of claims.

use filberthead_ledger::{Claim, ClaimResults, HomeEpoch, HomeId, MAX_CLAIM_RESULTS};
use filberthead_types::Incarnation;

/// Bytes that the largest routing table leaves of the longest message between control
/// replicas.
const SNAPSHOT_BUDGET: usize = 400 * 1024;

fn claim(founder: u64, claimant: u64) -> Claim {
    Claim {
        home: HomeId {
            failure_domain: "a".parse().expect("a valid name"),
            founder: Incarnation(u64::MAX - founder),
            serial: 7,
        },
        epoch: HomeEpoch(9),
        claimant: Incarnation(u64::MAX - claimant),
    }
}

/// Both members of an epoch claim it, one of them after it was suspended for a long time.
/// It must get the result of the first claim, or both would run the same request.
#[test]
fn the_first_claim_wins_permanently() {
    let mut claim_results = ClaimResults::default();
    let first = claim_results.apply(&claim(1, 1));
    for other in 2..1_000 {
        claim_results.apply(&claim(other, other));
    }
    assert_eq!(claim_results.apply(&claim(1, 2)), first);
    assert_eq!(claim_results.apply(&claim(1, 1)), first);
}

#[test]
fn claim_results_leave_room_for_the_largest_table() {
    let mut claim_results = ClaimResults::default();
    for founder in 0..MAX_CLAIM_RESULTS as u64 + 100 {
        claim_results.apply(&claim(founder, founder));
    }
    assert_eq!(claim_results.len(), MAX_CLAIM_RESULTS);
    let len = postcard::to_stdvec(&claim_results)
        .expect("they are encodable")
        .len();
    assert!(len < SNAPSHOT_BUDGET, "{len} bytes");
    println!("{len} bytes");
}
