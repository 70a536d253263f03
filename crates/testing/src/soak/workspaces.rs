//! The workspaces that a soak's callers belong to.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// The time over which requests are bounded, and by how much a sum may exceed the allotment.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// One request in this many has a key that no workspace holds.
const UNKNOWN_EVERY: usize = 20;

/// The workspaces of a soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workspaces {
    /// Their number.
    pub count: usize,
    /// Those from this one on have an allotment.
    pub limited_from: usize,
    /// Requests per second of an allotment.
    pub rate: f64,
    /// Requests at once beyond these.
    pub burst: f64,
}

impl Default for Workspaces {
    fn default() -> Self {
        Self::FOUR
    }
}

impl Workspaces {
    /// Four, of which the last one has an allotment and callers that send more.
    pub const FOUR: Self = Self {
        count: 4,
        limited_from: 3,
        rate: 20.0,
        burst: 20.0,
    };

    /// Key of a request of this caller, and the name of the workspace that holds it.
    pub(super) fn key(self, caller: usize, request: usize) -> (String, Option<String>) {
        let workspace = name(caller % self.count);
        match request.is_multiple_of(UNKNOWN_EVERY) {
            true => (format!("nobodys-key-{request}"), None),
            false => (key_of(&workspace), Some(workspace)),
        }
    }

    /// All of them in the platform's JSON format.
    pub(super) fn all(self) -> Vec<Value> {
        let workspace = |number: usize| {
            let name = name(number);
            let (rate, burst) = match number >= self.limited_from {
                true => (self.rate, self.burst),
                false => (0.0, 0.0),
            };
            json!({"name": name, "api_keys": [key_of(&name)], "priority": 0, "rate_per_s": rate,
                "burst": burst, "allowed_regions": []})
        };
        (0..self.count).map(workspace).collect()
    }

    /// Most requests of a workspace that may run within the window; `None` for any number.
    pub(super) fn bound(self, workspace: &str) -> Option<usize> {
        let sum = self.rate * WINDOW.as_secs_f64() + self.burst;
        let mut limited = (self.limited_from..self.count).map(name);
        let is_limited = limited.any(|limited| limited == workspace);
        is_limited.then_some((sum * (1.0 + OVERAGE) + SLACK) as usize)
    }
}

fn name(number: usize) -> String {
    format!("workspace-{number}")
}

fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Most of these moments that lie within one window.
pub(super) fn most_in_window(moments: &mut [Instant]) -> usize {
    moments.sort_unstable();
    let from = |(first, start): (usize, &Instant)| {
        moments[first..].partition_point(|at| *at < *start + WINDOW)
    };
    moments.iter().enumerate().map(from).max().unwrap_or(0)
}
