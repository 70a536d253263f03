//! A serializable histogram that holds its non-empty buckets only.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Pairs of a value and its count, by ascending value. A value is the upper end of a
/// histogram bucket, so times read from it may be too long but never too short.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct SparseHistogram(Vec<(u32, u32)>);

impl SparseHistogram {
    pub(super) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let buckets = histogram.iter_recorded().map(|bucket| {
            let value = bucket.value_iterated_to();
            (
                saturating_u32(value),
                saturating_u32(bucket.count_at_value()),
            )
        });
        Self(buckets.collect())
    }

    /// Iterates over the values and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> {
        self.0.iter().copied()
    }

    /// Whether nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of recorded values.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// Number of recorded values above a bound.
    pub fn above(&self, bound: u64) -> u64 {
        let above = self.0.iter().filter(|(value, _)| u64::from(*value) > bound);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// The smallest value that at least `share`, 0 to 1, of all recorded values don't exceed;
    /// `None` if nothing was recorded.
    pub fn quantile(&self, share: f64) -> Option<u32> {
        let rank = (self.total() as f64 * share).ceil().max(1.0) as u64;
        let mut cumulative = 0;
        self.0.iter().find_map(|(value, count)| {
            cumulative += u64::from(*count);
            (cumulative >= rank).then_some(*value)
        })
    }

    /// The largest recorded value; `None` if nothing was recorded.
    pub fn max(&self) -> Option<u32> {
        self.0.last().map(|(value, _)| *value)
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        if other.is_empty() {
            return;
        }
        let mut sum: BTreeMap<u32, u32> = self.iter().collect();
        for (value, count) in other.iter() {
            let sum_count = sum.entry(value).or_default();
            *sum_count = sum_count.saturating_add(count);
        }
        self.0 = sum.into_iter().collect();
    }
}

impl FromIterator<(u32, u32)> for SparseHistogram {
    fn from_iter<I: IntoIterator<Item = (u32, u32)>>(pairs: I) -> Self {
        let mut histogram = Self::default();
        for pair in pairs {
            histogram.add(&Self(vec![pair]));
        }
        histogram
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
