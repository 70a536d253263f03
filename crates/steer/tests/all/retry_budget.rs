//! The retry budget of entries.

use filberthead_steer::RetryBudget;

/// Retries that a budget grants at once.
fn spend_all(budget: &mut RetryBudget) -> usize {
    std::iter::from_fn(|| budget.try_spend().then_some(())).count()
}

/// Each restart granted all that a budget holds.
#[test]
fn restarts_do_not_fill_the_budget() {
    let spent = (0..10).map(|_| spend_all(&mut RetryBudget::default()));
    assert!(spent.sum::<usize>() <= 50);
}

#[test]
fn retries_are_at_most_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    spend_all(&mut budget);
    let mut spent = 0;
    for _ in 0..2_000 {
        budget.record_request();
        spent += spend_all(&mut budget);
    }
    assert!((195..=200).contains(&spent), "{spent}");
}
