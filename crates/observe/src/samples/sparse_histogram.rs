//! How often which value was seen.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Counts by value, values ascending. A value stands for a bucket of a histogram and is
/// the bucket's upper end, so what is read from it errs on the bad side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tally(Vec<(u32, u32)>);

impl Tally {
    pub(super) fn of(histogram: &Histogram<u64>) -> Self {
        let buckets = histogram.iter_recorded().map(|bucket| {
            let value = bucket.value_iterated_to();
            (narrow(value), narrow(bucket.count_at_value()))
        });
        Self(buckets.collect())
    }

    /// Values and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> {
        self.0.iter().copied()
    }

    /// Whether nothing was seen.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many values were seen.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// How many of them were above a bound.
    pub fn above(&self, bound: u64) -> u64 {
        let above = self.0.iter().filter(|(value, _)| u64::from(*value) > bound);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// The value that a share of all values doesn't exceed; `None` if nothing was seen.
    pub fn quantile(&self, share: f64) -> Option<u32> {
        let wanted = (self.total() as f64 * share).ceil().max(1.0) as u64;
        let mut seen = 0;
        self.0.iter().find_map(|(value, count)| {
            seen += u64::from(*count);
            (seen >= wanted).then_some(*value)
        })
    }

    /// The largest value seen.
    pub fn max(&self) -> Option<u32> {
        self.0.last().map(|(value, _)| *value)
    }

    /// Adds what another one has seen.
    pub fn add(&mut self, other: &Self) {
        if other.is_empty() {
            return;
        }
        let mut sum: BTreeMap<u32, u32> = self.iter().collect();
        for (value, count) in other.iter() {
            let known = sum.entry(value).or_default();
            *known = known.saturating_add(count);
        }
        self.0 = sum.into_iter().collect();
    }
}

impl FromIterator<(u32, u32)> for Tally {
    fn from_iter<I: IntoIterator<Item = (u32, u32)>>(pairs: I) -> Self {
        let mut tally = Self::default();
        for pair in pairs {
            tally.add(&Self(vec![pair]));
        }
        tally
    }
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
