//! The retries that each service's endpoints received, held against the budget.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::history::{CallerRequest, History};

/// Retries for each request, the default of the settings.
const RATIO: f64 = 0.2;
/// The window of the budget, the default of the settings.
const WINDOW: Duration = Duration::from_secs(10);
/// Service of the routes that only one version has.
const PROBED_SERVICE: &str = "catalogue";
const PROBE_PREFIX: &str = "only-";

/// A request that reached an endpoint, whether it ran or was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceArrival {
    /// The endpoint's service.
    pub service: String,
    /// Id of the request.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
}

/// The window in which a service came closest to its retry budget, or exceeded it most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorstWindow {
    /// The service.
    pub service: String,
    /// Arrivals beyond the first of each request.
    pub retries: usize,
    /// Most that the budget allows.
    pub allowed: usize,
}

impl WorstWindow {
    pub(super) fn is_exceeded(&self) -> bool {
        self.retries > self.allowed
    }
}

/// An arrival beyond the first of its request.
pub(super) struct Retry<'a> {
    pub(super) id: &'a str,
    pub(super) at: Instant,
}

/// The worst window of each service that got any retry. `floor` is what its budget allows beyond the
/// ratio.
pub(super) fn worst_windows(
    history: &History,
    arrivals: &[ServiceArrival],
    floor: u32,
) -> Vec<WorstWindow> {
    let worst = worst_windows_with_starts(history, arrivals, floor);
    worst.into_iter().map(|(_, worst)| worst).collect()
}

/// Whether a moment is within the window that begins at `start`.
pub(super) fn is_within(start: Instant, at: Instant) -> bool {
    at >= start && at < start + WINDOW
}

/// Like [`worst_windows`], each with its first moment.
pub(super) fn worst_windows_with_starts(
    history: &History,
    arrivals: &[ServiceArrival],
    floor: u32,
) -> Vec<(Instant, WorstWindow)> {
    let mut sent: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for request in &history.requests {
        for service in services_of(request, history) {
            sent.entry(service).or_default().push(request.sent);
        }
    }
    sent.values_mut().for_each(|sent| sent.sort_unstable());
    let retries = retries_by_service(arrivals);
    let worst = |(service, retries): (&str, Vec<Retry<'_>>)| {
        let retries: Vec<Instant> = retries.into_iter().map(|retry| retry.at).collect();
        let sent = sent.get(service).map_or(&[][..], Vec::as_slice);
        let windows = retries.iter().map(|start| {
            let window = WorstWindow {
                service: service.to_owned(),
                retries: count(&retries, Some(*start)),
                allowed: allowed(sent, *start, floor),
            };
            (*start, window)
        });
        windows.max_by_key(|(_, window)| window.retries as i64 - window.allowed as i64)
    };
    retries.into_iter().filter_map(worst).collect()
}

/// The arrivals beyond the first of each request, in order.
pub(super) fn retries_by_service(arrivals: &[ServiceArrival]) -> BTreeMap<&str, Vec<Retry<'_>>> {
    let mut arrivals: Vec<&ServiceArrival> = arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = BTreeSet::new();
    let mut retries: BTreeMap<&str, Vec<Retry<'_>>> = BTreeMap::new();
    for arrival in arrivals {
        if !seen.insert(&arrival.id) {
            let of_service = retries.entry(&arrival.service).or_default();
            of_service.push(Retry {
                id: &arrival.id,
                at: arrival.at,
            });
        }
    }
    retries
}

/// Retries allowed in the window that begins at `start`: by the requests in it, in the one before it
/// or in the one half a window before it, whichever has most.
fn allowed(sent: &[Instant], start: Instant, floor: u32) -> usize {
    let starts = [
        Some(start),
        start.checked_sub(WINDOW / 2),
        start.checked_sub(WINDOW),
    ];
    let requests = starts.into_iter().map(|start| count(sent, start)).max();
    (RATIO * requests.unwrap_or(0) as f64 + f64::from(floor)) as usize
}

/// Number of moments within the window that begins at `start`.
fn count(moments: &[Instant], start: Option<Instant>) -> usize {
    let Some(start) = start else { return 0 };
    let before = moments.partition_point(|at| *at < start);
    moments.partition_point(|at| *at < start + WINDOW) - before
}

/// The services that a request's route led to when it was sent: after the route has been moved, the
/// one before too, until the change has been accepted and for a window.
fn services_of<'a>(request: &'a CallerRequest, history: &'a History) -> Vec<&'a str> {
    let route = service_of(&request.request_line);
    let mut services = vec![route];
    let moves = history.moves.iter().filter(|m| m.route == route);
    for moved in moves.filter(|m| m.at <= request.sent) {
        let accepted = history.accepted_after(moved.after);
        if accepted.is_some_and(|at| request.sent >= at + WINDOW) {
            services.clear();
        }
        services.retain(|service| *service != moved.to);
        services.push(&moved.to);
    }
    services
}

/// The service that a request's route is named after.
fn service_of(request_line: &str) -> &str {
    let path = request_line.split_once(" /").map_or("", |(_, path)| path);
    let prefix = path.split('/').next().unwrap_or_default();
    match prefix.starts_with(PROBE_PREFIX) {
        true => PROBED_SERVICE,
        false => prefix,
    }
}
