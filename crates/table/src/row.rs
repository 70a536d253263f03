//! Rows of the table: the values that operators set for a service in a region.

use std::fmt;
use std::str::FromStr;

use filberthead_types::{Region, Revision, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What steering optimises for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Response time: requests go where the response is expected soonest.
    #[default]
    Latency,
    /// Free slots: within a region, load is spread so that the most utilised entry keeps
    /// as many free slots as possible.
    Headroom,
}

/// The text is not the name of an objective.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("`{text}` is no objective: `latency` or `headroom`"))]
pub struct ObjectiveError {
    text: String,
}

impl Objective {
    /// The name as in settings, CSV and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Headroom => "headroom",
        }
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Objective {
    type Err = ObjectiveError;

    fn from_str(text: &str) -> Result<Self, ObjectiveError> {
        match text {
            "latency" => Ok(Self::Latency),
            "headroom" => Ok(Self::Headroom),
            _ => ObjectiveSnafu { text }.fail(),
        }
    }
}

/// Identifies a row; written as `service/region`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RowKey {
    /// The service.
    pub service: ServiceName,
    /// The region that serves it.
    pub region: Region,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.region)
    }
}

/// The values that an operator sets in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RowValues {
    /// Share of the service's traffic that the region gets, relative to the sum of the
    /// weights of the service's rows. 0 drains the region.
    pub weight: u32,
    /// Maximum number of requests of the service in progress in the region.
    pub limit: u32,
    /// Maximum number of requests in progress that a shift (a change of weights, a
    /// drain or a failure elsewhere) may add to the region.
    pub shift_cap: u32,
    /// What steering optimises for the service here.
    pub objective: Objective,
}

/// A row with the revision of its last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The current values.
    pub values: RowValues,
    /// Table version of the change that set them.
    pub revision: Revision,
}
