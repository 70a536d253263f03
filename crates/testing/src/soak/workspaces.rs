//! The workspaces that a soak's callers belong to.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Number of workspaces.
const COUNT: usize = 4;
/// The workspace whose requests are limited.
const LIMITED: usize = COUNT - 1;
/// Its allotment, in requests per second and requests at once. Its callers send more.
const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
/// The time over which its requests are bounded, and by how much a sum may exceed the allotment.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// One request in this many has a key that no workspace holds.
const UNKNOWN_EVERY: usize = 20;

/// Name of a caller's workspace.
pub(super) fn name(caller: usize) -> String {
    format!("workspace-{}", caller % COUNT)
}

/// Key of a caller's request, and the name of the workspace that holds it.
pub(super) fn key(caller: usize, request: usize) -> (String, Option<String>) {
    let workspace = name(caller);
    match request.is_multiple_of(UNKNOWN_EVERY) {
        true => (format!("nobodys-key-{request}"), None),
        false => (key_of(&workspace), Some(workspace)),
    }
}

fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// All workspaces in the platform's JSON format.
pub(super) fn all() -> Vec<Value> {
    let workspace = |number: usize| {
        let name = name(number);
        let (rate, burst) = match number {
            LIMITED => (RATE, BURST),
            _ => (0.0, 0.0),
        };
        json!({"name": name, "api_keys": [key_of(&name)], "priority": 0, "rate_per_s": rate,
            "burst": burst, "allowed_regions": []})
    };
    (0..COUNT).map(workspace).collect()
}

/// Most requests of a workspace that may run within the window; `None` for any number.
pub(super) fn bound(workspace: &str) -> Option<usize> {
    let sum = RATE * WINDOW.as_secs_f64() + BURST;
    (workspace == name(LIMITED)).then_some((sum * (1.0 + OVERAGE) + SLACK) as usize)
}

/// Most of these moments that lie within one window.
pub(super) fn most_in_window(moments: &mut [Instant]) -> usize {
    moments.sort_unstable();
    let from = |(first, start): (usize, &Instant)| {
        moments[first..].partition_point(|at| *at < *start + WINDOW)
    };
    moments.iter().enumerate().map(from).max().unwrap_or(0)
}
