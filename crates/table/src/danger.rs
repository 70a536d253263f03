//! Dangers: changes that are rejected unless the operator allows them explicitly.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use filberthead_types::ServiceName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Edit, Row, RowKey};

/// What makes a change dangerous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Danger {
    /// Every weight of a service would be zero: its requests would be refused.
    AllWeightsZero,
    /// The last row of a service would be removed: the service would be unknown.
    LastRow,
    /// A limit or shift cap would be below the number of requests in progress.
    CapBelowRunning,
    /// A limit would be above the number of slots of the region's endpoints.
    LimitAboveSlots,
    /// A proposal would be accepted without a review by another operator.
    OwnReview,
}

/// The text is not the name of a danger.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("`{text}` is no danger that can be allowed"))]
pub struct DangerError {
    text: String,
}

impl Danger {
    /// Every danger.
    pub const ALL: &'static [Self] = &[
        Self::AllWeightsZero,
        Self::LastRow,
        Self::CapBelowRunning,
        Self::LimitAboveSlots,
        Self::OwnReview,
    ];

    /// The name on the command line and in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AllWeightsZero => "all-weights-zero",
            Self::LastRow => "last-row",
            Self::CapBelowRunning => "cap-below-running",
            Self::LimitAboveSlots => "limit-above-slots",
            Self::OwnReview => "own-review",
        }
    }
}

impl fmt::Display for Danger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Danger {
    type Err = DangerError;

    fn from_str(text: &str) -> Result<Self, DangerError> {
        let named = Self::ALL
            .iter()
            .copied()
            .find(|danger| danger.as_str() == text);
        named.ok_or_else(|| DangerError {
            text: text.to_owned(),
        })
    }
}

/// A danger found in a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// The danger.
    pub danger: Danger,
    /// The service, or the row as `service/region`.
    pub subject: String,
    /// Explanation with the figures compared, for people.
    pub reason: String,
}

/// Finds the dangers that follow from the rows alone, without live readings.
///
/// A danger is reported only if the change causes it, so that a service whose weights
/// are already all zero can be edited without allowing the danger again.
pub(crate) fn find(rows: &BTreeMap<RowKey, Row>, edits: &[Edit]) -> Vec<Finding> {
    let services: BTreeSet<_> = edits.iter().map(|edit| &edit.key.service).collect();
    services
        .into_iter()
        .filter_map(|service| find_for_service(rows, edits, service))
        .collect()
}

fn find_for_service(
    rows: &BTreeMap<RowKey, Row>,
    edits: &[Edit],
    service: &ServiceName,
) -> Option<Finding> {
    let before: BTreeMap<_, _> = rows
        .iter()
        .filter(|(key, _)| key.service == *service)
        .map(|(key, row)| (key, row.values.weight))
        .collect();
    let mut after = before.clone();
    for edit in edits.iter().filter(|edit| edit.key.service == *service) {
        match edit.set {
            Some(values) => after.insert(&edit.key, values.weight),
            None => after.remove(&edit.key),
        };
    }
    let has_weight = |weights: &BTreeMap<_, u32>| weights.values().any(|weight| *weight > 0);
    if after.is_empty() {
        return (!before.is_empty()).then(|| Finding {
            danger: Danger::LastRow,
            subject: service.to_string(),
            reason: format!("no row of {service} would be left; its requests would be refused"),
        });
    }
    let becomes_zero = !has_weight(&after) && (before.is_empty() || has_weight(&before));
    becomes_zero.then(|| Finding {
        danger: Danger::AllWeightsZero,
        subject: service.to_string(),
        reason: format!(
            "no region of {service} would have a weight; its requests would be refused"
        ),
    })
}
