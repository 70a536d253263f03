//! The retries of one request whose attempts are under way side by side.

use std::collections::BTreeMap;

use filberthead_place::{
    Holder, RequestRetries, RetryBudget, RetryBudgetConfig, RetryDecision, RetryEnd, RetryId,
    RetryRecord, SentAs,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};

use crate::support::{RETRY_WINDOW, ms, service};

const SEEDS: u64 = 2_000;
const STEPS: usize = 24;
/// Far more first attempts than the retries of one request need.
const FIRST_ATTEMPTS: u32 = 1_000;

/// Grants as many retries as one request may ask for.
struct Grants(RetryBudget);

impl Grants {
    fn new() -> Self {
        let mut budget = RetryBudget::new(RetryBudgetConfig {
            ratio: 1.0,
            floor: 0.0,
            window: RETRY_WINDOW,
        });
        (0..FIRST_ATTEMPTS).for_each(|_| budget.record_first(ms(0), &service()));
        Self(budget)
    }

    fn next(&mut self) -> RetryId {
        match self.0.try_spend(ms(0), &service(), None) {
            RetryDecision::Granted(id, _) => id,
            RetryDecision::Refused(usage) => panic!("{usage:?}"),
        }
    }
}

/// What the budget knows of a retry.
#[derive(Debug, Default)]
struct Known {
    end: Option<RetryEnd>,
    earlier: usize,
}

/// A request, beside what is true of its attempts.
#[derive(Default)]
struct Model {
    retries: RequestRetries,
    known: BTreeMap<RetryId, Known>,
    /// The retries that attempts under way are.
    under_way: Vec<Option<RetryId>>,
    sent: Vec<RetryId>,
    earlier: usize,
}

impl Model {
    fn record(&mut self, records: Vec<RetryRecord>) {
        for record in records {
            match record {
                RetryRecord::Ended(id, end) => {
                    let known = self.known.get_mut(&id).expect("it was granted");
                    assert_eq!(known.end.replace(end), None, "{id:?} ended twice");
                }
                RetryRecord::Earlier(id, _) => {
                    self.known.get_mut(&id).expect("it was granted").earlier += 1;
                }
            }
        }
    }

    fn grant(&mut self, id: RetryId) {
        self.known.insert(id, Known::default());
        let records = self.retries.grant(id);
        self.record(records);
    }

    fn start(&mut self) {
        let (id, records) = self.retries.start();
        self.record(records);
        self.under_way.push(id);
    }

    fn end(&mut self, attempt: usize, is_sent: bool) {
        let id = self.under_way.swap_remove(attempt);
        let records = match (id, is_sent) {
            (Some(id), true) => {
                self.sent.push(id);
                self.retries.end(id, RetryEnd::Settled)
            }
            (Some(id), false) => self.retries.end(id, RetryEnd::NotSent),
            (None, true) => {
                self.earlier += 1;
                self.retries.end_earlier(Holder::Unknown)
            }
            (None, false) => Vec::new(),
        };
        self.record(records);
    }

    fn step(&mut self, rng: &mut StdRng, grants: &mut Grants) {
        match rng.random_range(0..4) {
            0 => self.grant(grants.next()),
            1 => self.start(),
            _ if self.under_way.is_empty() => {}
            _ => {
                let attempt = rng.random_range(0..self.under_way.len());
                self.end(attempt, rng.random());
            }
        }
    }

    fn finish(&mut self) {
        while !self.under_way.is_empty() {
            self.end(0, true);
        }
        let records = self.retries.give_back();
        self.record(records);
    }

    /// Retries that weren't sent were given back, and one that was counts what may still arrive.
    fn check(&self, seed: u64) {
        for (id, known) in &self.known {
            let expected = match self.sent.contains(id) {
                true => RetryEnd::Settled,
                false => RetryEnd::NotSent,
            };
            assert_eq!(known.end, Some(expected), "seed {seed}: {id:?}");
        }
        let mut sent = self.sent.iter();
        let counted = sent.any(|id| self.known[id].earlier == self.earlier);
        assert!(
            counted || self.sent.is_empty(),
            "seed {seed}: {:?}",
            self.known
        );
    }
}

#[test]
fn retries_are_given_back_whole_and_earlier_attempts_count_in_any_order_of_ends() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut grants = Grants::new();
        let mut model = Model::default();
        for _ in 0..STEPS {
            model.step(&mut rng, &mut grants);
        }
        model.finish();
        model.check(seed);
    }
}

/// A further attempt that no budget was asked for counted like a first one.
#[test]
fn a_further_attempt_without_a_retry_is_told_from_a_first_one() {
    let mut grants = Grants::new();
    let mut retries = RequestRetries::default();
    assert_eq!(retries.record_sent(None), SentAs::First);
    let id = grants.next();
    assert_eq!(retries.record_sent(Some(id)), SentAs::Retry);
    assert_eq!(retries.record_sent(None), SentAs::Ungranted);
}

/// A way from one attempt to the next that asks no budget sent a request again that had been sent before.
#[test]
fn what_was_sent_once_needs_a_retry_whichever_way_leads_to_the_next_attempt() {
    let mut grants = Grants::new();
    let mut retries = RequestRetries::default();
    let (first, _) = retries.start();
    assert!(!retries.needs_retry(), "nothing has been sent");
    retries.record_sent(first);
    assert!(retries.needs_retry());
    retries.grant(grants.next());
    assert!(!retries.needs_retry());
    let (retry, _) = retries.start();
    let retry = retry.expect("it was granted");
    assert!(retries.needs_retry(), "a third attempt");
    retries.end(retry, RetryEnd::NotSent);
    assert!(!retries.needs_retry(), "the retry is still to be made");
}
