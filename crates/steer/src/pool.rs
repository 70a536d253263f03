//! The endpoints of one service in the own failure domain, and the requests queued for them.

use std::sync::Arc;
use std::time::Duration;

use filberthead_types::{Moment, NodeName};
use rand::Rng;
use rand::rngs::StdRng;

use crate::config::{Config, EndpointSelection};
use crate::endpoint::Endpoint;
use crate::estimate::Mean;
use crate::health::Usability;
use crate::queue::Queue;
use crate::{EndpointInfo, FinishKind};

/// Latency assumed for a service and its endpoints before the first answers.
const INITIAL_LATENCY: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Queued requests that aren't shifted.
    pub(crate) home_queue: Queue,
    /// Queued shifted requests. Separate, because the shift cap may block only these.
    pub(crate) shifted_queue: Queue,
    /// Mean time to the first byte of an answer.
    pub(crate) latency: Mean,
    /// Mean time for which a request holds its slot.
    pub(crate) hold_time: Mean,
    /// Requests that this entry runs at the endpoints, shifted ones included.
    pub(crate) running: u32,
    pub(crate) shifted_running: u32,
    /// Price of a slot in the own region, in seconds: the waiting time that its use costs
    /// other requests.
    pub(crate) price: f64,
    /// Mean utilisation of the own slots.
    pub(crate) mean_utilisation: f64,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            home_queue: Queue::default(),
            shifted_queue: Queue::default(),
            latency: Mean::new(INITIAL_LATENCY),
            hold_time: Mean::new(INITIAL_LATENCY),
            running: 0,
            shifted_running: 0,
            price: 0.0,
            mean_utilisation: 0.0,
        }
    }

    pub(crate) fn waiting(&self) -> u32 {
        (self.home_queue.len() + self.shifted_queue.len()) as u32
    }

    /// Requests in progress at this entry's endpoints, including those that a previous owner
    /// started.
    pub(crate) fn in_progress(&self, now: Moment) -> u32 {
        let inherited: u32 = self.endpoints.iter().map(|e| e.inherited(now)).sum();
        self.running + inherited
    }

    /// Applies a new list of endpoints. One that is no longer listed stays, without new
    /// requests, until its running ones have ended.
    pub(crate) fn set_endpoints(&mut self, infos: &[Arc<EndpointInfo>], cfg: &Config) {
        for endpoint in &mut self.endpoints {
            endpoint.delisted = true;
        }
        let initial_latency = Duration::from_secs_f64(self.latency.seconds());
        for info in infos {
            match self.find_mut(&info.name) {
                Some(endpoint) => {
                    endpoint.delisted = false;
                    endpoint.info = Arc::clone(info);
                }
                None => {
                    let info = Arc::clone(info);
                    self.endpoints
                        .push(Endpoint::new(info, initial_latency, cfg.slow_start));
                }
            }
        }
        self.remove_delisted();
    }

    pub(crate) fn remove_delisted(&mut self) {
        self.endpoints
            .retain(|endpoint| !endpoint.delisted || endpoint.running > 0);
    }

    pub(crate) fn find_mut(&mut self, name: &NodeName) -> Option<&mut Endpoint> {
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.info.name == *name)
    }

    /// Whether failed probes are taken as failed endpoints. When most endpoints are silent
    /// at once, the probing is more likely at fault, and excluding them all would turn lost
    /// probes into an outage.
    fn trusts_probe_failures(&self, now: Moment, cfg: &Config) -> bool {
        let silent = self
            .endpoints
            .iter()
            .filter(|e| e.usability(now, cfg.reading_ttl) == Usability::Silent)
            .count();
        2 * silent <= self.endpoints.len()
    }

    /// Whether any endpoint may get requests, whoever owns its slots.
    pub(crate) fn has_usable(&self, now: Moment, cfg: &Config) -> bool {
        let trusts_probe_failures = self.trusts_probe_failures(now, cfg);
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|e| usable(e, now, cfg, trusts_probe_failures))
    }

    /// Time until the first endpoint is back; `None` unless all that aren't leaving are at rest.
    pub(crate) fn rest_left(&self, now: Moment) -> Option<Duration> {
        let endpoints = self.endpoints.iter();
        let staying = endpoints.filter(|e| !e.delisted && !e.health.is_leaving());
        let left = staying.map(|e| e.health.rest_left(now));
        left.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Slots of usable endpoints that this entry may fill now, running requests included.
    pub(crate) fn capacity(&self, now: Moment, cfg: &Config) -> u32 {
        let trusts_probe_failures = self.trusts_probe_failures(now, cfg);
        self.endpoints
            .iter()
            .filter(|e| usable(e, now, cfg, trusts_probe_failures))
            .map(|e| e.capacity(now))
            .sum()
    }

    /// Slots that this entry may fill while all its endpoints are healthy. Unlike
    /// [`Pool::capacity`] it doesn't change with each backoff, which keeps look-ups stable.
    pub(crate) fn slots(&self) -> u32 {
        self.endpoints
            .iter()
            .filter(|e| !e.delisted && !e.health.is_leaving())
            .map(Endpoint::owned_slots)
            .sum()
    }

    /// Index of the endpoint for the next request; `None` if none is usable with a free slot.
    /// Endpoints in `tried` are skipped.
    pub(crate) fn pick(
        &self,
        now: Moment,
        cfg: &Config,
        tried: &[NodeName],
        rng: &mut StdRng,
    ) -> Option<usize> {
        let trusts_probe_failures = self.trusts_probe_failures(now, cfg);
        let service_seconds = self.latency.seconds();
        let is_candidate = |e: &Endpoint| {
            e.free_slots(now) > 0
                && usable(e, now, cfg, trusts_probe_failures)
                && e.connection_available()
                && !e.is_slow(now, service_seconds)
                && !tried.contains(&e.info.name)
        };
        let candidates = || (0..self.endpoints.len()).filter(|&i| is_candidate(&self.endpoints[i]));
        match cfg.endpoint_selection {
            EndpointSelection::LeastLoaded => candidates().min_by_key(|&i| {
                let e = &self.endpoints[i];
                (e.running, (e.latency.seconds() * 1e6) as u64)
            }),
            EndpointSelection::PowerOfTwoChoices => {
                let candidates: Vec<_> = candidates().collect();
                if candidates.is_empty() {
                    return None;
                }
                let first = candidates[rng.random_range(0..candidates.len())];
                let second = candidates[rng.random_range(0..candidates.len())];
                let second_is_better =
                    self.endpoints[second].running < self.endpoints[first].running;
                Some(if second_is_better { second } else { first })
            }
            EndpointSelection::LatencyTimesLoad => candidates().min_by_key(|&i| {
                let e = &self.endpoints[i];
                (e.latency.seconds() * f64::from(e.running + 1) * 1e6) as u64
            }),
        }
    }

    /// Expected time in seconds until a newly queued request gets a slot.
    pub(crate) fn wait_seconds(&self, now: Moment, cfg: &Config) -> f64 {
        let capacity = self.capacity(now, cfg).max(1);
        f64::from(self.waiting() + 1) * self.hold_time.seconds() / f64::from(capacity)
    }

    pub(crate) fn start(&mut self, now: Moment, index: usize, shifted: bool) {
        self.endpoints[index].start(now);
        self.running += 1;
        self.shifted_running += u32::from(shifted);
    }

    pub(crate) fn finish(
        &mut self,
        now: Moment,
        endpoint: &NodeName,
        shifted: bool,
        kind: FinishKind,
        first_byte: Duration,
        hold_time: Duration,
    ) {
        self.running = self.running.saturating_sub(1);
        self.shifted_running = self.shifted_running.saturating_sub(u32::from(shifted));
        if kind == FinishKind::Answered {
            self.latency.add(first_byte);
            self.hold_time.add(hold_time);
        }
        if let Some(endpoint) = self.find_mut(endpoint) {
            endpoint.finish(now, kind, first_byte);
            if endpoint.delisted {
                self.remove_delisted();
            }
        }
    }
}

fn usable(endpoint: &Endpoint, now: Moment, cfg: &Config, trusts_probe_failures: bool) -> bool {
    match endpoint.usability(now, cfg.reading_ttl) {
        Usability::Usable => true,
        Usability::Silent => !trusts_probe_failures,
        Usability::Unusable => false,
    }
}
