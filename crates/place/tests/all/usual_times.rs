//! Requests that a gateway passes on although it is about to end.

use std::sync::Arc;
use std::time::Duration;

use filberthead_place::{TimedRoute, UsualTimes};
use filberthead_route::{Kind, Route, Table};

use crate::support::{ms, service, table};

/// Requests that tell how long those of a route take, several times over.
const MANY: usize = 40;
/// Longer than the longest request counts.
const LONG_AGO: Duration = Duration::from_secs(601);
const NOW: Duration = Duration::from_secs(1000);

fn route(prefix: &str, kind: Kind) -> Route {
    let route = Route::clone(&table().routes[0]);
    Route {
        prefix: prefix.to_owned(),
        kind,
        ..route
    }
}

/// The times of requests, by the routes that they are for.
#[derive(Default)]
struct Times(UsualTimes);

impl Times {
    fn observed(times_ms: &[u64]) -> Self {
        let mut times = Self::default();
        times.record("/", times_ms, MANY);
        times
    }

    fn record(&mut self, prefix: &str, times_ms: &[u64], number: usize) {
        self.record_at(NOW, prefix, times_ms, number);
    }

    fn record_at(&mut self, now: Duration, prefix: &str, times_ms: &[u64], number: usize) {
        let (service, route) = (service(), route(prefix, Kind::Safe));
        let route = TimedRoute::new(&service, &route);
        for took in times_ms.iter().cycle().take(number) {
            self.0.record(now, &route, ms(*took));
        }
    }

    fn break_off(&mut self, prefix: &str, after_ms: u64, number: usize) {
        let (service, route) = (service(), route(prefix, Kind::Safe));
        let route = TimedRoute::new(&service, &route);
        for _ in 0..number {
            self.0.record_at_least(NOW, &route, ms(after_ms));
        }
    }

    fn fits_for(&self, route: &Route, remaining_ms: u64, left_ms: u64) -> bool {
        let service = service();
        let route = TimedRoute::new(&service, route);
        self.0.fits(&route, ms(remaining_ms), ms(left_ms))
    }

    fn fits(&self, prefix: &str, left_ms: u64) -> bool {
        self.fits_for(&route(prefix, Kind::Safe), 6000, left_ms)
    }
}

#[test]
fn what_usually_takes_longer_than_is_left_doesnt_fit() {
    let times = Times::observed(&[1000]);
    assert!(times.fits("/", 1100));
    assert!(!times.fits("/", 900));
}

#[test]
fn times_that_vary_need_a_margin() {
    let times = Times::observed(&[500, 1500]);
    assert!(!times.fits("/", 1600));
    assert!(times.fits("/", 4000));
}

#[test]
fn a_request_whose_caller_waits_no_longer_fits() {
    let times = Times::observed(&[5000]);
    assert!(times.fits_for(&route("/", Kind::Safe), 900, 1000));
}

#[test]
fn what_was_never_observed_fits_by_its_deadline_only() {
    let times = Times::observed(&[100]);
    assert!(!times.fits_for(&route("/", Kind::Unsafe), 6000, 5000));
    assert!(times.fits_for(&route("/", Kind::Unsafe), 6000, 6000));
}

/// Short requests on one route made a long one on another look short.
#[test]
fn each_route_has_its_own_times() {
    let mut times = Times::observed(&[2600]);
    times.record("/short", &[100], MANY);
    assert!(!times.fits("/", 2400));
    assert!(times.fits("/short", 300));
}

/// The averages forgot a long request after a few short ones on its route.
#[test]
fn a_long_request_counts_after_many_short_ones() {
    let mut times = Times::observed(&[2600]);
    times.record("/", &[100], 10 * MANY);
    assert!(!times.fits("/", 2400));
    assert!(times.fits("/", 2700));
}

#[test]
fn a_long_request_is_forgotten_after_minutes() {
    let mut times = Times::observed(&[2600]);
    times.record_at(NOW + LONG_AGO / 2, "/", &[100], MANY);
    assert!(!times.fits("/", 2400));
    times.record_at(NOW + LONG_AGO, "/", &[100], MANY);
    assert!(times.fits("/", 300));
}

/// Failures that came at once made requests look short.
#[test]
fn fast_failures_tell_nothing() {
    let mut times = Times::observed(&[2600]);
    times.break_off("/", 5, 10 * MANY);
    assert!(!times.fits("/", 2400));
    assert!(times.fits("/", 2700));
}

/// Failures tell nothing about a route of which no complete request is known either.
#[test]
fn requests_that_only_fail_fit_by_their_deadline_only() {
    let mut times = Times::default();
    times.break_off("/", 5, MANY);
    assert!(!times.fits("/", 5000));
}

/// Requests whose callers left weren't observed.
#[test]
fn a_request_that_was_broken_off_took_at_least_so_long() {
    let mut times = Times::observed(&[100]);
    times.break_off("/", 2500, 1);
    assert!(!times.fits("/", 2400));
    assert!(times.fits("/", 5000));
}

/// A route's first requests were expected to take as long as the short ones of other routes.
#[test]
fn an_unknown_route_is_expected_to_take_its_objective_and_as_long_as_others() {
    let mut times = Times::observed(&[1000]);
    let unknown = Route {
        objective: ms(2000),
        ..route("/unknown", Kind::Safe)
    };
    assert!(!times.fits_for(&unknown, 6000, 1900));
    assert!(times.fits_for(&unknown, 6000, 2000));
    times.record("/slow", &[3000], MANY);
    assert!(!times.fits_for(&unknown, 6000, 2900));
    times.record("/unknown", &[100], 1);
    assert!(!times.fits_for(&unknown, 6000, 2900));
    times.record("/unknown", &[100], MANY);
    assert!(times.fits_for(&unknown, 6000, 300));
}

#[test]
fn routes_that_are_gone_are_forgotten() {
    let mut times = Times::observed(&[100]);
    times.record("/gone", &[100], MANY);
    times.0.set_routes(&table());
    assert!(times.fits("/", 300));
    assert!(!times.fits("/gone", 200));
    let none = Table {
        routes: Vec::<Arc<Route>>::new(),
        ..table()
    };
    times.0.set_routes(&none);
    assert!(!times.fits("/", 300));
}
