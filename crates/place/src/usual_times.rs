//! How long requests take once they are passed on, until the end of their responses.
//!
//! A gateway that is about to end passes on only requests that end before it does. Whether one does isn't
//! known, so it is expected from earlier requests of its route: their mean with a margin of several mean
//! deviations, as for the retransmission timer of TCP, and no less than the longest of the last minutes. The
//! averages alone forget a long request after a few short ones.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use filberthead_route::{Kind, Route, Table};
use filberthead_types::{Moment, ServiceName};

use crate::RouteKey;

/// Weights of a new observation in the mean and in the mean deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations that are added to the mean.
const DEVIATIONS: f64 = 4.0;
/// Complete requests of a route from which on they tell how long others take.
const ENOUGH: u32 = 8;
/// Time for which the longest request counts at least, and at most twice that.
const LONGEST_WINDOW: Duration = Duration::from_secs(300);

/// The requests whose times are observed together.
#[derive(Clone, Copy, Debug)]
pub struct TimedRoute<'a> {
    service: &'a ServiceName,
    key: TimesKey,
    objective: Duration,
}

impl<'a> TimedRoute<'a> {
    /// Requests of a route that go to this service.
    pub fn new(service: &'a ServiceName, route: &Route) -> Self {
        Self {
            service,
            key: TimesKey::new(route),
            objective: route.objective,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TimesKey {
    kind: Kind,
    route: RouteKey,
}

impl TimesKey {
    fn new(route: &Route) -> Self {
        Self {
            kind: route.kind,
            route: RouteKey::new(&route.prefix),
        }
    }
}

/// The longest time of the current window and of the one before it.
#[derive(Clone, Copy, Debug)]
struct Longest {
    current: f64,
    previous: f64,
    since: Moment,
}

impl Longest {
    fn new(now: Moment, took: f64) -> Self {
        Self {
            current: took,
            previous: 0.0,
            since: now,
        }
    }

    /// Begins a new window if this one is over. Only complete requests do that: while requests are broken off,
    /// nothing shows that they have become shorter.
    fn advance(&mut self, now: Moment) {
        if now.saturating_sub(self.since) >= LONGEST_WINDOW {
            self.previous = self.current;
            self.current = 0.0;
            self.since = now;
        }
    }

    fn raise(&mut self, took: f64) {
        self.current = self.current.max(took);
    }

    fn get(&self) -> f64 {
        self.current.max(self.previous)
    }
}

/// Observed times of the requests of a route, in seconds.
#[derive(Clone, Copy, Debug)]
struct Observed {
    mean: f64,
    deviation: f64,
    longest: Longest,
    /// Complete requests, up to `ENOUGH`.
    complete: u32,
}

impl Observed {
    fn new(now: Moment, took: f64) -> Self {
        Self {
            mean: took,
            deviation: took / 2.0,
            longest: Longest::new(now, took),
            complete: 0,
        }
    }

    fn record(&mut self, now: Moment, took: f64) {
        self.average(took);
        self.longest.advance(now);
        self.longest.raise(took);
        self.complete = (self.complete + 1).min(ENOUGH);
    }

    /// A request that was broken off would have taken longer, so it counts only where it has taken longer than
    /// others already.
    fn record_at_least(&mut self, took: f64) {
        if took > self.mean {
            self.average(took);
        }
        self.longest.raise(took);
    }

    fn average(&mut self, took: f64) {
        let error = took - self.mean;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        self.mean += MEAN_WEIGHT * error;
    }

    fn usual(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }

    fn expected(&self) -> f64 {
        self.usual().max(self.longest.get())
    }
}

/// Usual times of requests, by service, kind and route.
#[derive(Clone, Debug, Default)]
pub struct UsualTimes {
    observed: HashMap<ServiceName, HashMap<TimesKey, Observed>>,
}

impl UsualTimes {
    /// Records how long a request took that was answered completely.
    pub fn record(&mut self, now: Moment, route: &TimedRoute<'_>, took: Duration) {
        let took = took.as_secs_f64();
        let observed = self.observed(route, || Observed::new(now, took));
        observed.record(now, took);
    }

    /// Records how long a request took until it failed or was broken off.
    pub fn record_at_least(&mut self, now: Moment, route: &TimedRoute<'_>, took: Duration) {
        let took = took.as_secs_f64();
        let observed = self.observed(route, || Observed::new(now, took));
        observed.record_at_least(took);
    }

    fn observed(
        &mut self,
        route: &TimedRoute<'_>,
        first: impl FnOnce() -> Observed,
    ) -> &mut Observed {
        let routes = self.observed.entry(route.service.clone()).or_default();
        routes.entry(route.key).or_insert_with(first)
    }

    /// Forgets all routes that these don't contain.
    pub fn set_routes(&mut self, table: &Table) {
        let mut kept: HashMap<&ServiceName, HashSet<TimesKey>> = HashMap::new();
        for route in &table.routes {
            for target in &route.targets {
                let keys = kept.entry(&target.service).or_default();
                keys.insert(TimesKey::new(route));
            }
        }
        self.observed.retain(|service, routes| {
            let keys = kept.get(service);
            routes.retain(|key, _| keys.is_some_and(|keys| keys.contains(key)));
            !routes.is_empty()
        });
    }

    /// Time within which a request usually ends, by its route or else by the slowest one of its service and kind;
    /// `None` if none has been observed.
    pub fn usual(&self, route: &TimedRoute<'_>) -> Option<Duration> {
        let usual = match self.known(route) {
            Some(observed) => observed.usual(),
            None => self.slowest(route, Observed::usual)?,
        };
        Some(Duration::from_secs_f64(usual))
    }

    /// Time within which a request can be expected to end; `None` if no complete one of its service and kind has
    /// been observed. Where the route has too few, this is no less than its objective and than what the slowest
    /// route of the service and kind takes.
    pub fn expected(&self, route: &TimedRoute<'_>) -> Option<Duration> {
        if let Some(observed) = self.known(route) {
            return Some(Duration::from_secs_f64(observed.expected()));
        }
        let slowest = self.slowest(route, Observed::expected)?;
        Some(Duration::from_secs_f64(slowest).max(route.objective))
    }

    /// Whether a request can be expected to end in the time that is `left`, as its caller waits no longer or
    /// as such requests take no longer.
    pub fn fits(&self, route: &TimedRoute<'_>, remaining: Duration, left: Duration) -> bool {
        let expected = self.expected(route);
        remaining <= left || expected.is_some_and(|expected| expected <= left)
    }

    /// The times of a route of which enough complete requests were observed.
    fn known(&self, route: &TimedRoute<'_>) -> Option<&Observed> {
        let observed = self.observed.get(route.service)?.get(&route.key)?;
        (observed.complete >= ENOUGH).then_some(observed)
    }

    /// The longest time of all routes of the service and kind; `None` if none had a complete request.
    fn slowest(&self, route: &TimedRoute<'_>, time: impl Fn(&Observed) -> f64) -> Option<f64> {
        let routes = self.observed.get(route.service)?.iter();
        let alike = routes.filter(|(key, _)| key.kind == route.key.kind);
        let alike = alike.map(|(_, observed)| observed);
        let is_known = alike.clone().any(|observed| observed.complete > 0);
        is_known.then(|| alike.map(time).fold(0.0, f64::max))
    }
}
