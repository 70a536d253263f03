//! Metrics of the requests of one service that are served in one region.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use filberthead_types::{Meaning, ResultCode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{PairLabels, RequestLabels};
use super::{observe, wait_histogram};
use crate::samples::PeriodCounter;

type Histograms = Family<PairLabels, Histogram, fn() -> Histogram>;

/// The metric families that [`RequestMetrics`] are resolved from.
#[derive(Debug)]
pub(super) struct RequestFamilies {
    results: Family<RequestLabels, Counter>,
    durations: Histograms,
}

impl Default for RequestFamilies {
    fn default() -> Self {
        Self {
            results: Family::default(),
            durations: Family::new_with_constructor(wait_histogram),
        }
    }
}

impl RequestFamilies {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests by service, serving region and result code",
            self.results.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from a request's arrival to the end of its answer, of requests that ran",
            Unit::Seconds,
            self.durations.clone(),
        );
    }

    pub(super) fn handle(
        &self,
        labels: PairLabels,
        period_counter: PeriodCounter,
    ) -> RequestMetrics {
        RequestMetrics {
            shared: Arc::new(Shared {
                results: self.results.clone(),
                duration: self.durations.get_or_create_owned(&labels),
                counters: ResultCode::ALL.iter().map(|_| OnceLock::new()).collect(),
                labels,
                period_counter,
            }),
        }
    }
}

#[derive(Debug)]
struct Shared {
    labels: PairLabels,
    period_counter: PeriodCounter,
    results: Family<RequestLabels, Counter>,
    duration: Histogram,
    /// One for each of [`ResultCode::ALL`], resolved on first use, so that codes that never
    /// occur have no series.
    counters: Vec<OnceLock<Counter>>,
}

/// Counts the requests of one service that are served in one region. Cheap to clone and to
/// call; resolve it once and keep it.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    shared: Arc<Shared>,
}

impl RequestMetrics {
    /// Counts a request that ended `took` after its arrival.
    pub fn record(&self, code: ResultCode, took: Duration) {
        self.counter(code).inc();
        self.shared.period_counter.record_request(code, took);
        if code.meaning() == Meaning::Ran {
            observe(&self.shared.duration, took);
        }
    }

    fn counter(&self, code: ResultCode) -> Counter {
        let number = code.number();
        let index = ResultCode::ALL.binary_search_by_key(&number, |code| code.number());
        match index.ok().and_then(|index| self.shared.counters.get(index)) {
            Some(counter) => counter.get_or_init(|| self.resolve(code)).clone(),
            None => self.resolve(code),
        }
    }

    fn resolve(&self, code: ResultCode) -> Counter {
        let labels = RequestLabels {
            service: self.shared.labels.service.clone(),
            region: self.shared.labels.region.clone(),
            code: code.number(),
            result: code.slug(),
        };
        self.shared.results.get_or_create_owned(&labels)
    }
}
