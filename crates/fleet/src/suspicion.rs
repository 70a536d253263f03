//! What gateways hold against requests that may crash the endpoints that run them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Suspicions that a report or a notice carries at most. They take a few kilobytes.
const MAX_SUSPICIONS: usize = 64;
/// Losses that are passed on for one request at most; a few are enough to refuse it.
const MAX_LOSSES: usize = 4;

/// Digest of an endpoint's identity and start. It differs between two starts under one identity where
/// the platform tells them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointStart(pub u64);

impl EndpointStart {
    /// The start of the endpoint `id` with this incarnation.
    pub fn new(id: &str, incarnation: Option<Incarnation>) -> Self {
        let seed = incarnation.map_or(0, |incarnation| incarnation.0);
        Self(xxh3_64_with_seed(id.as_bytes(), seed))
    }
}

/// An endpoint whose connection broke while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointLoss {
    /// The endpoint.
    pub start: EndpointStart,
    /// Time since the connection broke.
    pub age: Duration,
}

/// What a gateway holds against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub request: Fingerprint,
    /// Endpoints that were lost while they ran it and haven't answered since.
    pub losses: Vec<EndpointLoss>,
    /// How much longer it is refused because these endpoints have ended; zero if that isn't known.
    pub refused_for: Duration,
}

/// Sums up the suspicions of several gateways, each with its age.
pub(crate) fn merge<'a>(
    reported: impl IntoIterator<Item = (Duration, &'a Suspicion)>,
) -> Vec<Suspicion> {
    let mut merged: BTreeMap<Fingerprint, Suspicion> = BTreeMap::new();
    for (age, suspicion) in reported {
        let request = suspicion.request;
        let sum = merged.entry(request).or_insert_with(|| Suspicion {
            request,
            losses: Vec::new(),
            refused_for: Duration::ZERO,
        });
        let left = suspicion.refused_for.saturating_sub(age);
        sum.refused_for = sum.refused_for.max(left);
        for loss in &suspicion.losses {
            let is_known = sum.losses.iter().any(|known| known.start == loss.start);
            if !is_known && sum.losses.len() < MAX_LOSSES {
                let age = loss.age + age;
                sum.losses.push(EndpointLoss { age, ..*loss });
            }
        }
    }
    most_certain(merged.into_values().collect())
}

/// The suspicions that a report or a notice has room for: those that are most certain.
pub fn most_certain(mut suspicions: Vec<Suspicion>) -> Vec<Suspicion> {
    suspicions.sort_by_key(|s| Reverse((s.refused_for, s.losses.len())));
    suspicions.truncate(MAX_SUSPICIONS);
    for suspicion in &mut suspicions {
        suspicion.losses.truncate(MAX_LOSSES);
    }
    suspicions
}
